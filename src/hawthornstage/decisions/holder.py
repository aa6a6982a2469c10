"""The state machine of a router that holds grants of one budget.

The holder reserves tokens out of its grant without a call to the ledger, resizes the
grant by demand, and closes it once it has no open reservation. Two rules are enough
for safety: a reservation is made once, out of an amount that the ledger moved to the
grant before; and an unresolved reservation keeps its tokens until the grant's
witnesses refuse further bills. All amounts are tokens, all times seconds of the
monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import replace

from hawthornstage.decisions.holder_state import (
    AnnounceStored,
    Drain,
    Effect,
    HeldGrant,
    HeldReservation,
    Holder,
    HolderMessage,
    MutationApplied,
    RecallFrom,
    ReplyToRunner,
    RequestSeals,
    RunnerLost,
    SubmitMutation,
    Tick,
    WaitingReservation,
    WitnessesChanged,
)
from hawthornstage.decisions.ledger import (
    BillsRecorded,
    Close,
    Closed,
    GrantNotOpen,
    RecordBills,
    Resize,
    Resized,
    Result,
    ToppedUp,
)
from hawthornstage.messages.budget_messages import (
    BudgetExhausted,
    HolderUnavailable,
    RecallTokens,
    Release,
    Reserve,
    Reserved,
    ReserveOutcome,
    Sealed,
    Settle,
    Witness,
)

Step = tuple[Holder, tuple[Effect, ...]]


def step(holder: Holder, message: HolderMessage, now: float) -> Step:
    """Handle one message; return the new state and the effects to carry out."""
    match message:
        case Reserve():
            return _reserve(holder, message, now)
        case Release():
            return _resolve_reservation(
                holder, message.grant_id, message.attempt, None, 0, now
            )
        case Settle(bill=bill):
            return _resolve_reservation(
                holder, bill.grant.id, bill.attempt, bill.request_id, bill.tokens, now
            )
        case RecallTokens():
            return _shrink(holder, 0.0)
        case Tick():
            return _tick(holder, now)
        case Drain():
            return _drain(holder, now)
        case WitnessesChanged(witnesses):
            return _change_witnesses(holder, witnesses, now)
        case RunnerLost(node):
            return _lose_runner(holder, node)
        case Sealed():
            return _add_seal(holder, message)
        case MutationApplied(result):
            return _apply_result(holder, result, now)


def _reserve(holder: Holder, message: Reserve, now: float) -> Step:
    if holder.draining:
        return holder, (
            ReplyToRunner(message.attempt, HolderUnavailable("the holder is draining")),
        )
    holder = _count_demand(holder, message.tokens, now)
    grant = holder.current
    if grant is not None and grant.free >= message.tokens and not holder.waiting:
        holder, answer = _make_reservation(holder, grant, message)
        holder, effects = _refill(holder, now)
        return holder, (answer, *effects)
    waiting = WaitingReservation(message, now + message.patience_s)
    return _refill(replace(holder, waiting=(*holder.waiting, waiting)), now)


def _make_reservation(
    holder: Holder, grant: HeldGrant, message: Reserve
) -> tuple[Holder, ReplyToRunner]:
    reservation = HeldReservation(message.tokens, message.runner)
    grant = replace(
        grant, reservations={**grant.reservations, message.attempt: reservation}
    )
    answer = ReplyToRunner(message.attempt, Reserved(grant.ref, holder.node))
    return _with_grant(holder, grant), answer


def _count_demand(holder: Holder, tokens: int, now: float) -> Holder:
    """Add a reservation to the exponentially weighted average of the demand."""
    window = holder.policy.window_s
    demand = _demand_at(holder, now) + tokens / window
    return replace(holder, demand=demand, demand_at=now, last_tokens=tokens)


def _demand_at(holder: Holder, now: float) -> float:
    elapsed = max(now - holder.demand_at, 0.0)
    return holder.demand * math.exp(-elapsed / holder.policy.window_s)


def _refill(holder: Holder, now: float) -> Step:
    """Request a larger grant if the current one is too small for the demand."""
    if holder.resizing is not None or holder.draining:
        return holder, ()
    grant = holder.current
    free = grant.free if grant else 0
    needed = sum(each.reserve.tokens for each in holder.waiting)
    headroom = _headroom(holder, now)
    if not needed and free >= min(headroom, holder.left * holder.policy.max_share) / 2:
        return holder, ()
    if grant is None:
        holder, grant = _open_grant(holder)
    min_amount = 0
    if needed:
        min_amount = grant.used + min(each.reserve.tokens for each in holder.waiting)
    return _submit_resize(holder, grant, grant.used + needed, min_amount, headroom)


def _headroom(holder: Holder, now: float) -> int:
    """Return the tokens to hold for later reservations."""
    demand = _demand_at(holder, now) * holder.policy.horizon_s
    return int(max(demand, holder.last_tokens * holder.policy.min_requests))


def _open_grant(holder: Holder) -> tuple[Holder, HeldGrant]:
    number = holder.opened + 1
    name = f"{holder.node}/{holder.incarnation}/{holder.budget}/{number}"
    grant = HeldGrant(name, holder.witnesses)
    return replace(_with_grant(holder, grant), opened=number), grant


def _submit_resize(
    holder: Holder, grant: HeldGrant, amount: int, min_amount: int, headroom: int
) -> Step:
    mutation = Resize(
        budget=holder.budget,
        grant_id=grant.id,
        holder=holder.node,
        incarnation=holder.incarnation,
        witnesses=grant.witnesses,
        sequence=grant.sequence + 1,
        amount=amount,
        min_amount=min_amount,
        headroom=headroom,
        max_share=holder.policy.max_share,
    )
    return replace(holder, resizing=grant.id), (SubmitMutation(mutation),)


def _shrink(holder: Holder, keep: float) -> Step:
    """Return the free tokens in excess of `keep` to the budget."""
    grant = holder.current
    if grant is None or holder.resizing is not None or holder.waiting:
        return holder, ()
    if grant.free <= keep:
        return holder, ()
    amount = grant.used + int(keep)
    # Reduce the amount here before the ledger does, so that no call reserves from it.
    holder = _with_grant(holder, replace(grant, amount=amount))
    return _submit_resize(holder, grant, amount, 0, 0)


def _resolve_reservation(
    holder: Holder,
    grant_id: str,
    attempt: str,
    request_id: str | None,
    tokens: int,
    now: float,
) -> Step:
    """Replace a reservation by its bill, or free it if there is no bill."""
    grant = holder.grants.get(grant_id) or _find_grant_of_attempt(holder, attempt)
    if grant is None or attempt not in grant.reservations:
        return _remove_waiting(holder, attempt), ()
    reservations = {
        key: value for key, value in grant.reservations.items() if key != attempt
    }
    grant = replace(grant, reservations=reservations)
    if request_id is None:
        return _after_resolve(_with_grant(holder, grant), now)
    unstored = {**grant.unstored, request_id: tokens}
    holder = _with_grant(holder, replace(grant, unstored=unstored))
    record = RecordBills(holder.budget, grant_id, {request_id: tokens})
    holder, effects = _after_resolve(holder, now)
    return holder, (SubmitMutation(record), *effects)


def _find_grant_of_attempt(holder: Holder, attempt: str) -> HeldGrant | None:
    """Find the grant of a reservation whose reply did not reach its runner."""
    grants = holder.grants.values()
    return next((grant for grant in grants if attempt in grant.reservations), None)


def _remove_waiting(holder: Holder, attempt: str) -> Holder:
    waiting = tuple(w for w in holder.waiting if w.reserve.attempt != attempt)
    return replace(holder, waiting=waiting)


def _after_resolve(holder: Holder, now: float) -> Step:
    holder, admitted = _admit_waiting(holder)
    holder, closes = _close_resolved(holder)
    return holder, (*admitted, *closes)


def _admit_waiting(holder: Holder) -> Step:
    effects: list[Effect] = []
    still_waiting: list[WaitingReservation] = []
    for each in holder.waiting:
        grant = holder.current
        if grant is None or grant.free < each.reserve.tokens:
            still_waiting.append(each)
            continue
        holder, answer = _make_reservation(holder, grant, each.reserve)
        effects.append(answer)
    return replace(holder, waiting=tuple(still_waiting)), tuple(effects)


def _tick(holder: Holder, now: float) -> Step:
    holder, expired = _expire_waiting(holder, now)
    holder, retired = _retire_idle_or_full(holder, now)
    if holder.waiting:
        holder, effects = _refill(holder, now)
    else:
        keep = _headroom(holder, now)
        grant = holder.current
        too_much = grant is not None and grant.free > 2 * keep
        holder, effects = _shrink(holder, keep) if too_much else (holder, ())
    return holder, (*expired, *retired, *effects)


def _expire_waiting(holder: Holder, now: float) -> Step:
    expired = [each for each in holder.waiting if each.deadline <= now]
    if not expired:
        return holder, ()
    left = tuple(each for each in holder.waiting if each.deadline > now)
    outcome: ReserveOutcome = BudgetExhausted(holder.left)
    if holder.resizing is not None:
        outcome = HolderUnavailable(
            "the ledger did not answer before the reservation timed out"
        )
    answers = tuple(ReplyToRunner(each.reserve.attempt, outcome) for each in expired)
    return replace(holder, waiting=left), answers


def _retire_idle_or_full(holder: Holder, now: float) -> Step:
    """Retire a grant that is idle or has reached the maximum number of bills."""
    grant = holder.current
    if grant is None or holder.waiting or holder.resizing is not None:
        return holder, ()
    idle = now - holder.demand_at >= holder.policy.idle_s and not grant.reservations
    if not idle and grant.stored_bills < holder.policy.max_bills:
        return holder, ()
    return _close_resolved(_with_grant(holder, replace(grant, retiring=True)))


def _drain(holder: Holder, now: float) -> Step:
    outcome = HolderUnavailable("the holder is draining")
    answers = tuple(
        ReplyToRunner(each.reserve.attempt, outcome) for each in holder.waiting
    )
    holder = replace(holder, draining=True, waiting=())
    for grant in holder.grants.values():
        holder = _with_grant(holder, replace(grant, retiring=True))
    holder, closes = _close_resolved(holder)
    return holder, (*answers, *closes)


def _change_witnesses(
    holder: Holder, witnesses: tuple[Witness, ...], now: float
) -> Step:
    """Retire the current grant if the set of witnesses has changed."""
    holder = replace(holder, witnesses=witnesses)
    grant = holder.current
    if grant is None or set(grant.witnesses) == set(witnesses):
        return holder, ()
    holder, closes = _close_resolved(_with_grant(holder, replace(grant, retiring=True)))
    holder, refill = _refill(holder, now)
    return holder, (*closes, *refill)


def _lose_runner(holder: Holder, node: str) -> Step:
    """Retire and seal each grant with reservations of the lost runner."""
    effects: list[Effect] = []
    for grant in holder.grants.values():
        if all(
            reservation.runner != node for reservation in grant.reservations.values()
        ):
            continue
        grant = replace(grant, retiring=True, lost_runners=grant.lost_runners | {node})
        holder = _with_grant(holder, _drop_lost_reservations(grant))
        other_witnesses = tuple(each for each in grant.witnesses if each.node != node)
        effects.append(RequestSeals(grant.id, other_witnesses))
    holder, closes = _close_resolved(holder)
    return holder, (*effects, *closes)


def _add_seal(holder: Holder, message: Sealed) -> Step:
    grant = holder.grants.get(message.grant_id)
    if grant is None:
        return holder, ()
    bills = {bill.request_id: bill.tokens for bill in message.bills}
    grant = replace(
        grant,
        retiring=True,
        seals=grant.seals | {message.witness.node},
        sealed_bills={**grant.sealed_bills, **bills},
    )
    return _close_resolved(_with_grant(holder, _drop_lost_reservations(grant)))


def _drop_lost_reservations(grant: HeldGrant) -> HeldGrant:
    """Drop lost runners' reservations once all witnesses refuse their bills.

    A runner never counts itself as a witness, so its own seal is not needed.
    """
    witnesses = {each.node for each in grant.witnesses}
    sealed_runners = {
        node for node in grant.lost_runners if witnesses - {node} <= grant.seals
    }
    reservations = {
        key: reservation
        for key, reservation in grant.reservations.items()
        if reservation.runner not in sealed_runners
    }
    return replace(grant, reservations=reservations)


def _close_resolved(holder: Holder) -> Step:
    """Submit the closing of each retiring grant without open reservations."""
    effects: list[Effect] = []
    for grant in holder.grants.values():
        ready = grant.retiring and not grant.reservations and not grant.closing
        if not ready or holder.resizing == grant.id:
            continue
        bills = {**grant.sealed_bills, **grant.unstored}
        effects.append(SubmitMutation(Close(holder.budget, grant.id, bills)))
        holder = _with_grant(holder, replace(grant, closing=True))
    return holder, tuple(effects)


def _apply_result(holder: Holder, result: Result, now: float) -> Step:
    match result:
        case Resized():
            return _resized(holder, result, now)
        case GrantNotOpen(grant_id):
            return _grant_not_open(holder, grant_id, now)
        case BillsRecorded(grant_id, request_ids):
            return _bills_recorded(holder, grant_id, request_ids, now)
        case Closed(grant_id):
            return _closed(holder, grant_id, now)
        case ToppedUp():
            return holder, ()


def _resized(holder: Holder, result: Resized, now: float) -> Step:
    name, holder = holder.resizing, replace(holder, resizing=None)
    holder = replace(holder, left=result.left, other_holders=result.other_holders)
    grant = holder.grants.get(name or "")
    if grant is None:
        return holder, ()
    grant = replace(grant, amount=result.amount, sequence=result.sequence)
    holder, admitted = _admit_waiting(_with_grant(holder, grant))
    holder, closes = _close_resolved(holder)
    holder, more = _refuse_or_recall(holder, now)
    return holder, (*admitted, *closes, *more)


def _refuse_or_recall(holder: Holder, now: float) -> Step:
    """Refuse waiting reservations, or recall tokens from other holders."""
    if not holder.waiting:
        return holder, ()
    smallest = min(each.reserve.tokens for each in holder.waiting)
    grant = holder.current
    if holder.left + (grant.free if grant else 0) >= smallest:
        return _refill(holder, now)
    retiring = any(each.retiring for each in holder.grants.values())
    if not holder.other_holders and not retiring:
        outcome = BudgetExhausted(holder.left)
        answers = tuple(
            ReplyToRunner(each.reserve.attempt, outcome) for each in holder.waiting
        )
        return replace(holder, waiting=()), answers
    if now - holder.recalled_at < holder.policy.recall_interval_s:
        return holder, ()
    return replace(holder, recalled_at=now), (RecallFrom(holder.other_holders),)


def _grant_not_open(holder: Holder, grant_id: str, now: float) -> Step:
    """Drop a grant that another router closed after taking this one for dead."""
    if holder.resizing == grant_id:
        holder = replace(holder, resizing=None)
    grants = {key: value for key, value in holder.grants.items() if key != grant_id}
    return _refill(replace(holder, grants=grants), now)


def _bills_recorded(
    holder: Holder, grant_id: str, request_ids: tuple[str, ...], now: float
) -> Step:
    grant = holder.grants.get(grant_id)
    if grant is None:
        return holder, ()
    moved = {key: grant.unstored[key] for key in request_ids if key in grant.unstored}
    grant = replace(
        grant,
        unstored={
            key: value for key, value in grant.unstored.items() if key not in moved
        },
        stored=grant.stored + sum(moved.values()),
        stored_bills=grant.stored_bills + len(moved),
    )
    return _with_grant(holder, grant), (AnnounceStored(grant.ref, request_ids),)


def _closed(holder: Holder, grant_id: str, now: float) -> Step:
    grant = holder.grants.get(grant_id)
    if grant is None:
        return holder, ()
    ids = tuple({**grant.sealed_bills, **grant.unstored})
    grants = {key: value for key, value in holder.grants.items() if key != grant_id}
    holder = replace(holder, grants=grants)
    holder, refill = _refill(holder, now)
    return holder, (AnnounceStored(grant.ref, ids), *refill)


def _with_grant(holder: Holder, grant: HeldGrant) -> Holder:
    return replace(holder, grants={**holder.grants, grant.id: grant})
