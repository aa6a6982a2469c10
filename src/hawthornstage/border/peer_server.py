"""The server side of the connections between routers."""

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
class FrameReply:
    """Sends the reply to one frame over the connection that it came from."""

    outbox: Mailbox
    number: int

    def put(self, reply: Any) -> None:
        """Queue the reply for the connection's sender."""
        self.outbox.put((self.number, reply))


class PeerServer:
    """Takes frames from other routers and passes them to this router's tasks.

    Args:
        host: Address to listen on.
        port: Port to listen on; 0 lets the system choose.
        secrets: Shared secrets that are accepted.
        dispatcher: Finds the task for each message.
        events: Stamps frames and takes events.
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
        """Serve in a thread of its own."""
        threading.Thread(
            target=self.server.serve_forever, name="peer-server", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop listening, and cut the connections: their threads end with them."""
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
        """Refuse a connection that shows no accepted secret."""
        shown = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if any(hmac.compare_digest(shown.encode(), s.encode()) for s in self.secrets):
            return None
        self.events.emit("peer_refused", peer=request.headers.get("X-Node", ""))
        return connection.respond(HTTPStatus.UNAUTHORIZED, "unknown secret\n")

    def serve_connection(self, connection: ServerConnection) -> None:
        """Take frames until the connection ends or a frame is wrong."""
        outbox = Mailbox(self.clock)
        with self.lock:
            self.connections.add(connection)
        sender = threading.Thread(
            target=self.send_replies, args=(connection, outbox), daemon=True
        )
        sender.start()
        try:
            for data in connection:
                self.take(data, outbox)
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

    def take(self, data: bytes | str, outbox: Mailbox) -> None:
        """Pass one frame on."""
        self.metrics.peer_bytes.labels("received").inc(len(data))
        frame = decode_frame(data)
        self.events.clock.observe(frame.stamp)
        reply_to = FrameReply(outbox, frame.number)
        if not self.dispatcher.deliver(frame.message, reply_to):
            raise FrameError(f"nobody takes {type(frame.message).__name__}")

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
