"""The state machine by which a runner makes a bill final before it ends the answer.

The grant's witnesses are asked in turn to keep a copy, then the ledger. If the grant
was closed meanwhile, the bill moves to a new reservation. The ledger counts a request
id once, so a copy that remains under the old grant is not billed again.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from hawthornstage.decisions.ledger import BillsRecorded, GrantNotOpen
from hawthornstage.messages.budget_messages import (
    Bill,
    BillCopyRefused,
    BillCopyStored,
    BudgetExhausted,
    GrantRef,
    HolderUnavailable,
    Reserved,
    Witness,
)

# New reservations that one bill may make after its grant was closed.
MAX_NEW_RESERVATIONS = 2


@dataclass(frozen=True)
class Billing:
    """The progress of one bill towards being final.

    Args:
        node: The runner's name.
        bill: The bill, under its current grant.
        holder: The holder of that grant.
        requested_witnesses: Number of the grant's witnesses asked so far, one more
            than there are once the ledger was asked.
        new_reservations: New reservations requested so far.
    """

    node: str
    bill: Bill
    holder: str
    requested_witnesses: int = 0
    new_reservations: int = 0


@dataclass(frozen=True)
class StartBilling:
    """Starts the billing."""


@dataclass(frozen=True)
class RequestTimedOut:
    """A request got no reply in time; it may have taken effect."""


BillingMessage = (
    StartBilling
    | RequestTimedOut
    | BillCopyStored
    | BillCopyRefused
    | BillsRecorded
    | GrantNotOpen
    | Reserved
    | BudgetExhausted
    | HolderUnavailable
)


@dataclass(frozen=True)
class StoreAtWitness:
    """Effect: ask a witness to keep a copy of the bill."""

    bill: Bill
    witness: Witness


@dataclass(frozen=True)
class RecordInLedger:
    """Effect: record the bill in the ledger."""

    bill: Bill


@dataclass(frozen=True)
class ReserveAgain:
    """Effect: report the old bill to its holder, then reserve the tokens again."""

    old: Bill
    old_holder: str
    attempt: str


@dataclass(frozen=True)
class BillFinal:
    """Effect: the bill is final; the end of the answer may be sent."""

    bill: Bill
    holder: str


@dataclass(frozen=True)
class BillNotFinal:
    """Effect: the bill could not be made final, though it may still be counted."""

    bill: Bill
    holder: str


BillingEffect = (
    StoreAtWitness | RecordInLedger | ReserveAgain | BillFinal | BillNotFinal
)


def step(billing: Billing, message: BillingMessage) -> tuple[Billing, BillingEffect]:
    """Handle one message; return the new state and the effect to carry out."""
    match message:
        case BillCopyStored() | BillsRecorded():
            return billing, BillFinal(billing.bill, billing.holder)
        case StartBilling() | BillCopyRefused():
            return _next_witness(billing)
        case RequestTimedOut() if billing.requested_witnesses <= len(
            billing.bill.grant.witnesses
        ):
            return _next_witness(billing)
        case GrantNotOpen():
            return _request_reservation(billing)
        case Reserved(grant, holder):
            return _next_witness(_move_to_grant(billing, grant, holder))
        case RequestTimedOut() | BudgetExhausted() | HolderUnavailable():
            return billing, BillNotFinal(billing.bill, billing.holder)


def _next_witness(billing: Billing) -> tuple[Billing, BillingEffect]:
    """Ask the next witness other than the runner itself, or else the ledger."""
    witnesses = billing.bill.grant.witnesses
    while billing.requested_witnesses < len(witnesses):
        witness = witnesses[billing.requested_witnesses]
        billing = replace(billing, requested_witnesses=billing.requested_witnesses + 1)
        if witness.node != billing.node:
            return billing, StoreAtWitness(billing.bill, witness)
    return replace(billing, requested_witnesses=len(witnesses) + 1), RecordInLedger(
        billing.bill
    )


def _request_reservation(billing: Billing) -> tuple[Billing, BillingEffect]:
    if billing.new_reservations >= MAX_NEW_RESERVATIONS:
        return billing, BillNotFinal(billing.bill, billing.holder)
    number = billing.new_reservations + 1
    attempt = f"{billing.bill.attempt.partition('+')[0]}+{number}"
    request = ReserveAgain(billing.bill, billing.holder, attempt)
    bill = replace(billing.bill, attempt=attempt)
    return replace(billing, bill=bill, new_reservations=number), request


def _move_to_grant(billing: Billing, grant: GrantRef, holder: str) -> Billing:
    bill = replace(billing.bill, grant=grant)
    return replace(billing, bill=bill, holder=holder, requested_witnesses=0)
