"""Settle: bills the real use once, and only then lets the answer's end go."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.budgets import ledger_key
from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.peers import Send
from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.border.answers import error_document
from hawthornstage.border.sse import error_event
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.decisions.billing import (
    AskHolder,
    AskLedger,
    AskWitness,
    Begin,
    Billing,
    BillingMessage,
    Final,
    NoAnswer,
    NotFinal,
    step,
)
from hawthornstage.decisions.ledger import RecordBills
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.choose_server import ChooseServer
from hawthornstage.filters.claim import claim_name, claims_key
from hawthornstage.filters.isolate import Isolate
from hawthornstage.filters.reserve import Reserve, Treasury
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.money import (
    Bill,
    CopyKept,
    CopyRefused,
    KeepCopy,
)
from hawthornstage.messages.money import (
    Settle as SettleMessage,
)
from hawthornstage.messages.request import Exchange, Reservation
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Longest wait for one witness, in seconds.
WITNESS_WAIT_S = 0.5
# Longest wait for the ledger where no witness takes the bill, in seconds.
LEDGER_WAIT_S = 5.0


@dataclass(frozen=True)
class Cashier:
    """Makes bills final.

    A bill is final once a witness of its grant keeps a copy or the ledger has it.

    Args:
        node: This router's name.
        treasury: Reserves anew if a grant was closed meanwhile.
        shards: Number of ledger documents.
        documents: The ledger's documents.
        peers: Sends messages to witnesses.
        settlements: Keeps final bills until they are stored.
        clock: The runtime's clock.
    """

    node: str
    treasury: Treasury
    shards: int
    documents: pykka.ActorRef
    peers: pykka.ActorRef
    settlements: pykka.ActorRef
    clock: Clock

    def finalise(
        self, held: Reservation, *, request_id: str, attempt: str, tokens: int
    ) -> bool:
        """Make the bill for a reservation final; False if nobody could take it."""
        bill = Bill(held.budget, held.grant, request_id, attempt, tokens)
        billing = Billing(self.node, bill, held.holder)
        message: BillingMessage = Begin()
        while True:
            billing, effect = step(billing, message)
            match effect:
                case AskWitness():
                    message = self.ask_witness(effect)
                case AskLedger():
                    message = self.ask_ledger(effect)
                case AskHolder():
                    message = self.ask_holder(effect)
                case Final(bill, holder) | NotFinal(bill, holder):
                    # Even a bill that may not be final keeps its tokens for good.
                    self.tell_holder(bill, holder)
                    return isinstance(effect, Final)

    def tell_holder(self, bill: Bill, holder: str) -> None:
        """Bring the bill to its holder, and keep it until it is stored."""
        self.settlements.tell(DeliverToHolder(holder, SettleMessage(bill, self.node)))

    def ask_witness(self, effect: AskWitness) -> BillingMessage:
        """Ask a witness to keep a copy."""
        mailbox = Mailbox(self.clock)
        keep = KeepCopy(effect.bill, effect.witness)
        self.peers.tell(Send(effect.witness.node, keep, mailbox))
        reply = mailbox.get(timeout=WITNESS_WAIT_S)
        return reply if isinstance(reply, CopyKept | CopyRefused) else NoAnswer()

    def ask_ledger(self, effect: AskLedger) -> BillingMessage:
        """Write the bill into the ledger."""
        bill, mailbox = effect.bill, Mailbox(self.clock)
        expires = self.clock.monotonic() + LEDGER_WAIT_S
        key = ledger_key(bill.budget, self.shards)
        record = RecordBills(bill.budget, bill.grant.id, {bill.request_id: bill.tokens})
        self.documents.tell(Apply(key, record, mailbox, expires, urgent=True))
        match mailbox.get(timeout=LEDGER_WAIT_S + 2.0):
            case Applied(result=result):
                return result
            case _:
                return NoAnswer()

    def ask_holder(self, effect: AskHolder) -> BillingMessage:
        """Reserve the bill's tokens under an open grant."""
        self.tell_holder(effect.old, effect.old_holder)
        bill = effect.old
        return self.treasury.reserve(bill.budget, effect.attempt, bill.tokens)


@dataclass(frozen=True)
class ClaimOffice:
    """Stores the outcomes of claimed calls.

    Args:
        documents: The claims' documents.
        shards: Number of claim documents.
    """

    documents: pykka.ActorRef
    shards: int

    def finish(self, exchange: Exchange, body: bytes) -> None:
        """Store the outcome for later tries; no answer is waited for."""
        upstream = exchange.upstream
        if not exchange.claimed or upstream is None:
            return
        kept = body if len(body) <= claims.MAX_STORED_BODY_BYTES else b""
        outcome = claims.Outcome(upstream.status, upstream.content_type, kept)
        name = claim_name(exchange)
        finish = claims.Finish(name, exchange.attempt, outcome)
        self.documents.tell(Apply(claims_key(name, self.shards), finish))


@dataclass(frozen=True)
class Settle:
    """Wraps the reply so that its end waits for the bill.

    Args:
        cashier: Makes bills final.
        office: Stores outcomes of claimed calls.
        reserve: Gives reservations back.
        choose: Takes calls off their servers.
        isolate: Learns how calls left their servers.
        clock: The runtime's clock.
        events: Takes events.
        metrics: Counts billed tokens.
    """

    cashier: Cashier
    office: ClaimOffice
    reserve: Reserve
    choose: ChooseServer
    isolate: Isolate
    clock: Clock
    events: EventLog
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Settle a whole answer now, or a stream when it ends."""
        reply, upstream = exchange.reply, exchange.upstream
        assert reply is not None
        assert upstream is not None
        if upstream.events is not None:
            return replace(exchange, reply=replace(reply, body=self.follow(exchange)))
        self.leave_server(exchange, whole=True)
        final = self.bill(exchange)
        self.office.finish(exchange, exchange.progress.tail)
        if not final:
            return Failure(ErrorKind.BILL_UNRECORDED)
        body = iter([exchange.progress.tail])
        return replace(exchange, reply=replace(reply, body=body))

    def follow(self, exchange: Exchange) -> Iterator[bytes]:
        """Yield a stream, bill it, and yield its end."""
        assert exchange.reply is not None
        assert exchange.upstream is not None
        progress = exchange.progress
        ended = False
        try:
            yield from exchange.reply.body
            ended = True
            whole = progress.cut is None
            self.leave_server(exchange, whole=whole, failed=not whole)
            yield self.end(exchange)
        finally:
            exchange.upstream.close()
            if not ended:
                self.caller_left(exchange)

    def end(self, exchange: Exchange) -> bytes:
        """Return the end of a stream: the held-back tail, or an error."""
        progress = exchange.progress
        if progress.cut is not None or progress.usage is None:
            self.reserve.undo(exchange)
            reason = progress.cut or "the engine did not report its use"
            return self.error(exchange, Failure(ErrorKind.STREAM_CUT, reason))
        if not self.bill(exchange):
            return self.error(exchange, Failure(ErrorKind.BILL_UNRECORDED))
        return progress.tail

    def error(self, exchange: Exchange, failure: Failure) -> bytes:
        """Return an event that tells the caller why the stream has no end."""
        self.events.emit(
            "stream_failed",
            request_id=exchange.request.id,
            kind=failure.kind.value,
            reason=failure.detail,
        )
        document = error_document(failure, exchange.request.id)
        return error_event(json.dumps(document).encode())

    def caller_left(self, exchange: Exchange) -> None:
        """Bill what a caller used that left before the end."""
        self.leave_server(exchange, whole=False)
        self.events.emit("caller_left", request_id=exchange.request.id)
        if exchange.progress.usage is None:
            self.reserve.undo(exchange)
            return
        self.bill(exchange)

    def bill(self, exchange: Exchange) -> bool:
        """Make the bill final; False if nobody could take it."""
        held, usage = exchange.reservation, exchange.progress.usage
        assert held is not None
        assert usage is not None
        exchange.progress.settling = True
        tokens = min(usage.total, held.tokens)
        final = self.cashier.finalise(
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

    def leave_server(
        self, exchange: Exchange, *, whole: bool, failed: bool = False
    ) -> None:
        """Tell how the call left its server."""
        seconds = self.clock.monotonic() - exchange.request.arrived
        self.choose.finish(exchange, failed=failed, seconds=seconds)
        self.isolate.ended(exchange, whole=whole)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: this is the last filter."""
