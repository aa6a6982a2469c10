"""Tasks that own the connections between routers."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import pykka
import structlog
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from hawthornstage.actors.task import MessageDispatcher, Task
from hawthornstage.actors.timers import Timers
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.clock import Clock
from hawthornstage.mailbox import DISCARD_REPLY, ReplyTo
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

log = structlog.get_logger()

# Most messages queued for one router; further ones are refused.
MAX_QUEUED = 2_000
# Timeout of connecting and of closing a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Timeout of a reply, in seconds.
REPLY_TIMEOUT_S = 5.0
# Delay before reconnecting after a failure, in seconds.
RECONNECT_PAUSE_S = 0.5
# Interval of WebSocket pings, and the timeout of their pongs, in seconds.
PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 10.0
# Largest frame, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024


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
class FrameArrived:
    """A frame received on a connection."""

    connection: ClientConnection
    data: bytes


@dataclass(frozen=True)
class ConnectionEnded:
    """Reports that a connection has closed."""

    connection: ClientConnection


@dataclass(frozen=True)
class CheckTimeouts:
    """Triggers the check for overdue replies."""


@dataclass(frozen=True)
class PeerIdentity:
    """This router's identity towards the others.

    Args:
        node: Its name.
        secret: The shared secret that authenticates it.
    """

    node: str
    secret: str


@dataclass(frozen=True)
class PendingReply:
    """A reply that has not arrived.

    Args:
        reply_to: Gets the reply, or `PeerUnreachable`.
        deadline: Monotonic time at which the reply is overdue, in seconds.
    """

    reply_to: ReplyTo
    deadline: float


class PeerLink(Task):
    """Owns the connection over which this router sends messages to another one.

    Args:
        name: The other router's name.
        url: Its address, `ws://IP:PORT`.
        identity: This router's identity.
        clock: The runtime's clock.
        events: The event log, whose hybrid logical clock also stamps the frames.
        metrics: Counters of sent and received bytes.
    """

    def __init__(
        self,
        name: str,
        url: str,
        identity: PeerIdentity,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.name = name
        self.url = url
        self.identity = identity
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.connection: ClientConnection | None = None
        self.retry_at = float("-inf")
        self.frame_numbers = itertools.count(1)
        self.pending: dict[int, PendingReply] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Send():
                self.send(message)
            case FrameArrived(connection, data):
                self.handle_reply(connection, data)
            case ConnectionEnded(connection):
                if connection is self.connection:
                    self.disconnect("the connection was closed")
            case CheckTimeouts():
                self.expire_replies()

    def send(self, message: Send) -> None:
        """Send one message, connecting first if necessary."""
        if not self.ensure_connected():
            message.reply_to.put(
                PeerUnreachable(self.name, f"no connection to {self.url}")
            )
            return
        number = next(self.frame_numbers)
        deadline = self.clock.monotonic() + REPLY_TIMEOUT_S
        if message.reply_to is not DISCARD_REPLY:
            self.pending[number] = PendingReply(message.reply_to, deadline)
        frame = Frame(number, False, self.events.clock.now(), message.message)
        try:
            assert self.connection is not None
            data = encode_frame(frame)
            self.connection.send(data)
            self.metrics.peer_bytes.labels("sent").inc(len(data))
        except (WebSocketException, OSError) as error:
            self.disconnect(str(error))

    def ensure_connected(self) -> bool:
        """Connect if necessary, unless the reconnection delay has not passed.

        Returns:
            Whether there is a connection.
        """
        if self.connection is not None:
            return True
        if self.clock.monotonic() < self.retry_at:
            return False
        try:
            self.connection = connect(
                self.url,
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                max_size=MAX_FRAME_BYTES,
                compression=None,
                proxy=None,
                additional_headers={
                    "Authorization": f"Bearer {self.identity.secret}",
                    "X-Node": self.identity.node,
                },
            )
        except (WebSocketException, OSError):
            self.retry_at = self.clock.monotonic() + RECONNECT_PAUSE_S
            return False
        self.events.emit("peer_connected", peer=self.name)
        threading.Thread(
            target=read_frames,
            args=(self.connection, self.actor_ref),
            name=f"peer-{self.name}",
            daemon=True,
        ).start()
        return True

    def handle_reply(self, connection: ClientConnection, data: bytes) -> None:
        """Deliver a reply to the sender that waits for it."""
        self.metrics.peer_bytes.labels("received").inc(len(data))
        try:
            frame = decode_frame(data)
        except FrameError as error:
            self.events.emit("peer_frame_refused", peer=self.name, reason=str(error))
            connection.close(1008, "wrong frame")
            return
        self.events.clock.observe(frame.stamp)
        pending = self.pending.pop(frame.number, None)
        if pending is not None:
            pending.reply_to.put(frame.message)

    def disconnect(self, reason: str) -> None:
        """Drop the connection, and reply `PeerUnreachable` to all waiting senders."""
        connection, self.connection = self.connection, None
        self.retry_at = self.clock.monotonic() + RECONNECT_PAUSE_S
        self.events.emit("peer_lost", peer=self.name, reason=reason)
        pending, self.pending = self.pending, {}
        for each in pending.values():
            each.reply_to.put(PeerUnreachable(self.name, reason))
        if connection is not None:
            # Closing waits for the other side, which may be hung, so it must not block
            # this task.
            threading.Thread(target=connection.close, daemon=True).start()

    def expire_replies(self) -> None:
        """Reply `PeerUnreachable` in place of overdue replies."""
        now = self.clock.monotonic()
        overdue = [
            number for number, each in self.pending.items() if each.deadline <= now
        ]
        for number in overdue:
            reply_to = self.pending.pop(number).reply_to
            reply_to.put(
                PeerUnreachable(self.name, f"no reply within {REPLY_TIMEOUT_S} s")
            )

    def on_stop(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()


def read_frames(connection: ClientConnection, link: pykka.ActorRef) -> None:
    """Pass the frames of a connection to its link until the connection ends."""
    try:
        for data in connection:
            link.tell(FrameArrived(connection, data))
    except (WebSocketException, OSError):
        pass
    try:
        link.tell(ConnectionEnded(connection))
    except pykka.ActorDeadError:
        return


class Peers(Task):
    """Routes messages to the links of other routers, or to this router's own tasks.

    Args:
        identity: This router's identity.
        dispatcher: Delivers messages addressed to this router itself.
        start_link: Starts the link to a router, given its name and address.
        timers: Schedules the links' checks for overdue replies.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        dispatcher: MessageDispatcher,
        start_link: Callable[[str, str], pykka.ActorRef],
        timers: Timers,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.dispatcher = dispatcher
        self.start_link = start_link
        self.timers = timers
        self.urls: dict[str, str] = {}
        self.links: dict[str, pykka.ActorRef] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Send():
                self.send(message)
            case PeersChanged(urls):
                self.update_addresses(urls)

    def send(self, message: Send) -> None:
        """Pass a message to the link of its router, or to this router's own tasks."""
        if message.node == self.identity.node:
            self.dispatcher.deliver(message.message, message.reply_to)
            return
        url = self.urls.get(message.node)
        if url is None:
            message.reply_to.put(
                PeerUnreachable(message.node, "no address known for this router")
            )
            return
        link = self.link_to(message.node, url)
        if link.actor_inbox.qsize() > MAX_QUEUED:
            message.reply_to.put(
                PeerUnreachable(message.node, f"more than {MAX_QUEUED} messages queued")
            )
            return
        link.tell(message)

    def link_to(self, node: str, url: str) -> pykka.ActorRef:
        """Return the link to a router, starting it on first use."""
        link = self.links.get(node)
        if link is None:
            link = self.links[node] = self.start_link(node, url)
            self.timers.every(1.0, link, CheckTimeouts())
        return link

    def update_addresses(self, urls: Mapping[str, str]) -> None:
        """Replace the addresses, and stop links to routers removed or moved."""
        for node in self.links.keys() - urls.keys():
            self.stop_link(node)
        for node in [n for n in self.links if self.urls.get(n) != urls[n]]:
            self.stop_link(node)
        self.urls = dict(urls)

    def stop_link(self, node: str) -> None:
        """Stop the link to a router without waiting for it."""
        self.links.pop(node).stop(block=False)
