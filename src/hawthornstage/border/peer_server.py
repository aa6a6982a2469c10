"""Server side of the WebSocket connections between routers."""

from __future__ import annotations

import hmac
import socket
import threading
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import structlog
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response
from websockets.sync.server import Server, ServerConnection, serve

from hawthornstage.actors.peers import (
    MAX_FRAME_BYTES,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
)
from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.clock import Clock
from hawthornstage.mailbox import Mailbox
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

log = structlog.get_logger()


@dataclass(frozen=True)
class FrameReplyAddress:
    """Reply address that answers a frame on the connection it arrived on.

    Args:
        outbox: Replies that the connection's sender thread sends.
        number: Number of the frame that is answered.
    """

    outbox: Mailbox
    number: int

    def put(self, reply: Any) -> None:
        """Queue the reply for the connection's sender thread."""
        self.outbox.put((self.number, reply))


class PeerServer:
    """Receives frames from other routers and delivers them to this router's tasks.

    Args:
        host: Address to listen on.
        port: Port to listen on; 0 lets the system choose.
        secrets: Accepted shared secrets.
        dispatcher: Delivers each message to the tasks registered for its class.
        events: Records events, and timestamps the frames that are sent.
        metrics: Counts bytes.
        clock: The runtime's clock.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        secrets: tuple[str, ...],
        dispatcher: MessageDispatcher,
        events: EventLog,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.secrets = secrets
        self.dispatcher = dispatcher
        self.events = events
        self.metrics = metrics
        self.clock = clock
        self.connections: set[ServerConnection] = set()
        self.lock = threading.Lock()
        self.server: Server = serve(
            self.serve_connection,
            host,
            port,
            process_request=self.check_secret,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        )

    def start(self) -> None:
        """Start serving in a separate thread."""
        threading.Thread(
            target=self.server.serve_forever, name="peer-server", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop listening and shut the connections down, which ends their threads."""
        self.server.shutdown()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                log.info("peer_connection_gone", reason=str(error))

    def check_secret(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        """Reject a connection without an accepted secret.

        Returns:
            The response that rejects it, or None to accept it.
        """
        presented = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if any(
            hmac.compare_digest(presented.encode(), s.encode()) for s in self.secrets
        ):
            return None
        self.events.emit("peer_refused", peer=request.headers.get("X-Node", ""))
        return connection.respond(HTTPStatus.UNAUTHORIZED, "unknown secret\n")

    def serve_connection(self, connection: ServerConnection) -> None:
        """Handle frames until the connection ends or a frame is invalid."""
        outbox = Mailbox(self.clock)
        with self.lock:
            self.connections.add(connection)
        sender = threading.Thread(
            target=self.send_replies, args=(connection, outbox), daemon=True
        )
        sender.start()
        try:
            for data in connection:
                self.handle_frame(data, outbox)
        except FrameError as error:
            peer = connection.request.headers.get("X-Node", "")
            self.events.emit("peer_frame_refused", peer=peer, reason=str(error))
            connection.close(1008, "wrong frame")
        except ConnectionClosed:
            pass
        finally:
            outbox.put(None)
            with self.lock:
                self.connections.discard(connection)

    def handle_frame(self, data: bytes | str, outbox: Mailbox) -> None:
        """Deliver one frame to its task.

        Args:
            data: The encoded frame.
            outbox: Queue for the reply.

        Raises:
            FrameError: The frame is invalid, or no task handles its message.
        """
        self.metrics.peer_bytes.labels("received").inc(len(data))
        frame = decode_frame(data)
        self.events.clock.observe(frame.stamp)
        reply_to = FrameReplyAddress(outbox, frame.number)
        if not self.dispatcher.deliver(frame.message, reply_to):
            raise FrameError(f"no task handles {type(frame.message).__name__}")

    def send_replies(self, connection: ServerConnection, outbox: Mailbox) -> None:
        """Send queued replies until the connection ends."""
        while (item := outbox.get(timeout=3600.0)) is not None:
            number, reply = item
            frame = Frame(number, True, self.events.clock.now(), reply)
            try:
                data = encode_frame(frame)
                connection.send(data)
                self.metrics.peer_bytes.labels("sent").inc(len(data))
            except ConnectionClosed:
                return
