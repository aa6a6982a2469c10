"""Relay: checks the response of a server and passes it on to the caller."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import dataclass

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.border.sse import EventSplitter, EventTooLargeError
from hawthornstage.decisions.promises import is_false_promise
from hawthornstage.filters.connection_memory import HeldMemory
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import (
    CallerDisconnected,
    DeadlineExceeded,
    Delivery,
    ForwardExchange,
    Headers,
    NotSent,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.platform.header_text import is_plain_value

# Time after the deadline for a server to report that it ran out of time, in seconds.
DEADLINE_GRACE_S = 0.1
# Largest response that is buffered before it is passed on, in bytes.
MAX_BUFFERED_BYTES = 1024 * 1024
# Why a response is given up whose memory was denied.
NO_MEMORY = "there is no memory for so large a response"


@dataclass(frozen=True)
class Delivered:
    """The caller has received the complete response."""

    status: int


@dataclass(frozen=True)
class Refused:
    """The server rejected the call without running it.

    Args:
        reason: Status of the response, for the log.
        full: Whether the server is at capacity, so that it is avoided for a while.
        closed: Whether it has said that it wants no calls for some time.
    """

    reason: str
    full: bool
    closed: bool = False


@dataclass(frozen=True)
class Misdirected:
    """Another server responded at the address; the chosen server has left it.

    Args:
        ran: What is known of whether that server has run the call.
        reason: For the log.
    """

    ran: ExecutionState
    reason: str = "another server has this address"


@dataclass(frozen=True)
class InternalError:
    """An unforeseen error in this router ended the attempt.

    Args:
        reason: The error, for the log.
        ran: What is known of whether the server has run the call.
    """

    reason: str
    ran: ExecutionState


AttemptOutcome = (
    Delivered
    | Refused
    | Misdirected
    | InternalError
    | NotSent
    | ServerFailed
    | CallerDisconnected
    | DeadlineExceeded
)


def ran_in_attempt(outcome: AttemptOutcome) -> ExecutionState:
    """Return what is known of whether an attempt has run its call."""
    match outcome:
        case NotSent() | Refused():
            return ExecutionState.NO
        case Misdirected(ran) | InternalError(ran=ran):
            return ran
        case _:
            return ExecutionState.UNKNOWN


# Names of the outcomes in the log and the metrics.
OUTCOME_NAMES: dict[type, str] = {
    Delivered: "Delivered",
    Refused: "Refused",
    Misdirected: "Misdirected",
    InternalError: "InternalError",
    NotSent: "NotSent",
    ServerFailed: "Broken",
    CallerDisconnected: "CallerLeft",
    DeadlineExceeded: "OutOfTime",
}


@dataclass(frozen=True)
class ResponseRelay:
    """Relays the response of one server.

    Args:
        exchange: The call.
        connection: Connection to the server.
        delivery: What the caller has received, including parts from earlier servers.
        retryable: Whether the call may still be sent to another server.
        memory: Memory of the response.
        on_answer_began: Called once a success has more than its head; returns why the
            rest must not be passed on, or None if it may.
    """

    exchange: ForwardExchange
    connection: ServerConnection
    delivery: Delivery
    retryable: bool
    memory: HeldMemory
    on_answer_began: Callable[[], str | None]

    @property
    def caller(self) -> CallerConnection:
        """The connection of the caller."""
        return self.connection.caller

    def relay(self, head: ResponseHead) -> AttemptOutcome:
        """Validate the head of a response and relay its body."""
        call_id = self.exchange.call.id
        if not belongs_to_call(head, call_id, reused=self.connection.is_reused):
            return ServerFailed(
                f"response for request {head.request_id!r} instead of {call_id!r}"
            )
        if head.misdirected:
            return Misdirected(head.ran)
        if head.ran is ExecutionState.NO:
            return Refused(
                f"status {head.status}, not run",
                head.status == 503,
                closed=bool(head.notice.closed_for_s),
            )
        if is_false_promise(head.status, head.ran):
            # Passed on, it would tell the caller that the call has not run.
            return ServerFailed(f"status {head.status} without a word on its run")
        if head.is_success and (not head.sealed or head.content_encoded):
            return ServerFailed(
                "the response lacks the server's digest or is re-encoded"
            )
        try:
            if head.is_success and self.exchange.route.stream:
                return self.relay_stream(head)
            return self.relay_buffered(head)
        except EventTooLargeError as error:
            return ServerFailed(str(error))
        except OSError:
            return CallerDisconnected()

    def relay_buffered(self, head: ResponseHead) -> AttemptOutcome:
        """Read a complete response, then send it to the caller."""
        # A list of parts and the body joined from it would take twice the memory.
        body = io.BytesIO()
        while True:
            match self.connection.next_event(self.exchange.deadline + DEADLINE_GRACE_S):
                case ResponseData(data):
                    size = body.tell() + len(data)
                    if size > MAX_BUFFERED_BYTES:
                        return ServerFailed(
                            f"the response exceeds {MAX_BUFFERED_BYTES} bytes"
                        )
                    if not self.memory.grow(size):
                        return ServerFailed(NO_MEMORY)
                    body.write(data)
                case ResponseEnd():
                    break
                case ResponseHead():
                    return ServerFailed("the response has a second head")
                case end:
                    return end
        refusal = self.note_answer_began() if head.is_success else None
        if refusal is not None:
            return ServerFailed(refusal)
        failed = head.status >= 500
        if self.delivery.head_sent or (failed and self.retryable):
            return ServerFailed(f"status {head.status}")
        send_response(
            self.caller, head.status, head.headers, body.getvalue(), close=False
        )
        self.delivery.head_sent = True
        self.delivery.status = head.status
        return Delivered(head.status)

    def relay_stream(self, head: ResponseHead) -> AttemptOutcome:
        """Send each event to the caller when it is complete."""
        splitter = EventSplitter()
        clock = self.connection.clock
        last_event_at = clock.monotonic()
        while True:
            match self.connection.next_event(self.exchange.deadline):
                case ResponseData(data):
                    events = splitter.feed(data)
                    now = clock.monotonic()
                    if events:
                        refusal = self.note_answer_began()
                        if refusal is not None:
                            return ServerFailed(refusal)
                        pause = max(self.delivery.longest_pause_s, now - last_event_at)
                        self.delivery.longest_pause_s = pause
                        last_event_at = now
                    self.send_events(head, events)
                    if not self.memory.grow(len(splitter.buffer)):
                        return ServerFailed(NO_MEMORY)
                case ResponseEnd(closed) if closed and splitter.rest:
                    return ServerFailed(
                        "the stream ended in the middle of an event",
                        connection_lost=True,
                    )
                case ResponseEnd():
                    self.send_stream_end(head, splitter.rest)
                    return Delivered(head.status)
                case ResponseHead():
                    return ServerFailed("the response has a second head")
                case end:
                    return end

    def note_answer_began(self) -> str | None:
        """Report the first time in this attempt that a server began its answer.

        Returns:
            Why the answer must not be passed on, or None if it may.
        """
        if self.delivery.answer_began:
            return None
        self.delivery.answer_began = True
        return self.on_answer_began()

    def send_events(self, head: ResponseHead, events: list[bytes]) -> None:
        """Send events to the caller, count them, and record the last event id."""
        if not events:
            return
        self.send_head_once(head)
        self.delivery.events += len(events)
        self.caller.send_data(b"".join(events))
        for event in reversed(events):
            last = event_id(event)
            if last is not None:
                # Without an id that a request can name, the stream can't go on.
                self.delivery.last_event_id = last if is_plain_value(last) else None
                return

    def send_stream_end(self, head: ResponseHead, rest: bytes) -> None:
        """Send the bytes after the last event and end the response."""
        self.send_head_once(head)
        if rest:
            self.caller.send_data(rest)
        self.caller.send_end()

    def send_head_once(self, head: ResponseHead) -> None:
        """Send the head unless an earlier server's head was sent.

        A retried stream continues in the same response.
        """
        if self.delivery.head_sent:
            return
        self.delivery.head_sent = True
        self.delivery.status = head.status
        self.caller.send_head(head.status, head.headers, close=False)


def belongs_to_call(head: ResponseHead, call_id: str, *, reused: bool) -> bool:
    """Whether a response belongs to a call.

    Args:
        head: The head of the response.
        call_id: Id of the call.
        reused: Whether the connection has carried another call, to which a response
            without an id may belong.
    """
    if head.request_id:
        return head.request_id == call_id
    return head.ran is ExecutionState.NO and not reused


def event_id(event: bytes) -> str | None:
    """Return the id of a server-sent event as a header's text, or None without one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


def send_response(
    caller: CallerConnection,
    status: int,
    headers: Headers,
    body: bytes,
    *,
    close: bool,
) -> None:
    """Send a complete response to the caller.

    Args:
        caller: The connection of the caller.
        status: HTTP status code.
        headers: Headers except Content-Length.
        body: The complete body.
        close: Whether the connection closes after the response.

    Raises:
        OSError: The caller has disconnected.
    """
    length = ("content-length", str(len(body)))
    caller.send_head(status, (*headers, length), close=close)
    if body:
        caller.send_data(body)
    caller.send_end()
