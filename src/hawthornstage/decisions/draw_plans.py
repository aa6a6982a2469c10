"""Size of draws, spending bounds of records, and recovery after a crash.

While a budget is plentiful, a router holds enough tokens for a long outage of the
store. Once the budget is nearly used, it holds no spare tokens: tokens that lie unused
at one router are missing at the others, and are stranded if its process dies.

To recover the tokens of a dead process, each router stores a record with an upper bound
of its spending that grows with the time since the record. The next process on the same
host returns the tokens above the bound, if it knows an upper limit of its dead
predecessor's lifetime. That limit comes from the host's time of day, and from its
monotonic clock if the host has not rebooted. As the time of day may have been set back,
it needs a confirmation: a marker in the store, written with the record under a lease
that ends before the record is late unless the store itself was stopped, or a monotonic
clock that agrees.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, replace

from hawthornstage.decisions.draws import (
    TokenAccount,
    TokenAccounts,
    account_of,
    bound_at,
)
from hawthornstage.messages.draws import (
    ClockReading,
    RouterRecord,
    SpendingBound,
    WriteRecord,
)

# Spare tokens that a router holds beyond its demand until the next record, as seconds
# of its demand: an outage of the store may last 9 s.
OUTAGE_HORIZON_S = 11.1
# A router draws again when it holds less than this fraction of its target.
LOW_WATER_FRACTION = 0.85
# Fraction of a budget that a router holds before it knows its demand.
INITIAL_BUDGET_FRACTION = 0.02
# Largest draw, as a fraction of an equal share of what is left in the ledger.
MAX_DRAW_FRACTION = 0.5
# A budget is scarce when less than this fraction of it is left in the ledger: routers
# then hold fewer tokens, and their records allow less spending.
SCARCE_FRACTION = 0.6
# Routers hold no spare tokens and draw for each call when less than this fraction of
# the budget is left in the ledger.
DRAW_PER_CALL_FRACTION = 0.05
# A router returns its surplus when that exceeds this fraction of the target plus an
# average call.
SURPLUS_FRACTION = 0.3
# Time whose demand a router asks a holder for ahead, in seconds, and the fewest calls
# in that time with which it does so.
AHEAD_S = 1.0
MIN_CALLS_AHEAD = 2.0
# Records that all routers together store regularly, per second, and the shortest and
# longest interval of one router's records, in seconds.
FLEET_RECORDS_PER_S = 9.0
MIN_RECORD_INTERVAL_S = 0.9
MAX_RECORD_INTERVAL_S = 5.4
# Time after the next record's due time from which a record is late, in seconds: a write
# may be slow, and a process that dies needs time to start again.
LATE_MARGIN_S = 2.9
# Time by which the lease of a record ends before the record is late, in seconds.
LEASE_MARGIN_S = 0.3
# A draw does not wait for the next record when less than this fraction of the target is
# held.
URGENT_FRACTION = 0.5
# Margin added to a predecessor's estimated lifetime, in seconds.
WALL_CLOCK_MARGIN_S = 0.2
# Largest difference between two clocks that agree on a lifetime, in seconds.
MAX_CLOCK_DIFFERENCE_S = 0.5
# If the monotonic clock differs from a record by more than this, the host is assumed
# to have rebooted, in seconds.
SAME_BOOT_MAX_S = 60.0
# Spending that a record allows at once: seconds of demand plus calls of average size.
BOUND_HEADROOM_S = 1.0
BOUND_HEADROOM_CALLS = 1.2
# Further headroom until the next record where records are rare, in standard deviations
# of the demand until then.
BOUND_HEADROOM_DEVIATIONS = 1.5
# Lowest fraction to which this headroom and the growth fall as a budget gets scarce.
BOUND_MIN_FRACTION = 0.2
# Growth of the bound, as a multiple of the demand.
BOUND_GROWTH = 1.2
# The same multiple in an outage that outlasts the record's lease.
OUTAGE_BOUND_GROWTH = 1.5
# Further time until all tokens held may be spent in such an outage, in seconds.
OUTAGE_SPEND_S = 8.0
# Time in which a router would spend an equal share of the budget at the lowest growth
# of the bound, in seconds.
EVEN_SHARE_DURATION_S = 100.0


@dataclass(frozen=True)
class DrawTerms:
    """How the routers of a fleet share its budgets and the store.

    Args:
        routers: Routers that store records.
        holders: Routers that hold spare tokens of one workspace.
    """

    routers: int
    holders: int

    @property
    def record_interval_s(self) -> float:
        """Interval of one router's records, in seconds.

        It has few values, as a change of it costs a new lease.
        """
        steps = math.ceil(self.routers / FLEET_RECORDS_PER_S / MIN_RECORD_INTERVAL_S)
        return min(MAX_RECORD_INTERVAL_S, max(1, steps) * MIN_RECORD_INTERVAL_S)

    @property
    def late_after_s(self) -> float:
        """Age from which a record is late, in seconds."""
        return self.record_interval_s + LATE_MARGIN_S

    @property
    def horizon_s(self) -> float:
        """Spare tokens that a router holds, as seconds of its demand."""
        return self.record_interval_s + OUTAGE_HORIZON_S

    def deviation(self, account: TokenAccount, rate: float) -> float:
        """Return the standard deviation of the demand until the next record, in tokens.

        Calls come at random. The shortest interval needs no such allowance.

        Args:
            account: The account, whose calls have some average size.
            rate: Its demand in tokens per second.
        """
        seconds = self.record_interval_s - MIN_RECORD_INTERVAL_S
        return math.sqrt(rate * account.mean_call_tokens * seconds)


def plan_draws(
    token_accounts: TokenAccounts,
    budgets: dict[str, int],
    terms: DrawTerms,
    *,
    wanted: dict[str, int],
    held: Collection[str],
    keep_rests: bool,
    now: float,
) -> dict[str, int]:
    """Return the tokens to draw now, by workspace; negative amounts are returned.

    Args:
        token_accounts: What is held.
        budgets: Each workspace's whole budget in tokens.
        terms: How the budgets are shared.
        wanted: Tokens that waiting calls need, by workspace.
        held: Workspaces of which this router holds spare tokens beyond that.
        keep_rests: Whether the rests of calls, which are less than a call, are kept for
            the next one where this router holds no spare tokens. Returning each would
            cost a write that races with the holders'.
        now: Monotonic time in seconds.
    """
    amounts: dict[str, int] = {}
    for workspace, budget in budgets.items():
        account = account_of(token_accounts, workspace)
        ahead = workspace in held
        target_free = target_tokens(account, budget, terms, now) if ahead else 0
        left = max(0, budget - account.drawn)
        waiting_tokens = wanted.get(workspace, 0)
        needed = waiting_tokens - account.free
        surplus = account.free - max(target_free, waiting_tokens)
        allowed_surplus = 0.0
        if target_free:
            allowed_surplus = target_free * SURPLUS_FRACTION + account.mean_call_tokens
        elif keep_rests and not ahead:
            allowed_surplus = account.mean_call_tokens
            allowed_surplus += tokens_ahead(account, budget, now)
        if needed > 0 or account.free < target_free * LOW_WATER_FRACTION:
            fair_amount = int(
                left * MAX_DRAW_FRACTION / terms.holders + account.mean_call_tokens
            )
            # `left` may be outdated and too low; the ledger checks the amount itself.
            amount = max(min(target_free - account.free, fair_amount, left), needed)
        elif surplus > allowed_surplus:
            amount = -surplus
        else:
            amount = 0
        if amount:
            amounts[workspace] = amount
    return amounts


def is_urgent(
    token_accounts: TokenAccounts,
    budgets: dict[str, int],
    terms: DrawTerms,
    amounts: dict[str, int],
    *,
    wanted: dict[str, int],
    now: float,
) -> bool:
    """Whether planned draws are made at once instead of with the next record.

    In a small fleet they always are, as the next record is due soon anyway.

    Args:
        token_accounts: What is held.
        budgets: Each workspace's whole budget in tokens.
        terms: How the budgets are shared.
        amounts: The planned draws, by workspace.
        wanted: Tokens that waiting calls need, by workspace.
        now: Monotonic time in seconds.
    """
    for workspace, amount in amounts.items():
        if amount <= 0:
            continue
        account = account_of(token_accounts, workspace)
        target = target_tokens(account, budgets[workspace], terms, now)
        if (
            terms.record_interval_s <= MIN_RECORD_INTERVAL_S
            or workspace in wanted
            or account.free < target * URGENT_FRACTION
        ):
            return True
    return False


def target_tokens(
    account: TokenAccount, budget: int, terms: DrawTerms, now: float
) -> int:
    """Return how many free tokens a router should hold.

    The target falls with the tokens left in the ledger, as tokens unused at one router
    are missing at the others.
    """
    spare_tokens = account.rate_at(now) * terms.horizon_s + 2 * account.mean_call_tokens
    initial_tokens = budget * min(INITIAL_BUDGET_FRACTION, 0.5 / terms.holders)
    return int(max(spare_tokens, initial_tokens) * supply_factor(account, budget))


def tokens_ahead(account: TokenAccount, budget: int, now: float) -> int:
    """Return what a router that holds no spare tokens asks for beyond a call's tokens.

    Only a router with many calls of a workspace asks for more: each request delays its
    call, and a holder's refusal delays it further.
    """
    ahead = account.rate_at(now) * AHEAD_S
    if ahead < account.mean_call_tokens * MIN_CALLS_AHEAD:
        return 0
    return int(ahead * supply_factor(account, budget))


def supply_factor(account: TokenAccount, budget: int) -> float:
    """Return 1 while a budget is not scarce, falling to 0 as it runs out."""
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
    terms: DrawTerms,
    *,
    wanted: dict[str, int],
    mark: str,
    now: float,
    wall: float,
) -> RouterRecord:
    """Return a record of the tokens held and the spending allowed from now on.

    Args:
        token_accounts: What is held.
        budgets: Each workspace's whole budget in tokens.
        terms: How the budgets are shared.
        wanted: Tokens that waiting calls need, by workspace.
        mark: Unique id of this record.
        now: Monotonic time in seconds.
        wall: The host's time of day in seconds.
    """
    bounds: dict[str, SpendingBound] = {}
    for workspace, budget in budgets.items():
        account = account_of(token_accounts, workspace)
        even_rate = budget / terms.holders / EVEN_SHARE_DURATION_S
        rate = max(account.rate_at(now), even_rate)
        # Tokens stranded by a crash matter more the less is left. In the end, each call
        # draws its own tokens and none are stranded.
        fraction = supply_factor(account, budget)
        fraction = max(BOUND_MIN_FRACTION, fraction) if fraction else 0.0
        headroom = fraction * (
            rate * BOUND_HEADROOM_S
            + account.mean_call_tokens * BOUND_HEADROOM_CALLS
            + terms.deviation(account, rate) * BOUND_HEADROOM_DEVIATIONS
        )
        committed = account.spent + account.open + wanted.get(workspace, 0)
        bounds[workspace] = SpendingBound(
            base=committed + int(headroom),
            slope=rate * fraction * BOUND_GROWTH,
            late_slope=max(rate * OUTAGE_BOUND_GROWTH, account.free / OUTAGE_SPEND_S),
        )
    granted = {name: each.granted for name, each in token_accounts.accounts.items()}
    gifted = {name: each.gifted for name, each in token_accounts.accounts.items()}
    return RouterRecord(mark, now, wall, granted, gifted, bounds, terms.late_after_s)


def add_draw_to_record(record: RouterRecord, granted: dict[str, int]) -> RouterRecord:
    """Return a record with a draw added; returned tokens are already deducted."""
    totals = dict(record.granted)
    for workspace, tokens in granted.items():
        totals[workspace] = totals.get(workspace, 0) + max(0, tokens)
    return replace(record, granted=totals)


def reclaimable_tokens(
    record: RouterRecord, death: ClockReading, *, confirmed: bool
) -> dict[str, int]:
    """Return the tokens that a dead predecessor on this host cannot have spent.

    The time of day may have been set back, so the longer lifetime of the two clocks is
    used. The monotonic clock restarts when the host boots; a reading far from the
    record shows only that. Then the marker must confirm the time of day, and nothing is
    reclaimed if the store has kept the marker beyond its time. Without the marker, both
    clocks must agree.

    Args:
        record: The predecessor's last record.
        death: A moment at which the predecessor was certainly dead.
        confirmed: Whether the record's marker was still in the store.

    Returns:
        Tokens to return to the ledger, by workspace.
    """
    lifetime_s = death.wall - record.wall
    if lifetime_s < 0:
        return {}
    monotonic = death.monotonic - record.at
    agree = abs(monotonic - lifetime_s) <= MAX_CLOCK_DIFFERENCE_S
    if not confirmed and not (agree and monotonic < SAME_BOOT_MAX_S):
        return {}
    if 0 <= monotonic < SAME_BOOT_MAX_S:
        lifetime_s = max(lifetime_s, monotonic)
    elif lifetime_s >= record.late_after_s:
        return {}
    latest_end = record.at + lifetime_s + WALL_CLOCK_MARGIN_S
    unspent: dict[str, int] = {}
    for workspace, granted in record.granted.items():
        spent = min(float(granted), bound_at(record, workspace, latest_end))
        if granted > spent:
            unspent[workspace] = int(granted - spent)
    return unspent


def cap_to_budgets(
    drawn: dict[str, int], wanted: WriteRecord, amounts: dict[str, int]
) -> dict[str, int]:
    """Reduce the amounts of a draw to what is left of the budgets.

    A draw that is too small for any waiting call is not made, as another router may be
    able to use what is left.

    Args:
        drawn: Tokens drawn by all routers, by workspace.
        wanted: The draw, with the budgets and the smallest useful amounts.
        amounts: Its amounts by workspace, as far as they fit into one write.
    """
    granted: dict[str, int] = {}
    for workspace, amount in amounts.items():
        remaining = wanted.budgets.get(workspace, 0) - drawn.get(workspace, 0)
        minimum = wanted.minimum.get(workspace, 1)
        if amount < 0:
            granted[workspace] = amount
        elif remaining >= minimum:
            granted[workspace] = min(amount, remaining)
    return granted


def largest(amounts: dict[str, int], count: int) -> dict[str, int]:
    """Return the `count` largest amounts, with returned (negative) ones first."""
    ordered = sorted(amounts.items(), key=lambda item: (item[1] >= 0, -abs(item[1])))
    return dict(ordered[: max(0, count)])
