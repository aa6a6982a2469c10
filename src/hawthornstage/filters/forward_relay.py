"""Relay: passes a server's answer on to the caller, as long as it is in order."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.border.sse import EventSplitter, EventTooLargeError
from hawthornstage.messages.forward import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    Broken,
    CallerLeft,
    Delivery,
    ForwardExchange,
    Headers,
    NotSent,
    OutOfTime,
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
    Delivered | Refused | Misdirected | NotSent | Broken | CallerLeft | OutOfTime
)
# What the log and the metrics call each outcome.
OUTCOME_NAMES: dict[type, str] = {
    Delivered: "Delivered",
    Refused: "Refused",
    Misdirected: "Misdirected",
    NotSent: "NotSent",
    Broken: "Broken",
    CallerLeft: "CallerLeft",
    OutOfTime: "OutOfTime",
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

    def relay(self, head: AnswerHead) -> AttemptOutcome:
        """Judge the head of an answer and relay its body."""
        if head.misdirected:
            return Misdirected()
        if head.not_run:
            return Refused(f"status {head.status}, not run", head.status == 503)
        if head.request_id != self.exchange.call.id:
            return Broken("the answer belongs to another request")
        if head.success and (not head.sealed or head.encoded):
            return Broken("the answer is not the server's own")
        try:
            if head.success and self.exchange.route.stream:
                return self.relay_stream(head)
            return self.relay_whole(head)
        except EventTooLargeError as error:
            return Broken(str(error))
        except OSError:
            return CallerLeft()

    def relay_whole(self, head: AnswerHead) -> AttemptOutcome:
        """Take in a whole answer, then pass it on."""
        parts: list[bytes] = []
        size = 0
        while True:
            match self.connection.next_event(self.exchange.deadline + LAST_ANSWER_S):
                case AnswerData(data):
                    size += len(data)
                    if size > MAX_HELD_BYTES:
                        return Broken("the answer is too large")
                    parts.append(data)
                case AnswerEnd():
                    break
                case AnswerHead():
                    return Broken("two heads")
                case end:
                    return end
        failed = head.status >= 500
        if self.delivery.head_sent or (failed and self.retryable):
            return Broken(f"status {head.status}")
        send_whole(self.caller, head.status, head.headers, b"".join(parts), close=False)
        self.delivery.head_sent = True
        self.delivery.status = head.status
        return Delivered(head.status)

    def relay_stream(self, head: AnswerHead) -> AttemptOutcome:
        """Pass whole events on as they come."""
        splitter = EventSplitter()
        clock = self.connection.clock
        passed_at = clock.monotonic()
        while True:
            match self.connection.next_event(self.exchange.deadline):
                case AnswerData(data):
                    events = splitter.feed(data)
                    now = clock.monotonic()
                    if events:
                        pause = max(self.delivery.longest_pause_s, now - passed_at)
                        self.delivery.longest_pause_s = pause
                        passed_at = now
                    self.pass_events(head, events)
                case AnswerEnd(closed) if closed and splitter.rest:
                    return Broken("the stream ends in the middle of an event")
                case AnswerEnd():
                    self.pass_rest(head, splitter.rest)
                    return Delivered(head.status)
                case AnswerHead():
                    return Broken("two heads")
                case end:
                    return end

    def pass_events(self, head: AnswerHead, events: list[bytes]) -> None:
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

    def pass_rest(self, head: AnswerHead, rest: bytes) -> None:
        """Pass on what follows the last event, and end the answer."""
        self.send_head_once(head)
        if rest:
            self.caller.send_data(rest)
        self.caller.send_end()

    def send_head_once(self, head: AnswerHead) -> None:
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
