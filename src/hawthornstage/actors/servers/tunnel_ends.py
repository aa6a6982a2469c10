"""The two ends of a tunnel that a router carries for another one."""

from __future__ import annotations

import selectors
import socket
from dataclasses import dataclass, field

from hawthornstage.border.chunked_body import encode_chunk
from hawthornstage.border.sockets import READ_BYTES
from hawthornstage.border.tunnel import ACCEPTED, LAST_CHUNK, TOKEN_LENGTH
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.backends import BackendServer

# Bytes that wait for one end, in bytes; nothing is read for it beyond.
MAX_UNSENT_BYTES = 128 * 1024


@dataclass(eq=False)
class Accepted:
    """A connection that has yet to send its token.

    Args:
        socket: The connection.
        host: IP address that it comes from.
        use_by: Monotonic time until which the token must arrive, in seconds.
        received: The part of the token that has arrived.
    """

    socket: socket.socket
    host: str
    use_by: float
    received: bytes = b""

    def read_token(self) -> str | None:
        """Return the token, '' if there will be none, or None if a part is missing."""
        try:
            data = self.socket.recv(TOKEN_LENGTH - len(self.received))
        except BlockingIOError:
            return None
        except OSError:
            return ""
        if not data:
            return ""
        self.received += data
        if len(self.received) < TOKEN_LENGTH:
            return None
        return self.received.decode("ascii", "replace")


@dataclass(eq=False)
class Tunnel:
    """A connection to a server, and the connection of the router that uses it.

    Args:
        token: Secret of the tunnel.
        server: The server.
        server_socket: The connection to it.
        reply_to: Gets the reply to the request for the tunnel.
        connect_by: Time until which the server must be connected.
        use_by: Time until which the other router must use it.
        end_by: Time at which the tunnel is closed at the latest.
        region: This router's region, if it was asked for.
        connected: Whether the server is connected.
        router_socket: The other router's connection, once there is one.
        to_server: Bytes that wait for the server.
        to_router: Bytes that wait for the other router.
        server_closed: Whether the server has closed its connection in order.
        broken: Whether one end has failed, or the other router has closed.

    Times are seconds of the monotonic clock.
    """

    token: str
    server: BackendServer
    server_socket: socket.socket
    reply_to: ReplyTo
    connect_by: float
    use_by: float
    end_by: float
    region: str | None = None
    connected: bool = False
    router_socket: socket.socket | None = None
    to_server: bytearray = field(default_factory=bytearray)
    to_router: bytearray = field(default_factory=bytearray)
    server_closed: bool = False
    broken: bool = False

    @property
    def in_use(self) -> bool:
        """Whether the other router has connected."""
        return self.router_socket is not None

    @property
    def sockets(self) -> list[socket.socket]:
        """The sockets of both ends."""
        ends = (self.server_socket, self.router_socket)
        return [each for each in ends if each is not None]

    @property
    def ended(self) -> bool:
        """Whether nothing is left to do."""
        return self.broken or (self.server_closed and not self.to_router)

    def join(self, router_socket: socket.socket) -> None:
        """Set the other router's connection, and accept its token."""
        self.router_socket = router_socket
        self.to_router += ACCEPTED

    def wanted_events(self) -> list[tuple[socket.socket, int]]:
        """Return the events that each end waits for."""
        assert self.router_socket is not None
        server = router = 0
        if not self.server_closed:
            if len(self.to_router) < MAX_UNSENT_BYTES:
                server |= selectors.EVENT_READ
            if self.to_server:
                server |= selectors.EVENT_WRITE
        if len(self.to_server) < MAX_UNSENT_BYTES:
            router |= selectors.EVENT_READ
        if self.to_router:
            router |= selectors.EVENT_WRITE
        return [(self.server_socket, server), (self.router_socket, router)]

    def transfer(self) -> None:
        """Receive and send what is possible without blocking."""
        try:
            self.receive_from_router()
            self.receive_from_server()
            self.send()
        except OSError:
            # The other router sees an end without the last chunk.
            self.broken = True

    def receive_from_router(self) -> None:
        """Take bytes for the server; a close by the other router cancels the call."""
        assert self.router_socket is not None
        if len(self.to_server) >= MAX_UNSENT_BYTES:
            return
        try:
            data = self.router_socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.broken = True
        self.to_server += data

    def receive_from_server(self) -> None:
        """Take bytes for the other router, as chunks."""
        if self.server_closed or len(self.to_router) >= MAX_UNSENT_BYTES:
            return
        try:
            data = self.server_socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.server_closed = True
            self.to_router += LAST_CHUNK
        self.to_router += encode_chunk(data)

    def send(self) -> None:
        """Send what waits for each end."""
        assert self.router_socket is not None
        if not self.server_closed:
            send_pending(self.server_socket, self.to_server)
        send_pending(self.router_socket, self.to_router)

    def close(self) -> None:
        """Close both ends."""
        for each in self.sockets:
            each.close()


def send_pending(connection: socket.socket, pending: bytearray) -> None:
    """Send as many pending bytes as a socket accepts, and remove them.

    Raises:
        OSError: The connection failed.
    """
    if not pending:
        return
    try:
        sent = connection.send(pending)
    except BlockingIOError:
        return
    del pending[:sent]
