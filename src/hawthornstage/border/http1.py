"""HTTP/1.1 on sockets: strict reading of callers' requests and servers' answers."""

from __future__ import annotations

import select
import socket
from collections.abc import Sequence
from dataclasses import dataclass

import h11

from hawthornstage.clock import Clock
from hawthornstage.messages.forward import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    Broken,
    CallerLeft,
    ExchangeEvent,
    Headers,
    OutOfTime,
)
from hawthornstage.messages.node import SocketAddress
from hawthornstage.platform.headers import read_answer

READ_BYTES = 65_536
# Longest wait for a caller to take a piece of its answer, in seconds.
SEND_TIMEOUT_S = 5.0
# A connection whose other side is silent is dead after this time, in milliseconds.
DEAD_CONNECTION_MS = 3_000
# Longest head of a server's answer, in bytes.
MAX_ANSWER_HEAD_BYTES = 65_536
READABLE = select.POLLIN | select.POLLHUP | select.POLLERR


@dataclass(frozen=True)
class RawRequest:
    """A whole request as it came in; names of headers are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float


@dataclass(frozen=True)
class ConnectionClosed:
    """The caller closed the connection between two requests."""


@dataclass(frozen=True)
class IdleTooLong:
    """No request came in time."""


@dataclass(frozen=True)
class SlowRequest:
    """A request was begun and not finished in time."""


@dataclass(frozen=True)
class MalformedRequest:
    """The bytes are no request that may be forwarded."""

    status: int
    reason: str


Received = RawRequest | ConnectionClosed | IdleTooLong | SlowRequest | MalformedRequest


def wait_ready(
    sockets: Sequence[tuple[socket.socket, int]], timeout_s: float
) -> set[int]:
    """Wait until one of the sockets is ready; return their descriptors."""
    poll = select.poll()
    for each, events in sockets:
        poll.register(each, events)
    return {number for number, _ in poll.poll(max(0.0, timeout_s) * 1000)}


def set_options(connection: socket.socket) -> None:
    """Send at once, and notice a dead other side."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_CONNECTION_MS
    )


class CallerConnection:
    """One connection from a caller.

    Args:
        connection: The accepted socket.
        clock: The runtime's clock.
        header_bytes: Largest head of a request.
    """

    def __init__(
        self, connection: socket.socket, clock: Clock, *, header_bytes: int
    ) -> None:
        self.socket = connection
        self.clock = clock
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        set_options(connection)
        connection.settimeout(SEND_TIMEOUT_S)

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request is in."""
        return not self.parser.trailing_data[0]

    def receive(
        self, wake: socket.socket, *, idle_s: float, head_s: float, body_bytes: int
    ) -> Received:
        """Read the next request.

        Args:
            wake: Becomes readable when idle connections are to end.
            idle_s: Longest wait for its first byte, in seconds.
            head_s: Longest wait for the rest, in seconds.
            body_bytes: Largest body.
        """
        try:
            return self.read_request(wake, idle_s, head_s, body_bytes)
        except h11.RemoteProtocolError as error:
            return MalformedRequest(error.error_status_hint, str(error))
        except OSError:
            return ConnectionClosed()

    def read_request(
        self, wake: socket.socket, idle_s: float, head_s: float, body_bytes: int
    ) -> Received:
        """Read the next request; errors of the socket and the parser are raised."""
        deadline = self.clock.monotonic() + idle_s
        begun = not self.idle
        if begun:
            deadline = self.clock.monotonic() + head_s
        head: h11.Request | None = None
        body: list[bytes] = []
        size = 0
        while True:
            match self.parser.next_event():
                case h11.NEED_DATA:
                    if self.parser.they_are_waiting_for_100_continue:
                        self.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    watched = [(self.socket, READABLE)]
                    if not begun:
                        watched.append((wake, READABLE))
                    left = deadline - self.clock.monotonic()
                    ready = wait_ready(watched, left) if left > 0 else set()
                    if self.socket.fileno() not in ready:
                        return SlowRequest() if begun else IdleTooLong()
                    data = self.socket.recv(READ_BYTES)
                    if not data and not begun:
                        return ConnectionClosed()
                    if not begun:
                        begun = True
                        deadline = self.clock.monotonic() + head_s
                    self.parser.receive_data(data)
                case h11.Request() as head:
                    # A body has its own time; the caller's time limit counts too.
                    deadline = self.clock.monotonic() + head_s
                case h11.Data(data=data):
                    size += len(data)
                    if size > body_bytes:
                        return MalformedRequest(413, "the body is too large")
                    body.append(bytes(data))
                    deadline = self.clock.monotonic() + head_s
                case h11.EndOfMessage():
                    assert head is not None
                    return self.to_request(head, b"".join(body))
                case _:
                    return ConnectionClosed()

    def to_request(self, head: h11.Request, body: bytes) -> RawRequest:
        """Return a request in text."""
        return RawRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple((n.decode(), v.decode("latin-1")) for n, v in head.headers),
            body=body,
            arrived=self.clock.monotonic(),
        )

    def send(self, event: h11.Event) -> None:
        """Send one part of an answer.

        Raises:
            OSError: The caller is gone or takes nothing.
        """
        data = self.parser.send(event)
        if data:
            self.socket.sendall(data)

    def send_head(self, status: int, headers: Headers, *, close: bool) -> None:
        """Send the head of an answer."""
        listed = [(name, value.encode("latin-1")) for name, value in headers]
        if close:
            listed.append(("connection", b"close"))
        self.send(h11.Response(status_code=status, headers=listed))

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self.send(h11.Data(data=data))

    def send_end(self) -> None:
        """End the answer."""
        self.send(h11.EndOfMessage())

    def next_cycle(self) -> bool:
        """Prepare for the next request; False if the connection must close."""
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
            return True
        return False

    def has_left(self) -> bool:
        """Whether a readable socket means that the caller has closed it."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection; an answer that is not complete stays so."""
        self.socket.close()


class ServerConnection:
    """A connection to a backend server, for one request at a time.

    Args:
        address: The server.
        clock: The runtime's clock.
        connect_timeout_s: Longest wait for the connection, in seconds.

    Raises:
        OSError: No connection could be made.
    """

    caller: CallerConnection

    def __init__(
        self, address: SocketAddress, clock: Clock, *, connect_timeout_s: float
    ) -> None:
        self.clock = clock
        self.socket = socket.create_connection(
            (address.host, address.port), timeout=connect_timeout_s
        )
        set_options(self.socket)
        self.socket.setblocking(False)
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self.unsent = memoryview(b"")
        self.watch_caller = True
        self.closed_by_server = False
        self.answered_early = False
        self.keep_s: float | None = None

    def start(
        self,
        caller: CallerConnection,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Queue a request; `next_event` sends it.

        Args:
            caller: The connection whose caller waits for the answer.
            method: HTTP method.
            target: Path and query.
            headers: All headers, the body's length too.
            body: The whole body.
        """
        self.caller = caller
        self.watch_caller = True
        listed = [(name, value.encode("latin-1")) for name, value in headers]
        head = h11.Request(method=method, target=target, headers=listed)
        parts = [self.parser.send(head)]
        if body:
            parts.append(self.parser.send(h11.Data(data=body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        self.unsent = memoryview(b"".join(part for part in parts if part))

    def next_event(self, deadline: float) -> ExchangeEvent:
        """Send what is unsent and return what happens next."""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.closed_by_server:
                    return Broken("the server closed the connection too early")
                return Broken(f"not an answer: {error}")
            match event:
                case h11.NEED_DATA:
                    outcome = self.transfer(deadline)
                    if outcome is not None:
                        return outcome
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    # A server that answers early need not read the rest.
                    self.answered_early = bool(self.unsent)
                    self.unsent = memoryview(b"")
                    head = to_answer_head(event)
                    self.keep_s = head.keep_s
                    return head
                case h11.Data(data=data):
                    return AnswerData(bytes(data))
                case h11.EndOfMessage():
                    return AnswerEnd(self.closed_by_server)
                case _:
                    return Broken("the server closed the connection")

    def transfer(self, deadline: float) -> ExchangeEvent | None:
        """Wait for the server and the caller; send and receive what can be."""
        left = deadline - self.clock.monotonic()
        if left <= 0:
            return OutOfTime()
        events = READABLE | (select.POLLOUT if self.unsent else 0)
        watched = [(self.socket, events)]
        if self.watch_caller:
            watched.append((self.caller.socket, READABLE))
        ready = wait_ready(watched, left)
        if self.caller.socket.fileno() in ready:
            if self.caller.has_left():
                return CallerLeft()
            # The caller has sent its next request already; it waits its turn.
            self.watch_caller = False
        if self.socket.fileno() not in ready:
            return None
        try:
            self.receive()
            self.send_some()
        except OSError as error:
            return Broken(f"{type(error).__name__}: {error.strerror}")
        return None

    def receive(self) -> None:
        """Take in what has come."""
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.closed_by_server = True
        self.parser.receive_data(data)

    def send_some(self) -> None:
        """Send as much of the request as the connection takes."""
        if not self.unsent or self.closed_by_server:
            return
        try:
            sent = self.socket.send(self.unsent)
        except BlockingIOError:
            return
        self.unsent = self.unsent[sent:]

    def next_cycle(self) -> bool:
        """Prepare for another request; False if the connection must close.

        A server that answered early may still expect the rest of the request.
        """
        states = {self.parser.our_state, self.parser.their_state}
        if states != {h11.DONE} or self.answered_early or not self.quiet():
            return False
        self.parser.start_next_cycle()
        return True

    def quiet(self) -> bool:
        """Whether nothing has come that no request asked for, not even a close."""
        if self.parser.trailing_data[0]:
            return False
        return not wait_ready([(self.socket, READABLE)], 0.0)

    def close(self) -> None:
        """Close the connection, which makes the server drop the request."""
        self.socket.close()


def to_answer_head(event: h11.Response) -> AnswerHead:
    """Return the head of an answer in the product's terms."""
    headers = tuple((n.decode(), v.decode("latin-1")) for n, v in event.headers)
    return read_answer(event.status_code, headers)
