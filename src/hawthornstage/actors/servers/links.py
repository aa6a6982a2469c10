"""The task that owns the state of this router's links to backend servers."""

from __future__ import annotations

import socket
from typing import Any

import pykka

from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.server_links import LinkBook
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.lost_servers import ServerCrashed
from hawthornstage.messages.server_links import (
    ConnectionLost,
    HelperFailed,
    HelperRegion,
    LinkFailed,
    LinkFault,
    LinkWorked,
    ProbeLinks,
    ServerLinks,
)
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.slow_start import ServerInDoubt
from hawthornstage.observe.events import EventLog

# Timeout of a probe's connection, in seconds.
PROBE_TIMEOUT_S = 0.4


class ServerLinksTask(Task):
    """Owns which links fail, and which routers may replace them.

    Args:
        node: This router's name.
        links: Where they are published for the request pipe.
        prober: Task that connects to servers whose links failed.
        doubt_recipients: Get `ServerInDoubt` of servers that may have started again.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        links: LatestValue[ServerLinks],
        prober: pykka.ActorRef,
        doubt_recipients: tuple[Recipient, ...] = (),
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.links = links
        self.clock = clock
        self.events = events
        self.book = LinkBook(node)
        self.prober = prober
        self.doubt_recipients = doubt_recipients

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case LinkFailed(server, fault):
                if self.book.record_failure(server, fault, now):
                    self.events.emit(
                        "server_link_failed", server=server.id, fault=fault.value
                    )
                    if fault is LinkFault.REFUSED:
                        self.doubt(ServerInDoubt(server.incarnation))
            case LinkWorked(incarnation):
                if self.book.record_success(incarnation):
                    self.events.emit("server_link_works", server=incarnation)
                    self.doubt(ServerInDoubt(incarnation))
                    self.probe()
            case ConnectionLost(incarnation):
                self.book.record_loss(incarnation, now)
            case ServerCrashed(incarnation):
                self.book.record_crash(incarnation)
                self.doubt(ServerInDoubt(incarnation, crashed=True))
            case HelperFailed(node, incarnation):
                self.book.avoid_helper(node, incarnation or "", now)
            case HelperRegion(node, region):
                self.book.helper_regions[node] = region
            case RegisteredServers(servers):
                self.book.update_servers(each.incarnation for each in servers.values())
            case KnownRouters(urls):
                self.book.update_routers(urls)
            case ProbeLinks():
                self.probe()
        self.publish(now)

    def doubt(self, doubt: ServerInDoubt) -> None:
        """Tell that a server may have started again."""
        for recipient in self.doubt_recipients:
            recipient.tell(doubt)

    def probe(self) -> None:
        """Have the next failed link probed, if there is one.

        One that works again is followed by the next at once, as others may, too.
        """
        server = self.book.next_to_probe()
        if server is not None:
            self.prober.tell(Ask(server, ReplyCallback(self.actor_ref.tell)))

    def publish(self, now: float) -> None:
        """Publish the links if they have changed."""
        links = self.book.snapshot(now)
        if links != self.links.value:
            self.links.publish(links)


class LinkProber(Task):
    """Owns the connections that find out whether a link works again.

    The reply to a server is `LinkWorked`; there is none while its link fails.
    """

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=BackendServer() as server, reply_to=reply_to):
                if connects(server):
                    reply_to.put(LinkWorked(server.incarnation))


def connects(server: BackendServer) -> bool:
    """Whether a server accepts a connection, which is closed without a request."""
    try:
        address = (server.host, server.port)
        socket.create_connection(address, timeout=PROBE_TIMEOUT_S).close()
    except OSError:
        return False
    return True
