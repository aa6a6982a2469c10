"""HTTP/1.1 connections from callers, with strict parsing of their requests."""

from __future__ import annotations

import socket
from dataclasses import dataclass

import h11

from hawthornstage.border.chunked_body import encode_chunk
from hawthornstage.border.sockets import (
    READ_BYTES,
    READABLE,
    set_socket_options,
    wait_ready,
)
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import Headers

# Longest wait for a caller to accept a part of its response, in seconds.
SEND_TIMEOUT_S = 5.0


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
    """No request began before the timeout, or the router is stopping."""


@dataclass(frozen=True)
class RequestTimeout:
    """A request began and was not completed before the timeout."""


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
    RawRequest | ConnectionClosed | IdleTimeout | RequestTimeout | MalformedRequest
)


class CallerConnection:
    """One connection from a caller.

    Args:
        connection: The accepted socket.
        clock: The runtime's clock.
        header_bytes: Largest request head, in bytes.
    """

    def __init__(
        self, connection: socket.socket, clock: Clock, *, header_bytes: int
    ) -> None:
        self.socket = connection
        self.clock = clock
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self.chunked = False
        set_socket_options(connection)
        connection.settimeout(SEND_TIMEOUT_S)

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request has been received."""
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
            wake_socket: Becomes readable when idle connections must close.
            first_byte_timeout_s: Longest wait for the first byte, in seconds.
            read_timeout_s: Longest time from the first byte to the complete head, and
                after it longest wait for each part of the body, in seconds.
            body_bytes: Largest body, in bytes.

        Returns:
            The request, or why there is none.
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
        """Read the next request, as `receive` does.

        Raises:
            OSError: The connection failed.
            h11.RemoteProtocolError: The bytes are not a valid request.
        """
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
                    # Each part of the body has its own timeout; the caller's
                    # deadline applies as well.
                    deadline = self.clock.monotonic() + read_timeout_s
                case h11.Data(data=data):
                    size += len(data)
                    if size > body_bytes:
                        return MalformedRequest(
                            413, f"the body exceeds {body_bytes} bytes"
                        )
                    body.append(bytes(data))
                    deadline = self.clock.monotonic() + read_timeout_s
                case h11.EndOfMessage():
                    assert head is not None
                    return self.to_raw_request(head, b"".join(body))
                case _:
                    return ConnectionClosed()

    def to_raw_request(self, head: h11.Request, body: bytes) -> RawRequest:
        """Return a request whose head is decoded to text."""
        return RawRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple((n.decode(), v.decode("latin-1")) for n, v in head.headers),
            body=body,
            arrived=self.clock.monotonic(),
        )

    def send(self, event: h11.Event) -> None:
        """Send one part of a response.

        Raises:
            OSError: The connection failed, or the caller did not accept the part within
                `SEND_TIMEOUT_S` seconds.
        """
        data = self.parser.send(event)
        if data:
            self.socket.sendall(data)

    def send_head(self, status: int, headers: Headers, *, close: bool) -> None:
        """Send the head of a response.

        Args:
            status: HTTP status code.
            headers: All headers but `connection`.
            close: Whether to announce that the connection closes afterwards.
        """
        encoded_headers = [(name, value.encode("latin-1")) for name, value in headers]
        if close:
            encoded_headers.append(("connection", b"close"))
        self.send(h11.Response(status_code=status, headers=encoded_headers))
        sized = any(name == "content-length" for name, _ in headers)
        self.chunked = not sized and self.parser.their_http_version == b"1.1"

    def send_data(self, data: bytes) -> None:
        """Send a part of the response body."""
        if self.chunked:
            # The parser need not see the parts of a stream, only its end.
            self.socket.sendall(encode_chunk(data))
            return
        self.send(h11.Data(data=data))

    def send_end(self) -> None:
        """End the response."""
        self.send(h11.EndOfMessage())

    def prepare_next_request(self) -> bool:
        """Prepare for the next request on this connection.

        Returns:
            False if the connection must close instead.
        """
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
            return True
        return False

    def is_closed_by_caller(self) -> bool:
        """Whether a readable socket means that the caller closed the connection."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection; an incomplete response stays incomplete."""
        self.socket.close()
