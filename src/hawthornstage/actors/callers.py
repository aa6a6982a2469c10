"""The task that owns a caller's connection and reads the requests on it."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog

from hawthornstage.actors.caller_connections import CallerConnections, RequestWatch
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.error_responses import error_document, error_headers
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.border.request_reader import (
    ConnectionClosed,
    IdleTimeout,
    MalformedRequest,
    RawRequest,
    ReceiveResult,
    RequestRecalled,
    RequestTimeout,
)
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.connection_memory import ConnectionMemory, HeldMemory
from hawthornstage.filters.forward_relay import send_response
from hawthornstage.filters.reading_turns import ReadingPace, ReadingTurns
from hawthornstage.messages.bounded_text import bounded_text
from hawthornstage.messages.host_settings import HostLimits
from hawthornstage.observe.events import EventLog

log = structlog.get_logger()

# Idle connections stay open for this much longer than the idle timeout of callers, in
# seconds.
IDLE_MARGIN_S = 1.0


@dataclass(frozen=True)
class CallerIntake:
    """What the connections of all callers share while they read requests.

    Args:
        memory: Memory of request bodies.
        turns: Turns to read long requests.
        host: What the router may take of its host.
        limits: Returns the limits on reading one request that are in force.
        start_delays: How late connections begin to be served.
        clock: The runtime's clock.
        events: The event log.
    """

    memory: ConnectionMemory
    turns: ReadingTurns
    host: HostLimits
    limits: Callable[[], ReadLimits]
    start_delays: StartDelays
    clock: Clock
    events: EventLog


class Answerer(Protocol):
    """Serves the complete requests of callers."""

    def answer(
        self, raw: RawRequest, caller: CallerConnection, pace: ReadingPace
    ) -> bool:
        """Answer one request.

        Args:
            raw: The request.
            caller: The connection that it came on.
            pace: How far the connection may read; to be reset unless the caller alone
                is to blame for a refusal.

        Returns:
            Whether another request may follow on the connection.

        Raises:
            OSError: The caller has left.
        """


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
        intake: What connections share while they read.
        answerer: Serves complete requests.
        stopping: Signals that the router stops.
        connections: Counts the connection and its calls.
        number: Identifies the connection.
        address: Address of the caller.
    """

    def __init__(
        self,
        connection: socket.socket,
        intake: CallerIntake,
        answerer: Answerer,
        stopping: StopSignal,
        connections: CallerConnections,
        number: int,
        address: str,
    ) -> None:
        self.intake = intake
        self.answerer = answerer
        self.stopping = stopping
        self.connections = connections
        self.number = number
        self.address = address
        self.pace = intake.turns.pace_of(number, address)
        self.caller = CallerConnection(connection, intake.clock)

    def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while self.serve_next():
                pass
        except OSError as error:
            self.intake.events.emit("caller_lost", reason=str(error))
        except Exception:
            log.exception("connection_error")
        finally:
            try:
                self.caller.close()
            finally:
                self.connections.remove_connection()

    def serve_next(self) -> bool:
        """Receive and serve one request; return whether another one may follow."""
        with self.intake.memory.hold(f"connection-{self.number}") as memory:
            try:
                received = self.receive(memory)
            except Exception as error:
                return self.give_up_reading(error)
            return self.answer(received)

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
                self.stopping.wake, self.intake.limits, watch
            )
        finally:
            watch.end(served=isinstance(received, RawRequest))
        return received

    def give_up_reading(self, error: Exception) -> bool:
        """Refuse a request that an unforeseen error kept from being read; return False.

        Raises:
            OSError: The caller has left.
        """
        log.exception("connection_error", caller=self.address)
        if self.caller.is_reading_request and self.caller.can_respond:
            detail = type(error).__name__
            self.refuse(Failure(ErrorKind.INTERNAL_NOT_SENT, detail))
        return False

    def answer(self, received: ReceiveResult) -> bool:
        """Answer what was received; return whether another request may follow."""
        match received:
            case RawRequest():
                return self.serve(received)
            case RequestTimeout():
                self.refuse(Failure(ErrorKind.SLOW_REQUEST))
            case RequestRecalled():
                self.refuse(Failure(ErrorKind.OVERLOADED))
            case MalformedRequest(413, reason):
                self.refuse(Failure(ErrorKind.BODY_TOO_LARGE, reason))
            case MalformedRequest(_, reason):
                self.refuse(Failure(ErrorKind.BAD_REQUEST, reason))
            case ConnectionClosed() | IdleTimeout():
                pass
        return False

    def serve(self, raw: RawRequest) -> bool:
        """Serve one complete request; return whether another one may follow."""
        with self.connections.active_call():
            goes_on = self.answer_call(raw)
        if not goes_on:
            return False
        return self.caller.prepare_next_request() and not self.stopping.closing

    def answer_call(self, raw: RawRequest) -> bool:
        """Have a request answered, also after an unforeseen error.

        Returns:
            Whether another request may follow.

        Raises:
            OSError: The caller has left.
        """
        try:
            return self.answerer.answer(raw, self.caller, self.pace)
        except Exception as error:
            answer_error(self.caller, raw, error)
            return False

    def refuse(self, failure: Failure) -> None:
        """Refuse what was not received as a request, and close the connection."""
        send_failure(self.caller, "", failure, close=True)


def answer_error(caller: CallerConnection, raw: RawRequest, error: Exception) -> None:
    """Answer a request that an unforeseen error ended; called while it is handled.

    Args:
        caller: The connection of the caller.
        raw: The request.
        error: The error.

    Raises:
        OSError: The caller has left.
    """
    if isinstance(error, OSError) and not caller.can_respond:
        raise error
    request_id = dict(raw.headers).get("x-request-id", "")
    log.exception("call_error", request_id=bounded_text(request_id))
    if caller.can_respond:
        failure = Failure(ErrorKind.INTERNAL, type(error).__name__)
        send_failure(caller, request_id, failure, close=True)


def send_failure(
    caller: CallerConnection, request_id: str, failure: Failure, *, close: bool
) -> None:
    """Send the error response of a failure.

    Args:
        caller: The connection of the caller.
        request_id: Id of the request, or empty if it has none.
        failure: What failed.
        close: Whether the connection closes after it.

    Raises:
        OSError: The caller has left.
    """
    document = json.dumps(error_document(failure, request_id)).encode()
    headers = (
        ("content-type", "application/json"),
        *error_headers(failure, request_id),
    )
    status = response_for(failure).status
    send_response(caller, status, headers, document, close=close)
