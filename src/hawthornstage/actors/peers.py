"""The task that owns all connections between this router and the others."""

from __future__ import annotations

import itertools
import selectors
import socket
import threading
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import structlog

from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.border.peer_connection import (
    PeerConnection,
    PeerConnectionError,
    PeerIdentity,
    accept_peer,
    connect_to_peer,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.peer_links import LinkUse, idle_links, link_to_replace
from hawthornstage.mailbox import DISCARD_REPLY, ReplyTo
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

log = structlog.get_logger()

# Listen backlog: connections that may wait to be accepted.
BACKLOG = 256
# Most connections that other routers may have open to this one.
MAX_INCOMING = 1_024
# Most messages to one router that wait for replies; further ones are refused.
MAX_PENDING = 2_000
# Most frames that one router may send in a second; the rest waits in its connection.
MAX_FRAMES_PER_S = 2_000
# Time until a connection must be usable, in seconds.
HANDSHAKE_TIMEOUT_S = 1.0
# Timeout of a reply, in seconds.
REPLY_TIMEOUT_S = 5.0
# Delay before reconnecting after a failure, in seconds.
RECONNECT_PAUSE_S = 0.5
# Time without a frame after which an incoming connection is closed, in seconds; longer
# than the time after which its other side closes it.
MAX_INCOMING_IDLE_S = 45.0
# Interval of the checks for timeouts, in seconds.
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True)
class Send:
    """Sends a message to a router, this one included.

    Args:
        node: The router's name.
        message: A message of a class that frames can carry.
        reply_to: Gets the reply, or `PeerUnreachable`.
    """

    node: str
    message: Any
    reply_to: ReplyTo = DISCARD_REPLY


@dataclass(frozen=True)
class PeersChanged:
    """Sets the addresses of the other routers, by name."""

    urls: Mapping[str, str]


@dataclass(frozen=True)
class SendReply:
    """Sends the reply to a frame over the connection that the frame arrived on.

    Args:
        connection: The connection.
        number: Number of the frame.
        reply: The reply.
    """

    connection: PeerConnection
    number: int
    reply: Any


@dataclass(frozen=True)
class StopPeers:
    """Closes all connections and ends the task."""


@dataclass(frozen=True)
class FrameReplyAddress:
    """Reply address that answers a frame of another router.

    Args:
        peers: The task that owns the connection.
        connection: The connection that the frame arrived on.
        number: Number of the frame.
    """

    peers: Peers
    connection: PeerConnection
    number: int

    def put(self, reply: Any) -> None:
        """Pass the reply to the task that owns the connection."""
        self.peers.tell(SendReply(self.connection, self.number, reply))


@dataclass(frozen=True)
class PendingReply:
    """A reply that has not arrived.

    Args:
        reply_to: Gets the reply, or `PeerUnreachable`.
        sent_at: Monotonic time at which the message was sent, in seconds.
    """

    reply_to: ReplyTo
    sent_at: float


@dataclass
class PeerLink:
    """The connection on which this router sends messages to another one.

    Args:
        name: The other router's name.
        connection: The connection.
        used_at: Monotonic time of the last message, in seconds.
        numbers: Numbers of the frames.
        pending: Replies that have not arrived, by number of the frame.
    """

    name: str
    connection: PeerConnection
    used_at: float
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    pending: dict[int, PendingReply] = field(default_factory=dict)


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


class Peers(threading.Thread):
    """Owns the sockets between this router and all others.

    One thread serves all of them, and never blocks on one: a router that is slow,
    silent or sends without end delays no other.

    Args:
        identity: This router's identity.
        address: The address to listen on; port 0 lets the system choose.
        secrets: Shared secrets accepted from other routers.
        dispatcher: Delivers each message to the tasks registered for its class.
        clock: The runtime's clock.
        events: The event log, whose hybrid logical clock also stamps the frames.
        metrics: Counts bytes and connections.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: SocketAddress,
        *,
        secrets: tuple[str, ...],
        dispatcher: MessageDispatcher,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__(name="peers", daemon=True)
        self.identity = identity
        self.secrets = secrets
        self.dispatcher = dispatcher
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.urls: dict[str, str] = {}
        self.retry_times: dict[str, float] = {}
        self.links: dict[str, PeerLink] = {}
        self.incoming: dict[PeerConnection, IncomingConnection] = {}
        self.inbox: deque[Any] = deque()
        self.woken = False
        self.stopped = False
        self.next_check_at = float("-inf")
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self.wake, self.trigger = socket.socketpair()
        for each in (self.listener, self.wake, self.trigger):
            each.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept)
        self.selector.register(self.wake, selectors.EVENT_READ, self.drain_wake)

    @property
    def port(self) -> int:
        """The bound port."""
        return self.listener.getsockname()[1]

    def tell(self, message: Send | PeersChanged | SendReply | StopPeers) -> None:
        """Pass a message to this task; may be called by any thread."""
        self.inbox.append(message)
        if self.woken:
            return
        self.woken = True
        try:
            self.trigger.send(b"\0")
        except OSError as error:
            log.info("peers_stopped", reason=str(error))

    def run(self) -> None:
        """Serve messages and sockets until the task is stopped."""
        while not self.stopped:
            self.step(CHECK_INTERVAL_S)
        self.close_all()

    def step(self, timeout: float) -> None:
        """Wait for at most `timeout` seconds, and handle what has arrived."""
        for key, ready in self.selector.select(timeout):
            try:
                self.handle_ready(key.data, ready)
            except Exception:
                log.exception("task_error", task="Peers")
        while self.inbox:
            message = self.inbox.popleft()
            try:
                self.handle(message)
            except Exception:
                log.exception(
                    "task_error", task="Peers", message=type(message).__name__
                )
        now = self.clock.monotonic()
        if now >= self.next_check_at:
            self.next_check_at = now + CHECK_INTERVAL_S
            self.check_timeouts(now)

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Send():
                self.send(message)
            case SendReply():
                self.send_reply(message)
            case PeersChanged(urls):
                self.update_addresses(urls)
            case StopPeers():
                self.stopped = True

    def handle_ready(self, owner: Any, ready: int) -> None:
        """Serve a socket that is ready, on behalf of what owns it."""
        match owner:
            case PeerLink():
                self.serve_link(owner, ready)
            case IncomingConnection():
                self.serve_incoming(owner, ready)
            case handler:
                handler()

    def drain_wake(self) -> None:
        """Empty the socket that wakes this task."""
        self.wake.recv(64)
        # Cleared before the inbox is read, so that no message goes unnoticed.
        self.woken = False

    # Connections to other routers

    def send(self, message: Send) -> None:
        """Send a message to its router, or to this router's own tasks."""
        if message.node == self.identity.node:
            self.dispatcher.deliver(message.message, message.reply_to)
            return
        try:
            link = self.link_to(message.node)
            self.send_on_link(link, message)
        except PeerConnectionError as error:
            message.reply_to.put(PeerUnreachable(message.node, str(error)))

    def link_to(self, node: str) -> PeerLink:
        """Return the link to a router, connecting first if necessary.

        Raises:
            PeerConnectionError: The router cannot be reached at present.
        """
        link = self.links.get(node)
        if link is not None:
            return link
        now = self.clock.monotonic()
        url = self.urls.get(node)
        if url is None:
            raise PeerConnectionError("no address known for this router")
        if now < self.retry_times.get(node, now):
            raise PeerConnectionError(f"no connection to {url}")
        self.make_room()
        try:
            connection = connect_to_peer(url, self.identity, now)
        except PeerConnectionError:
            self.retry_times[node] = now + RECONNECT_PAUSE_S
            raise
        link = self.links[node] = PeerLink(node, connection, now)
        self.watch(link)
        return link

    def make_room(self) -> None:
        """Close the least recently used link if there are too many.

        Raises:
            PeerConnectionError: All links wait for replies.
        """
        replaced = link_to_replace(self.link_uses())
        if replaced == "":
            raise PeerConnectionError("all connections to other routers are in use")
        if replaced is not None:
            self.close_link(self.links[replaced], "another link needs its place")

    def link_uses(self) -> dict[str, LinkUse]:
        """Return how each link is used."""
        return {
            name: LinkUse(link.used_at, len(link.pending))
            for name, link in self.links.items()
        }

    def send_on_link(self, link: PeerLink, message: Send) -> None:
        """Send a message on a link.

        Raises:
            PeerConnectionError: The message is not sent.
        """
        if len(link.pending) >= MAX_PENDING:
            raise PeerConnectionError(f"{MAX_PENDING} messages wait for replies")
        now = self.clock.monotonic()
        number = next(link.numbers)
        frame = Frame(number, False, self.events.clock.now(), message.message)
        data = encode_frame(frame)
        try:
            link.connection.send(data)
        except PeerConnectionError as error:
            self.drop_link(link, str(error))
            raise
        link.used_at = now
        if message.reply_to is not DISCARD_REPLY:
            link.pending[number] = PendingReply(message.reply_to, now)
        self.metrics.peer_bytes.labels("sent").inc(len(data))
        self.watch(link)

    def serve_link(self, link: PeerLink, ready: int) -> None:
        """Read replies and send queued bytes on a link."""
        if self.links.get(link.name) is not link:
            return
        was_open = link.connection.is_open
        try:
            if ready & selectors.EVENT_WRITE:
                link.connection.flush()
            if ready & selectors.EVENT_READ:
                for payload in link.connection.receive(self.clock.monotonic()):
                    self.handle_reply(link, payload)
        except FrameError as error:
            self.refuse_frame(link.name, error)
            self.drop_link(link, "invalid frame")
            return
        except PeerConnectionError as error:
            self.drop_link(link, str(error))
            return
        if not was_open and link.connection.is_open:
            self.events.emit("peer_connected", peer=link.name)
        self.watch(link)

    def handle_reply(self, link: PeerLink, payload: bytes) -> None:
        """Deliver a reply to the sender that waits for it.

        Raises:
            FrameError: The frame is invalid.
        """
        self.metrics.peer_bytes.labels("received").inc(len(payload))
        frame = decode_frame(payload)
        self.events.clock.observe(frame.stamp)
        pending = link.pending.pop(frame.number, None)
        if pending is not None:
            pending.reply_to.put(frame.message)

    def drop_link(self, link: PeerLink, reason: str) -> None:
        """Close a failed link, and connect again only after a pause."""
        self.events.emit("peer_lost", peer=link.name, reason=reason)
        pause_ends_at = self.clock.monotonic() + RECONNECT_PAUSE_S
        self.retry_times[link.name] = pause_ends_at
        self.close_link(link, reason)

    def close_link(self, link: PeerLink, reason: str) -> None:
        """Close a link, and reply `PeerUnreachable` to all waiting senders."""
        del self.links[link.name]
        self.unwatch(link.connection)
        for each in link.pending.values():
            each.reply_to.put(PeerUnreachable(link.name, reason))

    def update_addresses(self, urls: Mapping[str, str]) -> None:
        """Replace the addresses, and close links to routers removed or moved."""
        for name, link in list(self.links.items()):
            if urls.get(name) != self.urls.get(name):
                self.close_link(link, "the router has left or moved")
        self.retry_times = {
            name: at
            for name, at in self.retry_times.items()
            if name in urls and urls[name] == self.urls.get(name)
        }
        self.urls = dict(urls)

    # Connections from other routers

    def accept(self) -> None:
        """Accept one connection."""
        try:
            accepted, address = self.listener.accept()
        except OSError as error:
            self.events.emit("peer_accept_failed", reason=str(error))
            return
        if len(self.incoming) >= MAX_INCOMING:
            self.events.emit("peer_refused", peer=address[0], reason="too many")
            accepted.close()
            return
        now = self.clock.monotonic()
        connection = accept_peer(accepted, self.secrets, now)
        incoming = self.incoming[connection] = IncomingConnection(connection, now)
        self.watch(incoming)

    def serve_incoming(self, incoming: IncomingConnection, ready: int) -> None:
        """Read messages and send queued replies on an incoming connection."""
        connection = incoming.connection
        if connection not in self.incoming:
            return
        try:
            if ready & selectors.EVENT_WRITE:
                connection.flush()
            if ready & selectors.EVENT_READ:
                for payload in connection.receive(self.clock.monotonic()):
                    self.handle_frame(incoming, payload)
        except FrameError as error:
            self.refuse_frame(connection.peer, error)
            self.drop_incoming(incoming, "invalid frame")
            return
        except PeerConnectionError as error:
            self.drop_incoming(incoming, str(error))
            return
        self.watch(incoming)

    def refuse_frame(self, peer: str, error: FrameError) -> None:
        """Log an invalid frame."""
        self.events.emit("peer_frame_refused", peer=peer, reason=str(error))

    def handle_frame(self, incoming: IncomingConnection, payload: bytes) -> None:
        """Deliver one message to its task.

        Raises:
            FrameError: The frame is invalid, or no task handles its message.
        """
        self.metrics.peer_bytes.labels("received").inc(len(payload))
        self.count_frame(incoming)
        frame = decode_frame(payload)
        self.events.clock.observe(frame.stamp)
        reply_to = FrameReplyAddress(self, incoming.connection, frame.number)
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
        incoming = self.incoming.get(message.connection)
        if incoming is None:
            return
        stamp = self.events.clock.now()
        data = encode_frame(Frame(message.number, True, stamp, message.reply))
        try:
            message.connection.send(data)
        except PeerConnectionError as error:
            self.drop_incoming(incoming, str(error))
            return
        self.metrics.peer_bytes.labels("sent").inc(len(data))
        self.watch(incoming)

    def drop_incoming(self, incoming: IncomingConnection, reason: str) -> None:
        """Close an incoming connection."""
        peer = incoming.connection.peer
        self.events.emit("peer_connection_closed", peer=peer, reason=reason)
        self.incoming.pop(incoming.connection, None)
        self.unwatch(incoming.connection)

    # Sockets and timeouts

    def watch(self, owner: PeerLink | IncomingConnection) -> None:
        """Wait for the events that the connection needs now."""
        connection = owner.connection
        paused = isinstance(owner, IncomingConnection) and owner.paused
        wanted = 0 if paused else selectors.EVENT_READ
        if connection.wants_write:
            wanted |= selectors.EVENT_WRITE
        key = self.selector.get_map().get(connection.socket)
        if key is None:
            if wanted:
                self.selector.register(connection.socket, wanted, owner)
        elif not wanted:
            self.selector.unregister(connection.socket)
        elif key.events != wanted:
            self.selector.modify(connection.socket, wanted, owner)

    def unwatch(self, connection: PeerConnection) -> None:
        """Stop waiting for a connection, and close it."""
        if connection.socket in self.selector.get_map():
            self.selector.unregister(connection.socket)
        connection.close()

    def check_timeouts(self, now: float) -> None:
        """Expire replies, handshakes and idle connections.

        Args:
            now: Monotonic time, in seconds.
        """
        for link in list(self.links.values()):
            self.check_link(link, now)
        for name in idle_links(self.link_uses(), now):
            self.close_link(self.links[name], "idle")
        for incoming in list(self.incoming.values()):
            self.check_incoming(incoming, now)
        self.metrics.peer_connections.labels("outgoing").set(len(self.links))
        self.metrics.peer_connections.labels("incoming").set(len(self.incoming))

    def check_link(self, link: PeerLink, now: float) -> None:
        """Drop a link that is not usable in time or silent; expire its replies."""
        connection = link.connection
        if not connection.is_open:
            if now - connection.created_at >= HANDSHAKE_TIMEOUT_S:
                self.drop_link(link, "the connection was not usable in time")
            return
        overdue = {
            number: each
            for number, each in link.pending.items()
            if now - each.sent_at >= REPLY_TIMEOUT_S
        }
        if any(connection.received_at <= each.sent_at for each in overdue.values()):
            self.drop_link(link, f"nothing received for {REPLY_TIMEOUT_S} s")
            return
        reason = f"no reply within {REPLY_TIMEOUT_S} s"
        for number, each in overdue.items():
            del link.pending[number]
            each.reply_to.put(PeerUnreachable(link.name, reason))

    def check_incoming(self, incoming: IncomingConnection, now: float) -> None:
        """Start a new window of frames, and drop a connection that is not used."""
        connection = incoming.connection
        if now - incoming.window_starts_at >= 1.0:
            incoming.window_starts_at = now
            incoming.frames = 0
            incoming.paused = False
            self.watch(incoming)
        if not connection.is_open:
            if now - connection.created_at >= HANDSHAKE_TIMEOUT_S:
                self.drop_incoming(incoming, "the handshake was not complete in time")
        elif now - connection.received_at >= MAX_INCOMING_IDLE_S:
            self.drop_incoming(incoming, f"idle for {MAX_INCOMING_IDLE_S} s")

    def stop(self) -> None:
        """Ask the task to close all connections and end."""
        self.tell(StopPeers())

    def close_all(self) -> None:
        """Close the sockets, unless they are closed."""
        if self.selector.get_map() is None:
            return
        self.listener.close()
        for link in list(self.links.values()):
            self.close_link(link, "this router stops")
        for incoming in list(self.incoming.values()):
            self.unwatch(incoming.connection)
        self.selector.close()
        self.trigger.close()
        self.wake.close()
