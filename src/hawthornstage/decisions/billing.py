"""How a runner makes one bill final before it lets the answer's end go.

The grant's witnesses are asked in turn, then the ledger. If the grant was closed
meanwhile, the bill moves to a new reservation; the ledger counts a request id
once, so that a copy left behind under the old grant does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from hawthornstage.decisions.ledger import BillsRecorded, GrantNotOpen
from hawthornstage.messages.money import (
    Bill,
    CopyKept,
    CopyRefused,
    Exhausted,
    GrantRef,
    Reserved,
    Unavailable,
    Witness,
)

# New reservations that one bill may need after its grant was closed.
MAX_NEW_RESERVATIONS = 2


@dataclass(frozen=True)
class Billing:
    """One bill on its way to being final.

    Args:
        node: The runner.
        bill: The bill, under the grant that is tried now.
        holder: Who holds that grant.
        requested_witnesses: Witnesses of the grant that were asked.
        new_reservations: New reservations made so far.
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
    """Whoever was asked did not answer in time; it may have acted."""


BillingMessage = (
    StartBilling
    | RequestTimedOut
    | CopyKept
    | CopyRefused
    | BillsRecorded
    | GrantNotOpen
    | Reserved
    | Exhausted
    | Unavailable
)


@dataclass(frozen=True)
class StoreAtWitness:
    """Effect: ask a witness to keep a copy."""

    bill: Bill
    witness: Witness


@dataclass(frozen=True)
class RecordInLedger:
    """Effect: write the bill into the ledger."""

    bill: Bill


@dataclass(frozen=True)
class ReserveAgain:
    """Effect: reserve the bill's tokens anew, after telling of the old bill."""

    old: Bill
    old_holder: str
    attempt: str


@dataclass(frozen=True)
class BillFinal:
    """Effect: the bill is final; the answer's end may go."""

    bill: Bill
    holder: str


@dataclass(frozen=True)
class BillNotFinal:
    """Effect: nobody could take the bill now, though it may still come to count."""

    bill: Bill
    holder: str


BillingEffect = (
    StoreAtWitness | RecordInLedger | ReserveAgain | BillFinal | BillNotFinal
)


def step(billing: Billing, message: BillingMessage) -> tuple[Billing, BillingEffect]:
    """Take one message and return the new state and what is to be done."""
    match message:
        case CopyKept() | BillsRecorded():
            return billing, BillFinal(billing.bill, billing.holder)
        case StartBilling() | CopyRefused():
            return _next_witness(billing)
        case RequestTimedOut() if billing.requested_witnesses <= len(
            billing.bill.grant.witnesses
        ):
            return _next_witness(billing)
        case GrantNotOpen():
            return _request_reservation(billing)
        case Reserved(grant, holder):
            return _next_witness(_move_to_grant(billing, grant, holder))
        case RequestTimedOut() | Exhausted() | Unavailable():
            return billing, BillNotFinal(billing.bill, billing.holder)


def _next_witness(billing: Billing) -> tuple[Billing, BillingEffect]:
    """Ask the next witness, or the ledger; the runner itself does not count."""
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
