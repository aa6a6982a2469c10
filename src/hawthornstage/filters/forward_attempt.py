"""Attempt: sends a forwarded call to servers until one responds."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import pykka
import structlog

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.errors import Failure
from hawthornstage.filters.admit import AdmitCall
from hawthornstage.filters.attempt_reports import AttemptReports
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.forward import BlockCrashingCalls
from hawthornstage.filters.forward_choice import ServerChoice
from hawthornstage.filters.forward_failures import (
    blocked_failure,
    deadline_failure,
    final_failure,
    no_server_failure,
)
from hawthornstage.filters.forward_relay import (
    DEADLINE_GRACE_S,
    AttemptOutcome,
    Delivered,
    InternalError,
    Misdirected,
    Refused,
    ResponseRelay,
    belongs_to_call,
    ran_in_attempt,
)
from hawthornstage.filters.permits import Permits
from hawthornstage.filters.server_dialer import ServerDialer
from hawthornstage.filters.server_versions import ServerVersions
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.bounded_text import bounded_id, bounded_text
from hawthornstage.messages.crashing_parts import AnswerBegan
from hawthornstage.messages.desired import Idempotency
from hawthornstage.messages.execution import ExecutionState
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
from hawthornstage.messages.server_selection import (
    FirstByteReceived,
    NoServerAvailable,
    RegisteredServers,
    ServerChosen,
)
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.headers import request_headers

log = structlog.get_logger()


@dataclass(frozen=True)
class Forwarder:
    """Sends calls to servers and relays the responses.

    Args:
        serving: Task that chooses servers.
        crashing_parts: Task that finds prompt parts which crash servers.
        choice: Chooses servers that have room for a call.
        admit: Lets calls wait while a service is short of room.
        block: Rejects calls that crash servers, also between two attempts.
        permits: Permits for servers that have named a limit.
        dialer: Opens connections to servers.
        versions: Keeps streams at servers of the version that began them.
        reports: Tells how each attempt went.
        memory: Memory of responses.
        registered: The servers that may get calls, read right before each send.
        clock: Source of time and timeouts.
        metrics: Records errors of the wait estimate.
    """

    serving: pykka.ActorRef
    crashing_parts: pykka.ActorRef
    choice: ServerChoice
    admit: AdmitCall
    block: BlockCrashingCalls
    permits: Permits
    dialer: ServerDialer
    versions: ServerVersions
    reports: AttemptReports
    memory: ConnectionMemory
    registered: LatestValue[RegisteredServers]
    clock: Clock
    metrics: Metrics

    def deliver(
        self, exchange: ForwardExchange, caller: CallerConnection, delivery: Delivery
    ) -> Failure | None:
        """Send a call to servers until the caller has a response.

        Args:
            exchange: The call.
            caller: The connection of the caller.
            delivery: Updated with what was done for the call.

        Returns:
            The failure to report to the caller; None if the caller has received a
            response, complete or partial, or has disconnected.
        """
        while True:
            if exchange.waited_s and caller.has_caller_left():
                delivery.outcome = "caller_left"
                return None
            blocked = self.block.check(exchange)
            if blocked is not None:
                return blocked_failure(delivery, blocked)
            choice = self.choose(exchange, delivery)
            if isinstance(choice, NoServerAvailable):
                if not self.may_wait(exchange, delivery, choice):
                    return no_server_failure(delivery, choice)
                waited = self.wait_for_room(exchange, delivery)
                if isinstance(waited, Failure):
                    return final_failure(delivery, waited.detail, waited.retry_after_s)
                exchange = waited
                continue
            outcome = self.attempt_and_report(exchange, caller, choice, delivery)
            match outcome:
                case Delivered():
                    delivery.outcome = "answered"
                    return None
                case CallerDisconnected():
                    delivery.outcome = "caller_left"
                    return None
                case DeadlineExceeded():
                    return deadline_failure(delivery)
                case Refused(reason, full):
                    delivery.outcome = reason
                    if full:
                        if not outcome.closed:
                            delivery.full |= {choice.server.id}
                        self.admit.note_refused(exchange)
                case Misdirected(_, reason) | NotSent(reason) | ServerFailed(reason):
                    delivery.outcome = reason
                case InternalError(reason):
                    delivery.outcome = reason
                    if delivery.head_sent:
                        # How much of the response was sent is not certain.
                        return final_failure(delivery, reason)
            if not self.can_retry(exchange, delivery):
                return final_failure(delivery, delivery.outcome)

    def choose(
        self, exchange: ForwardExchange, delivery: Delivery
    ) -> ServerChosen | NoServerAvailable:
        """Choose a server; after an error none stays reserved for the call."""
        try:
            return self.choice.choose(exchange, delivery)
        except Exception:
            self.choice.release(exchange)
            self.choice.end_lease(delivery)
            raise

    def attempt_and_report(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> AttemptOutcome:
        """Send a call to one server and report how that ended."""
        try:
            outcome = self.attempt(exchange, caller, choice, delivery)
        except Exception as error:
            outcome = note_error(exchange, choice, delivery.ran, error)
        self.reports.report(exchange, choice, delivery, outcome)
        return outcome

    def wait_for_room(
        self, exchange: ForwardExchange, delivery: Delivery
    ) -> ForwardExchange | Failure:
        """Let a call wait for room; then it may go to servers that had none before."""
        if not delivery.full:
            self.admit.note_refused(exchange)
        delivery.excluded -= delivery.full
        delivery.full = frozenset()
        return self.admit.wait_for_room(exchange)

    def may_wait(
        self, exchange: ForwardExchange, delivery: Delivery, choice: NoServerAvailable
    ) -> bool:
        """Whether a call waits because no server has room for it now.

        A stream that has begun goes on at once, and a call that may not run twice waits
        before its first send only.
        """
        if delivery.head_sent or not self.admit.has_time_to_wait(exchange):
            return False
        if choice.at_limit and not delivery.attempts:
            return True
        idempotent = exchange.route.idempotency is Idempotency.IDEMPOTENT
        return choice.all_attempted and idempotent and bool(delivery.full)

    def can_retry(self, exchange: ForwardExchange, delivery: Delivery) -> bool:
        """Return whether another server may go on, and attempts and time are left."""
        idempotent = exchange.route.idempotency is Idempotency.IDEMPOTENT
        if delivery.may_have_run and not idempotent:
            return False
        if delivery.events and delivery.last_event_id is None:
            # It would begin anew.
            return False
        if delivery.events and delivery.began_unconfirmed:
            return False
        in_time = self.clock.monotonic() < exchange.deadline
        attempts = delivery.attempts - delivery.misdirected
        return in_time and attempts < exchange.route.max_attempts

    def attempt(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> AttemptOutcome:
        """Send a call to one server and relay its response."""
        delivery.attempted_servers = (*delivery.attempted_servers, choice.server)
        delivery.excluded |= {choice.server.id}
        try:
            connection = self.dialer.connect(
                exchange.call.id,
                choice,
                exchange.deadline,
                failed_before=delivery.failed_to_connect,
                regions=exchange.regions,
            )
        except OSError as error:
            delivery.failed_to_connect = True
            return NotSent(f"no connection to {choice.server.id}: {error}")
        reason = self.why_not_send(exchange, caller, connection, choice, delivery)
        if reason is not None:
            connection.close()
            return NotSent(reason)
        delivery.attempts += 1
        delivery.through_router = connection.through_router
        ran_before, delivery.ran = delivery.ran, ExecutionState.UNKNOWN
        pooled = False
        try:
            outcome = self.exchange(exchange, caller, connection, choice, delivery)
            pooled = (
                isinstance(outcome, Delivered) and connection.prepare_next_request()
            )
        except Exception as error:
            ran = ExecutionState.UNKNOWN
            if not connection.has_sent:
                ran = ExecutionState.NO
                delivery.attempts -= 1
            outcome = note_error(exchange, choice, ran, error)
        finally:
            if not pooled:
                connection.close()
        delivery.pooled = connection if pooled else None
        if ran_in_attempt(outcome) is ExecutionState.NO:
            delivery.ran = ran_before
            delivery.misdirected += isinstance(outcome, Misdirected)
        return outcome

    def why_not_send(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        connection: ServerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> str | None:
        """Return why a call must not be sent after all, or None if it may be.

        The server's state may have changed while the connection was opened or asked.
        """
        server = choice.server
        if not self.versions.may_go_on_there(
            exchange, caller, connection, choice.server, delivery
        ):
            return f"{server.id} may have another version by now"
        refusal = self.permits.why_not_accepting(server, self.registered.value)
        if refusal is not None:
            return f"{server.id} accepts no call any more: {refusal}"
        if self.choice.lacks_permit(choice, delivery):
            denied = self.choice.acquire_permit(exchange, choice, delivery)
            if denied is not None:
                return f"{server.id} has reached its limit since then"
        return None

    def exchange(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        connection: ServerConnection,
        choice: ServerChosen,
        delivery: Delivery,
    ) -> AttemptOutcome:
        """Send the request over a connection and relay the response."""
        sent_at = self.clock.monotonic()
        delivery.basis, delivery.first_byte_s = choice.basis, None
        delivery.answer_began = False
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
        if exchange.route.idempotency is Idempotency.IDEMPOTENT:
            connection.is_link_silent = partial(
                self.dialer.is_link_silent, choice.server.incarnation
            )
        connection.start(caller, call.method, call.target, headers, call.body)
        head = connection.next_event(exchange.deadline + DEADLINE_GRACE_S)
        match head:
            case ResponseHead():
                delivery.first_byte_s = self.clock.monotonic() - sent_at
                self.note_head(exchange, connection, choice, delivery, head)
            case ResponseData() | ResponseEnd():
                return ServerFailed("the response has no head")
            case end:
                return end
        retryable = self.can_retry(exchange, delivery)

        def on_answer_began() -> str | None:
            if exchange.shared_ids:
                self.crashing_parts.tell(AnswerBegan(exchange.shared_ids))
            return self.versions.note_stream_version(
                exchange, connection, choice.server, delivery
            )

        with self.memory.hold(bounded_id(call.id)) as memory:
            relay = ResponseRelay(
                exchange, connection, delivery, retryable, memory, on_answer_began
            )
            return relay.relay(head)

    def note_head(
        self,
        exchange: ForwardExchange,
        connection: ServerConnection,
        choice: ServerChosen,
        delivery: Delivery,
        head: ResponseHead,
    ) -> None:
        """Report what the head of a response tells of the server."""
        call_id = exchange.call.id
        own = belongs_to_call(head, call_id, reused=connection.is_reused)
        if own and head.shows_speed:
            self.serving.tell(FirstByteReceived(exchange.unique_id))
        if delivery.first_byte_s is not None:
            error_s = delivery.first_byte_s - choice.basis.wait_s
            self.metrics.estimate_error.observe(error_s)
        self.reports.note_notice(call_id, choice.server, head, connection)
        if head.ran is not ExecutionState.NO:
            self.admit.note_accepted(exchange)


def note_error(
    exchange: ForwardExchange,
    choice: ServerChosen,
    ran: ExecutionState,
    error: Exception,
) -> InternalError:
    """Log the unforeseen error that ended an attempt; called while it is handled.

    Args:
        exchange: The call.
        choice: The server.
        ran: What is known of whether the server has run the call.
        error: The error.
    """
    log.exception(
        "attempt_error",
        request_id=bounded_text(exchange.call.id),
        server=choice.server.id,
        ran=ran.value,
    )
    return InternalError(f"internal error: {type(error).__name__}", ran)
