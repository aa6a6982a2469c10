"""Relay: passes a server's answer on to the caller, as long as it is in order."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.border.sse import EventCutter, EventTooLarge
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

# Time after the deadline in which a server may say that it ran out of time, in seconds.
LAST_ANSWER_S = 0.1
# Largest answer that is held whole before it is passed on, in bytes.
MAX_HELD_BYTES = 1024 * 1024


@dataclass(frozen=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclass(frozen=True)
class Refused:
    """The server did not run the call.

    Args:
        reason: What it said.
        full: Whether it is full, and so to be avoided for a while.
    """

    reason: str
    full: bool


@dataclass(frozen=True)
class Misdirected:
    """Another server has the address; the one that was meant is gone."""

    reason: str = "another server has this address"


AttemptOutcome = (
    Delivered
    | Refused
    | Misdirected
    | NotSent
    | ServerFailed
    | CallerDisconnected
    | DeadlineExceeded
)
# What the log and the metrics call each outcome.
OUTCOME_NAMES: dict[type, str] = {
    Delivered: "Delivered",
    Refused: "Refused",
    Misdirected: "Misdirected",
    NotSent: "NotSent",
    ServerFailed: "Broken",
    CallerDisconnected: "CallerLeft",
    DeadlineExceeded: "OutOfTime",
}


@dataclass(frozen=True)
class AnswerRelay:
    """Relays one server's answer.

    Args:
        exchange: The call.
        connection: Where the answer comes from.
        delivery: What the caller has so far; an earlier server may have begun.
        retryable: Whether another server may still be tried.
    """

    exchange: ForwardExchange
    connection: ServerConnection
    delivery: Delivery
    retryable: bool

    @property
    def caller(self) -> CallerConnection:
        """The caller's connection."""
        return self.connection.caller

    def relay(self, head: ResponseHead) -> AttemptOutcome:
        """Judge the head of an answer and relay its body."""
        if head.misdirected:
            return Misdirected()
        if head.not_executed:
            return Refused(f"status {head.status}, not run", head.status == 503)
        if head.request_id != self.exchange.call.id:
            return ServerFailed("the answer belongs to another request")
        if head.is_success and (not head.sealed or head.content_encoded):
            return ServerFailed("the answer is not the server's own")
        try:
            if head.is_success and self.exchange.route.stream:
                return self.relay_stream(head)
            return self.relay_whole(head)
        except EventTooLarge as error:
            return ServerFailed(str(error))
        except OSError:
            return CallerDisconnected()

    def relay_whole(self, head: ResponseHead) -> AttemptOutcome:
        """Take in a whole answer, then pass it on."""
        parts: list[bytes] = []
        size = 0
        while True:
            match self.connection.next_event(self.exchange.deadline + LAST_ANSWER_S):
                case ResponseData(data):
                    size += len(data)
                    if size > MAX_HELD_BYTES:
                        return ServerFailed("the answer is too large")
                    parts.append(data)
                case ResponseEnd():
                    break
                case ResponseHead():
                    return ServerFailed("two heads")
                case end:
                    return end
        failed = head.status >= 500
        if self.delivery.head_sent or (failed and self.retryable):
            return ServerFailed(f"status {head.status}")
        send_whole(self.caller, head.status, head.headers, b"".join(parts), close=False)
        self.delivery.head_sent = True
        self.delivery.status = head.status
        return Delivered(head.status)

    def relay_stream(self, head: ResponseHead) -> AttemptOutcome:
        """Pass whole events on as they come."""
        cutter = EventCutter()
        clock = self.connection.clock
        passed_at = clock.monotonic()
        while True:
            match self.connection.next_event(self.exchange.deadline):
                case ResponseData(data):
                    events = cutter.feed(data)
                    now = clock.monotonic()
                    if events:
                        pause = max(self.delivery.longest_pause_s, now - passed_at)
                        self.delivery.longest_pause_s = pause
                        passed_at = now
                    self.pass_events(head, events)
                case ResponseEnd(closed) if closed and cutter.rest:
                    return ServerFailed("the stream ends in the middle of an event")
                case ResponseEnd():
                    self.pass_rest(head, cutter.rest)
                    return Delivered(head.status)
                case ResponseHead():
                    return ServerFailed("two heads")
                case end:
                    return end

    def pass_events(self, head: ResponseHead, events: list[bytes]) -> None:
        """Pass events on and count them."""
        if not events:
            return
        self.send_head_once(head)
        self.delivery.events += len(events)
        self.caller.send_data(b"".join(events))
        for event in reversed(events):
            last = event_id(event)
            if last is not None:
                self.delivery.last_event_id = last
                return

    def pass_rest(self, head: ResponseHead, rest: bytes) -> None:
        """Pass on what follows the last event, and end the answer."""
        self.send_head_once(head)
        if rest:
            self.caller.send_data(rest)
        self.caller.send_end()

    def send_head_once(self, head: ResponseHead) -> None:
        """Send the first server's head; later servers go on in the same answer."""
        if self.delivery.head_sent:
            return
        self.delivery.head_sent = True
        self.delivery.status = head.status
        self.caller.send_head(head.status, head.headers, close=False)


def event_id(event: bytes) -> str | None:
    """Return the id that a server-sent event carries."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return None


def send_whole(
    caller: CallerConnection,
    status: int,
    headers: Headers,
    body: bytes,
    *,
    close: bool,
) -> None:
    """Send a whole answer.

    Raises:
        OSError: The caller is gone.
    """
    length = ("content-length", str(len(body)))
    caller.send_head(status, (*headers, length), close=close)
    if body:
        caller.send_data(body)
    caller.send_end()
