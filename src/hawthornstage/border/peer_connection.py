"""WebSocket connections between routers, on sockets that never block."""

from __future__ import annotations

import hmac
import socket
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus

from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from hawthornstage.border.sockets import READ_BYTES, set_socket_options

# Largest frame, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Most bytes that wait to be sent on one connection.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Header in which each side of a connection names its address, which tells its process.
ADDRESS_HEADER = "X-Address"
# Longest address of a router that is taken over, in characters.
MAX_ADDRESS_LENGTH = 200


class PeerConnectionError(Exception):
    """The connection cannot be used any more, for the given reason."""


@dataclass(frozen=True)
class PeerIdentity:
    """This router's identity towards the others.

    Args:
        node: Its name.
        secret: The shared secret that authenticates it.
        url: The address that names its process; empty if it announces none.
    """

    node: str
    secret: str
    url: str = ""


class PeerConnection:
    """One connection to or from another router.

    Args:
        connection: The socket, which may still be connecting.
        protocol: The WebSocket protocol of this side.
        secrets: Accepted shared secrets; needed on the server side only.
        own_url: The address that this side announces; needed on the server side only.
        now: Monotonic time, in seconds.
    """

    def __init__(
        self,
        connection: socket.socket,
        protocol: ClientProtocol | ServerProtocol,
        *,
        secrets: tuple[str, ...] = (),
        own_url: str = "",
        now: float,
    ) -> None:
        self.socket = connection
        self.protocol = protocol
        self.secrets = secrets
        self.own_url = own_url
        self.peer = ""
        # The address that the other side announces, once its handshake has arrived.
        self.peer_url = ""
        self.rejected = False
        self.created_at = now
        self.received_at = now
        self.waiting: deque[bytes] = deque()
        self.unsent: deque[memoryview] = deque()
        self.unsent_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete."""
        return self.protocol.state is State.OPEN

    @property
    def wants_write(self) -> bool:
        """Whether bytes wait until the socket is writable."""
        return bool(self.unsent)

    def receive(self, now: float) -> list[bytes]:
        """Read once and return the binary frames that are complete.

        Args:
            now: Monotonic time, in seconds.

        Raises:
            PeerConnectionError: The connection has ended, or the other side has
                violated the protocol.
        """
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            raise PeerConnectionError(str(error)) from error
        if not data:
            raise PeerConnectionError("the other router closed the connection")
        self.received_at = now
        self.protocol.receive_data(data)
        payloads: list[bytes] = []
        for event in self.protocol.events_received():
            payload = self.handle_event(event)
            if payload is not None:
                payloads.append(payload)
        self.queue_protocol_data()
        self.flush()
        reason = self.closing_reason()
        if reason:
            raise PeerConnectionError(reason)
        return payloads

    def handle_event(self, event: Request | Response | Frame) -> bytes | None:
        """Handle one event of the protocol; return the payload of a binary frame."""
        match event:
            case Request():
                self.answer_handshake(event)
            case Response():
                self.peer_url = announced_address(event)
                self.send_waiting()
            case Frame(opcode=Opcode.BINARY, fin=True, data=data):
                return bytes(data)
            case Frame(opcode=Opcode.PING | Opcode.PONG | Opcode.CLOSE):
                pass
            case Frame():
                raise PeerConnectionError("expected whole binary frames")
        return None

    def answer_handshake(self, request: Request) -> None:
        """Accept a client that presents an accepted secret, and reject any other."""
        assert isinstance(self.protocol, ServerProtocol)
        self.peer = request.headers.get("X-Node", "")
        presented = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if any(
            hmac.compare_digest(presented.encode(), each.encode())
            for each in self.secrets
        ):
            response = self.protocol.accept(request)
            self.peer_url = announced_address(request)
            if self.own_url:
                response.headers[ADDRESS_HEADER] = self.own_url
        else:
            self.rejected = True
            response = self.protocol.reject(HTTPStatus.UNAUTHORIZED, "unknown secret\n")
        self.protocol.send_response(response)

    def closing_reason(self) -> str:
        """Return why the connection ends, or '' if it does not."""
        if self.rejected:
            return "unknown secret"
        error = self.protocol.handshake_exc or self.protocol.parser_exc
        if error is not None:
            return str(error)
        if self.protocol.state in (State.CLOSING, State.CLOSED):
            return "the connection was closed"
        return ""

    def send(self, payload: bytes) -> None:
        """Send a binary frame, after the handshake if that is not complete.

        Raises:
            PeerConnectionError: Too many bytes wait to be sent, or the connection has
                ended.
        """
        if self.unsent_bytes + len(payload) > MAX_UNSENT_BYTES:
            raise PeerConnectionError(f"more than {MAX_UNSENT_BYTES} bytes unsent")
        if not self.is_open:
            self.waiting.append(payload)
            self.unsent_bytes += len(payload)
            return
        try:
            self.protocol.send_binary(payload)
        except WebSocketException as error:
            raise PeerConnectionError(str(error)) from error
        self.queue_protocol_data()
        self.flush()

    def send_waiting(self) -> None:
        """Send the frames that waited for the end of the handshake."""
        waiting, self.waiting = self.waiting, deque()
        self.unsent_bytes -= sum(len(each) for each in waiting)
        if self.is_open:
            for payload in waiting:
                self.protocol.send_binary(payload)

    def queue_protocol_data(self) -> None:
        """Queue what the protocol wants to send."""
        for data in self.protocol.data_to_send():
            if data:
                self.unsent.append(memoryview(data))
                self.unsent_bytes += len(data)

    def flush(self) -> None:
        """Send as many queued bytes as the socket accepts.

        Raises:
            PeerConnectionError: The connection has ended.
        """
        try:
            while self.unsent:
                sent = self.socket.send(self.unsent[0])
                self.unsent_bytes -= sent
                if sent < len(self.unsent[0]):
                    self.unsent[0] = self.unsent[0][sent:]
                    return
                self.unsent.popleft()
        except BlockingIOError:
            return
        except OSError as error:
            raise PeerConnectionError(str(error)) from error

    def close(self) -> None:
        """Close the socket without waiting for the other side."""
        self.socket.close()


def connect_to_peer(url: str, identity: PeerIdentity, now: float) -> PeerConnection:
    """Start to connect to a router; frames sent meanwhile wait for the handshake.

    Args:
        url: The router's address, `ws://IP:PORT`.
        identity: This router's identity.
        now: Monotonic time, in seconds.

    Raises:
        PeerConnectionError: The address is invalid or cannot be connected to.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    try:
        uri = parse_uri(url)
        set_socket_options(connection)
        connection.connect((uri.host, uri.port))
    except BlockingIOError:
        pass
    except (OSError, WebSocketException) as error:
        connection.close()
        raise PeerConnectionError(str(error)) from error
    protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    request = protocol.connect()
    request.headers["Authorization"] = f"Bearer {identity.secret}"
    request.headers["X-Node"] = identity.node
    if identity.url:
        request.headers[ADDRESS_HEADER] = identity.url
    protocol.send_request(request)
    peer = PeerConnection(connection, protocol, now=now)
    peer.queue_protocol_data()
    return peer


def accept_peer(
    connection: socket.socket, secrets: tuple[str, ...], now: float, own_url: str = ""
) -> PeerConnection:
    """Return the connection of a router that has connected to this one.

    Args:
        connection: The accepted socket.
        secrets: Accepted shared secrets.
        now: Monotonic time, in seconds.
        own_url: The address that this router announces; empty if it announces none.
    """
    connection.setblocking(False)
    set_socket_options(connection)
    protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
    return PeerConnection(
        connection, protocol, secrets=secrets, own_url=own_url, now=now
    )


def announced_address(handshake: Request | Response) -> str:
    """Return the address that a handshake announces; earlier builds announce none."""
    address = handshake.headers.get(ADDRESS_HEADER, "")
    valid = address.startswith("ws://") and len(address) <= MAX_ADDRESS_LENGTH
    return address if valid else ""
