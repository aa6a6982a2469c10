"""HTTP/1.1 connections to backend servers, with strict parsing of responses."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

import h11

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.chunked_body import ChunkedDecoder, ChunkError, is_chunked
from hawthornstage.border.sockets import (
    READ_BYTES,
    READABLE,
    probe_when_idle,
    set_socket_options,
    unacknowledged_bytes,
    wait_ready,
)
from hawthornstage.border.tunnel import TunnelReader, send_token
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import (
    CallerDisconnected,
    DeadlineExceeded,
    ExchangeEvent,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.platform.headers import parse_response_head

# Largest head of a server's response, in bytes.
MAX_RESPONSE_HEAD_BYTES = 65_536
# Largest body that is copied, so that it is sent together with its head, in bytes.
MAX_JOINED_BYTES = 16_384
# Status codes of responses, informational ones excluded.
VALID_STATUSES = range(200, 600)
# Most informational (1xx) responses before a response.
MAX_INFORMATIONAL_RESPONSES = 16
# Time without a byte after which a call over a link that fails is given up, and the
# interval of the checks, in seconds.
STALL_S = 1.0
STALL_CHECK_INTERVAL_S = 0.5


class ServerConnection:
    """A connection to a backend server, for one request at a time.

    Args:
        address: The server's address.
        clock: The runtime's clock.
        connect_timeout_s: Longest wait for the connection, in seconds.
        tunnel_token: Token of a tunnel to the server that another router has opened at
            the address, or None if the address is the server's own.

    Raises:
        OSError: The server cannot be connected to.
    """

    caller: CallerConnection | None

    def __init__(
        self,
        address: SocketAddress,
        clock: Clock,
        *,
        connect_timeout_s: float,
        tunnel_token: str | None = None,
    ) -> None:
        self.clock = clock
        self.socket = socket.create_connection(
            (address.host, address.port), timeout=connect_timeout_s
        )
        self.opened_at = clock.monotonic()
        set_socket_options(self.socket)
        probe_when_idle(self.socket)
        self.tunnel: TunnelReader | None = None
        self.through_router: str | None = None
        if tunnel_token is not None:
            self.use_tunnel(tunnel_token)
        self.socket.setblocking(False)
        self.parser = new_parser()
        self.requests = 0
        self.chunks: ChunkedDecoder | None = None
        self.stays_open = False
        self.unsent: list[memoryview] = []
        # Whether a byte of the request may have left.
        self.has_sent = False
        self.is_link_silent: Callable[[], bool] | None = None
        self.received_at = clock.monotonic()
        self.undecoded = b""
        self.watch_caller = True
        self.closed_by_server = False
        self.responded_early = False
        self.has_length = False
        self.keep_alive_s: float | None = None

    def use_tunnel(self, token: str) -> None:
        """Make the connection the end of a tunnel.

        Raises:
            OSError: The other router does not accept the token.
        """
        try:
            send_token(self.socket, token)
        except OSError:
            self.socket.close()
            raise
        self.tunnel = TunnelReader()

    def start(
        self,
        caller: CallerConnection | None,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Queue a request; `next_event` sends it.

        Args:
            caller: Connection of the caller that waits for the response, or None if
                none does.
            method: HTTP method.
            target: Path and query.
            headers: All headers, including the length of the body.
            body: The whole body.

        Raises:
            h11.LocalProtocolError: The method, target, headers and body do not form a
                valid request.
        """
        self.caller = caller
        self.requests += 1
        self.watch_caller = caller is not None
        self.received_at = self.clock.monotonic()
        self.informational_responses = 0
        self.has_sent = False
        encoded_headers = [(name, value.encode("latin-1")) for name, value in headers]
        head = h11.Request(method=method, target=target, headers=encoded_headers)
        first = self.parser.send(head) or b""
        if body:
            self.parser.send(h11.Data(data=body))
        self.parser.send(h11.EndOfMessage())
        if len(body) <= MAX_JOINED_BYTES:
            self.unsent = [memoryview(first + body)]
        else:
            self.unsent = [memoryview(first), memoryview(body)]

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried another request before this one."""
        return self.requests > 1

    def next_event(self, deadline: float) -> ExchangeEvent:
        """Send pending request bytes and return the next event of the exchange.

        Args:
            deadline: Monotonic time at which to give up, in seconds.
        """
        while True:
            if self.chunks is not None:
                return self.next_chunk(self.chunks, deadline)
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.closed_by_server:
                    return closed_too_early()
                return ServerFailed(f"invalid HTTP response: {error}")
            match event:
                case h11.NEED_DATA:
                    outcome = self.exchange_bytes(deadline)
                    if outcome is not None:
                        return outcome
                case h11.InformationalResponse():
                    self.informational_responses += 1
                    if self.informational_responses > MAX_INFORMATIONAL_RESPONSES:
                        return ServerFailed("too many informational responses")
                case h11.Response(status_code=status):
                    if status not in VALID_STATUSES:
                        return ServerFailed(f"invalid HTTP response: status {status}")
                    return self.begin_response(event)
                case h11.Data(data=data):
                    return ResponseData(bytes(data))
                case h11.EndOfMessage():
                    return self.end_response()
                case _:
                    return closed_too_early()

    def begin_response(self, response: h11.Response) -> ResponseHead:
        """Return the head of the response, and prepare to read its body."""
        # A server that responds early need not read the rest.
        self.responded_early = bool(self.unsent)
        self.unsent = []
        head = to_answer_head(response)
        self.keep_alive_s = head.keep_alive_s
        self.has_length = any(n == b"content-length" for n, _ in response.headers)
        if has_chunked_body(response):
            self.chunks = ChunkedDecoder()
            self.stays_open = keeps_connection(response)
            self.undecoded = self.parser.trailing_data[0]
        return head

    def end_response(self) -> ExchangeEvent:
        """Return the end of a response that was not sent in chunks.

        If a server stops reading a request and closes the connection, the end of its
        response may be a reset that was seen as an orderly close.
        """
        unframed = self.closed_by_server and not self.has_length
        if unframed and (self.responded_early or unacknowledged_bytes(self.socket)):
            return closed_too_early()
        return ResponseEnd(self.closed_by_server)

    def next_chunk(self, chunks: ChunkedDecoder, deadline: float) -> ExchangeEvent:
        """Return the next event of a chunked body.

        Args:
            chunks: The body's decoder.
            deadline: Monotonic time at which to give up, in seconds.
        """
        while True:
            received, self.undecoded = self.undecoded, b""
            try:
                data = chunks.feed(received)
            except ChunkError as error:
                return ServerFailed(f"invalid HTTP response: {error}")
            if data:
                return ResponseData(data)
            if chunks.finished:
                return ResponseEnd(closed=False)
            if self.closed_by_server:
                return closed_too_early()
            outcome = self.exchange_bytes(deadline)
            if outcome is not None:
                return outcome

    def exchange_bytes(self, deadline: float) -> ExchangeEvent | None:
        """Wait until a socket is ready, then send and receive without blocking.

        Args:
            deadline: Monotonic time at which to give up, in seconds.

        Returns:
            The event that ends the exchange, or None to go on.
        """
        remaining_s = deadline - self.clock.monotonic()
        if remaining_s <= 0:
            return DeadlineExceeded()
        events = READABLE | (select.POLLOUT if self.unsent else 0)
        watched = [(self.socket, events)]
        if self.watch_caller and self.caller is not None:
            watched.append((self.caller.socket, READABLE))
        if self.is_link_silent is not None:
            remaining_s = min(remaining_s, STALL_CHECK_INTERVAL_S)
        ready = wait_ready(watched, remaining_s)
        if not ready and self.is_stalled():
            reason = "nothing was received over a link that fails"
            return ServerFailed(reason, connection_lost=True)
        if self.caller is not None and self.caller.socket.fileno() in ready:
            if self.caller.is_closed_by_caller():
                return CallerDisconnected()
            # The caller has pipelined its next request, which is read later.
            self.watch_caller = False
        if self.socket.fileno() not in ready:
            return None
        try:
            self.receive_available()
            self.send_pending()
        except OSError as error:
            reason = f"{type(error).__name__}: {error.strerror}"
            return ServerFailed(reason, connection_lost=True)
        return None

    def receive_available(self) -> None:
        """Pass received bytes to the parser or, for a chunked body, to its decoder."""
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        self.received_at = self.clock.monotonic()
        parts = [data] if self.tunnel is None else self.tunnel.feed(data)
        for part in parts:
            self.decode(part)

    def decode(self, data: bytes) -> None:
        """Pass bytes of the server to the parser or the decoder, b'' at their end."""
        if not data:
            self.closed_by_server = True
        if self.chunks is not None:
            self.undecoded += data
            return
        self.parser.receive_data(data)

    def is_stalled(self) -> bool:
        """Whether nothing was received for a while, and the link is known to fail."""
        if self.is_link_silent is None:
            return False
        if self.clock.monotonic() - self.received_at < STALL_S:
            return False
        return self.is_link_silent()

    def send_pending(self) -> None:
        """Send as much of the pending request as the socket accepts."""
        if not self.unsent or self.closed_by_server:
            return
        try:
            while self.unsent:
                first = self.unsent[0]
                self.has_sent = True
                sent = self.socket.send(first)
                if sent < len(first):
                    self.unsent[0] = first[sent:]
                    return
                self.unsent.pop(0)
        except BlockingIOError:
            return

    def prepare_next_request(self) -> bool:
        """Prepare for another request on this connection.

        A connection on which the server responded early is not reused: the server may
        still expect the rest of that request. A tunnel serves one request.

        Returns:
            False if the connection must close instead.
        """
        if self.tunnel is not None:
            return False
        if self.responded_early or not self.is_complete() or not self.is_reusable():
            return False
        if self.chunks is None:
            self.parser.start_next_cycle()
        else:
            self.parser, self.chunks = new_parser(), None
        return True

    def is_complete(self) -> bool:
        """Whether the exchange is over and both sides keep the connection."""
        if self.chunks is not None:
            sent = self.parser.our_state is h11.DONE
            return sent and self.chunks.finished and self.stays_open
        return {self.parser.our_state, self.parser.their_state} == {h11.DONE}

    def is_reusable(self) -> bool:
        """Whether no unsolicited bytes and no close have been received."""
        if self.chunks is not None:
            if self.chunks.rest or self.undecoded:
                return False
        elif self.parser.trailing_data[0]:
            return False
        return not wait_ready([(self.socket, READABLE)], 0.0)

    def close(self) -> None:
        """Close the connection, which makes the server cancel the request."""
        self.socket.close()


def closed_too_early() -> ServerFailed:
    """Return the failure of a server that closed before its response was complete."""
    reason = "the server closed the connection before the response ended"
    return ServerFailed(reason, connection_lost=True)


def new_parser() -> h11.Connection:
    """Return the parser of a connection on which nothing has been sent yet."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)


def has_chunked_body(response: h11.Response) -> bool:
    """Whether a response has a chunked body, which the parser has validated."""
    return response.status_code not in (204, 304) and is_chunked(response.headers)


def keeps_connection(response: h11.Response) -> bool:
    """Whether the server keeps the connection open after a response."""
    if response.http_version != b"1.1":
        return False
    options = [v.lower() for n, v in response.headers if n == b"connection"]
    return not any(b"close" in each for each in options)


def to_answer_head(event: h11.Response) -> ResponseHead:
    """Convert the head of an HTTP response to an `ResponseHead`."""
    headers = tuple((n.decode(), v.decode("latin-1")) for n, v in event.headers)
    return parse_response_head(event.status_code, headers)
