"""Server dialer: connects to servers, through another router where links fail."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask_router
from hawthornstage.actors.task import Recipient
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.decisions.home_regions import is_within
from hawthornstage.decisions.server_links import helpers_to_ask
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.server_links import (
    ConnectionLost,
    HelperFailed,
    HelperRegion,
    LinkFailed,
    LinkFault,
    ServerLinks,
)
from hawthornstage.messages.server_selection import ServerChosen
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Timeout for connecting to a server or to another router, in seconds.
CONNECT_TIMEOUT_S = 0.4
# Timeout for another router's reply, which connects to the server first, in seconds.
HELPER_TIMEOUT_S = 0.5
# Routers asked for one connection, one after the other: few if it is as likely that the
# server has failed as that this router's links have.
MAX_HELPERS_ASKED = 3
MAX_HELPERS_ASKED_IN_DOUBT = 1
# The same for a call that is bound to regions, as a multiple: routers whose region is
# not yet known turn out to be elsewhere.
ASKED_FOR_REGIONS = 4


@dataclass(frozen=True)
class ServerDialer:
    """Opens connections to servers.

    Args:
        links: The state of this router's links.
        task: Task that owns it.
        peers: Sends messages to other routers.
        clock: Source of time and timeouts.
        events: Structured event log.
        metrics: Counts tunnels.
    """

    links: LatestValue[ServerLinks]
    task: pykka.ActorRef
    peers: Recipient
    clock: Clock
    events: EventLog
    metrics: Metrics

    @property
    def is_isolated(self) -> bool:
        """Whether it is this router's links that fail, and not the servers."""
        return self.links.value.isolated

    def is_link_silent(self, incarnation: str) -> bool:
        """Whether this router's links fail, and that to one server does in silence."""
        links = self.links.value
        return links.isolated and links.failed.get(incarnation) is LinkFault.SILENT

    def connect(
        self,
        call_id: str,
        choice: ServerChosen,
        deadline: float,
        *,
        failed_before: bool,
        regions: frozenset[str] | None = None,
    ) -> ServerConnection:
        """Return the pooled connection to the server, or open a new one.

        Args:
            call_id: Id of the call.
            choice: The server.
            deadline: Monotonic time at which the call ends, in seconds.
            failed_before: Whether another server could not be connected to for this
                call.
            regions: Regions in which the call may be handled, or None for all.

        Raises:
            OSError: Neither this router nor one that it asked reaches the server.
        """
        fault = self.links.value.failed.get(choice.server.incarnation)
        pooled = choice.pooled
        if isinstance(pooled, ServerConnection):
            # An open connection may live on where new ones are refused.
            if fault is not LinkFault.SILENT:
                return pooled
            pooled.close()
        if fault is None:
            try:
                return self.connect_directly(choice)
            except OSError as error:
                refused = isinstance(error, ConnectionRefusedError)
                fault = LinkFault.REFUSED if refused else LinkFault.SILENT
                self.task.tell(LinkFailed(choice.server, fault))
                if not (failed_before or self.is_isolated):
                    # Most likely the server has failed; the next one is tried first.
                    raise
        in_doubt = not (failed_before or self.is_isolated)
        most = MAX_HELPERS_ASKED_IN_DOUBT if in_doubt else MAX_HELPERS_ASKED
        return self.connect_through_another(call_id, choice, deadline, most, regions)

    def note_loss(self, incarnation: str) -> None:
        """Report that a connection broke during a call."""
        self.task.tell(ConnectionLost(incarnation))

    def connect_directly(self, choice: ServerChosen) -> ServerConnection:
        """Open a connection from this router.

        Raises:
            OSError: The server is not reached.
        """
        return ServerConnection(
            SocketAddress(choice.server.host, choice.server.port),
            self.clock,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def connect_through_another(
        self,
        call_id: str,
        choice: ServerChosen,
        deadline: float,
        most: int,
        regions: frozenset[str] | None,
    ) -> ServerConnection:
        """Open a connection through a router that reaches the server.

        Args:
            call_id: Id of the call.
            choice: The server.
            deadline: Monotonic time at which the call ends, in seconds.
            most: Most routers to ask.
            regions: Regions in which the call may be handled, or None for all.

        Raises:
            OSError: No router that was asked reaches the server.
        """
        now = self.clock.monotonic()
        server = choice.server
        if regions is not None:
            most *= ASKED_FOR_REGIONS
        for node in helpers_to_ask(
            self.links.value, call_id, server.incarnation, most, now, regions
        ):
            opened = self.request_tunnel(node, choice, deadline, regions)
            if opened is None:
                continue
            try:
                connection = ServerConnection(
                    SocketAddress(opened.host, opened.port),
                    self.clock,
                    connect_timeout_s=CONNECT_TIMEOUT_S,
                    tunnel_token=opened.token,
                )
            except OSError as error:
                self.avoid(node, None, str(error))
                continue
            connection.through_router = node
            self.metrics.tunnels.labels("used", "opened").inc()
            self.events.emit(
                "sent_through_router",
                request_id=call_id,
                routine=True,
                server=server.id,
                router=node,
            )
            return connection
        raise ConnectionError("neither this router nor one that it asked reaches it")

    def request_tunnel(
        self,
        node: str,
        choice: ServerChosen,
        deadline: float,
        regions: frozenset[str] | None,
    ) -> TunnelOpened | None:
        """Ask a router for a tunnel; None if it opens none in time or may not carry.

        Args:
            node: The router.
            choice: The server.
            deadline: Monotonic time at which the call ends, in seconds.
            regions: Regions in which the call may be handled, or None for all.
        """
        server = choice.server
        time_left_s = deadline - self.clock.monotonic()
        request = RequestTunnel(
            server.id,
            server.incarnation,
            time_left_s,
            None if regions is None else tuple(sorted(regions)),
        )
        timeout = min(HELPER_TIMEOUT_S, time_left_s)
        match ask_router(self.peers, node, request, self.clock, timeout=timeout):
            case TunnelOpened(region=region) as opened if is_within(region, regions):
                if region:
                    self.task.tell(HelperRegion(node, region))
                return opened
            case TunnelOpened(region=region):
                self.note_outside(node, region)
            case TunnelRefused(TunnelRefusal.OUTSIDE_REGIONS, region):
                self.note_outside(node, region)
            case TunnelRefused(TunnelRefusal.BUSY | TunnelRefusal.ISOLATED as refusal):
                self.avoid(node, None, refusal.value)
            case TunnelRefused(refusal):
                self.avoid(node, server.incarnation, refusal.value)
            case reply:
                self.avoid(node, None, f"no reply ({type(reply).__name__})")
        return None

    def note_outside(self, node: str, region: str | None) -> None:
        """Note that a router may not carry a call, by its region.

        Older builds name none; they may be replaced soon.
        """
        if not region:
            self.avoid(node, None, "it names no region")
            return
        refusal = TunnelRefusal.OUTSIDE_REGIONS.value
        self.metrics.tunnels.labels("used", refusal).inc()
        self.task.tell(HelperRegion(node, region))

    def avoid(self, node: str, incarnation: str | None, reason: str) -> None:
        """Stop asking a router for a while, for one server or for all."""
        self.metrics.tunnels.labels("used", "refused").inc()
        self.events.emit(
            "helper_failed",
            routine=True,
            router=node,
            server=incarnation,
            reason=reason,
        )
        self.task.tell(HelperFailed(node, incarnation))
