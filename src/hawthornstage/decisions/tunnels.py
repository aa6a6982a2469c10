"""Decides whether this router opens a tunnel, or says that it reaches a server."""

from __future__ import annotations

from typing import Any

from hawthornstage.decisions.home_regions import is_within
from hawthornstage.decisions.server_acceptance import why_not_accepting
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.lost_servers import Reach
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)

# Most tunnels at a time: a router that helps many still has to serve its own callers.
MAX_TUNNELS = 192


def refusal_of_tunnel(
    request: RequestTunnel,
    registered: RegisteredServers,
    notices: ServerNotices,
    evacuations: Evacuations,
    links: ServerLinks,
    *,
    region: str,
    open_tunnels: int,
    stopping: bool,
    now: float,
) -> TunnelRefusal | None:
    """Return why a tunnel is not opened, or None if it is.

    The server must get no calls through this router that it would not get from it.

    Args:
        request: The request.
        registered: The servers that may get calls.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        links: This router's links.
        region: This router's region, empty if it has none.
        open_tunnels: Tunnels that are open.
        stopping: Whether this router stops.
        now: Monotonic time in seconds.
    """
    regions = None if request.regions is None else frozenset(request.regions)
    if not is_within(region, regions):
        return TunnelRefusal.OUTSIDE_REGIONS
    server = registered.servers.get(request.server)
    if server is None or server.incarnation != request.incarnation:
        return TunnelRefusal.NOT_ACCEPTING
    if why_not_accepting(server, registered, notices, evacuations, now) is not None:
        return TunnelRefusal.NOT_ACCEPTING
    if server.incarnation in links.failed:
        isolated = links.isolated
        return TunnelRefusal.ISOLATED if isolated else TunnelRefusal.UNREACHABLE
    if stopping or open_tunnels >= MAX_TUNNELS:
        return TunnelRefusal.BUSY
    return None


def reply_to_check(
    reach: Reach, address: SocketAddress
) -> TunnelOpened | TunnelRefused:
    """Return the reply to a router that asked whether a server is reached.

    Args:
        reach: Whether this router reaches it.
        address: Where this router accepts tunnels.
    """
    match reach:
        case Reach.REACHED:
            return TunnelOpened(address.host, address.port, token="")
        case Reach.UNREACHED:
            return TunnelRefused(TunnelRefusal.UNREACHABLE)
        case Reach.UNKNOWN:
            return TunnelRefused(TunnelRefusal.ISOLATED)


def reach_of_reply(reply: Any) -> Reach:
    """Return what another router's reply to a check tells of the server."""
    match reply:
        case TunnelOpened():
            return Reach.REACHED
        case TunnelRefused(TunnelRefusal.UNREACHABLE):
            return Reach.UNREACHED
        case _:
            return Reach.UNKNOWN
