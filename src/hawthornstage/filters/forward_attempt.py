"""Attempt: sends a forwarded call to servers until one answers."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.breaks_task import CallAnswered
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.forward import TASK_WAIT_S
from hawthornstage.filters.forward_relay import (
    LAST_ANSWER_S,
    OUTCOME_NAMES,
    AnswerRelay,
    AttemptOutcome,
    Delivered,
    Misdirected,
    Refused,
)
from hawthornstage.messages.desired import Idempotency
from hawthornstage.messages.fleet import ServerFailedDuringCall
from hawthornstage.messages.forward import (
    CallerDisconnected,
    DeadlineExceeded,
    Delivery,
    ForwardExchange,
    NotSent,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.messages.node import SocketAddress
from hawthornstage.messages.serving import (
    CallEnded,
    FirstByteReceived,
    NoServerAvailable,
    RequestServer,
    ServerChosen,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.headers import request_headers

# Longest wait for a connection to a server, in seconds.
CONNECT_TIMEOUT_S = 0.4


@dataclass(frozen=True)
class Forwarder:
    """Sends calls to servers.

    Args:
        serving: The task that chooses servers.
        breaks: The task that counts servers' breaks.
        clock: The runtime's clock.
        events: Takes events.
        metrics: Takes counts.
    """

    serving: pykka.ActorRef
    breaks: pykka.ActorRef
    clock: Clock
    events: EventLog
    metrics: Metrics

    def deliver(
        self, exchange: ForwardExchange, caller: CallerConnection, delivery: Delivery
    ) -> Failure | None:
        """Send a call until the caller has its answer.

        Returns:
            Why there is no answer; None if the caller has one, or a part, or left.
        """
        while True:
            choice = self.choose(exchange, delivery)
            if isinstance(choice, NoServerAvailable):
                return self.give_up(delivery, choice.reason)
            try:
                outcome = self.attempt(exchange, caller, choice, delivery)
            except Exception:
                self.release(exchange)
                raise
            self.note(exchange, choice, delivery, outcome)
            match outcome:
                case Delivered():
                    delivery.outcome = "answered"
                    return None
                case CallerDisconnected():
                    delivery.outcome = "caller_left"
                    return None
                case DeadlineExceeded():
                    return self.out_of_time(delivery)
                case Refused(reason, _) | Misdirected(reason) | NotSent(reason):
                    delivery.outcome = reason
                case ServerFailed(reason):
                    delivery.outcome = reason
                    if exchange.route.idempotency is Idempotency.NON_IDEMPOTENT:
                        return self.give_up(delivery, reason)
            if not self.may_go_on(exchange, delivery):
                return self.give_up(delivery, delivery.outcome)

    def may_go_on(self, exchange: ForwardExchange, delivery: Delivery) -> bool:
        """Whether there are attempts and time left for another server."""
        in_time = self.clock.monotonic() < exchange.deadline
        attempts = delivery.attempts - delivery.misdirected
        return in_time and attempts < exchange.route.max_attempts

    def give_up(self, delivery: Delivery, reason: str) -> Failure | None:
        """Return the failure that is true for what has been done so far."""
        if delivery.head_sent:
            delivery.outcome = f"cut: {reason}"
            return None
        kind = (
            ErrorKind.SERVER_FAILED if delivery.may_have_run else ErrorKind.SERVERS_BUSY
        )
        return Failure(kind, reason)

    def out_of_time(self, delivery: Delivery) -> Failure | None:
        """Return the failure for a call whose deadline has passed."""
        if delivery.head_sent:
            delivery.outcome = "cut: out of time"
            return None
        kind = (
            ErrorKind.OUT_OF_TIME if delivery.may_have_run else ErrorKind.SERVERS_BUSY
        )
        return Failure(kind, "the call's time is up")

    def choose(
        self, exchange: ForwardExchange, delivery: Delivery
    ) -> ServerChosen | NoServerAvailable:
        """Ask for a server."""
        want = RequestServer(
            call_id=exchange.call.id,
            service=exchange.service,
            prompt=exchange.call.prompt,
            excluded=frozenset(server.id for server in delivery.attempted_servers),
            retry=delivery.attempts > 0,
            max_connections_per_server=exchange.max_connections_per_server,
            repeatable=exchange.route.idempotency is Idempotency.IDEMPOTENT,
        )
        reply = ask(self.serving, want, self.clock, timeout=TASK_WAIT_S)
        if reply is None:
            self.release(exchange)
            return NoServerAvailable("no reply in time")
        return reply

    def release(self, exchange: ForwardExchange) -> None:
        """Let the call not count on a server that may have been chosen for it."""
        ended = CallEnded(exchange.call.id, failed=False, refused=False)
        self.serving.tell(ended)

    def attempt(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> AttemptOutcome:
        """Send a call to one server and relay its answer."""
        delivery.attempted_servers = (*delivery.attempted_servers, choice.server)
        try:
            connection = self.connect(choice)
        except OSError as error:
            return NotSent(f"no connection to {choice.server.id}: {error}")
        delivery.attempts += 1
        ran_before, delivery.may_have_run = delivery.may_have_run, True
        pooled = False
        try:
            outcome = self.exchange(exchange, caller, connection, choice, delivery)
            pooled = isinstance(outcome, Delivered) and connection.next_cycle()
        finally:
            if not pooled:
                connection.close()
        delivery.pooled = connection if pooled else None
        if isinstance(outcome, Refused | Misdirected):
            delivery.may_have_run = ran_before
        if isinstance(outcome, Misdirected):
            delivery.misdirected += 1
        return outcome

    def connect(self, choice: ServerChosen) -> ServerConnection:
        """Return the kept connection, or a new one.

        Raises:
            OSError: No connection could be made.
        """
        if isinstance(choice.pooled, ServerConnection):
            return choice.pooled
        return ServerConnection(
            SocketAddress(choice.server.host, choice.server.port),
            self.clock,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def exchange(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        connection: ServerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> AttemptOutcome:
        """Send the request and handle the answer."""
        sent_at = self.clock.monotonic()
        delivery.basis, delivery.first_byte_s = choice.basis, None
        call = exchange.call
        workspace = exchange.workspace.name if exchange.workspace else None
        headers = request_headers(
            call,
            server=choice.server.id,
            workspace=workspace,
            remaining_s=exchange.deadline - self.clock.monotonic(),
            urgency=exchange.priority if call.prompt else None,
            resume_after=delivery.last_event_id or call.resume_after,
        )
        connection.start(caller, call.method, call.target, headers, call.body)
        head = connection.next_event(exchange.deadline + LAST_ANSWER_S)
        match head:
            case ResponseHead():
                self.serving.tell(FirstByteReceived(call.id))
                delivery.first_byte_s = self.clock.monotonic() - sent_at
                error_s = delivery.first_byte_s - choice.basis.wait_s
                self.metrics.estimate_error.observe(error_s)
            case ResponseData() | ResponseEnd():
                return ServerFailed("an answer without a head")
            case end:
                return end
        idempotent = exchange.route.idempotency is Idempotency.IDEMPOTENT
        retryable = idempotent and self.may_go_on(exchange, delivery)
        return AnswerRelay(exchange, connection, delivery, retryable).relay(head)

    def note(
        self,
        exchange: ForwardExchange,
        choice: ServerChosen,
        delivery: Delivery,
        outcome: AttemptOutcome,
    ) -> None:
        """Tell the tasks how an attempt ended."""
        call = exchange.call
        kind = OUTCOME_NAMES[type(outcome)]
        self.metrics.count_attempt(exchange.service, choice.server.id, kind)
        failed = isinstance(outcome, ServerFailed | NotSent)
        full = isinstance(outcome, Refused) and outcome.full
        address_reused = isinstance(outcome, Misdirected)
        pooled, delivery.pooled = delivery.pooled, None
        self.serving.tell(
            CallEnded(
                call.id,
                failed=failed,
                refused=full,
                address_reused=address_reused,
                pooled=pooled,
            )
        )
        match outcome:
            case ServerFailed():
                self.breaks.tell(
                    ServerFailedDuringCall(exchange.fingerprint, choice.server.id)
                )
            case Delivered():
                self.breaks.tell(CallAnswered(exchange.fingerprint))
        if not isinstance(outcome, Delivered):
            self.events.emit(
                "attempt_failed",
                request_id=call.id,
                server=choice.server.id,
                wait_ms=int(choice.basis.wait_s * 1000),
                outcome=kind,
                reason=getattr(outcome, "reason", ""),
            )
