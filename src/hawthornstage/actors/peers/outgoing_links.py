"""The connections on which a router sends messages to others."""

from __future__ import annotations

import itertools
import selectors
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hawthornstage.actors.peers.messages import PeerMet, Send
from hawthornstage.actors.peers.sockets import PeerSockets
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.border.peer_connection import (
    PeerConnection,
    PeerConnectionError,
    PeerIdentity,
    connect_to_peer,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.peer_links import LinkUse, idle_links, link_to_replace
from hawthornstage.decisions.router_processes import is_same_endpoint
from hawthornstage.mailbox import DISCARD_REPLY, ReplyTo
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Most messages to one router that wait for replies; further ones are refused.
MAX_PENDING = 2_000
# Time until a connection must be usable, in seconds.
HANDSHAKE_TIMEOUT_S = 1.0
# Timeout of a reply, in seconds.
REPLY_TIMEOUT_S = 5.0
# Delay before reconnecting after a failure, in seconds.
RECONNECT_PAUSE_S = 0.5
# Time for which a lost router is tried again although there is nothing to send to it,
# in seconds: its next process is known as soon as it accepts connections.
SEARCH_S = 15.0


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
        url: The address that was connected to.
        connection: The connection.
        used_at: Monotonic time of the last message, in seconds.
        numbers: Numbers of the frames.
        pending: Replies that have not arrived, by number of the frame.
        opened: Whether the handshake has been completed.
    """

    name: str
    url: str
    connection: PeerConnection
    used_at: float
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    pending: dict[int, PendingReply] = field(default_factory=dict)
    opened: bool = False

    def leads_to(self, url: str | None) -> bool:
        """Whether the process at an address is the one that this link leads to.

        Until the other side has announced its process, it is the one there now.
        """
        if url is None:
            return False
        announced = self.connection.peer_url
        return announced == url if announced else is_same_endpoint(self.url, url)


class OutgoingLinks:
    """The links of one router, each opened with the first message to its router.

    They are part of the state of the task that owns the connections between routers.

    Args:
        identity: This router's identity.
        sockets: The sockets that the task waits for.
        tell_met: Called with `PeerMet` once a router has accepted a connection.
        clock: The runtime's clock.
        events: The event log, whose hybrid logical clock also stamps the frames.
        metrics: Counts bytes.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        sockets: PeerSockets,
        tell_met: Callable[[PeerMet], None],
        *,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self.identity = identity
        self.sockets = sockets
        self.tell_met = tell_met
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.urls: dict[str, str] = {}
        self.retry_times: dict[str, float] = {}
        # Time until which lost routers are searched for.
        self.searched_until: dict[str, float] = {}
        self.links: dict[str, PeerLink] = {}

    def send(self, message: Send) -> None:
        """Send a message to another router."""
        try:
            link = self.link_to(message.node)
            self.send_on_link(link, message)
        except (PeerConnectionError, FrameError) as error:
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
        link = self.links[node] = PeerLink(node, url, connection, now)
        self.sockets.watch(link.connection, link)
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
            FrameError: The message can't be encoded.
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
        self.sockets.watch(link.connection, link)

    def serve(self, link: PeerLink, ready: int) -> None:
        """Read replies and send queued bytes on a link."""
        if self.links.get(link.name) is not link:
            return
        try:
            if ready & selectors.EVENT_WRITE:
                link.connection.flush()
            if ready & selectors.EVENT_READ:
                for payload in link.connection.receive(self.clock.monotonic()):
                    self.handle_reply(link, payload)
        except FrameError as error:
            self.events.emit("peer_frame_refused", peer=link.name, reason=str(error))
            self.drop_link(link, "invalid frame")
            return
        except PeerConnectionError as error:
            self.drop_link(link, str(error))
            return
        if not link.opened and link.connection.is_open:
            self.record_open(link)
        self.sockets.watch(link.connection, link)

    def record_open(self, link: PeerLink) -> None:
        """Record that a link's handshake is complete."""
        link.opened = True
        self.searched_until.pop(link.name, None)
        self.events.emit("peer_connected", peer=link.name)
        self.tell_met(PeerMet(link.name, link.connection.peer_url))

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
        now = self.clock.monotonic()
        self.retry_times[link.name] = now + RECONNECT_PAUSE_S
        if link.opened:
            self.searched_until[link.name] = now + SEARCH_S
        if link.opened or link.name not in self.searched_until:
            self.events.emit("peer_lost", peer=link.name, reason=reason)
        self.close_link(link, reason)

    def close_link(self, link: PeerLink, reason: str) -> None:
        """Close a link, and reply `PeerUnreachable` to all waiting senders."""
        del self.links[link.name]
        self.sockets.unwatch(link.connection)
        for each in link.pending.values():
            each.reply_to.put(PeerUnreachable(link.name, reason))

    def update_addresses(self, urls: Mapping[str, str]) -> None:
        """Replace the addresses, and close links to routers removed or replaced."""
        for name, link in list(self.links.items()):
            if not link.leads_to(urls.get(name)):
                self.close_link(link, "the router has left or another process runs")
        self.retry_times = {
            name: at
            for name, at in self.retry_times.items()
            if name in urls and urls[name] == self.urls.get(name)
        }
        self.searched_until = {
            name: at for name, at in self.searched_until.items() if name in urls
        }
        self.urls = dict(urls)

    def search(self, now: float) -> None:
        """Connect to lost routers, to find out which process runs there now."""
        for node, until in list(self.searched_until.items()):
            if now >= until:
                del self.searched_until[node]
            elif now >= self.retry_times.get(node, now):
                self.try_link(node)

    def try_link(self, node: str) -> None:
        """Connect to a router unless it is connected; a failure is tried again."""
        try:
            self.link_to(node)
        except PeerConnectionError:
            return

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

    def check_timeouts(self, now: float) -> None:
        """Expire replies and handshakes, and close idle links.

        Args:
            now: Monotonic time, in seconds.
        """
        for link in list(self.links.values()):
            self.check_link(link, now)
        for name in idle_links(self.link_uses(), now):
            self.close_link(self.links[name], "idle")
        self.search(now)

    def close_all(self) -> None:
        """Close all links."""
        for link in list(self.links.values()):
            self.close_link(link, "this router stops")
