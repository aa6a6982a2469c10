"""Messages about this router's own links to backend servers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from hawthornstage.messages.backends import BackendServer


class LinkFault(Enum):
    """How a link to a server fails."""

    SILENT = "silent"
    REFUSED = "refused"


@dataclass(frozen=True)
class LinkFailed:
    """This router could not connect to a server."""

    server: BackendServer
    fault: LinkFault


@dataclass(frozen=True)
class LinkWorked:
    """This router connected to a server, given by its incarnation."""

    incarnation: str


@dataclass(frozen=True)
class ConnectionLost:
    """A connection to a server broke during a call; given by its incarnation."""

    incarnation: str


@dataclass(frozen=True)
class HelperFailed:
    """Another router did not open a tunnel.

    Args:
        node: The router.
        incarnation: The server that it does not reach, or None if it did not reply or
            opens no tunnels at present.
    """

    node: str
    incarnation: str | None


@dataclass(frozen=True)
class HelperRegion:
    """Another router named its region.

    Args:
        node: The router.
        region: Its region, empty if it has none.
    """

    node: str
    region: str


@dataclass(frozen=True)
class ProbeLinks:
    """Triggers one attempt to connect to a server whose link failed."""


@dataclass(frozen=True)
class ServerLinks:
    """This router's links to servers, and the routers that may replace them.

    Args:
        failed: How links fail, by the server's incarnation; all other links work as far
            as is known.
        isolated: Whether several servers were lost at about the same time, so that it
            is this router's links that fail and not the servers.
        helpers: Routers to ask for a tunnel.
        further_helpers: Routers to ask as well for calls that are bound to regions.
        helper_regions: Regions of such routers, as far as they are known.
        avoided_until: Monotonic time until which a helper is not asked, in seconds, by
            its name and the server's incarnation; an empty one stands for all servers.
    """

    failed: Mapping[str, LinkFault] = field(default_factory=dict)
    isolated: bool = False
    helpers: tuple[str, ...] = ()
    avoided_until: Mapping[tuple[str, str], float] = field(default_factory=dict)
    further_helpers: tuple[str, ...] = ()
    helper_regions: Mapping[str, str] = field(default_factory=dict)

    def may_help(self, node: str, incarnation: str, now: float) -> bool:
        """Whether a router may be asked for a tunnel to a server."""
        until = self.avoided_until
        return all(until.get((node, each), now) <= now for each in (incarnation, ""))
