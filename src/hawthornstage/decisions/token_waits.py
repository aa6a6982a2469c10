"""How long a call waits for tokens that its router does not hold.

Some draws take long, such as the first one of a router that has just started, or those
of a router that lacks processor time. While the budget has tokens left and the store
responds, a refusal would cost the caller more than the wait.
"""

from __future__ import annotations

from dataclasses import dataclass

# Longest time that a call waits if waiting may be in vain, in seconds: normally, and
# while the store is unavailable.
MAX_WAIT_S = 0.15
MAX_OUTAGE_WAIT_S = 0.07
# Longest time that a call waits for a draw that the budget can cover, in seconds, and
# the same as a fraction of the time that the call has left.
MAX_DRAW_WAIT_S = 0.8
DRAW_WAIT_FRACTION = 0.25


@dataclass(frozen=True)
class TokenSupply:
    """What a router knows of the tokens that a call needs.

    Args:
        budget: The workspace's budget in tokens, or None if it is not known yet.
        obtainable: Tokens that this router holds free or that no router has drawn.
        store_unavailable: Whether the last write to the store failed.
    """

    budget: int | None
    obtainable: int
    store_unavailable: bool


def longest_wait(tokens: int, time_left_s: float, supply: TokenSupply) -> float:
    """Return how long a call may wait for its tokens, in seconds; 0 if in vain.

    Args:
        tokens: Tokens that it needs.
        time_left_s: Time until its deadline, in seconds.
        supply: What is known of the tokens.
    """
    if supply.budget is not None and tokens > supply.budget:
        return 0.0
    if supply.store_unavailable:
        return MAX_OUTAGE_WAIT_S
    if supply.budget is None or tokens > supply.obtainable:
        return MAX_WAIT_S
    wait = min(MAX_DRAW_WAIT_S, time_left_s * DRAW_WAIT_FRACTION)
    return max(MAX_WAIT_S, wait)
