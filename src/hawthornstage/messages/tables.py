"""The operators' tables of routes and pools, as the routers use them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PoolKind(Enum):
    """The kind of servers in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(Enum):
    """The urgency of a route's calls."""

    HIGH = "high"
    LOW = "low"


@dataclass(frozen=True)
class Server:
    """One backend server.

    Args:
        name: Unique over all pools.
        url: Base URL, such as `http://10.0.0.4:8000`.
        failure_domain: The server's failure domain.
        speed: Relative speed; 1.0 is the norm.
        fencing: Whether it refuses requests with an outdated fencing number.
    """

    name: str
    url: str
    failure_domain: str = ""
    speed: float = 1.0
    fencing: bool = True


@dataclass(frozen=True)
class Pool:
    """A named group of backend servers.

    Args:
        name: The name by which routes refer to the pool.
        kind: Engines or plain services.
        servers: The pool's members.
        model: Name of the model, for engines.
        max_tokens: Maximum number of output tokens that a call may request.
        call_tokens: Price of one call of a plain service, in tokens.
        slots: Calls that one server of the pool runs concurrently.
        timeout_s: Longest wait for a server's next byte, in seconds.
    """

    name: str
    kind: PoolKind
    servers: tuple[Server, ...]
    model: str = ""
    max_tokens: int = 1024
    call_tokens: int = 1
    slots: int = 64
    timeout_s: float = 30.0


@dataclass(frozen=True)
class Route:
    """Maps calls to a pool by their workspace and purpose.

    Args:
        name: Unique among routes.
        workspaces: Workspaces to match; `*` matches all.
        purposes: Purposes to match; `*` matches all.
        pool: Name of the pool.
        priority: Urgency of the route's calls.
        idempotent: Whether the route's calls may run more than once.
    """

    name: str
    workspaces: tuple[str, ...]
    purposes: tuple[str, ...]
    pool: str
    priority: Priority = Priority.HIGH
    idempotent: bool = True


@dataclass(frozen=True)
class Tables:
    """The routes and the pools of one revision.

    Args:
        revision: Incremented by each accepted edit; 0 before the first.
        routes: Routes in order of precedence; the first match applies.
        pools: Pools in the order of the table.
        edit_id: Id of the edit that created the revision.
        author: Author of the edit.
        edited_at: Wall time of the edit, in seconds since the Unix epoch.
        reason: The author's reason for the edit.
    """

    revision: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    edit_id: str = ""
    author: str = ""
    edited_at: float = 0.0
    reason: str = ""

    def pool(self, name: str) -> Pool | None:
        """Return the pool with this name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


EMPTY_TABLES = Tables(revision=0, routes=(), pools=())
