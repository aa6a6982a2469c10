"""The tokens that a router holds of each budget, and how much of them it may spend.

The ledger in the store counts, for each workspace, the tokens that routers have
drawn. A router draws before it promises: the count is raised by compare-and-swap
and never exceeds the budget.

A router keeps to the bound of its last record. The bound grows faster from
`LATE_AFTER_S` after the record on, when an outage has outlasted its lease. A record
that may or may not be stored binds as one that is.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from hawthornstage.messages.draws import RouterRecord

# Time over which demand is averaged, in seconds.
DEMAND_TAU_S = 5.0
# Weight of a call in the average size of calls.
SIZE_WEIGHT = 0.1
# Size of a call before any was seen, in tokens.
FIRST_SIZE = 5_000.0
# Part of what is free that a router gives to another one at a time.
GIFT_PART = 0.5
# Time after a record from which its bound grows faster, in seconds; longer than its
# lease.
LATE_AFTER_S = 3.8


@dataclass(frozen=True)
class Account:
    """One workspace's tokens at this router.

    Args:
        granted: Tokens that it was given, by the ledger or by other routers.
        gifted: Those of them that came from other routers.
        spent: Tokens that calls have used, or that went to other routers.
        open: Tokens that are set aside for calls.
        rate: Tokens used a second, averaged.
        rated_at: Monotonic time of the average.
        size: Average size of a call, in tokens.
        drawn: Tokens drawn by all routers, as far as it is known.
    """

    granted: int = 0
    gifted: int = 0
    spent: int = 0
    open: int = 0
    rate: float = 0.0
    rated_at: float = 0.0
    size: float = FIRST_SIZE
    drawn: int = 0

    @property
    def free(self) -> int:
        """Tokens that no call has."""
        return self.granted - self.spent - self.open

    def rate_at(self, now: float) -> float:
        """Return the demand as it has faded until now, in tokens a second."""
        return self.rate * math.exp(-max(0.0, now - self.rated_at) / DEMAND_TAU_S)


@dataclass(frozen=True)
class Purse:
    """All that a router holds.

    Args:
        accounts: By workspace.
        stored: The last record that is known to be stored.
        sent: A record that may be stored, or may still be.
    """

    accounts: dict[str, Account] = field(default_factory=dict)
    stored: RouterRecord | None = None
    sent: RouterRecord | None = None


def account_of(purse: Purse, workspace: str) -> Account:
    """Return a workspace's account."""
    return purse.accounts.get(workspace) or Account()


def put(purse: Purse, workspace: str, account: Account) -> Purse:
    """Replace a workspace's account."""
    return replace(purse, accounts={**purse.accounts, workspace: account})


def limit(purse: Purse, workspace: str, now: float) -> float:
    """Return the most that may be spent or set aside of a budget until now.

    What other routers gave since a record is not in it, and so may be spent beyond.
    """
    gifted = account_of(purse, workspace).gifted
    records = [each for each in (purse.stored, purse.sent) if each is not None]
    limits = (
        bound_at(each, workspace, now) + gifted - each.gifted.get(workspace, 0)
        for each in records
    )
    return min(limits, default=0.0)


def bound_at(record: RouterRecord, workspace: str, now: float) -> float:
    """Return what a record allows at a time of its own clock."""
    bound = record.bounds.get(workspace)
    if bound is None:
        return 0.0
    age = now - record.at
    late = max(0.0, age - LATE_AFTER_S)
    return bound.base + bound.slope * (age - late) + bound.late_slope * late


def room(purse: Purse, workspace: str, now: float) -> float:
    """Return the tokens that may be set aside now."""
    account = account_of(purse, workspace)
    allowed = limit(purse, workspace, now) - account.spent - account.open
    return min(account.free, allowed)


def set_aside(
    purse: Purse, workspace: str, tokens: int, now: float
) -> tuple[Purse, bool]:
    """Set tokens aside for a call; False if there is no room for them."""
    if room(purse, workspace, now) < tokens:
        return purse, False
    account = account_of(purse, workspace)
    size = account.size + SIZE_WEIGHT * (tokens - account.size)
    account = replace(account, open=account.open + tokens, size=size)
    return put(purse, workspace, account), True


def use(purse: Purse, workspace: str, reserved: int, used: int, now: float) -> Purse:
    """Note that a call has ended, and what it used."""
    account = account_of(purse, workspace)
    account = replace(
        account,
        spent=account.spent + used,
        open=account.open - reserved,
        rate=account.rate_at(now) + used / DEMAND_TAU_S,
        rated_at=now,
    )
    return put(purse, workspace, account)


def take_drawn(purse: Purse, granted: dict[str, int]) -> Purse:
    """Take in what was drawn from the ledger."""
    for workspace, tokens in granted.items():
        account = account_of(purse, workspace)
        account = replace(account, granted=account.granted + tokens)
        purse = put(purse, workspace, account)
    return purse


def take_totals(purse: Purse, drawn: dict[str, int]) -> Purse:
    """Take in what all routers have drawn."""
    for workspace, tokens in drawn.items():
        account = replace(account_of(purse, workspace), drawn=tokens)
        purse = put(purse, workspace, account)
    return purse


def take_gift(purse: Purse, workspace: str, tokens: int) -> Purse:
    """Take in what another router has given."""
    account = account_of(purse, workspace)
    account = replace(
        account, granted=account.granted + tokens, gifted=account.gifted + tokens
    )
    return put(purse, workspace, account)


def give(purse: Purse, workspace: str, tokens: int, now: float) -> tuple[Purse, int]:
    """Give tokens to another router; here they count as spent."""
    account = account_of(purse, workspace)
    spare = min(room(purse, workspace, now), account.free * GIFT_PART)
    given = max(0, min(tokens, int(spare)))
    account = replace(account, spent=account.spent + given)
    return put(purse, workspace, account), given


def hand_over(purse: Purse, now: float) -> tuple[Purse, dict[str, int]]:
    """Take out all that may be given to another router; here it counts as spent."""
    amounts: dict[str, int] = {}
    for workspace, account in purse.accounts.items():
        spare = int(room(purse, workspace, now))
        if spare > 0:
            amounts[workspace] = spare
            purse = put(purse, workspace, replace(account, spent=account.spent + spare))
    return purse, amounts


def take_out(purse: Purse, amounts: dict[str, int]) -> Purse:
    """Take out what is to go back to the ledger: the negative amounts."""
    for workspace, amount in amounts.items():
        if amount < 0:
            purse = take_drawn(purse, {workspace: amount})
    return purse


def put_back(purse: Purse, amounts: dict[str, int]) -> Purse:
    """Undo `take_out`, because the ledger did not take it."""
    returned = {name: -amount for name, amount in amounts.items() if amount < 0}
    return take_drawn(purse, returned)


def return_free(purse: Purse) -> tuple[Purse, dict[str, int]]:
    """Take out all that is free, to give it back."""
    free = {name: each.free for name, each in purse.accounts.items() if each.free > 0}
    return take_out(purse, {name: -tokens for name, tokens in free.items()}), free
