"""How many tokens a router holds of each budget, and how much of it may be spent.

The ledger in the store counts, for each workspace, the tokens that routers have
drawn. A router draws before it promises: the count is raised by compare-and-swap
and never exceeds the budget.

A router holds enough for a long outage of the store. So that this is not lost when
its process dies, it stores a record of what it may have spent: a bound that grows
with the time since the record. It keeps to the bound until `WIDEN_S` after the last
record, and then spends all that it holds. A record that may or may not be stored
binds as one that is.

The next process on the same host gives back what lies above the bound, if it knows
that its predecessor, which is dead, cannot have lived until `WIDEN_S`. Two clocks
must say so: the record's lease, which the store ends by then unless the store itself
stood still, and the host's time of day, unless it was set back. Where the host was
not started anew, its steady clock must say so as well.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from hawthornstage.messages.draws import Bound, Moment, Record, StoreRecord

# Demand that a router holds ahead, in seconds.
HORIZON_S = 18.0
# It draws again when it holds less than this part of that.
LOW_WATER = 0.85
# Part of a budget that a router holds before it knows its demand.
FIRST_PART = 0.03
# Part of a fair share of what is left in the ledger that one draw may take.
LEFT_PART = 0.5
# Time over which demand is averaged, in seconds.
DEMAND_TAU_S = 5.0
# Weight of a call in the average size of calls.
SIZE_WEIGHT = 0.1
# Size of a call before any was seen, in tokens.
FIRST_SIZE = 5_000.0
# Routers hold less when less than this part of a budget is left in the ledger.
SCARCE_PART = 0.6
# They hold nothing ahead, and draw for each call, when less than this part is left.
LAST_PART = 0.05
# A router gives back what exceeds its target by this part and an average call.
SURPLUS_PART = 0.3
# Part of what is free that a router gives to another one at a time.
GIFT_PART = 0.5
# Time after the last record at which a router may spend all that it holds, in
# seconds.
WIDEN_S = 3.8
# Lease of a record, in seconds.
LEASE_S = 3.5
# Added to a predecessor's life as the time of day tells it, in seconds.
WALL_MARGIN_S = 0.2
# A steady clock that went on by more than this since a record has started anew, in
# seconds.
SAME_START_S = 60.0
# Demand that a record allows at once, in seconds, and in calls of average size.
BOUND_AHEAD_S = 1.0
BOUND_CALLS = 1.2
# These and the growth fall to the first part as less than the second part of the
# budget is left in the ledger.
BOUND_LEAST_PART = 0.2
BOUND_SCARCE_PART = 0.6
# Growth of the bound, as a multiple of the demand.
BOUND_GROWTH = 1.2
# A router that uses its even share of a budget would use it up in this time, in
# seconds; the bound grows at least as if it did.
EVEN_SHARE_S = 100.0


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
    stored: Record | None = None
    sent: Record | None = None


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


def bound_at(record: Record, workspace: str, now: float) -> float:
    """Return what a record allows at a time of its own clock."""
    age = now - record.at
    if age >= WIDEN_S:
        return math.inf
    bound = record.bounds.get(workspace)
    return 0.0 if bound is None else bound.base + bound.slope * age


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


def plan_draws(
    purse: Purse,
    budgets: dict[str, int],
    routers: int,
    *,
    wanted: dict[str, int],
    ahead: bool,
    now: float,
) -> dict[str, int]:
    """Return what to draw now, by workspace; negative amounts go back.

    Args:
        purse: What is held.
        budgets: Each workspace's whole budget in tokens.
        routers: Routers that draw on the same budgets.
        wanted: What calls wait for, by workspace.
        ahead: Whether to hold more than that.
        now: Monotonic time in seconds.
    """
    amounts: dict[str, int] = {}
    for workspace, budget in budgets.items():
        account = account_of(purse, workspace)
        aim = target(account, budget, routers, now) if ahead else 0
        left = max(0, budget - account.drawn)
        waited = wanted.get(workspace, 0)
        needed = waited - account.free
        surplus = account.free - max(aim, waited)
        kept = aim * SURPLUS_PART + account.size if aim else 0
        if needed > 0 or account.free < aim * LOW_WATER:
            fair = int(left * LEFT_PART / routers + account.size)
            # What is left may be more than is known; the ledger has the last word.
            amount = max(min(aim - account.free, fair, left), needed)
        elif surplus > kept:
            amount = -surplus
        else:
            amount = 0
        if amount:
            amounts[workspace] = amount
    return amounts


def target(account: Account, budget: int, routers: int, now: float) -> int:
    """Return how many free tokens a router should hold.

    The less there is left in the ledger, the less a router holds: tokens that lie
    unused at one router are missing at the others.
    """
    ahead = account.rate_at(now) * HORIZON_S + 2 * account.size
    first = budget * min(FIRST_PART, 0.5 / routers)
    return int(max(ahead, first) * plenty(account, budget, SCARCE_PART))


def plenty(account: Account, budget: int, scarce_part: float) -> float:
    """Return 1 while the ledger holds more than a part of a budget, falling to 0."""
    if not budget:
        return 0.0
    left = (budget - account.drawn) / budget
    return min(1.0, max(0.0, (left - LAST_PART) / (scarce_part - LAST_PART)))


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


def make_record(
    purse: Purse,
    budgets: dict[str, int],
    routers: int,
    *,
    wanted: dict[str, int],
    mark: str,
    now: float,
    wall: float,
) -> Record:
    """Return a record of what is held and may be spent from now on.

    Args:
        purse: What is held.
        budgets: Each workspace's whole budget in tokens.
        routers: Routers that draw on the same budgets.
        wanted: What calls wait for, by workspace.
        mark: Unique to this record.
        now: Monotonic time in seconds.
        wall: The host's time of day in seconds.
    """
    bounds: dict[str, Bound] = {}
    for workspace, budget in budgets.items():
        account = account_of(purse, workspace)
        even = budget / routers / EVEN_SHARE_S
        rate = max(account.rate_at(now), even)
        if plenty(account, budget, SCARCE_PART) == 0.0:
            # Each call is drawn for, so that a crash strands nothing.
            rate = ahead = 0.0
        else:
            # What a crash strands hurts more the less there is left.
            part = max(BOUND_LEAST_PART, plenty(account, budget, BOUND_SCARCE_PART))
            rate *= part
            ahead = rate * BOUND_AHEAD_S + account.size * BOUND_CALLS * part
        taken = account.spent + account.open + wanted.get(workspace, 0)
        bounds[workspace] = Bound(taken + int(ahead), rate * BOUND_GROWTH)
    granted = {name: each.granted for name, each in purse.accounts.items()}
    gifted = {name: each.gifted for name, each in purse.accounts.items()}
    return Record(mark, now, wall, granted, gifted, bounds)


def with_draw(record: Record, granted: dict[str, int]) -> Record:
    """Return a record with a draw in it; what goes back is out of it already."""
    totals = dict(record.granted)
    for workspace, tokens in granted.items():
        totals[workspace] = totals.get(workspace, 0) + max(0, tokens)
    return replace(record, granted=totals)


def left_over(record: Record, death: Moment) -> dict[str, int]:
    """Return what a dead predecessor on this host cannot have spent.

    The time of day may have been set back, so the longer life of the two clocks
    counts. But the steady clock starts anew with the host; a reading far from the
    record says only that.

    Args:
        record: Its last record, whose lease had not ended.
        death: When the predecessor was dead for certain.
    """
    life = death.wall - record.wall
    if life < 0:
        return {}
    steady = death.steady - record.at
    if steady < SAME_START_S:
        life = max(life, steady)
    last = record.at + life + WALL_MARGIN_S
    left: dict[str, int] = {}
    for workspace, granted in record.granted.items():
        spent = min(float(granted), bound_at(record, workspace, last))
        if granted > spent:
            left[workspace] = int(granted - spent)
    return left


def return_free(purse: Purse) -> tuple[Purse, dict[str, int]]:
    """Take out all that is free, to give it back."""
    free = {name: each.free for name, each in purse.accounts.items() if each.free > 0}
    return take_out(purse, {name: -tokens for name, tokens in free.items()}), free


def covered(
    drawn: dict[str, int], wanted: StoreRecord, amounts: dict[str, int]
) -> dict[str, int]:
    """Cut the amounts of a draw to what the budgets still cover.

    A draw that does not suffice for the calls that wait is not made: another router
    may have use for what is left.

    Args:
        drawn: Tokens drawn by all routers, by workspace.
        wanted: The draw, with the budgets and the least that is of use.
        amounts: Those of its amounts that there is room for.
    """
    granted: dict[str, int] = {}
    for workspace, amount in amounts.items():
        left = wanted.budgets.get(workspace, 0) - drawn.get(workspace, 0)
        least = wanted.least.get(workspace, 1)
        if amount < 0:
            granted[workspace] = amount
        elif left >= least:
            granted[workspace] = min(amount, left)
    return granted
