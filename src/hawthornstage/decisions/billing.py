"""How a runner makes one bill final before it lets the answer's end go.

The grant's witnesses are asked in turn, then the ledger. If the grant was closed
meanwhile, the bill moves to a new reservation; the ledger counts a request id
once, so that a copy left behind under the old grant does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from hawthornstage.decisions.ledger import BillsRecorded, GrantClosed
from hawthornstage.messages.money import (
    Bill,
    BillCopyRefused,
    BillCopyStored,
    BudgetExhausted,
    GrantRef,
    HolderUnavailable,
    Reserved,
    Witness,
)

# New reservations that one bill may need after its grant was closed.
MAX_NEW_GRANTS = 2


@dataclass(frozen=True)
class Billing:
    """One bill on its way to being final.

    Args:
        node: The runner.
        bill: The bill, under the grant that is tried now.
        holder: Who holds that grant.
        asked: Witnesses of the grant that were asked.
        new_grants: New reservations made so far.
    """

    node: str
    bill: Bill
    holder: str
    asked: int = 0
    new_grants: int = 0


@dataclass(frozen=True)
class Begin:
    """Starts the billing."""


@dataclass(frozen=True)
class NoAnswer:
    """Whoever was asked did not answer in time; it may have acted."""


BillingMessage = (
    Begin
    | NoAnswer
    | BillCopyStored
    | BillCopyRefused
    | BillsRecorded
    | GrantClosed
    | Reserved
    | BudgetExhausted
    | HolderUnavailable
)


@dataclass(frozen=True)
class AskWitness:
    """Effect: ask a witness to keep a copy."""

    bill: Bill
    witness: Witness


@dataclass(frozen=True)
class AskLedger:
    """Effect: write the bill into the ledger."""

    bill: Bill


@dataclass(frozen=True)
class AskHolder:
    """Effect: reserve the bill's tokens anew, after telling of the old bill."""

    old: Bill
    old_holder: str
    attempt: str


@dataclass(frozen=True)
class Final:
    """Effect: the bill is final; the answer's end may go."""

    bill: Bill
    holder: str


@dataclass(frozen=True)
class NotFinal:
    """Effect: nobody could take the bill now, though it may still come to count."""

    bill: Bill
    holder: str


BillingEffect = AskWitness | AskLedger | AskHolder | Final | NotFinal


def step(billing: Billing, message: BillingMessage) -> tuple[Billing, BillingEffect]:
    """Take one message and return the new state and what is to be done."""
    match message:
        case BillCopyStored() | BillsRecorded():
            return billing, Final(billing.bill, billing.holder)
        case Begin() | BillCopyRefused():
            return _next_witness(billing)
        case NoAnswer() if billing.asked <= len(billing.bill.grant.witnesses):
            return _next_witness(billing)
        case GrantClosed():
            return _new_reservation(billing)
        case Reserved(grant, holder):
            return _next_witness(_move(billing, grant, holder))
        case NoAnswer() | BudgetExhausted() | HolderUnavailable():
            return billing, NotFinal(billing.bill, billing.holder)


def _next_witness(billing: Billing) -> tuple[Billing, BillingEffect]:
    """Ask the next witness, or the ledger; the runner itself does not count."""
    witnesses = billing.bill.grant.witnesses
    while billing.asked < len(witnesses):
        witness = witnesses[billing.asked]
        billing = replace(billing, asked=billing.asked + 1)
        if witness.node != billing.node:
            return billing, AskWitness(billing.bill, witness)
    return replace(billing, asked=len(witnesses) + 1), AskLedger(billing.bill)


def _new_reservation(billing: Billing) -> tuple[Billing, BillingEffect]:
    if billing.new_grants >= MAX_NEW_GRANTS:
        return billing, NotFinal(billing.bill, billing.holder)
    number = billing.new_grants + 1
    attempt = f"{billing.bill.attempt.partition('+')[0]}+{number}"
    asking = AskHolder(billing.bill, billing.holder, attempt)
    bill = replace(billing.bill, attempt=attempt)
    return replace(billing, bill=bill, new_grants=number), asking


def _move(billing: Billing, grant: GrantRef, holder: str) -> Billing:
    bill = replace(billing.bill, grant=grant)
    return replace(billing, bill=bill, holder=holder, asked=0)
