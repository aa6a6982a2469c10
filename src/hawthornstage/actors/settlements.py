"""The task that retains this router's final bills until the ledger has them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pykka

from hawthornstage.actors.budgets import ledger_key
from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.ledger import GrantNotOpen, RecordBills
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.budget_messages import (
    Acknowledged,
    Bill,
    BillsStored,
    Release,
    Settle,
)
from hawthornstage.observe.events import EventLog

# Time after which a message to a holder is sent again, in seconds.
RESEND_S = 1.0
# Age at which the runner records an unstored bill itself, in seconds.
SELF_STORE_AGE_S = 10.0
# Age at which an unacknowledged message is dropped, in seconds. The tokens of a dropped
# release are freed when the holder closes the grant.
DELIVERY_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class DeliverToHolder:
    """Delivers a settlement or a release to the holder of its grant.

    Args:
        holder: Name of the router that holds the grant.
        message: The settlement or release.
    """

    holder: str
    message: Settle | Release


@dataclass(frozen=True)
class HolderAnswered:
    """The holder's reply to a delivered message, or `PeerUnreachable`."""

    attempt: str
    reply: Any


@dataclass(frozen=True)
class Resend:
    """Triggers the redelivery of unacknowledged messages and old unstored bills."""


@dataclass
class PendingDelivery:
    """A message that its holder has not acknowledged.

    Args:
        deliver: The message and its holder.
        created_at: Monotonic time of the first delivery, in seconds.
        sent_at: Monotonic time of the latest delivery, in seconds.
    """

    deliver: DeliverToHolder
    created_at: float
    sent_at: float


@dataclass
class UnstoredBill:
    """A final bill that is not known to be in the ledger.

    Args:
        bill: The bill.
        created_at: Monotonic time of its first delivery, in seconds.
        submitted: Whether this task has sent it to the ledger itself.
    """

    bill: Bill
    created_at: float
    submitted: bool = field(default=False)


class Settlements(Task):
    """Owns the bills of requests that this router ran.

    Args:
        node: This router's name.
        shards: Number of ledger documents.
        documents: The task that owns the ledger's documents.
        peers: Sends messages to holders.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        shards: int,
        *,
        documents: pykka.ActorRef,
        peers: Recipient,
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
            case Ask(message=BillsStored(grant_id, request_ids), reply_to=reply_to):
                for request_id in request_ids:
                    self.unstored_bills.pop((grant_id, request_id), None)
                reply_to.put(Acknowledged())
            case Applied(mutation, result):
                self.handle_recorded(mutation, result)
            case Resend():
                self.resend()

    def deliver(self, message: DeliverToHolder) -> None:
        """Send a message to a holder, and retain a bill until it is stored."""
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
        """Send one message and have the reply delivered to this task."""

        def answered(reply: Any) -> None:
            self.actor_ref.tell(HolderAnswered(attempt, reply))

        self.peers.tell(Send(message.holder, message.message, ReplyCallback(answered)))

    def resend(self) -> None:
        """Resend unacknowledged messages, and record old bills without the holder."""
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
        """Record a bill in the ledger directly, without its holder."""
        key = ledger_key(bill.budget, self.shards)
        record = RecordBills(bill.budget, bill.grant.id, {bill.request_id: bill.tokens})
        self.documents.tell(Apply(key, record, ReplyCallback(self.actor_ref.tell)))

    def handle_recorded(self, mutation: RecordBills, result: Any) -> None:
        """Drop the bills that the ledger has handled; log those that it refused."""
        for request_id in mutation.bills:
            self.unstored_bills.pop((mutation.grant_id, request_id), None)
            if isinstance(result, GrantNotOpen):
                self.events.emit(
                    "bill_refused", request_id=request_id, grant=mutation.grant_id
                )
