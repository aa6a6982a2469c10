"""How much a router draws, what its record allows, and what a dead one left.

A router holds enough for a long outage of the store while a budget is plentiful, and
nothing ahead once it is nearly used: tokens that lie unused at one router are missing
at the others, and a death strands them.

So that what it holds is not lost when its process dies, it stores a record of what it
may have spent: a bound that grows with the time since the record. The next process on
the same host gives back what lies above the bound, if it knows that its predecessor,
which is dead, cannot have lived longer than it assumes. The host's time of day says how
long, and its steady clock too where the host was not started anew. As the time of day
may have been set back, the record's lease says it as well: the store ends it before
`LATE_AFTER_S`, unless the store itself stood still.
"""

from __future__ import annotations

from dataclasses import replace

from hawthornstage.decisions.draws import (
    LATE_AFTER_S,
    Account,
    Purse,
    account_of,
    bound_at,
)
from hawthornstage.messages.draws import (
    ClockReading,
    RouterRecord,
    SpendingBound,
    WriteRecord,
)

# Demand that a router holds ahead, in seconds.
HORIZON_S = 12.0
# It draws again when it holds less than this part of that.
LOW_WATER = 0.85
# Part of a budget that a router holds before it knows its demand.
FIRST_PART = 0.02
# Part of a fair share of what is left in the ledger that one draw may take.
LEFT_PART = 0.5
# A budget gets scarce when less than this part of it is left in the ledger: routers
# hold less, and their records allow less.
SCARCE_PART = 0.6
# They hold nothing ahead, and draw for each call, when less than this part is left.
LAST_PART = 0.05
# A router gives back what exceeds its target by this part and an average call.
SURPLUS_PART = 0.3
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
# These and the growth fall to this part as a budget gets scarce.
BOUND_LEAST_PART = 0.2
# Growth of the bound, as a multiple of the demand.
BOUND_GROWTH = 1.2
# The same in an outage that outlasts the record's lease.
LATE_GROWTH = 1.5
# Further time after which all that is held may be spent, in seconds.
LATE_S = 8.0
# A router that uses its even share of a budget would use it up in this time, in
# seconds; the bound grows at least as if it did.
EVEN_SHARE_S = 100.0


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
    return int(max(ahead, first) * supply_factor(account, budget))


def supply_factor(account: Account, budget: int) -> float:
    """Return 1 while a budget is not scarce, falling to 0 as it is nearly used."""
    if not budget:
        return 0.0
    left = (budget - account.drawn) / budget
    return min(1.0, max(0.0, (left - LAST_PART) / (SCARCE_PART - LAST_PART)))


def make_record(
    purse: Purse,
    budgets: dict[str, int],
    routers: int,
    *,
    wanted: dict[str, int],
    mark: str,
    now: float,
    wall: float,
) -> RouterRecord:
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
    bounds: dict[str, SpendingBound] = {}
    for workspace, budget in budgets.items():
        account = account_of(purse, workspace)
        even = budget / routers / EVEN_SHARE_S
        rate = max(account.rate_at(now), even)
        # What a crash strands hurts more the less there is left; in the end each call
        # is drawn for, and nothing is stranded.
        part = supply_factor(account, budget)
        part = max(BOUND_LEAST_PART, part) if part else 0.0
        ahead = (rate * BOUND_AHEAD_S + account.size * BOUND_CALLS) * part
        taken = account.spent + account.open + wanted.get(workspace, 0)
        bounds[workspace] = SpendingBound(
            base=taken + int(ahead),
            slope=rate * part * BOUND_GROWTH,
            late_slope=max(rate * LATE_GROWTH, account.free / LATE_S),
        )
    granted = {name: each.granted for name, each in purse.accounts.items()}
    gifted = {name: each.gifted for name, each in purse.accounts.items()}
    return RouterRecord(mark, now, wall, granted, gifted, bounds)


def with_draw(record: RouterRecord, granted: dict[str, int]) -> RouterRecord:
    """Return a record with a draw in it; what goes back is out of it already."""
    totals = dict(record.granted)
    for workspace, tokens in granted.items():
        totals[workspace] = totals.get(workspace, 0) + max(0, tokens)
    return replace(record, granted=totals)


def left_over(record: RouterRecord, death: ClockReading) -> dict[str, int]:
    """Return what a dead predecessor on this host cannot have spent.

    The time of day may have been set back, so the longer life of the two clocks
    counts. But the steady clock starts anew with the host; a reading far from the
    record says only that. Then the record's lease must confirm the time of day, which
    it cannot where the store let it live on.

    Args:
        record: Its last record, whose lease had not ended.
        death: When the predecessor was dead for certain.
    """
    life = death.wall - record.wall
    if life < 0:
        return {}
    monotonic = death.monotonic - record.at
    if 0 <= monotonic < SAME_START_S:
        life = max(life, monotonic)
    elif life >= LATE_AFTER_S:
        return {}
    last = record.at + life + WALL_MARGIN_S
    left: dict[str, int] = {}
    for workspace, granted in record.granted.items():
        spent = min(float(granted), bound_at(record, workspace, last))
        if granted > spent:
            left[workspace] = int(granted - spent)
    return left


def covered(
    drawn: dict[str, int], wanted: WriteRecord, amounts: dict[str, int]
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
        minimum = wanted.minimum.get(workspace, 1)
        if amount < 0:
            granted[workspace] = amount
        elif left >= minimum:
            granted[workspace] = min(amount, left)
    return granted
