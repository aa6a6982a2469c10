"""HTTP/1.1 from callers: strict reading of their requests."""

from __future__ import annotations

import socket
from dataclasses import dataclass

import h11

from hawthornstage.border.sockets import (
    READ_BYTES,
    READABLE,
    set_socket_options,
    wait_ready,
)
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import Headers

# Longest wait for a caller to take a piece of its answer, in seconds.
SEND_TIMEOUT_S = 5.0


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
class IdleTimeout:
    """No request came in time."""


@dataclass(frozen=True)
class RequestTimeout:
    """A request was begun and not finished in time."""


@dataclass(frozen=True)
class MalformedRequest:
    """The bytes are no request that may be forwarded."""

    status: int
    reason: str


ReceiveResult = (
    RawRequest | ConnectionClosed | IdleTimeout | RequestTimeout | MalformedRequest
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
        set_socket_options(connection)
        connection.settimeout(SEND_TIMEOUT_S)

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request is in."""
        return not self.parser.trailing_data[0]

    def receive(
        self,
        wake_socket: socket.socket,
        *,
        first_byte_timeout_s: float,
        read_timeout_s: float,
        body_bytes: int,
    ) -> ReceiveResult:
        """Read the next request.

        Args:
            wake_socket: Becomes readable when idle connections are to end.
            first_byte_timeout_s: Longest wait for its first byte, in seconds.
            read_timeout_s: Longest wait for the rest, in seconds.
            body_bytes: Largest body.
        """
        try:
            return self.read_request(
                wake_socket, first_byte_timeout_s, read_timeout_s, body_bytes
            )
        except h11.RemoteProtocolError as error:
            return MalformedRequest(error.error_status_hint, str(error))
        except OSError:
            return ConnectionClosed()

    def read_request(
        self,
        wake_socket: socket.socket,
        first_byte_timeout_s: float,
        read_timeout_s: float,
        body_bytes: int,
    ) -> ReceiveResult:
        """Read the next request; errors of the socket and the parser are raised."""
        deadline = self.clock.monotonic() + first_byte_timeout_s
        begun = not self.idle
        if begun:
            deadline = self.clock.monotonic() + read_timeout_s
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
                        watched.append((wake_socket, READABLE))
                    remaining_s = deadline - self.clock.monotonic()
                    ready = (
                        wait_ready(watched, remaining_s) if remaining_s > 0 else set()
                    )
                    if self.socket.fileno() not in ready:
                        return RequestTimeout() if begun else IdleTimeout()
                    data = self.socket.recv(READ_BYTES)
                    if not data and not begun:
                        return ConnectionClosed()
                    if not begun:
                        begun = True
                        deadline = self.clock.monotonic() + read_timeout_s
                    self.parser.receive_data(data)
                case h11.Request() as head:
                    # A body has its own time; the caller's time limit counts too.
                    deadline = self.clock.monotonic() + read_timeout_s
                case h11.Data(data=data):
                    size += len(data)
                    if size > body_bytes:
                        return MalformedRequest(413, "the body is too large")
                    body.append(bytes(data))
                    deadline = self.clock.monotonic() + read_timeout_s
                case h11.EndOfMessage():
                    assert head is not None
                    return self.to_raw_request(head, b"".join(body))
                case _:
                    return ConnectionClosed()

    def to_raw_request(self, head: h11.Request, body: bytes) -> RawRequest:
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
        encoded_headers = [(name, value.encode("latin-1")) for name, value in headers]
        if close:
            encoded_headers.append(("connection", b"close"))
        self.send(h11.Response(status_code=status, headers=encoded_headers))

    def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self.send(h11.Data(data=data))

    def send_end(self) -> None:
        """End the answer."""
        self.send(h11.EndOfMessage())

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; False if the connection must close."""
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
            return True
        return False

    def is_closed_by_caller(self) -> bool:
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
