"""Tasks that own the connections from callers of forwarded calls."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import structlog

from hawthornstage.border.caller_connection import (
    CallerConnection,
    ConnectionClosed,
    IdleTimeout,
    MalformedRequest,
    RawRequest,
    RequestTimeout,
)
from hawthornstage.border.error_responses import error_document, error_headers
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.forward import (
    ForwardFilter,
    Identify,
    ReserveTokens,
    run_filters,
)
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.filters.forward_relay import send_response
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import CallerLimits, DesiredState
from hawthornstage.messages.forward import Delivery, ForwardCall, ForwardExchange
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.headers import parse_call

log = structlog.get_logger()

# Listen backlog: connections that may wait to be accepted.
BACKLOG = 512
# Connections served at once; further ones wait to be accepted.
MAX_CONNECTIONS = 512
# Idle connections stay open for this much longer than the idle timeout of callers, in
# seconds.
IDLE_MARGIN_S = 1.0
# Stack of a connection's thread, in bytes.
STACK_BYTES = 512 * 1024


@dataclass(frozen=True)
class ForwardPipe:
    """The filters of a forwarded call, and what they share.

    Args:
        identify: Creates the exchange of a call.
        filters: Filters that run before a server is chosen.
        reserve: Settles the call's tokens at its end.
        forwarder: Sends the call to a server and relays the response.
        desired: The desired state in use, for the limits of callers.
        clock: The runtime's clock.
        events: The event log.
        metrics: Request metrics.
    """

    identify: Identify
    filters: Sequence[ForwardFilter]
    reserve: ReserveTokens
    forwarder: Forwarder
    desired: LatestValue[DesiredState | None]
    clock: Clock
    events: EventLog
    metrics: Metrics

    def limits(self) -> CallerLimits:
        """Return the limits of callers, or the defaults without a desired state."""
        state = self.desired.value
        return state.limits if state else CallerLimits()


class StopSignal:
    """Signals to the callers' connections that the router stops.

    Its socket `wake` becomes readable when idle connections have to close.
    """

    def __init__(self) -> None:
        self.wake, self.trigger = socket.socketpair()
        self.closing = False

    def close_after_response(self) -> None:
        """Make connections close after their next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Make connections close on which no request is in progress."""
        self.closing = True
        self.trigger.close()


class CallerTask(threading.Thread):
    """Owns one caller's connection and serves its requests in turn.

    Args:
        connection: The accepted socket.
        pipe: The filters that serve a request.
        stopping: Signals that the router stops.
        listener: Counts the active calls, and is notified when the connection ends.
    """

    def __init__(
        self,
        connection: socket.socket,
        pipe: ForwardPipe,
        stopping: StopSignal,
        listener: CallerListener,
    ) -> None:
        super().__init__(name="caller", daemon=True)
        self.pipe = pipe
        self.stopping = stopping
        self.listener = listener
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
            self.caller.close()
            self.listener.connection_ended(self)

    def serve_next(self) -> bool:
        """Receive and serve one request; return whether another one may follow."""
        limits = self.pipe.limits()
        received = self.caller.receive(
            self.stopping.wake,
            first_byte_timeout_s=limits.idle_timeout_s + IDLE_MARGIN_S,
            read_timeout_s=limits.header_timeout_s,
            body_bytes=limits.body_bytes,
        )
        match received:
            case RawRequest():
                return self.serve(received)
            case RequestTimeout():
                self.send_error("", Failure(ErrorKind.SLOW_REQUEST), close=True)
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
        with self.listener.count_active():
            delivery = Delivery()
            failure = self.forward(call, delivery)
            if failure is not None:
                self.send_error(call.id, failure, close=self.stopping.closing)
            elif delivery.outcome != "answered":
                return False
        return self.caller.prepare_next_request() and not self.stopping.closing

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


class CallerListener(threading.Thread):
    """Owns the listening socket, and starts a thread for each caller's connection.

    Args:
        address: The address to listen on.
        pipe: The filters that serve a request.
        stopping: Signals to connections that the router stops.
    """

    def __init__(
        self, address: SocketAddress, pipe: ForwardPipe, stopping: StopSignal
    ) -> None:
        super().__init__(name="callers", daemon=True)
        threading.stack_size(STACK_BYTES)
        self.pipe = pipe
        self.stopping = stopping
        self.slots = threading.BoundedSemaphore(MAX_CONNECTIONS)
        self.condition = threading.Condition()
        self.at_work = 0
        self.socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG, reuse_port=False
        )

    @property
    def port(self) -> int:
        """The bound port, chosen by the system if the address has port 0."""
        return self.socket.getsockname()[1]

    def run(self) -> None:
        """Accept connections until the socket is closed."""
        while True:
            self.slots.acquire()
            try:
                connection, _ = self.socket.accept()
            except OSError as error:
                self.slots.release()
                if self.socket.fileno() < 0 or self.stopping.closing:
                    return
                self.pipe.events.emit("accept_failed", reason=str(error))
                continue
            CallerTask(connection, self.pipe, self.stopping, self).start()

    def connection_ended(self, task: CallerTask) -> None:
        """Free the slot of a connection that has ended."""
        self.slots.release()

    def count_active(self) -> ActiveCall:
        """Return a context manager that counts a call as active."""
        return ActiveCall(self)

    def wait_idle(self, clock: Clock, timeout: float) -> bool:
        """Wait until no call is active; return False after `timeout` seconds."""
        deadline = clock.monotonic() + timeout
        with self.condition:
            while self.at_work:
                remaining = deadline - clock.monotonic()
                if remaining <= 0:
                    return False
                clock.wait(self.condition, remaining)
        return True

    def close(self) -> None:
        """Stop listening, and accept no further connections."""
        self.socket.close()


@dataclass(frozen=True)
class ActiveCall:
    """Context manager that counts one active call."""

    callers: CallerListener

    def __enter__(self) -> None:
        with self.callers.condition:
            self.callers.at_work += 1

    def __exit__(self, *_: object) -> None:
        with self.callers.condition:
            self.callers.at_work -= 1
            self.callers.condition.notify_all()
