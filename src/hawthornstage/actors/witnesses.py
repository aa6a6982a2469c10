"""The task that stores copies of other routers' bills as a witness."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.budgets import ledger_key
from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.ledger import GrantNotOpen, RecordBills
from hawthornstage.decisions.witness import WitnessState, step
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.budget_messages import (
    Acknowledged,
    Bill,
    BillsStored,
    StoreBillCopy,
    Witness,
)
from hawthornstage.observe.events import EventLog

# Age at which the witness records a copy in the ledger itself, in seconds; its holder
# or runner should have recorded it well before.
COPY_STORE_AGE_S = 4.0


@dataclass(frozen=True)
class CheckCopies:
    """Triggers the check for copies that are old enough to record."""


class Witnesses(Task):
    """Owns the copies and the seals of this process.

    Args:
        me: This process, as grants name it.
        shards: Number of ledger documents.
        documents: The task that owns the ledger's documents.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        me: Witness,
        shards: int,
        *,
        documents: pykka.ActorRef,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.state = WitnessState(me)
        self.shards = shards
        self.documents = documents
        self.clock = clock
        self.events = events
        self.copied_at: dict[tuple[str, str], float] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=inner, reply_to=reply_to):
                self.state, reply = step(self.state, inner)
                reply_to.put(reply if reply is not None else Acknowledged())
                if isinstance(inner, StoreBillCopy):
                    key = (inner.bill.grant.id, inner.bill.request_id)
                    self.copied_at.setdefault(key, self.clock.monotonic())
            case CheckCopies():
                self.check_copies()
            case Applied(mutation, result):
                self.stored(mutation, result)

    def check_copies(self) -> None:
        """Record old copies in the ledger, and forget those already dropped."""
        now = self.clock.monotonic()
        for (grant_id, request_id), copied_at in list(self.copied_at.items()):
            bill = self.state.copies.get(grant_id, {}).get(request_id)
            if bill is None:
                del self.copied_at[(grant_id, request_id)]
            elif now - copied_at >= COPY_STORE_AGE_S:
                self.copied_at[(grant_id, request_id)] = now
                self.record_bill(bill)

    def record_bill(self, bill: Bill) -> None:
        """Record a bill in the ledger; recording it twice has no further effect."""
        record = RecordBills(bill.budget, bill.grant.id, {bill.request_id: bill.tokens})
        key = ledger_key(bill.budget, self.shards)
        self.documents.tell(Apply(key, record, ReplyCallback(self.actor_ref.tell)))

    def stored(self, mutation: RecordBills, result: Any) -> None:
        """Drop the copies that the ledger has handled; log those that it refused."""
        if isinstance(result, GrantNotOpen):
            for request_id in mutation.bills:
                self.events.emit(
                    "bill_refused", request_id=request_id, grant=mutation.grant_id
                )
        stored = BillsStored(mutation.grant_id, tuple(mutation.bills))
        self.state, _ = step(self.state, stored)
