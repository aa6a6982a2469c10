"""Messages by which routers open tunnels to backend servers for each other.

A router that does not reach a server sends a call through another one that does. The
tunnel carries the bytes of one connection: the first router stays responsible for the
call, and a tunnel never leads to a third router.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True)
class RequestTunnel:
    """Asks a router to connect to a server; it replies with one of the classes below.

    With no time left it only asks whether the router reaches the server: the connection
    is closed at once. A router that does not know this case closes it a little later.

    Args:
        server: The server's id.
        incarnation: The server's incarnation.
        time_left_s: Time until the tunnel is not needed any more, in seconds.
        regions: Regions in which the call may be handled, or None for all. A router
            that does not know this field names no region in its reply.
    """

    server: str
    incarnation: str
    time_left_s: float
    regions: tuple[str, ...] | None = None

    @property
    def is_check(self) -> bool:
        """Whether it only asks whether the router reaches the server."""
        return self.time_left_s <= 0


@dataclass(frozen=True)
class TunnelOpened:
    """The router is connected to the server, and waits for the tunnel's other end.

    Args:
        host: IP address to connect to.
        port: Port to connect to.
        token: Secret to send first; it is valid once and for a short time. Empty after
            a check, as there is no tunnel.
        region: The router's region, if the request named regions.
    """

    host: str
    port: int
    token: str
    region: str | None = None


class TunnelRefusal(Enum):
    """Why a router opens no tunnel.

    One that is isolated reaches few servers, so that it tells nothing of this one.
    """

    UNREACHABLE = "unreachable"
    ISOLATED = "isolated"
    NOT_ACCEPTING = "not_accepting"
    BUSY = "busy"
    OUTSIDE_REGIONS = "outside_regions"


@dataclass(frozen=True)
class TunnelRefused:
    """The router opens no tunnel to the server.

    Args:
        refusal: Why not.
        region: The router's region, if it is outside of the call's regions.
    """

    refusal: TunnelRefusal
    region: str | None = None


@dataclass(frozen=True)
class StopTunnels:
    """Ends the task that owns the tunnels."""
