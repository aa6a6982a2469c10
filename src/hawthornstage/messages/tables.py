"""The two operators' tables as the routers use them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PoolKind(Enum):
    """What the servers of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(Enum):
    """How urgent a route's calls are."""

    HIGH = "high"
    LOW = "low"


@dataclass(frozen=True)
class Server:
    """One backend server.

    Args:
        name: Unique over all pools.
        url: Base address, such as `http://10.0.0.4:8000`.
        failure_domain: Where the server stands.
        speed: Relative speed; 1.0 is usual.
        fencing: Whether it refuses orders with an old fencing number.
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
        name: What routes refer to.
        kind: Engines or plain services.
        servers: The members.
        model: The model's name for engines.
        max_tokens: Most output tokens a call may ask for.
        call_tokens: Price of one call of a plain service, in tokens.
        slots: Calls that a server of the pool runs at a time.
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
    """Sends some callers' calls for some purposes to a pool.

    Args:
        name: Unique among routes.
        workspaces: Workspaces it serves; `*` serves all.
        purposes: Purposes it serves; `*` serves all.
        pool: Name of the pool.
        priority: Urgency of its calls.
        idempotent: Whether its calls may run more than once.
    """

    name: str
    workspaces: tuple[str, ...]
    purposes: tuple[str, ...]
    pool: str
    priority: Priority = Priority.HIGH
    idempotent: bool = True


@dataclass(frozen=True)
class Tables:
    """Both tables under one revision.

    Args:
        revision: Rises by one with each accepted edit; 0 before the first.
        routes: First match wins.
        pools: Pools by their order in the table.
        edit_id: Names the edit that made the revision.
        author: Who made the edit.
        edited_at: Wall time of the edit, in seconds since the Unix epoch.
        reason: Why the edit was made.
    """

    revision: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    edit_id: str = ""
    author: str = ""
    edited_at: float = 0.0
    reason: str = ""

    def pool(self, name: str) -> Pool | None:
        """Return the pool of that name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


EMPTY_TABLES = Tables(revision=0, routes=(), pools=())
