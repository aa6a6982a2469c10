"""How many tokens a router holds of each budget, and when it draws more.

The ledger in the store counts, for each workspace, the tokens that routers have
drawn from its budget. A router draws before it promises: the count is raised by
compare-and-swap and never exceeds the budget. What a router holds when its process
dies stays counted as drawn, and is lost to the workspace. So holding more bridges
longer outages of the store, and strands more at a crash.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

# Demand that a router holds ahead, in seconds.
HORIZON_S = 12.0
# It draws again when it holds less than this part of that.
LOW_WATER = 0.7
# Part of a budget that a router holds before it knows its demand.
FIRST_PART = 0.02
# Part of a fair share of what is left in the ledger that one draw may take.
LEFT_PART = 0.5
# Time over which demand is averaged, in seconds.
DEMAND_TAU_S = 5.0
# Part of what a router holds that it gives to another one at a time.
GIFT_PART = 0.4


@dataclass(frozen=True)
class Account:
    """One workspace's tokens at this router.

    Args:
        free: Drawn tokens that no call has.
        open: Tokens that are set aside for calls.
        largest: Largest amount that a call has asked for lately.
        rate: Tokens used a second, averaged.
        rated_at: Monotonic time of the average.
        drawn: Tokens drawn by all routers, as far as it is known.
    """

    free: int = 0
    open: int = 0
    largest: int = 0
    rate: float = 0.0
    rated_at: float = 0.0
    drawn: int = 0


@dataclass(frozen=True)
class Purse:
    """All accounts of a router, by workspace."""

    accounts: dict[str, Account] = field(default_factory=dict)


def account_of(purse: Purse, workspace: str) -> Account:
    """Return a workspace's account."""
    return purse.accounts.get(workspace, Account())


def put(purse: Purse, workspace: str, account: Account) -> Purse:
    """Replace a workspace's account."""
    return replace(purse, accounts={**purse.accounts, workspace: account})


def set_aside(purse: Purse, workspace: str, tokens: int) -> tuple[Purse, bool]:
    """Set tokens aside for a call; False if not enough are free."""
    account = account_of(purse, workspace)
    account = replace(account, largest=max(account.largest, tokens))
    if account.free < tokens:
        return put(purse, workspace, account), False
    account = replace(account, free=account.free - tokens, open=account.open + tokens)
    return put(purse, workspace, account), True


def use(purse: Purse, workspace: str, reserved: int, used: int, now: float) -> Purse:
    """Note that a call has ended, and what it used."""
    account = account_of(purse, workspace)
    spare = max(0, reserved - used)
    account = replace(account, free=account.free + spare, open=account.open - reserved)
    return put(purse, workspace, rated(account, used, now))


def rated(account: Account, used: int, now: float) -> Account:
    """Add a use to the averaged demand."""
    decay = math.exp(-max(0.0, now - account.rated_at) / DEMAND_TAU_S)
    return replace(
        account, rate=account.rate * decay + used / DEMAND_TAU_S, rated_at=now
    )


def receive(purse: Purse, granted: dict[str, int], drawn: dict[str, int]) -> Purse:
    """Take in what a draw brought."""
    for workspace in granted.keys() | drawn.keys():
        account = account_of(purse, workspace)
        account = replace(
            account,
            free=account.free + max(0, granted.get(workspace, 0)),
            drawn=max(account.drawn, drawn.get(workspace, 0)),
        )
        purse = put(purse, workspace, account)
    return purse


def target(account: Account, budget: int, members: int) -> int:
    """Return how many free tokens a router should hold."""
    demand = account.rate * HORIZON_S + 2 * account.largest
    return int(max(demand, budget * min(FIRST_PART, 0.5 / members)))


def plan_draws(
    purse: Purse, budgets: dict[str, int], members: int, now: float
) -> dict[str, int]:
    """Return what to draw now, by workspace.

    Args:
        purse: What is held.
        budgets: Each workspace's whole budget in tokens.
        members: Routers that draw on the same budgets.
        now: Monotonic time in seconds.
    """
    amounts: dict[str, int] = {}
    for workspace, budget in budgets.items():
        account = rated(account_of(purse, workspace), 0, now)
        wanted = target(account, budget, members)
        if account.free >= wanted * LOW_WATER:
            continue
        left = max(0, budget - account.drawn)
        fair = int(left * LEFT_PART / members) + account.largest
        amount = min(wanted - account.free, fair, left)
        if amount > 0:
            amounts[workspace] = amount
    return amounts


def return_free(purse: Purse) -> tuple[Purse, dict[str, int]]:
    """Take out all that is free; return it as the amounts of a draw."""
    amounts: dict[str, int] = {}
    for workspace, account in purse.accounts.items():
        if account.free > 0:
            amounts[workspace] = -account.free
            purse = put(purse, workspace, replace(account, free=0))
    return purse, amounts


def give(purse: Purse, workspace: str, tokens: int) -> tuple[Purse, int]:
    """Give tokens to another router; they leave this purse for good."""
    account = account_of(purse, workspace)
    given = min(tokens, int(account.free * GIFT_PART))
    account = replace(account, free=account.free - given)
    return put(purse, workspace, account), given


def covered(
    drawn: dict[str, int], amounts: dict[str, int], budgets: dict[str, int]
) -> dict[str, int]:
    """Cut the amounts of a draw to what the budgets still cover."""
    granted: dict[str, int] = {}
    for workspace, amount in amounts.items():
        before = drawn.get(workspace, 0)
        left = max(0, budgets.get(workspace, 0) - before)
        granted[workspace] = min(amount, left) if amount > 0 else max(amount, -before)
    return granted
