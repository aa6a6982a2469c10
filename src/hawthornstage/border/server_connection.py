"""HTTP/1.1 to backend servers: strict reading of their answers."""

from __future__ import annotations

import select
import socket

import h11

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.sockets import READ_BYTES, READABLE, set_options, wait_ready
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
from hawthornstage.messages.node import SocketAddress
from hawthornstage.platform.headers import parse_response_head

# Longest head of a server's answer, in bytes.
MAX_ANSWER_HEAD_BYTES = 65_536


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
        self.keep_alive_s: float | None = None

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

        Raises:
            h11.LocalProtocolError: The headers are no request.
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
                    return ServerFailed("the server closed the connection too early")
                return ServerFailed(f"not an answer: {error}")
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
                    self.keep_alive_s = head.keep_alive_s
                    return head
                case h11.Data(data=data):
                    return ResponseData(bytes(data))
                case h11.EndOfMessage():
                    return ResponseEnd(self.closed_by_server)
                case _:
                    return ServerFailed("the server closed the connection")

    def transfer(self, deadline: float) -> ExchangeEvent | None:
        """Wait for the server and the caller; send and receive what can be."""
        left = deadline - self.clock.monotonic()
        if left <= 0:
            return DeadlineExceeded()
        events = READABLE | (select.POLLOUT if self.unsent else 0)
        watched = [(self.socket, events)]
        if self.watch_caller:
            watched.append((self.caller.socket, READABLE))
        ready = wait_ready(watched, left)
        if self.caller.socket.fileno() in ready:
            if self.caller.has_left():
                return CallerDisconnected()
            # The caller has sent its next request already; it waits its turn.
            self.watch_caller = False
        if self.socket.fileno() not in ready:
            return None
        try:
            self.receive()
            self.send_some()
        except OSError as error:
            return ServerFailed(f"{type(error).__name__}: {error.strerror}")
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
        if states != {h11.DONE} or self.answered_early or not self.is_reusable():
            return False
        self.parser.start_next_cycle()
        return True

    def is_reusable(self) -> bool:
        """Whether nothing has come that no request asked for, not even a close."""
        if self.parser.trailing_data[0]:
            return False
        return not wait_ready([(self.socket, READABLE)], 0.0)

    def close(self) -> None:
        """Close the connection, which makes the server drop the request."""
        self.socket.close()


def to_answer_head(event: h11.Response) -> ResponseHead:
    """Return the head of an answer in the product's terms."""
    headers = tuple((n.decode(), v.decode("latin-1")) for n, v in event.headers)
    return parse_response_head(event.status_code, headers)
