"""The task that owns all connections between this router and the others."""

from __future__ import annotations

import selectors
import socket
from typing import Any

from hawthornstage.actors.peers.incoming_connections import (
    IncomingConnection,
    IncomingConnections,
)
from hawthornstage.actors.peers.messages import (
    PeerMet,
    PeersChanged,
    Send,
    SendReply,
    StopPeers,
)
from hawthornstage.actors.peers.outgoing_links import OutgoingLinks, PeerLink
from hawthornstage.actors.peers.sockets import PeerSockets
from hawthornstage.actors.selector_task import SelectorTask
from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.border.peer_connection import PeerIdentity
from hawthornstage.clock import Clock
from hawthornstage.mailbox import DISCARD_REPLY
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Listen backlog: connections that may wait to be accepted.
BACKLOG = 256


class Peers(SelectorTask):
    """Owns the sockets between this router and all others.

    One thread serves all of them, and never blocks on one: a router that is slow,
    silent or sends without end delays no other.

    Args:
        identity: This router's identity.
        address: The address to listen on; port 0 lets the system choose.
        secrets: Shared secrets accepted from other routers.
        dispatcher: Delivers each message to the tasks registered for its class, and
            `PeerMet` for each connection whose other side announces its address.
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
        self.sockets = PeerSockets()
        super().__init__("peers", self.sockets.selector, clock)
        self.node = identity.node
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.listener = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self.outgoing = OutgoingLinks(
            identity,
            self.sockets,
            self.tell_met,
            clock=clock,
            events=events,
            metrics=metrics,
        )
        self.incoming = IncomingConnections(
            self,
            self.listener,
            self.sockets,
            self.tell_met,
            own_url=identity.url,
            secrets=secrets,
            dispatcher=dispatcher,
            clock=clock,
            events=events,
            metrics=metrics,
        )
        self.listener.setblocking(False)
        self.selector.register(
            self.listener, selectors.EVENT_READ, self.incoming.accept
        )

    @property
    def port(self) -> int:
        """The bound port."""
        return self.listener.getsockname()[1]

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Send() if message.node == self.node:
                self.dispatcher.deliver(message.message, message.reply_to)
            case Send():
                self.outgoing.send(message)
            case SendReply():
                self.incoming.send_reply(message)
            case PeersChanged(urls):
                self.outgoing.update_addresses(urls)
            case StopPeers():
                self.stopped = True

    def tell_met(self, met: PeerMet) -> None:
        """Tell which process a connection leads to, if a task wants to know."""
        if met.url and met.node != self.node:
            self.dispatcher.deliver(met, DISCARD_REPLY)

    def handle_ready(self, owner: Any, ready: int) -> None:
        """Serve a socket that is ready, on behalf of what owns it."""
        match owner:
            case PeerLink():
                self.outgoing.serve(owner, ready)
            case IncomingConnection():
                self.incoming.serve(owner, ready)
            case handler:
                handler()

    def end_failed(self, concerned: Any) -> None:
        """Close the connection that a failed step was about, or end a wait."""
        match concerned:
            case PeerLink() if self.outgoing.links.get(concerned.name) is concerned:
                self.outgoing.drop_link(concerned, "internal error")
            case IncomingConnection():
                self.incoming.drop(concerned, "internal error")
            case Send(reply_to=reply_to) if reply_to is not DISCARD_REPLY:
                reply_to.put(PeerUnreachable(concerned.node, "internal error"))

    def check_timeouts(self, now: float) -> None:
        """Expire replies, handshakes and idle connections, and count the rest."""
        self.outgoing.check_timeouts(now)
        self.incoming.check_timeouts(now)
        connections = self.metrics.peer_connections
        connections.labels("outgoing").set(len(self.outgoing.links))
        connections.labels("incoming").set(len(self.incoming.connections))

    def stop(self) -> None:
        """Ask the task to close all connections and end."""
        self.tell(StopPeers())

    def close_all(self) -> None:
        """Close the sockets, unless they are closed."""
        if self.sockets.closed:
            return
        self.outgoing.close_all()
        self.incoming.close_all()
        super().close_all()
