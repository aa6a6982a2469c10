"""The task that keeps this router's final bills until they are stored."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pykka

from hawthornstage.actors.budgets import ledger_key
from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.ledger import GrantClosed, RecordBills
from hawthornstage.mailbox import Forward
from hawthornstage.messages.money import Acknowledged, Bill, Release, Settle, Stored
from hawthornstage.observe.events import EventLog

# Time after which a message to a holder is sent again, in seconds.
RESEND_S = 1.0
# Time after which the runner stores an unstored bill itself, in seconds.
SELF_STORE_AGE_S = 10.0
# Time after which an unanswered release is dropped, in seconds; the holder's own
# closing of the grant then frees the tokens.
DELIVERY_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class DeliverToHolder:
    """Brings a settlement or a release to the holder of its grant."""

    holder: str
    message: Settle | Release


@dataclass(frozen=True)
class HolderAnswered:
    """The holder's answer to a delivered message, or that it is unreachable."""

    attempt: str
    reply: Any


@dataclass(frozen=True)
class Resend:
    """Look for messages that were not answered."""


@dataclass
class PendingDelivery:
    """A message on its way to a holder."""

    deliver: DeliverToHolder
    created_at: float
    sent_at: float


@dataclass
class UnstoredBill:
    """A final bill that is not known to be in the ledger."""

    bill: Bill
    created_at: float
    submitted: bool = field(default=False)


class Settlements(Task):
    """Owns the bills of requests that this router ran.

    Args:
        node: This router's name.
        shards: Number of ledger documents.
        documents: The ledger's documents.
        peers: Sends messages to holders.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self,
        node: str,
        shards: int,
        *,
        documents: pykka.ActorRef,
        peers: pykka.ActorRef,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.shards = shards
        self.documents = documents
        self.peers = peers
        self.clock = clock
        self.events = events
        self.pending_deliveries: dict[str, PendingDelivery] = {}
        self.unstored_bills: dict[tuple[str, str], UnstoredBill] = {}

    def handle(self, message: Any) -> None:
        match message:
            case DeliverToHolder():
                self.deliver(message)
            case HolderAnswered(attempt, Acknowledged()):
                self.pending_deliveries.pop(attempt, None)
            case Ask(message=Stored(grant_id, request_ids), reply_to=reply_to):
                for request_id in request_ids:
                    self.unstored_bills.pop((grant_id, request_id), None)
                reply_to.put(Acknowledged())
            case Applied(mutation, result):
                self.handle_recorded(mutation, result)
            case Resend():
                self.resend()

    def deliver(self, message: DeliverToHolder) -> None:
        """Send a message to a holder, and keep a bill until it is stored."""
        now = self.clock.monotonic()
        match message.message:
            case Settle(bill=bill):
                attempt = bill.attempt
                self.unstored_bills[(bill.grant.id, bill.request_id)] = UnstoredBill(
                    bill, now
                )
            case Release(attempt=attempt):
                pass
        self.pending_deliveries[attempt] = PendingDelivery(message, now, now)
        self.send(attempt, message)

    def send(self, attempt: str, message: DeliverToHolder) -> None:
        """Send one message; the answer comes back to this task."""

        def answered(reply: Any) -> None:
            self.actor_ref.tell(HolderAnswered(attempt, reply))

        self.peers.tell(Send(message.holder, message.message, Forward(answered)))

    def resend(self) -> None:
        """Send again what was not answered, and store old bills directly."""
        now = self.clock.monotonic()
        for attempt, each in list(self.pending_deliveries.items()):
            if now - each.created_at > DELIVERY_TIMEOUT_S:
                del self.pending_deliveries[attempt]
            elif now - each.sent_at >= RESEND_S:
                each.sent_at = now
                self.send(attempt, each.deliver)
        for each in self.unstored_bills.values():
            if now - each.created_at >= SELF_STORE_AGE_S and not each.submitted:
                each.submitted = True
                self.record_bill(each.bill)

    def record_bill(self, bill: Bill) -> None:
        """Record a bill in the ledger without its holder."""
        key = ledger_key(bill.budget, self.shards)
        record = RecordBills(bill.budget, bill.grant.id, {bill.request_id: bill.tokens})
        self.documents.tell(Apply(key, record, Forward(self.actor_ref.tell)))

    def handle_recorded(self, mutation: RecordBills, result: Any) -> None:
        """Drop bills that the ledger has; report one that it refused."""
        for request_id in mutation.bills:
            self.unstored_bills.pop((mutation.grant_id, request_id), None)
            if isinstance(result, GrantClosed):
                self.events.emit(
                    "bill_refused", request_id=request_id, grant=mutation.grant_id
                )
