"""Decides which servers may get a call at all, before one of them is chosen.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hawthornstage.decisions.server_loads import ServerLoad
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    Shortage,
)

# Most denied permits of one attempt.
MAX_PERMITS_DENIED = 4
# Time over which the returns of refused callers are spread once a server has room, in
# seconds.
RETURN_SPREAD_S = 0.5


@dataclass(frozen=True)
class ServerEligibility:
    """What decides which servers may get a call now.

    Args:
        registered: Registered servers.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        loads: Load of each server, by id.
    """

    registered: RegisteredServers
    notices: ServerNotices
    evacuations: Evacuations
    loads: Mapping[str, ServerLoad]

    def eligible(
        self, want: RequestServer, limit: int, now: float
    ) -> list[BackendServer] | NoServerAvailable:
        """Return the servers that may get a call and may have room for it.

        Args:
            want: The call.
            limit: Number of this router's calls on a server that it knows nothing of.
            now: Monotonic time in seconds.
        """
        candidates = self.candidates(want, now)
        if isinstance(candidates, NoServerAvailable):
            return candidates
        eligible = [each for each in candidates if each.id not in want.excluded]
        if not eligible:
            return NoServerAvailable(
                f"service {want.service!r} has no registered server that is neither "
                f"leaving nor already attempted",
                all_attempted=any(
                    self.notices.accepts_calls(each.incarnation, now)
                    for each in candidates
                ),
            )
        eligible = [each for each in eligible if self.is_below_limit(each, limit)]
        if not eligible:
            return NoServerAvailable(
                f"each server has as many calls of this router as it may have,"
                f" {limit} at first",
                at_limit=True,
            )
        with_room = [each for each in eligible if self.has_room(each, want, now)]
        return with_room or self.no_room(eligible, want, now)

    def candidates(
        self, want: RequestServer, now: float
    ) -> list[BackendServer] | NoServerAvailable:
        """Return the servers that may get a call, whether or not they have room.

        The list is empty if no server accepts calls.

        Args:
            want: The call.
            now: Monotonic time in seconds.
        """
        if not self.has_server_at_home(want):
            return NoServerAvailable(
                f"service {want.service!r} has no server in the home regions of the "
                f"call's route and workspace",
                shortage=Shortage.OUTSIDE_HOMES,
            )
        accepting = self.accepting(want, now)
        compatible = [each for each in accepting if self.fits_version(each, want)]
        if want.version is not None and not compatible:
            return NoServerAvailable(
                f"service {want.service!r} has no server left of version "
                f"{want.version!r}",
                version_gone=True,
            )
        remaining = [each for each in compatible if not self.is_evacuated(each)]
        if compatible and not remaining:
            return NoServerAvailable(
                f"all failure domains with servers of service {want.service!r} are "
                f"evacuated",
                shortage=Shortage.EVACUATED,
            )
        return remaining

    def has_server_at_home(self, want: RequestServer) -> bool:
        """Whether the service has a server in the call's home regions, if any."""
        return want.failure_domains is None or any(
            server.service == want.service
            and server.failure_domain in want.failure_domains
            for server in self.registered.servers.values()
        )

    def accepting(self, want: RequestServer, now: float) -> list[BackendServer]:
        """Return the servers of a service, in the call's homes, that accept calls."""
        return [
            server
            for server in self.registered.servers.values()
            if server.service == want.service
            and is_at_home(server, want.failure_domains)
            and self.registered.accepts_calls(server.id, now)
            and server.incarnation not in self.notices.leaving
            and not self.loads[server.id].address_reused
        ]

    def is_below_limit(self, server: BackendServer, limit: int) -> bool:
        """Whether a server has fewer calls of this router than it may have."""
        load = self.loads[server.id]
        return load.running < load.call_limit.allowed(limit)

    def is_evacuated(self, server: BackendServer) -> bool:
        """Whether a server's failure domain gets nothing new."""
        return server.failure_domain in self.evacuations.failure_domains

    def fits_version(self, server: BackendServer, want: RequestServer) -> bool:
        """Whether a server has the version that a call needs, if it needs one.

        Servers that name none fit only if the whole service names none.
        """
        if want.version is None:
            return True
        if not want.version and any(
            each.version
            for each in self.registered.servers.values()
            if each.service == want.service
        ):
            return False
        return server.version == want.version

    def has_room(self, server: BackendServer, want: RequestServer, now: float) -> bool:
        """Whether a server wants calls now and may have room within its limit, if any.

        A call that was denied many permits gets no further server with a limit.
        """
        if not self.notices.accepts_calls(server.incarnation, now):
            return False
        is_limited = self.notices.is_limited(server.incarnation)
        if not (is_limited or server.incarnation in self.notices.fragile):
            return True
        if want.permits_denied >= MAX_PERMITS_DENIED:
            return False
        return self.loads[server.id].room_at <= now

    def no_room(
        self, servers: Iterable[BackendServer], want: RequestServer, now: float
    ) -> NoServerAvailable:
        """Return the refusal of a call whose servers are all at their limits.

        Callers return at different times, as the servers take them one by one.
        """
        closed_until = self.notices.closed_until
        room_at = min(
            max(
                self.loads[server.id].room_at, closed_until.get(server.incarnation, now)
            )
            for server in servers
        )
        soonest = max(0.0, room_at - now)
        spread = jitter(want.call_id, want.service) * RETURN_SPREAD_S
        return NoServerAvailable(
            "all servers want no calls now or have reached the limits that they named",
            soonest + spread,
        )


def is_at_home(server: BackendServer, failure_domains: frozenset[str] | None) -> bool:
    """Whether a server is in one of some failure domains; None stands for all."""
    return failure_domains is None or server.failure_domain in failure_domains


def jitter(name: str, server: str) -> float:
    """Return a number in [0, 1) that spreads calls over equal servers."""
    return digest(name, server) / 2**64


def digest(name: str, server: str) -> int:
    """Return a 64-bit hash of a name and a server."""
    data = f"{name}\0{server}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
