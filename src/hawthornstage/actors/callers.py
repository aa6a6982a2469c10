"""The task that owns a caller's connection and serves its forwarded calls."""

from __future__ import annotations

import json
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import structlog

from hawthornstage.actors.caller_connections import CallerConnections, RequestWatch
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.error_responses import error_document, error_headers
from hawthornstage.border.request_reader import (
    REQUEST_TIMEOUT_S,
    ConnectionClosed,
    IdleTimeout,
    MalformedRequest,
    RawRequest,
    ReadLimits,
    ReceiveResult,
    RequestRecalled,
    RequestTimeout,
)
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.connection_memory import ConnectionMemory, HeldMemory
from hawthornstage.filters.forward import (
    ForwardFilter,
    Identify,
    ReserveTokens,
    run_filters,
)
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.filters.forward_relay import send_response
from hawthornstage.filters.reading_turns import ReadingTurns
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import CallerLimits, DesiredState
from hawthornstage.messages.forward import Delivery, ForwardCall, ForwardExchange
from hawthornstage.messages.host_settings import HostLimits
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.headers import parse_call

log = structlog.get_logger()

# Idle connections stay open for this much longer than the idle timeout of callers, in
# seconds.
IDLE_MARGIN_S = 1.0
# Time after which a caller that a stopping router refused may try another, in seconds.
DRAINING_RETRY_S = 0.05
# Failures after which the next request on the connection gets no free part of the
# processor time of reading: they cost the caller nothing.
CALLER_FAULTS = frozenset({ErrorKind.UNAUTHENTICATED, ErrorKind.NO_ROUTE})


@dataclass(frozen=True)
class ForwardPipe:
    """The filters of a forwarded call, and what they share.

    Args:
        identify: Creates the exchange of a call.
        filters: Filters that run before a server is chosen.
        reserve: Settles the call's tokens at its end.
        forwarder: Sends the call to a server and relays the response.
        memory: Memory of request bodies.
        turns: Turns to read long requests.
        host: What the router may take of its host.
        accepting: Whether the router takes new connections.
        start_delays: How late connections begin to be served.
        desired: The desired state in use, for the limits of callers.
        clock: The runtime's clock.
        events: The event log.
        metrics: Request metrics.
    """

    identify: Identify
    filters: Sequence[ForwardFilter]
    reserve: ReserveTokens
    forwarder: Forwarder
    memory: ConnectionMemory
    turns: ReadingTurns
    host: HostLimits
    accepting: LatestValue[bool]
    start_delays: StartDelays
    desired: LatestValue[DesiredState | None]
    clock: Clock
    events: EventLog
    metrics: Metrics

    def limits(self) -> CallerLimits:
        """Return the limits of callers, or the defaults without a desired state."""
        state = self.desired.value
        return state.limits if state else CallerLimits()

    def read_limits(self) -> ReadLimits:
        """Return the limits on reading one request."""
        limits, state = self.limits(), self.desired.value
        longest_s = state.longest_timeout_s if state else 0.0
        return ReadLimits(
            first_byte_timeout_s=limits.idle_timeout_s + IDLE_MARGIN_S,
            read_timeout_s=limits.header_timeout_s,
            body_bytes=limits.body_bytes,
            request_timeout_s=max(REQUEST_TIMEOUT_S, longest_s),
        )


class StopSignal:
    """Signals to the callers' connections that the router stops.

    Its socket `wake` becomes readable when idle connections have to close.
    """

    def __init__(self) -> None:
        self.wake, self.trigger = socket.socketpair()
        self.closing = False
        self.refusing = False

    def close_after_response(self) -> None:
        """Make connections close after their next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Make connections close on which no request is in progress."""
        self.closing = True
        self.trigger.close()

    def refuse_calls(self) -> None:
        """Make connections refuse the calls that they have yet to receive."""
        self.refusing = True


class CallerTask:
    """Owns one caller's connection and serves its requests in turn.

    Args:
        connection: The accepted socket.
        pipe: The filters that serve a request.
        stopping: Signals that the router stops.
        connections: Counts the connection and its calls.
        number: Identifies the connection.
        address: Address of the caller.
    """

    def __init__(
        self,
        connection: socket.socket,
        pipe: ForwardPipe,
        stopping: StopSignal,
        connections: CallerConnections,
        number: int,
        address: str,
    ) -> None:
        self.pipe = pipe
        self.stopping = stopping
        self.connections = connections
        self.number = number
        self.address = address
        self.pace = pipe.turns.pace_of(number, address)
        self.caller = CallerConnection(
            connection, pipe.clock, header_bytes=pipe.limits().header_bytes
        )

    def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while self.serve_next():
                pass
        except OSError as error:
            self.pipe.events.emit("caller_lost", reason=str(error))
        except Exception:
            log.exception("connection_error")
        finally:
            try:
                self.caller.close()
            finally:
                self.connections.remove_connection()

    def serve_next(self) -> bool:
        """Receive and serve one request; return whether another one may follow."""
        with self.pipe.memory.hold(f"connection-{self.number}") as memory:
            return self.answer(self.receive(memory))

    def receive(self, memory: HeldMemory) -> ReceiveResult:
        """Receive one request.

        Args:
            memory: Memory of its body.
        """
        watch = RequestWatch(
            self.number, self.address, self.connections, memory, self.pace
        )
        received: ReceiveResult = ConnectionClosed()
        try:
            received = self.caller.receive(
                self.stopping.wake, self.pipe.read_limits(), watch
            )
        finally:
            watch.end(served=isinstance(received, RawRequest))
        return received

    def answer(self, received: ReceiveResult) -> bool:
        """Answer what was received; return whether another request may follow."""
        match received:
            case RawRequest():
                return self.serve(received)
            case RequestTimeout():
                self.send_error("", Failure(ErrorKind.SLOW_REQUEST), close=True)
            case RequestRecalled():
                self.send_error("", Failure(ErrorKind.OVERLOADED), close=True)
            case MalformedRequest(status, reason):
                kind = (
                    ErrorKind.BODY_TOO_LARGE if status == 413 else ErrorKind.BAD_REQUEST
                )
                self.send_error("", Failure(kind, reason), close=True)
            case ConnectionClosed() | IdleTimeout():
                pass
        return False

    def serve(self, raw: RawRequest) -> bool:
        """Serve one complete request; return whether another one may follow."""
        call = parse_call(raw.method, raw.target, raw.headers, raw.body, raw.arrived)
        if isinstance(call, Failure):
            self.send_error("", call, close=True)
            return False
        if self.stopping.refusing:
            # It might not end within the grace period, and other routers take it.
            failure = Failure(ErrorKind.DRAINING, retry_after_s=DRAINING_RETRY_S)
            self.report(call, None, Delivery(), failure, 0)
            self.send_error(call.id, failure, close=True)
            return False
        if self.caller.has_caller_left():
            # It gave up while its request waited to be read.
            self.report(call, None, Delivery(outcome="caller_left"), None, 0)
            return False
        if self.sends_callers_away:
            self.caller.announce_close()
        with self.connections.active_call():
            delivery = Delivery()
            failure = self.forward(call, delivery)
            if failure is None or failure.kind not in CALLER_FAULTS:
                self.pace.reset()
            if failure is not None:
                self.send_error(call.id, failure, close=self.sends_callers_away)
            elif delivery.outcome != "answered":
                return False
        return self.caller.prepare_next_request() and not self.stopping.closing

    @property
    def sends_callers_away(self) -> bool:
        """Whether callers should send their next request to another router."""
        return self.stopping.closing or not self.pipe.accepting.value

    def forward(self, call: ForwardCall, delivery: Delivery) -> Failure | None:
        """Pass a call through the pipe, settle its tokens and report its end."""
        pipe = self.pipe
        begun = pipe.identify.begin(call)
        if isinstance(begun, Failure):
            self.report(call, None, delivery, begun, 0)
            return begun
        exchange = run_filters(pipe.filters, begun)
        if isinstance(exchange, Failure):
            self.report(call, begun, delivery, exchange, 0)
            return exchange
        used = 0
        try:
            failure = pipe.forwarder.deliver(exchange, self.caller, delivery)
        finally:
            used = pipe.reserve.settle(exchange, delivery)
        self.report(call, exchange, delivery, failure, used)
        return failure

    def send_error(self, request_id: str, failure: Failure, *, close: bool) -> None:
        """Send the error response of a failure."""
        document = json.dumps(error_document(failure, request_id)).encode()
        headers = (
            ("content-type", "application/json"),
            *error_headers(failure, request_id),
        )
        status = response_for(failure).status
        send_response(self.caller, status, headers, document, close=close)

    def report(
        self,
        call: ForwardCall,
        exchange: ForwardExchange | None,
        delivery: Delivery,
        failure: Failure | None,
        used: int,
    ) -> None:
        """Record the end of a call in the metrics and the event log."""
        elapsed_s = self.pipe.clock.monotonic() - call.arrived
        route = exchange.route.name if exchange else ""
        answer = failure.kind.value if failure else delivery.outcome.partition(":")[0]
        self.pipe.metrics.requests.labels(route, answer).inc()
        self.pipe.metrics.call_seconds.labels(route, answer).observe(elapsed_s)
        self.pipe.events.emit(
            "call_ended",
            request_id=call.id,
            routine=answer == "answered",
            route=route,
            version=exchange.desired.version if exchange else 0,
            workspace=exchange.workspace.name
            if exchange and exchange.workspace
            else "",
            servers=",".join(server.id for server in delivery.attempted_servers),
            outcome=answer,
            detail=(failure.detail if failure else delivery.outcome),
            status=response_for(failure).status if failure else delivery.status,
            ms=int(elapsed_s * 1000),
            events=delivery.events,
            stream_version=delivery.stream_version,
            reserved=exchange.reserved if exchange else 0,
            tokens=used,
            **placement_fields(delivery),
        )


def placement_fields(delivery: Delivery) -> dict[str, Any]:
    """Return the log fields of the last server selection and of its response times."""
    basis = delivery.basis
    if basis is None:
        return {}
    fields: dict[str, Any] = {
        "wait_ms": int(basis.wait_s * 1000),
        "candidates": basis.candidates,
        "unread": basis.uncached_tokens,
        "running": basis.running,
    }
    if basis.last_answer_age_s is not None:
        fields["seen_age_ms"] = int(basis.last_answer_age_s * 1000)
    if delivery.first_byte_s is not None:
        fields["first_byte_ms"] = int(delivery.first_byte_s * 1000)
    if delivery.events:
        fields["pause_ms"] = int(delivery.longest_pause_s * 1000)
    return fields
