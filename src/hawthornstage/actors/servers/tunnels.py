"""The task that carries calls of other routers to backend servers."""

from __future__ import annotations

import errno
import secrets
import selectors
import socket
import threading
from collections.abc import Callable
from typing import Any

import pykka

from hawthornstage.actors.selector_task import CHECK_INTERVAL_S, SelectorTask
from hawthornstage.actors.servers.tunnel_ends import Accepted, Tunnel
from hawthornstage.actors.task import Ask, Recipient
from hawthornstage.border.sockets import probe_when_idle, set_socket_options
from hawthornstage.border.tunnel import TOKEN_LENGTH
from hawthornstage.clock import Clock
from hawthornstage.decisions.tunnels import refusal_of_tunnel, reply_to_check
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback, ReplyTo
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.lost_servers import CheckReach, Reach
from hawthornstage.messages.server_links import LinkFailed, LinkFault, ServerLinks
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    StopTunnels,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Listen backlog: tunnels that may wait to be accepted.
BACKLOG = 256
# Timeout for connecting to a server, in seconds.
CONNECT_TIMEOUT_S = 0.4
# Interval of the checks for timeouts while a server is connected to, in seconds.
CONNECTING_CHECK_INTERVAL_S = 0.05
# Time within which the other router must use a tunnel, in seconds.
TOKEN_TIMEOUT_S = 1.0
# Longest time that a tunnel stays open beyond the time that it was asked for, in
# seconds.
LINGER_S = 1.0


class TunnelsTask(SelectorTask):
    """Owns the tunnels through this router, and the socket that accepts them.

    Args:
        address: The address to listen on; port 0 lets the system choose.
        checks: Task that finds out whether this router reaches a server.
        links_task: Is told of servers that this router does not reach.
        registered: The servers that may get calls.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        links: This router's links to servers.
        region: Returns this router's region, empty if it has none.
        clock: The runtime's clock.
        events: The event log.
        metrics: Counts tunnels.
    """

    def __init__(
        self,
        address: SocketAddress,
        checks: Recipient,
        links_task: pykka.ActorRef,
        *,
        registered: LatestValue[RegisteredServers],
        notices: LatestValue[ServerNotices],
        evacuations: LatestValue[Evacuations],
        links: LatestValue[ServerLinks],
        region: Callable[[], str],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__("tunnels", selectors.DefaultSelector(), clock)
        self.checks = checks
        self.links_task = links_task
        self.registered = registered
        self.notices = notices
        self.evacuations = evacuations
        self.links = links
        self.region = region
        self.events = events
        self.metrics = metrics
        self.host = address.host
        self.listener = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept)
        # Tunnels by token; a token stays after it was used, as the tunnel's name.
        self.tunnels: dict[str, Tunnel] = {}
        self.changed = threading.Condition()
        self.accepted: set[Accepted] = set()
        self.stopping = False

    @property
    def port(self) -> int:
        """The bound port."""
        return self.listener.getsockname()[1]

    @property
    def check_interval_s(self) -> float:
        if any(not each.connected for each in self.tunnels.values()):
            return CONNECTING_CHECK_INTERVAL_S
        return CHECK_INTERVAL_S

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=RequestTunnel() as request, reply_to=reply_to):
                if request.is_check:
                    self.check(request, reply_to)
                else:
                    self.open(request, reply_to)
            case StopTunnels():
                self.stopped = True

    def end_failed(self, concerned: Any) -> None:
        match concerned:
            case Ask(message=RequestTunnel(), reply_to=reply_to):
                self.refuse(TunnelRefusal.BUSY, reply_to)
            case Tunnel():
                # Without the last chunk, the other router takes it for broken.
                self.close(concerned)
            case Accepted():
                self.drop(concerned)

    def refuse_new(self) -> None:
        """Open no more tunnels; may be called by any thread."""
        self.stopping = True

    def wait_ended(self, timeout: float) -> bool:
        """Wait until no tunnel is open; return False after `timeout` seconds.

        May be called by any thread.
        """
        deadline = self.clock.monotonic() + timeout
        with self.changed:
            while self.tunnels:
                remaining = deadline - self.clock.monotonic()
                if remaining <= 0:
                    return False
                self.clock.wait(self.changed, remaining)
        return True

    def check(self, request: RequestTunnel, reply_to: ReplyTo) -> None:
        """Find out for another router whether this one reaches a server."""
        server = self.registered.value.servers.get(request.server)
        if server is None or server.incarnation != request.incarnation:
            reply_to.put(TunnelRefused(TunnelRefusal.NOT_ACCEPTING))
            return
        address = SocketAddress(self.host, self.port)

        def reply(reach: Reach) -> None:
            reply_to.put(reply_to_check(reach, address))

        self.checks.tell(Ask(CheckReach(server), ReplyCallback(reply)))

    def open(self, request: RequestTunnel, reply_to: ReplyTo) -> None:
        """Connect to a server for another router, or refuse."""
        now = self.clock.monotonic()
        refusal = refusal_of_tunnel(
            request,
            self.registered.value,
            self.notices.value,
            self.evacuations.value,
            self.links.value,
            region=self.region(),
            open_tunnels=len(self.tunnels),
            stopping=self.stopping,
            now=now,
        )
        if refusal is not None:
            self.refuse(refusal, reply_to, self.region_for(request))
            return
        server = self.registered.value.servers[request.server]
        self.connect(server, request, reply_to, now)

    def connect(
        self,
        server: BackendServer,
        request: RequestTunnel,
        reply_to: ReplyTo,
        now: float,
    ) -> None:
        """Begin to connect to a server for another router.

        Args:
            server: The server.
            request: The request for the tunnel.
            reply_to: Gets the reply to the request for the tunnel.
            now: Monotonic time, in seconds.
        """
        connection = socket.socket()
        connection.setblocking(False)
        set_socket_options(connection)
        probe_when_idle(connection)
        token = secrets.token_hex(TOKEN_LENGTH // 2)
        tunnel = Tunnel(
            token,
            server,
            connection,
            reply_to,
            connect_by=now + CONNECT_TIMEOUT_S,
            use_by=now + CONNECT_TIMEOUT_S + TOKEN_TIMEOUT_S,
            end_by=now + max(0.0, request.time_left_s) + LINGER_S,
            region=self.region_for(request),
        )
        error = connection.connect_ex((server.host, server.port))
        if error not in (0, errno.EINPROGRESS):
            self.fail(tunnel, error)
            return
        self.tunnels[token] = tunnel
        self.selector.register(connection, selectors.EVENT_WRITE, tunnel)

    def region_for(self, request: RequestTunnel) -> str | None:
        """Return this router's region if a request names regions."""
        return None if request.regions is None else self.region()

    def refuse(
        self,
        refusal: TunnelRefusal,
        reply_to: ReplyTo,
        region: str | None = None,
    ) -> None:
        """Reply that no tunnel is opened.

        Args:
            refusal: Why not.
            reply_to: Gets the reply.
            region: This router's region, if it was asked for.
        """
        self.metrics.tunnels.labels("served", refusal.value).inc()
        reply_to.put(TunnelRefused(refusal, region))

    def fail(self, tunnel: Tunnel, error: int) -> None:
        """Give up a tunnel whose server cannot be connected to."""
        refused = error == errno.ECONNREFUSED
        fault = LinkFault.REFUSED if refused else LinkFault.SILENT
        self.links_task.tell(LinkFailed(tunnel.server, fault))
        self.close(tunnel)
        self.refuse(TunnelRefusal.UNREACHABLE, tunnel.reply_to, tunnel.region)

    def handle_ready(self, owner: Any, ready: int) -> None:
        match owner:
            case Tunnel() if owner.token not in self.tunnels:
                # Its other end, which was ready at the same time, has closed it.
                pass
            case Tunnel(connected=False):
                self.finish_connecting(owner)
            case Tunnel():
                self.transfer(owner)
            case Accepted():
                self.read_token(owner)
            case handler:
                handler()

    def finish_connecting(self, tunnel: Tunnel) -> None:
        """Tell the other router that the server is connected, or that it is not."""
        error = tunnel.server_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.fail(tunnel, error)
            return
        tunnel.connected = True
        self.selector.unregister(tunnel.server_socket)
        self.metrics.tunnels.labels("served", "opened").inc()
        tunnel.reply_to.put(
            TunnelOpened(self.host, self.port, tunnel.token, tunnel.region)
        )

    def accept(self) -> None:
        """Accept the other end of a tunnel."""
        try:
            connection, address = self.listener.accept()
        except OSError as error:
            self.events.emit("tunnel_accept_failed", reason=str(error))
            return
        connection.setblocking(False)
        set_socket_options(connection)
        probe_when_idle(connection)
        use_by = self.clock.monotonic() + TOKEN_TIMEOUT_S
        accepted = Accepted(connection, address[0], use_by)
        self.accepted.add(accepted)
        self.selector.register(connection, selectors.EVENT_READ, accepted)

    def read_token(self, accepted: Accepted) -> None:
        """Join an accepted connection to the tunnel whose token it sends."""
        token = accepted.read_token()
        if token is None:
            return
        self.selector.unregister(accepted.socket)
        self.accepted.discard(accepted)
        tunnel = self.tunnels.get(token)
        if tunnel is None or not tunnel.connected or tunnel.in_use:
            self.events.emit("tunnel_token_refused", peer=accepted.host)
            accepted.socket.close()
            return
        tunnel.join(accepted.socket)
        self.watch(tunnel)

    def transfer(self, tunnel: Tunnel) -> None:
        """Move bytes in both directions, and close a tunnel that has ended."""
        tunnel.transfer()
        if tunnel.ended:
            self.close(tunnel)
        else:
            self.watch(tunnel)

    def watch(self, tunnel: Tunnel) -> None:
        """Wait for what both ends of a tunnel need now."""
        for each, events in tunnel.wanted_events():
            known = self.selector.get_map().get(each)
            if known is None:
                if events:
                    self.selector.register(each, events, tunnel)
            elif not events:
                self.selector.unregister(each)
            elif known.events != events:
                self.selector.modify(each, events, tunnel)

    def close(self, tunnel: Tunnel) -> None:
        """Close both ends of a tunnel."""
        with self.changed:
            self.tunnels.pop(tunnel.token, None)
            self.changed.notify_all()
        for each in tunnel.sockets:
            if each in self.selector.get_map():
                self.selector.unregister(each)
        tunnel.close()

    def check_timeouts(self, now: float) -> None:
        for tunnel in list(self.tunnels.values()):
            if not tunnel.connected and now >= tunnel.connect_by:
                self.fail(tunnel, errno.ETIMEDOUT)
            elif not tunnel.in_use and now >= tunnel.use_by or now >= tunnel.end_by:
                self.close(tunnel)
        for accepted in list(self.accepted):
            if now >= accepted.use_by:
                self.drop(accepted)

    def drop(self, accepted: Accepted) -> None:
        """Close a connection that has sent no token."""
        self.accepted.discard(accepted)
        if accepted.socket in self.selector.get_map():
            self.selector.unregister(accepted.socket)
        accepted.socket.close()

    def close_all(self) -> None:
        self.listener.close()
        for tunnel in list(self.tunnels.values()):
            tunnel.close()
        for accepted in self.accepted:
            accepted.socket.close()
        super().close_all()
