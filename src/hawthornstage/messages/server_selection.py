"""Messages between calls and the task that chooses backend servers for them."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.forward import (
    DEFAULT_MAX_CONNECTIONS,
    PlacementBasis,
    PooledConnection,
    Prompt,
)


@dataclass(frozen=True)
class RegisteredServers:
    """All registered servers, by id.

    Args:
        servers: The servers, including those whose entries were removed and that may
            register again.
        drop_times: Monotonic time from which such a server gets nothing new, by id.
        leaving_since: Monotonic time at which an entry was first read that says that
            its server leaves, or was found removed, by id.
        current: Whether the store's latest response was received; without it, servers
            may have started again unnoticed.
    """

    servers: Mapping[str, BackendServer]
    drop_times: Mapping[str, float] = field(default_factory=dict)
    leaving_since: Mapping[str, float] = field(default_factory=dict)
    current: bool = True

    def accepts_calls(self, server: str, now: float) -> bool:
        """Whether new calls may be sent to a server, given by its id."""
        known = self.servers.get(server)
        if known is None or known.leaving:
            return False
        return now < self.drop_times.get(server, math.inf)


@dataclass(frozen=True)
class RequestServer:
    """Asks for a server; the reply is `ServerChosen` or `NoServerAvailable`.

    Args:
        call_id: Tells the call from all others of this router.
        service: The service to choose a server of.
        prompt: The prompt's declared size, or None.
        excluded: Ids of servers to which the call was sent before.
        retry: Whether this is not the call's first attempt.
        max_connections_per_server: Connections that one server of the service accepts
            from all routers.
        repeatable: Whether the call may run twice and so may use a pooled connection.
        permits_denied: Servers chosen for this attempt before that had no room within
            the limits that they named.
        version: Version that the server must have, or None for any.
        failure_domains: Failure domains in the call's home regions, or None for all.
    """

    call_id: str
    service: str
    prompt: Prompt | None
    excluded: frozenset[str]
    retry: bool
    max_connections_per_server: int = DEFAULT_MAX_CONNECTIONS
    repeatable: bool = False
    permits_denied: int = 0
    version: str | None = None
    failure_domains: frozenset[str] | None = None


@dataclass(frozen=True)
class ServerChosen:
    """The server chosen for a call.

    Args:
        server: The server.
        basis: The data on which it was chosen.
        pooled: An idle connection to the server, or None; the receiver takes ownership.
    """

    server: BackendServer
    basis: PlacementBasis
    pooled: PooledConnection | None = None


class Shortage(Enum):
    """Why no server can accept a call."""

    BUSY = "busy"
    EVACUATED = "evacuated"
    OUTSIDE_HOMES = "outside_homes"


@dataclass(frozen=True)
class NoServerAvailable:
    """No server can accept the call at present.

    Args:
        reason: Why not, for the log.
        retry_after_s: Time until a server may accept it, in seconds, if it is known.
        version_gone: Whether no server of the version that it needs is left.
        shortage: What keeps the servers from accepting it.
        at_limit: Whether there are servers, but each has this router's limit of calls.
        all_attempted: Whether there are servers that want calls, but the call has been
            sent to each.
    """

    reason: str
    retry_after_s: float | None = None
    version_gone: bool = False
    shortage: Shortage = Shortage.BUSY
    at_limit: bool = False
    all_attempted: bool = False


@dataclass(frozen=True)
class ServerAtLimit:
    """A server has no room for further calls within the limit that it named.

    Args:
        server: The server's id.
        retry_after_s: Time until it may accept a call, in seconds.
    """

    server: str
    retry_after_s: float


@dataclass(frozen=True)
class FirstByteReceived:
    """The first byte of a call's response has arrived.

    Args:
        call_id: The one with which the server was asked for.
    """

    call_id: str


@dataclass(frozen=True)
class CallEnded:
    """A call no longer runs on its server.

    Args:
        call_id: The one with which the server was asked for.
        failed: Whether the call failed through the server's fault.
        refused: Whether the server refused the call because it is full.
        address_reused: Whether another server now uses the server's address.
        pooled: The connection, if another call may reuse it; the receiver takes
            ownership.
    """

    call_id: str
    failed: bool
    refused: bool
    address_reused: bool = False
    pooled: PooledConnection | None = None
