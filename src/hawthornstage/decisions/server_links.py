"""Tells a router's failed links from failed servers, and chooses who helps.

A link is the path from this router to one server. It counts as failed from a failed
connection until one succeeds; meanwhile calls go through other routers. A server that
is really gone is reached by none of them.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hawthornstage.decisions.home_regions import is_within
from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.server_links import LinkFault, ServerLinks

# Time within which several servers must be lost to conclude that the links fail, and
# for which a loss counts, in seconds.
ISOLATION_WINDOW_S = 1.5
# Servers lost within it.
ISOLATION_SERVERS = 2
# Routers that one router asks for tunnels: few, so that few connections between routers
# are opened, and others for each router, so that their load is spread.
HELPERS = 8
# Further routers that are asked for calls that are bound to regions, until enough are
# known to be there.
FURTHER_HELPERS = 24
# Time for which a helper that does not reach a server is not asked for it, and for
# which one that did not reply or has no room is not asked at all, in seconds.
HELPER_PAUSE_S = 1.0
# Most servers whose links are kept.
MAX_LINKS = 4_096


@dataclass
class LinkBook:
    """The state of a router's links to servers.

    Args:
        node: This router.
        failed: Servers whose links fail, and how, by incarnation.
        lost_at: Latest loss of a connection, by incarnation.
        unreachable: Servers that crashed or that a helper doesn't reach, either, by
            incarnation.
        helpers: Routers to ask for tunnels.
        further_helpers: Routers to ask as well for calls that are bound to regions.
        helper_regions: Regions of such routers, as far as they are known.
        avoided_until: Time until which a helper is not asked, by its name and server.
    """

    node: str
    failed: dict[str, tuple[BackendServer, LinkFault]] = field(default_factory=dict)
    lost_at: dict[str, float] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    helpers: tuple[str, ...] = ()
    further_helpers: tuple[str, ...] = ()
    helper_regions: dict[str, str] = field(default_factory=dict)
    avoided_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def record_failure(
        self, server: BackendServer, fault: LinkFault, now: float
    ) -> bool:
        """Record a failed connection; return whether the link worked before."""
        known = server.incarnation in self.failed
        if not known and len(self.failed) >= MAX_LINKS:
            return False
        self.failed[server.incarnation] = (server, fault)
        self.record_loss(server.incarnation, now)
        return not known

    def record_loss(self, incarnation: str, now: float) -> None:
        """Record that a connection broke or could not be opened."""
        self.lost_at = {
            each: at
            for each, at in self.lost_at.items()
            if now - at < ISOLATION_WINDOW_S
        }
        self.lost_at[incarnation] = now

    def record_success(self, incarnation: str) -> bool:
        """Record a connection; return whether the link had failed."""
        self.lost_at.clear()
        self.unreachable.discard(incarnation)
        return self.failed.pop(incarnation, None) is not None

    def record_crash(self, incarnation: str) -> None:
        """Record that a server crashed, so that its link tells nothing of others."""
        self.unreachable.add(incarnation)

    def is_isolated(self, now: float) -> bool:
        """Whether this router's links fail, rather than single servers."""
        lost = {
            each for each, at in self.lost_at.items() if now - at < ISOLATION_WINDOW_S
        }
        return len((lost | self.failed.keys()) - self.unreachable) >= ISOLATION_SERVERS

    def update_servers(self, incarnations: Iterable[str]) -> None:
        """Forget the links to servers that are not registered any more."""
        registered = set(incarnations)
        self.failed = {
            each: link for each, link in self.failed.items() if each in registered
        }
        self.unreachable &= registered

    def update_routers(self, others: Iterable[str]) -> None:
        """Choose the helpers among the other routers."""
        pairs = {f"{self.node}\0{other}": other for other in others}
        ranked = rendezvous_order("helpers", pairs)
        chosen = [pairs[each] for each in ranked[: HELPERS + FURTHER_HELPERS]]
        self.helpers = tuple(chosen[:HELPERS])
        self.further_helpers = tuple(chosen[HELPERS:])
        self.helper_regions = {
            node: region
            for node, region in self.helper_regions.items()
            if node in chosen
        }

    def avoid_helper(self, node: str, incarnation: str, now: float) -> None:
        """Stop asking a helper for a server, or for all if `incarnation` is empty."""
        self.avoided_until = {
            key: at for key, at in self.avoided_until.items() if at > now
        }
        self.avoided_until[node, incarnation] = now + HELPER_PAUSE_S
        if incarnation:
            self.unreachable.add(incarnation)

    def next_to_probe(self) -> BackendServer | None:
        """Return the server to connect to next; the links take turns."""
        if not self.failed:
            return None
        incarnation = next(iter(self.failed))
        link = self.failed.pop(incarnation)
        self.failed[incarnation] = link
        return link[0]

    def snapshot(self, now: float) -> ServerLinks:
        """Return the state for the request pipe."""
        return ServerLinks(
            failed={each: fault for each, (_, fault) in self.failed.items()},
            isolated=self.is_isolated(now),
            helpers=self.helpers,
            avoided_until=dict(self.avoided_until),
            further_helpers=self.further_helpers,
            helper_regions=dict(self.helper_regions),
        )


def helpers_to_ask(
    links: ServerLinks,
    call_id: str,
    incarnation: str,
    count: int,
    now: float,
    regions: frozenset[str] | None = None,
) -> tuple[str, ...]:
    """Return the routers to ask for a tunnel, others for each call.

    For a call that is bound to regions, routers that are known to be there come first.

    Args:
        links: The links of this router.
        call_id: Id of the call.
        incarnation: The server's incarnation.
        count: Most routers to ask.
        now: Monotonic time in seconds.
        regions: Regions in which the call may be handled, or None for all.
    """
    able = [node for node in links.helpers if links.may_help(node, incarnation, now)]
    if regions is None:
        return tuple(rendezvous_order(call_id, able)[:count])
    able += [n for n in links.further_helpers if links.may_help(n, incarnation, now)]
    known = links.helper_regions
    inside = [n for n in able if n in known and is_within(known[n], regions)]
    unknown = [n for n in able if n not in known]
    ranked = (*rendezvous_order(call_id, inside), *rendezvous_order(call_id, unknown))
    return ranked[:count]
