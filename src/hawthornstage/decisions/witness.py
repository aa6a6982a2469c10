"""The state machine of a witness: keeps copies of bills until a grant is sealed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hawthornstage.messages.budget_messages import (
    Bill,
    BillCopyRefused,
    BillCopyStored,
    BillsStored,
    Seal,
    Sealed,
    SealRefused,
    StoreBillCopy,
    Witness,
)

# Seals and copies that one router keeps; it refuses further ones.
MAX_SEALS = 100_000
MAX_COPIES = 200_000


@dataclass(frozen=True)
class WitnessState:
    """Copies of bills not yet in the ledger, and the sealed grants.

    Args:
        identity: This process's node and incarnation, as grants name it.
        copies: Bills by grant and request id.
        count: Number of copies.
        sealed: Ids of grants whose further bills are refused, kept until the process
            ends.
    """

    identity: Witness
    copies: dict[str, dict[str, Bill]] = field(default_factory=dict)
    count: int = 0
    sealed: frozenset[str] = frozenset()


WitnessMessage = StoreBillCopy | Seal | BillsStored
WitnessReply = BillCopyStored | BillCopyRefused | Sealed | SealRefused | None


def step(
    state: WitnessState, message: WitnessMessage
) -> tuple[WitnessState, WitnessReply]:
    """Handle one message; return the new state and the reply, or None."""
    match message:
        case StoreBillCopy():
            return _store_copy(state, message)
        case Seal():
            return _seal(state, message)
        case BillsStored():
            return _remove_stored(state, message), None


def _store_copy(
    state: WitnessState, message: StoreBillCopy
) -> tuple[WitnessState, WitnessReply]:
    bill = message.bill
    if message.witness != state.identity:
        return state, BillCopyRefused(
            bill.request_id, f"addressed to incarnation {message.witness.incarnation}"
        )
    if bill.grant.id in state.sealed:
        return state, BillCopyRefused(
            bill.request_id, f"grant {bill.grant.id} is sealed"
        )
    grant_copies = state.copies.get(bill.grant.id, {})
    if bill.request_id in grant_copies:
        return state, BillCopyStored(bill.request_id)
    if state.count >= MAX_COPIES:
        return state, BillCopyRefused(
            bill.request_id, f"the limit of {MAX_COPIES} copies is reached"
        )
    copies = {**state.copies, bill.grant.id: {**grant_copies, bill.request_id: bill}}
    state = replace(state, copies=copies, count=state.count + 1)
    return state, BillCopyStored(bill.request_id)


def _seal(state: WitnessState, message: Seal) -> tuple[WitnessState, WitnessReply]:
    if message.witness != state.identity:
        return state, SealRefused(
            message.grant_id, f"addressed to incarnation {message.witness.incarnation}"
        )
    if message.grant_id not in state.sealed and len(state.sealed) >= MAX_SEALS:
        return state, SealRefused(
            message.grant_id, f"the limit of {MAX_SEALS} seals is reached"
        )
    bills = tuple(state.copies.get(message.grant_id, {}).values())
    state = replace(state, sealed=state.sealed | {message.grant_id})
    return state, Sealed(message.grant_id, state.identity, bills)


def _remove_stored(state: WitnessState, message: BillsStored) -> WitnessState:
    grant_copies = state.copies.get(message.grant_id)
    if grant_copies is None:
        return state
    stored_ids = set(message.request_ids)
    remaining = {
        key: bill for key, bill in grant_copies.items() if key not in stored_ids
    }
    copies = {
        key: value for key, value in state.copies.items() if key != message.grant_id
    }
    if remaining:
        copies[message.grant_id] = remaining
    return replace(
        state, copies=copies, count=state.count - len(grant_copies) + len(remaining)
    )
