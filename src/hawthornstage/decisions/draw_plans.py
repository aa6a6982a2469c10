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
    TokenAccount,
    TokenAccounts,
    account_of,
    bound_at,
)
from hawthornstage.messages.draws import Bound, Moment, Record, StoreRecord

# Demand that a router holds ahead, in seconds.
HORIZON_S = 12.0
# It draws again when it holds less than this part of that.
LOW_WATER_FRACTION = 0.85
# Part of a budget that a router holds before it knows its demand.
INITIAL_BUDGET_FRACTION = 0.02
# Part of a fair share of what is left in the ledger that one draw may take.
MAX_DRAW_FRACTION = 0.5
# A budget gets scarce when less than this part of it is left in the ledger: routers
# hold less, and their records allow less.
SCARCE_FRACTION = 0.6
# They hold nothing ahead, and draw for each call, when less than this part is left.
DRAW_PER_CALL_FRACTION = 0.05
# A router gives back what exceeds its target by this part and an average call.
SURPLUS_FRACTION = 0.3
# Lease of a record, in seconds.
LEASE_S = 3.5
# Added to a predecessor's life as the time of day tells it, in seconds.
WALL_CLOCK_MARGIN_S = 0.2
# A steady clock that went on by more than this since a record has started anew, in
# seconds.
SAME_BOOT_MAX_S = 60.0
# Demand that a record allows at once, in seconds, and in calls of average size.
BOUND_HEADROOM_S = 1.0
BOUND_HEADROOM_CALLS = 1.2
# These and the growth fall to this part as a budget gets scarce.
BOUND_MIN_FRACTION = 0.2
# Growth of the bound, as a multiple of the demand.
BOUND_GROWTH = 1.2
# The same in an outage that outlasts the record's lease.
OUTAGE_BOUND_GROWTH = 1.5
# Further time after which all that is held may be spent, in seconds.
OUTAGE_SPEND_S = 8.0
# A router that uses its even share of a budget would use it up in this time, in
# seconds; the bound grows at least as if it did.
EVEN_SHARE_DURATION_S = 100.0


def plan_draws(
    token_accounts: TokenAccounts,
    budgets: dict[str, int],
    routers: int,
    *,
    wanted: dict[str, int],
    ahead: bool,
    now: float,
) -> dict[str, int]:
    """Return what to draw now, by workspace; negative amounts go back.

    Args:
        token_accounts: What is held.
        budgets: Each workspace's whole budget in tokens.
        routers: Routers that draw on the same budgets.
        wanted: What calls wait for, by workspace.
        ahead: Whether to hold more than that.
        now: Monotonic time in seconds.
    """
    amounts: dict[str, int] = {}
    for workspace, budget in budgets.items():
        account = account_of(token_accounts, workspace)
        target_free = target_tokens(account, budget, routers, now) if ahead else 0
        left = max(0, budget - account.drawn)
        waiting_tokens = wanted.get(workspace, 0)
        needed = waiting_tokens - account.free
        surplus = account.free - max(target_free, waiting_tokens)
        allowed_surplus = (
            target_free * SURPLUS_FRACTION + account.mean_call_tokens
            if target_free
            else 0
        )
        if needed > 0 or account.free < target_free * LOW_WATER_FRACTION:
            fair_amount = int(
                left * MAX_DRAW_FRACTION / routers + account.mean_call_tokens
            )
            # What is left may be more than is known; the ledger has the last word.
            amount = max(min(target_free - account.free, fair_amount, left), needed)
        elif surplus > allowed_surplus:
            amount = -surplus
        else:
            amount = 0
        if amount:
            amounts[workspace] = amount
    return amounts


def target_tokens(account: TokenAccount, budget: int, routers: int, now: float) -> int:
    """Return how many free tokens a router should hold.

    The less there is left in the ledger, the less a router holds: tokens that lie
    unused at one router are missing at the others.
    """
    ahead = account.rate_at(now) * HORIZON_S + 2 * account.mean_call_tokens
    first = budget * min(INITIAL_BUDGET_FRACTION, 0.5 / routers)
    return int(max(ahead, first) * supply_factor(account, budget))


def supply_factor(account: TokenAccount, budget: int) -> float:
    """Return 1 while a budget is not scarce, falling to 0 as it is nearly used."""
    if not budget:
        return 0.0
    left = (budget - account.drawn) / budget
    return min(
        1.0,
        max(
            0.0,
            (left - DRAW_PER_CALL_FRACTION)
            / (SCARCE_FRACTION - DRAW_PER_CALL_FRACTION),
        ),
    )


def make_record(
    token_accounts: TokenAccounts,
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
        token_accounts: What is held.
        budgets: Each workspace's whole budget in tokens.
        routers: Routers that draw on the same budgets.
        wanted: What calls wait for, by workspace.
        mark: Unique to this record.
        now: Monotonic time in seconds.
        wall: The host's time of day in seconds.
    """
    bounds: dict[str, Bound] = {}
    for workspace, budget in budgets.items():
        account = account_of(token_accounts, workspace)
        even_rate = budget / routers / EVEN_SHARE_DURATION_S
        rate = max(account.rate_at(now), even_rate)
        # What a crash strands hurts more the less there is left; in the end each call
        # is drawn for, and nothing is stranded.
        part = supply_factor(account, budget)
        part = max(BOUND_MIN_FRACTION, part) if part else 0.0
        ahead = (
            rate * BOUND_HEADROOM_S + account.mean_call_tokens * BOUND_HEADROOM_CALLS
        ) * part
        committed = account.spent + account.open + wanted.get(workspace, 0)
        bounds[workspace] = Bound(
            base=committed + int(ahead),
            slope=rate * part * BOUND_GROWTH,
            late_slope=max(rate * OUTAGE_BOUND_GROWTH, account.free / OUTAGE_SPEND_S),
        )
    granted = {name: each.granted for name, each in token_accounts.accounts.items()}
    gifted = {name: each.gifted for name, each in token_accounts.accounts.items()}
    return Record(mark, now, wall, granted, gifted, bounds)


def add_draw_to_record(record: Record, granted: dict[str, int]) -> Record:
    """Return a record with a draw in it; what goes back is out of it already."""
    totals = dict(record.granted)
    for workspace, tokens in granted.items():
        totals[workspace] = totals.get(workspace, 0) + max(0, tokens)
    return replace(record, granted=totals)


def reclaimable_tokens(record: Record, death: Moment) -> dict[str, int]:
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
    steady = death.steady - record.at
    if 0 <= steady < SAME_BOOT_MAX_S:
        life = max(life, steady)
    elif life >= LATE_AFTER_S:
        return {}
    last = record.at + life + WALL_CLOCK_MARGIN_S
    left: dict[str, int] = {}
    for workspace, granted in record.granted.items():
        spent = min(float(granted), bound_at(record, workspace, last))
        if granted > spent:
            left[workspace] = int(granted - spent)
    return left


def cap_to_budgets(
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
