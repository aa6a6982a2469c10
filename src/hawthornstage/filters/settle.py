"""Settle: bills the actual usage once before it releases the end of the response."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.budgets import ledger_key
from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.actors.task import Recipient
from hawthornstage.border.error_responses import error_document
from hawthornstage.border.sse import error_event
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.decisions.billing import (
    BillFinal,
    Billing,
    BillingMessage,
    BillNotFinal,
    RecordInLedger,
    RequestTimedOut,
    ReserveAgain,
    StartBilling,
    StoreAtWitness,
    step,
)
from hawthornstage.decisions.ledger import RecordBills
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.choose_server import ChooseServer
from hawthornstage.filters.claim import claim_document_key, claim_name
from hawthornstage.filters.isolate import Isolate
from hawthornstage.filters.reserve import ReservationClient, Reserve
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.budget_messages import (
    Bill,
    BillCopyRefused,
    BillCopyStored,
    StoreBillCopy,
)
from hawthornstage.messages.budget_messages import (
    Settle as SettleMessage,
)
from hawthornstage.messages.request import Exchange, Reservation
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Timeout for one witness, in seconds.
WITNESS_TIMEOUT_S = 0.5
# Timeout for the ledger write when no witness accepts the bill, in seconds.
LEDGER_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class BillFinaliser:
    """Makes bills final.

    A bill is final once a witness of its grant has a copy or the ledger has stored it.

    Args:
        node: Name of this router.
        reservation_client: Makes a new reservation if the grant has been closed.
        shards: Number of ledger documents.
        documents: Task that writes the ledger documents.
        peers: Task that sends messages to witnesses.
        settlements: Task that delivers final bills to holders until they are stored.
        clock: Source of time and timeouts.
    """

    node: str
    reservation_client: ReservationClient
    shards: int
    documents: pykka.ActorRef
    peers: Recipient
    settlements: pykka.ActorRef
    clock: Clock

    def finalise(
        self, held: Reservation, *, request_id: str, attempt: str, tokens: int
    ) -> bool:
        """Make the bill for a reservation final.

        Args:
            held: The reservation that the bill settles.
            request_id: Deduplicates bills in the ledger.
            attempt: Name of the reservation.
            tokens: Tokens to bill.

        Returns:
            False if neither a witness nor the ledger confirmed the bill.
        """
        bill = Bill(held.budget, held.grant, request_id, attempt, tokens)
        billing = Billing(self.node, bill, held.holder)
        message: BillingMessage = StartBilling()
        while True:
            billing, effect = step(billing, message)
            match effect:
                case StoreAtWitness():
                    message = self.ask_witness(effect)
                case RecordInLedger():
                    message = self.ask_ledger(effect)
                case ReserveAgain():
                    message = self.ask_holder(effect)
                case BillFinal(bill, holder) | BillNotFinal(bill, holder):
                    # A witness or the ledger may have recorded an unconfirmed bill,
                    # so its tokens are never released.
                    self.send_bill(bill, holder)
                    return isinstance(effect, BillFinal)

    def send_bill(self, bill: Bill, holder: str) -> None:
        """Hand the bill to the settlements task, which delivers it to its holder."""
        self.settlements.tell(DeliverToHolder(holder, SettleMessage(bill, self.node)))

    def ask_witness(self, effect: StoreAtWitness) -> BillingMessage:
        """Ask a witness to store a copy of the bill."""
        mailbox = Mailbox(self.clock)
        keep = StoreBillCopy(effect.bill, effect.witness)
        self.peers.tell(Send(effect.witness.node, keep, mailbox))
        reply = mailbox.get(timeout=WITNESS_TIMEOUT_S)
        return (
            reply
            if isinstance(reply, BillCopyStored | BillCopyRefused)
            else RequestTimedOut()
        )

    def ask_ledger(self, effect: RecordInLedger) -> BillingMessage:
        """Write the bill to the ledger."""
        bill, mailbox = effect.bill, Mailbox(self.clock)
        expires = self.clock.monotonic() + LEDGER_TIMEOUT_S
        key = ledger_key(bill.budget, self.shards)
        record = RecordBills(bill.budget, bill.grant.id, {bill.request_id: bill.tokens})
        self.documents.tell(Apply(key, record, mailbox, expires, urgent=True))
        match mailbox.get(timeout=LEDGER_TIMEOUT_S + 2.0):
            case Applied(result=result):
                return result
            case _:
                return RequestTimedOut()

    def ask_holder(self, effect: ReserveAgain) -> BillingMessage:
        """Reserve the tokens of a bill again, under a grant that is open."""
        self.send_bill(effect.old, effect.old_holder)
        bill = effect.old
        return self.reservation_client.reserve(bill.budget, effect.attempt, bill.tokens)


@dataclass(frozen=True)
class OutcomeRecorder:
    """Stores the outcomes of claimed calls.

    Args:
        documents: Task that writes the claim documents.
        shards: Number of claim documents.
    """

    documents: pykka.ActorRef
    shards: int

    def store_outcome(self, exchange: Exchange, body: bytes) -> None:
        """Store the outcome for later attempts, without waiting for a reply."""
        upstream = exchange.upstream
        if not exchange.claimed or upstream is None:
            return
        stored_body = body if len(body) <= claims.MAX_STORED_BODY_BYTES else b""
        outcome = claims.Outcome(upstream.status, upstream.content_type, stored_body)
        name = claim_name(exchange)
        store_outcome = claims.FinishClaim(name, exchange.attempt, outcome)
        self.documents.tell(Apply(claim_document_key(name, self.shards), store_outcome))


@dataclass(frozen=True)
class Settle:
    """Holds back the end of the reply until the bill is final.

    Args:
        bill_finaliser: Makes bills final.
        outcome_recorder: Stores the outcomes of claimed calls.
        reserve: Releases reservations that are not billed.
        choose: Reports to the servers task that a call has ended.
        isolate: Reports to the crash guard how a call ended.
        clock: Source of time and timeouts.
        events: Structured event log.
        metrics: Counts billed tokens.
    """

    bill_finaliser: BillFinaliser
    outcome_recorder: OutcomeRecorder
    reserve: Reserve
    choose: ChooseServer
    isolate: Isolate
    clock: Clock
    events: EventLog
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Settle a buffered response now, and a stream when it ends."""
        reply, upstream = exchange.reply, exchange.upstream
        assert reply is not None
        assert upstream is not None
        if upstream.events is not None:
            return replace(
                exchange, reply=replace(reply, body=self.settle_stream(exchange))
            )
        self.report_call_ended(exchange, completed=True)
        final = self.bill(exchange)
        self.outcome_recorder.store_outcome(exchange, exchange.progress.tail)
        if not final:
            return Failure(ErrorKind.BILL_UNRECORDED)
        body = iter([exchange.progress.tail])
        return replace(exchange, reply=replace(reply, body=body))

    def settle_stream(self, exchange: Exchange) -> Iterator[bytes]:
        """Yield the body of a stream, bill the stream, and yield its last events.

        A caller that disconnects early is billed for the usage reported so far.
        """
        assert exchange.reply is not None
        assert exchange.upstream is not None
        progress = exchange.progress
        ended = False
        try:
            yield from exchange.reply.body
            ended = True
            completed = progress.cut_reason is None
            self.report_call_ended(exchange, completed=completed, failed=not completed)
            yield self.stream_end(exchange)
        finally:
            exchange.upstream.close()
            if not ended:
                self.handle_disconnect(exchange)

    def stream_end(self, exchange: Exchange) -> bytes:
        """Bill a stream and return its held-back last events, or an error event."""
        progress = exchange.progress
        if progress.cut_reason is not None or progress.usage is None:
            self.reserve.undo(exchange)
            reason = progress.cut_reason or "the engine reported no token usage"
            return self.stream_error(exchange, Failure(ErrorKind.STREAM_CUT, reason))
        if not self.bill(exchange):
            return self.stream_error(exchange, Failure(ErrorKind.BILL_UNRECORDED))
        return progress.tail

    def stream_error(self, exchange: Exchange, failure: Failure) -> bytes:
        """Log a failed stream and return the error event that ends it."""
        self.events.emit(
            "stream_failed",
            request_id=exchange.request.id,
            kind=failure.kind.value,
            reason=failure.detail,
        )
        document = error_document(failure, exchange.request.id)
        return error_event(json.dumps(document).encode())

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Bill the usage reported before the caller disconnected."""
        self.report_call_ended(exchange, completed=False)
        self.events.emit("caller_left", request_id=exchange.request.id)
        if exchange.progress.usage is None:
            self.reserve.undo(exchange)
            return
        self.bill(exchange)

    def bill(self, exchange: Exchange) -> bool:
        """Bill the reported usage, at most the reserved tokens.

        Returns:
            Whether the bill is final.
        """
        held, usage = exchange.reservation, exchange.progress.usage
        assert held is not None
        assert usage is not None
        exchange.progress.may_be_billed = True
        tokens = min(usage.total, held.tokens)
        final = self.bill_finaliser.finalise(
            held,
            request_id=exchange.request.id,
            attempt=exchange.attempt,
            tokens=tokens,
        )
        self.events.emit(
            "billed" if final else "bill_pending",
            request_id=exchange.request.id,
            tokens=tokens,
            used=usage.total,
            grant=held.grant.id,
        )
        if final:
            self.metrics.billed.inc(tokens)
        return final

    def report_call_ended(
        self, exchange: Exchange, *, completed: bool, failed: bool = False
    ) -> None:
        """Report to the servers task and the crash guard how the call ended."""
        seconds = self.clock.monotonic() - exchange.request.arrived
        self.choose.report_finished(exchange, failed=failed, seconds=seconds)
        self.isolate.call_ended(exchange, completed=completed)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: no filter runs after this one."""
