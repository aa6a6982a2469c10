"""HTTP/1.1 connections from callers, with strict parsing of their requests."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11

from hawthornstage.border.chunked_body import ChunkedDecoder, encode_chunk
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.border.request_reader import (
    ReadObserver,
    ReceiveResult,
    RequestReader,
)
from hawthornstage.border.sockets import (
    READABLE,
    reset_on_close,
    set_socket_options,
    wait_ready,
)
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import Headers

# Largest head that the parser keeps, in bytes; the limits in force are checked first.
MAX_HEAD_BYTES = 2**31
# Longest wait for a caller to accept a part of its response, in seconds.
SEND_TIMEOUT_S = 5.0


class CallerConnection:
    """One connection from a caller.

    Args:
        connection: The accepted socket.
        clock: The runtime's clock.
    """

    def __init__(self, connection: socket.socket, clock: Clock) -> None:
        self.socket = connection
        self.clock = clock
        self.parser = new_parser()
        # Whether the response is sent in chunks, and the decoder of a chunked request.
        self.chunked = False
        self.closing = False
        self.request_chunks: ChunkedDecoder | None = None
        set_socket_options(connection)
        connection.settimeout(SEND_TIMEOUT_S)

    @property
    def idle(self) -> bool:
        """Whether no byte of a next request has been received."""
        return not self.parser.trailing_data[0]

    @property
    def is_reading_request(self) -> bool:
        """Whether a request has begun and may not be complete."""
        return self.parser.their_state is not h11.IDLE or not self.idle

    def receive(
        self,
        wake_socket: socket.socket,
        limits: Callable[[], ReadLimits],
        observer: ReadObserver,
    ) -> ReceiveResult:
        """Read the next request.

        Args:
            wake_socket: Becomes readable when idle connections must close.
            limits: Returns the limits on the request that are in force.
            observer: Is told of each wait, and of the size of the body.

        Returns:
            The request, or why there is none.
        """
        reader = RequestReader(
            self.socket,
            self.parser,
            self.clock,
            wake_socket=wake_socket,
            limits=limits,
            observer=observer,
            send_continue=self.send_continue,
        )
        received = reader.read()
        self.request_chunks = reader.chunks
        return received

    def send_continue(self) -> None:
        """Tell the caller, who has asked, to send the body."""
        self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def send(self, event: h11.Event) -> None:
        """Send one part of a response.

        Raises:
            OSError: The connection failed, or the caller did not accept the part within
                `SEND_TIMEOUT_S` seconds.
        """
        data = self.parser.send(event)
        if data:
            self.socket.sendall(data)

    @property
    def can_respond(self) -> bool:
        """Whether no byte of a response to the request has been sent."""
        return self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def announce_close(self) -> None:
        """Make the next response announce that the connection closes after it."""
        self.closing = True

    def send_head(self, status: int, headers: Headers, *, close: bool) -> None:
        """Send the head of a response.

        Args:
            status: HTTP status code.
            headers: All headers but `connection`.
            close: Whether to announce that the connection closes afterwards.
        """
        encoded_headers = [(name, value.encode("latin-1")) for name, value in headers]
        if close or self.closing:
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
        if self.parser.our_state is not h11.DONE:
            return False
        if self.request_chunks is not None:
            return self.restart_parser(self.request_chunks)
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True

    def restart_parser(self, chunks: ChunkedDecoder) -> bool:
        """Begin anew after a chunked body, which the parser has not seen."""
        if not chunks.finished:
            return False
        self.parser = new_parser()
        if chunks.rest:
            self.parser.receive_data(chunks.rest)
        return True

    def has_caller_left(self) -> bool:
        """Whether the caller has closed the connection; does not wait."""
        return bool(wait_ready([(self.socket, READABLE)], 0)) and (
            self.is_closed_by_caller()
        )

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
        if self.parser.our_state is h11.SEND_BODY and not self.chunked:
            # To a caller without chunks, an orderly close would look like the end.
            reset_on_close(self.socket)
        self.socket.close()


def new_parser() -> h11.Connection:
    """Return the parser of a connection on which nothing has been received."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
