"""Reads the requests of callers strictly, and within limits."""

from __future__ import annotations

import io
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from hawthornstage.border.chunked_body import ChunkedDecoder, ChunkError, is_chunked
from hawthornstage.border.read_limits import LimitsChanged, ReadLimits, RequestTimes
from hawthornstage.border.sockets import (
    FAILED,
    READ_BYTES,
    READABLE,
    Interrupt,
    Pollable,
    wait_ready,
)
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import Headers
from hawthornstage.messages.reading_turns import TurnGranted, TurnRecipient

# Headers of a head that the memory of a connection is reckoned with, and what each
# further one takes, in bytes: many short ones take far more than their text.
USUAL_HEADERS = 32
HEADER_BYTES = 512


@dataclass(frozen=True)
class RawRequest:
    """A complete request as received.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers in their order, names in lower case.
        body: The whole body.
        arrived: Monotonic time at which the request was complete, in seconds.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float


@dataclass(frozen=True)
class ConnectionClosed:
    """The caller closed the connection, or the connection failed."""


@dataclass(frozen=True)
class IdleTimeout:
    """No request began before the timeout, or the connection had to give way."""


@dataclass(frozen=True)
class RequestTimeout:
    """A request began and was not completed before the timeout."""


@dataclass(frozen=True)
class RequestRecalled:
    """A request began, and gives way to others before it is complete."""


@dataclass(frozen=True)
class MalformedRequest:
    """The request is invalid, ambiguous or too large, and must not be forwarded.

    Args:
        status: HTTP status code of the response.
        reason: What is wrong with it.
    """

    status: int
    reason: str


ReceiveResult = (
    RawRequest
    | ConnectionClosed
    | IdleTimeout
    | RequestTimeout
    | RequestRecalled
    | MalformedRequest
)


class ReadObserver(Protocol):
    """Is told how the reading of a request proceeds, and may stop it."""

    def wait(self, *, idle: bool) -> Interrupt:
        """Note that the task waits for the caller.

        Args:
            idle: Whether no byte of a request has been received.

        Returns:
            Becomes readable when the connection is to give way.
        """

    def grow(self, size: int) -> bool:
        """Return whether the request may take `size` bytes."""

    def note_read(self, size: int, lines: int) -> None:
        """Note that a read returned `size` bytes with so many line ends."""

    def note_head(self, headers: int) -> None:
        """Note that a head with a number of headers was parsed."""

    @property
    def has_turn(self) -> bool:
        """Whether the task has a turn, which it must end before it waits."""

    def may_read(self) -> bool:
        """Whether the task may read on without a further turn."""

    def request_turn(self, recipient: TurnRecipient) -> None:
        """Ask for a turn, for which the task then waits."""

    def begin_turn(self, granted: TurnGranted) -> None:
        """Note that the task reads on with a turn."""

    def end_turn(self) -> None:
        """Note that the task has nothing to read; does nothing without a turn."""


class RequestReader:
    """Reads one request from a connection.

    Args:
        connection: The connection's socket.
        parser: The connection's parser, which may have bytes of the request.
        clock: The runtime's clock.
        wake_socket: Becomes readable when idle connections must close.
        limits: Returns the limits on the request that are in force.
        observer: Is told of each wait, and of the size of the body.
        send_continue: Tells the caller to send the body.
    """

    def __init__(
        self,
        connection: socket.socket,
        parser: h11.Connection,
        clock: Clock,
        *,
        wake_socket: socket.socket,
        limits: Callable[[], ReadLimits],
        observer: ReadObserver,
        send_continue: Callable[[], None],
    ) -> None:
        self.socket = connection
        self.parser = parser
        self.clock = clock
        self.wake_socket = wake_socket
        self.limits = limits
        self.observer = observer
        self.send_continue = send_continue
        self.begun = bool(parser.trailing_data[0])
        self.head: h11.Request | None = None
        self.chunks: ChunkedDecoder | None = None
        self.body = io.BytesIO()
        # Memory of the head beyond the usual, in bytes.
        self.head_bytes = 0
        # Bytes received of the request until its head was complete.
        self.received_bytes = len(parser.trailing_data[0])
        self.times = RequestTimes(clock, limits)
        if self.begun:
            self.times.begin()

    def read(self) -> ReceiveResult:
        """Return the request, or why there is none."""
        try:
            outcome = self.wait_to_begin()
            while outcome is None:
                outcome = self.read_next()
            return outcome
        except h11.RemoteProtocolError as error:
            return MalformedRequest(error.error_status_hint, str(error))
        except ChunkError as error:
            return MalformedRequest(400, str(error))
        except OSError:
            return ConnectionClosed()

    def wait_to_begin(self) -> ReceiveResult | None:
        """Wait for a turn if one is needed to read what has come with the last request.

        Returns:
            How the request ends, or None to read it.
        """
        if not self.begun or self.observer.may_read():
            return None
        return self.wait_for_turn(self.observer.wait(idle=False))

    def read_next(self) -> ReceiveResult | None:
        """Read the next part; return how the request ends, or None to go on.

        Raises:
            OSError: The connection failed.
            h11.RemoteProtocolError: The bytes are not a valid request.
            ChunkError: The bytes are not a valid chunked body.
        """
        if self.chunks is not None:
            return self.receive()
        match self.parser.next_event():
            case h11.NEED_DATA if self.head is None:
                return self.refuse_head(self.received_bytes) or self.receive()
            case h11.NEED_DATA:
                return self.receive()
            case h11.Request() as head:
                head_bytes = self.received_bytes - len(self.parser.trailing_data[0])
                return self.refuse_head(head_bytes) or self.begin_body(head)
            case h11.Data(data=data):
                return self.add_to_body(data)
            case h11.EndOfMessage():
                return self.complete()
            case _:
                return ConnectionClosed()

    def receive(self) -> ReceiveResult | None:
        """Wait for bytes, and for a turn if one is needed, and pass them on."""
        if self.parser.they_are_waiting_for_100_continue:
            self.send_continue()
        interrupt = self.observer.wait(idle=not self.begun)
        outcome = self.wait_for_bytes(interrupt)
        if outcome is None and not self.observer.may_read():
            outcome = self.wait_for_turn(interrupt)
        if outcome is not None:
            return outcome
        return self.accept_bytes(self.socket.recv(READ_BYTES))

    def refuse_head(self, size: int) -> MalformedRequest | None:
        """Return the refusal of a head, or None if it may have `size` bytes."""
        limit = self.limits().header_bytes
        if size <= limit:
            return None
        return MalformedRequest(431, f"the head exceeds {limit} bytes")

    def wait_for_bytes(self, interrupt: Interrupt) -> ReceiveResult | None:
        """Wait until bytes can be read; return why there are none."""
        watched: list[tuple[Pollable, int]] = [
            (self.socket, READABLE),
            (interrupt, READABLE),
        ]
        if not self.begun:
            watched.append((self.wake_socket, READABLE))
        ready: set[int] = set()
        if self.observer.has_turn:
            ready = self.poll(watched, interrupt, 0)
        if not ready:
            self.observer.end_turn()
            ready = self.wait_until(watched, interrupt, lambda: self.times.deadline)
        if self.begun and interrupt.fileno() in ready:
            return RequestRecalled()
        if self.socket.fileno() not in ready:
            return self.time_out()
        return None

    def wait_until(
        self,
        watched: list[tuple[Pollable, int]],
        interrupt: Interrupt,
        latest: Callable[[], float],
    ) -> set[int]:
        """Wait until a socket is ready; return none once the time is over.

        Args:
            watched: The sockets and the interrupt.
            interrupt: Tells of changed limits, too, which only end a wait.
            latest: Returns the time at which to give up, which limits may change.
        """
        ready: set[int] = set()
        while not ready and (remaining_s := latest() - self.clock.monotonic()) > 0:
            ready = self.poll(watched, interrupt, remaining_s)
        return ready

    def poll(
        self,
        watched: list[tuple[Pollable, int]],
        interrupt: Interrupt,
        timeout_s: float,
    ) -> set[int]:
        """Wait once until a socket is ready, or until limits have changed."""
        ready = wait_ready(watched, timeout_s)
        if interrupt.fileno() in ready and interrupt.discard(LimitsChanged):
            ready.remove(interrupt.fileno())
        return ready

    def wait_for_turn(self, interrupt: Interrupt) -> ReceiveResult | None:
        """Wait until the connection may read on; return how the request ends.

        The caller is given its time anew, as it may have sent the next part long ago.
        """
        self.observer.request_turn(interrupt)
        watched: list[tuple[Pollable, int]] = [
            (interrupt, READABLE),
            (self.socket, FAILED),
        ]
        ready = self.wait_until(
            watched,
            interrupt,
            lambda: self.times.deadline if self.head is None else self.times.ends_at,
        )
        # Limits may have changed since the wait has ended.
        interrupt.discard(LimitsChanged)
        match interrupt.take():
            case []:
                return ConnectionClosed() if ready else self.time_out()
            case [TurnGranted() as granted]:
                self.observer.begin_turn(granted)
                if self.head is not None:
                    self.times.extend()
                return None
            case _:
                # Others need what the connection holds, whether it has a turn or not.
                return RequestRecalled() if self.begun else IdleTimeout()

    def time_out(self) -> ReceiveResult:
        """Return that the caller has sent nothing in time."""
        return RequestTimeout() if self.begun else IdleTimeout()

    def accept_bytes(self, data: bytes) -> ReceiveResult | None:
        """Pass received bytes to the parser or the decoder; b'' is the end."""
        if not data and (not self.begun or self.chunks is not None):
            return ConnectionClosed()
        if not self.begun:
            self.begun = True
            self.times.begin()
        self.observer.note_read(len(data), data.count(b"\n"))
        if self.chunks is not None:
            return self.decode(self.chunks, data)
        if self.head is None:
            self.received_bytes += len(data)
        self.parser.receive_data(data)
        return None

    def begin_body(self, head: h11.Request) -> ReceiveResult | None:
        """Prepare to read the body, unless it is announced as too large."""
        self.head = head
        self.observer.note_head(len(head.headers))
        self.head_bytes = max(0, len(head.headers) - USUAL_HEADERS) * HEADER_BYTES
        if self.head_bytes and not self.observer.grow(self.head_bytes):
            return RequestRecalled()
        # Each part of the body has its own timeout; the caller's deadline applies too.
        self.times.extend()
        if is_chunked(head.headers):
            # Very many tiny chunks cost no memory, and their time is spent in turns.
            self.chunks = ChunkedDecoder(refuse_small=False)
            return self.decode(self.chunks, self.parser.trailing_data[0])
        if announced_bytes(head) > self.limits().body_bytes:
            return self.too_large()
        return None

    def decode(self, chunks: ChunkedDecoder, data: bytes) -> ReceiveResult | None:
        """Decode received bytes of a chunked body."""
        part = chunks.feed(data)
        outcome = self.add_to_body(part) if part else None
        if outcome is None and chunks.finished:
            return self.complete()
        return outcome

    def add_to_body(self, data: bytes) -> ReceiveResult | None:
        """Add a part to the body if it may take so much memory."""
        size = self.body.tell() + len(data)
        if size > self.limits().body_bytes:
            return self.too_large()
        if not self.observer.grow(self.head_bytes + size):
            return RequestRecalled()
        self.body.write(data)
        self.times.extend()
        return None

    def too_large(self) -> MalformedRequest:
        """Return the refusal of a body over the limit."""
        limit = self.limits().body_bytes
        return MalformedRequest(413, f"the body exceeds {limit} bytes")

    def complete(self) -> RawRequest:
        """Return the request, with its head decoded to text."""
        head = self.head
        assert head is not None
        return RawRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple((n.decode(), v.decode("latin-1")) for n, v in head.headers),
            body=self.body.getvalue(),
            arrived=self.clock.monotonic(),
        )


def announced_bytes(head: h11.Request) -> int:
    """Return the length of the body that the head announces, which is valid."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0
