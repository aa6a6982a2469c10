"""The connections on which a router receives messages from others."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.peers.messages import PeerMet, SendReply
from hawthornstage.actors.peers.sockets import PeerSockets
from hawthornstage.actors.task import MessageDispatcher, Recipient
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.border.peer_connection import (
    PeerConnection,
    PeerConnectionError,
    accept_peer,
)
from hawthornstage.clock import Clock
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Most connections that other routers may have open to this one.
MAX_INCOMING = 1_024
# Most frames that one router may send in a second; the rest waits in its connection.
MAX_FRAMES_PER_S = 2_000
# Time until a connection must be usable, in seconds.
HANDSHAKE_TIMEOUT_S = 1.0
# Time without a frame after which an incoming connection is closed, in seconds; longer
# than the time after which its other side closes it.
MAX_INCOMING_IDLE_S = 45.0


@dataclass(frozen=True)
class FrameReplyAddress:
    """Reply address that answers a frame of another router.

    Args:
        peers: The task that owns the connection.
        connection: The connection that the frame arrived on.
        number: Number of the frame.
    """

    peers: Recipient
    connection: PeerConnection
    number: int

    def put(self, reply: Any) -> None:
        """Pass the reply to the task that owns the connection."""
        self.peers.tell(SendReply(self.connection, self.number, reply))


@dataclass
class IncomingConnection:
    """A connection that another router has opened to this one.

    Args:
        connection: The connection.
        window_starts_at: Monotonic time at which the count of frames began.
        frames: Frames received since then.
        paused: Whether nothing is read until the next window.
    """

    connection: PeerConnection
    window_starts_at: float
    frames: int = 0
    paused: bool = False


class IncomingConnections:
    """The connections that other routers have opened to this one.

    They are part of the state of the task that owns the connections between routers.

    Args:
        task: That task; gets the replies to send.
        listener: The listening socket.
        sockets: The sockets that the task waits for.
        tell_met: Called with `PeerMet` once a router has connected.
        own_url: This router's address, which it announces.
        secrets: Shared secrets accepted from other routers.
        dispatcher: Delivers each message to the tasks registered for its class.
        clock: The runtime's clock.
        events: The event log, whose hybrid logical clock also stamps the frames.
        metrics: Counts bytes.
    """

    def __init__(
        self,
        task: Recipient,
        listener: socket.socket,
        sockets: PeerSockets,
        tell_met: Callable[[PeerMet], None],
        *,
        own_url: str,
        secrets: tuple[str, ...],
        dispatcher: MessageDispatcher,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self.task = task
        self.listener = listener
        self.sockets = sockets
        self.tell_met = tell_met
        self.own_url = own_url
        self.secrets = secrets
        self.dispatcher = dispatcher
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.connections: dict[PeerConnection, IncomingConnection] = {}

    def accept(self) -> None:
        """Accept one connection."""
        try:
            accepted, address = self.listener.accept()
        except OSError as error:
            self.events.emit("peer_accept_failed", reason=str(error))
            return
        if len(self.connections) >= MAX_INCOMING:
            self.events.emit("peer_refused", peer=address[0], reason="too many")
            accepted.close()
            return
        now = self.clock.monotonic()
        connection = accept_peer(accepted, self.secrets, now, self.own_url)
        incoming = self.connections[connection] = IncomingConnection(connection, now)
        self.watch(incoming)

    def serve(self, incoming: IncomingConnection, ready: int) -> None:
        """Read messages and send queued replies on an incoming connection."""
        connection = incoming.connection
        if connection not in self.connections:
            return
        was_open = connection.is_open
        try:
            if ready & selectors.EVENT_WRITE:
                connection.flush()
            if ready & selectors.EVENT_READ:
                for payload in connection.receive(self.clock.monotonic()):
                    self.handle_frame(incoming, payload)
        except FrameError as error:
            self.events.emit(
                "peer_frame_refused", peer=connection.peer, reason=str(error)
            )
            self.drop(incoming, "invalid frame")
            return
        except PeerConnectionError as error:
            self.drop(incoming, str(error))
            return
        if not was_open and connection.is_open:
            self.tell_met(PeerMet(connection.peer, connection.peer_url))
        self.watch(incoming)

    def handle_frame(self, incoming: IncomingConnection, payload: bytes) -> None:
        """Deliver one message to its task.

        Raises:
            FrameError: The frame is invalid, or no task handles its message.
        """
        self.metrics.peer_bytes.labels("received").inc(len(payload))
        self.count_frame(incoming)
        frame = decode_frame(payload)
        self.events.clock.observe(frame.stamp)
        reply_to = FrameReplyAddress(self.task, incoming.connection, frame.number)
        if not self.dispatcher.deliver(frame.message, reply_to):
            raise FrameError(f"no task handles {type(frame.message).__name__}")

    def count_frame(self, incoming: IncomingConnection) -> None:
        """Count a frame, and stop reading for the rest of a second of too many."""
        incoming.frames += 1
        if incoming.frames == MAX_FRAMES_PER_S:
            incoming.paused = True
            self.events.emit("peer_paused", peer=incoming.connection.peer)

    def send_reply(self, message: SendReply) -> None:
        """Send a reply, unless its connection has ended."""
        incoming = self.connections.get(message.connection)
        if incoming is None:
            return
        stamp = self.events.clock.now()
        try:
            data = encode_frame(Frame(message.number, True, stamp, message.reply))
        except FrameError as error:
            # The other router's wait ends with its timeout.
            peer = incoming.connection.peer
            self.events.emit("peer_reply_refused", peer=peer, reason=str(error))
            return
        try:
            message.connection.send(data)
        except PeerConnectionError as error:
            self.drop(incoming, str(error))
            return
        self.metrics.peer_bytes.labels("sent").inc(len(data))
        self.watch(incoming)

    def drop(self, incoming: IncomingConnection, reason: str) -> None:
        """Close an incoming connection."""
        peer = incoming.connection.peer
        self.events.emit("peer_connection_closed", peer=peer, reason=reason)
        self.connections.pop(incoming.connection, None)
        self.sockets.unwatch(incoming.connection)

    def check(self, incoming: IncomingConnection, now: float) -> None:
        """Start a new window of frames, and drop a connection that is not used."""
        connection = incoming.connection
        if now - incoming.window_starts_at >= 1.0:
            incoming.window_starts_at = now
            incoming.frames = 0
            incoming.paused = False
            self.watch(incoming)
        if not connection.is_open:
            if now - connection.created_at >= HANDSHAKE_TIMEOUT_S:
                self.drop(incoming, "the handshake was not complete in time")
        elif now - connection.received_at >= MAX_INCOMING_IDLE_S:
            self.drop(incoming, f"idle for {MAX_INCOMING_IDLE_S} s")

    def watch(self, incoming: IncomingConnection) -> None:
        """Wait for what a connection needs now."""
        self.sockets.watch(incoming.connection, incoming, paused=incoming.paused)

    def check_timeouts(self, now: float) -> None:
        """Drop connections that are not used, and read paused ones again.

        Args:
            now: Monotonic time, in seconds.
        """
        for incoming in list(self.connections.values()):
            self.check(incoming, now)

    def close_all(self) -> None:
        """Close the listening socket and all connections."""
        self.listener.close()
        for incoming in list(self.connections.values()):
            self.sockets.unwatch(incoming.connection)
