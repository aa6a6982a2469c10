"""The desired state that the operators publish: routes, services, workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What may be repeated of a call on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class TrafficShare:
    """A service's part of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class ForwardRoute:
    """A route: which calls go to which services, and on what terms.

    Args:
        name: The operators' name for it.
        host: The Host header that it serves, in lower case.
        path_prefix: Beginning of the paths that it serves.
        idempotency: Whether a call may run more than once.
        stream: Whether answers are streams of events.
        resumable: Whether a broken stream may go on at another server.
        public: Whether calls need no API key.
        shares: The services, by weight.
        max_attempts: Servers that one call may be sent to at most.
        timeout_s: Longest time until the final answer, in seconds.
        latency_objective_s: Latency objective, up to the first event of a stream, in seconds.
        priority: Rank among routes; 0 goes first.
    """

    name: str
    host: str
    path_prefix: str
    idempotency: Idempotency
    stream: bool
    resumable: bool
    public: bool
    shares: tuple[TrafficShare, ...]
    max_attempts: int
    timeout_s: float
    latency_objective_s: float
    priority: int


@dataclass(frozen=True)
class EngineSpec:
    """What all engines of a service have in common.

    Args:
        slots: Calls that run at once.
        kv_cache_tokens: Tokens that the KV cache holds.
        tokens_per_event: Output tokens in one event of a stream.
    """

    slots: int
    kv_cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class ServiceSpec:
    """A group of backend servers that do the same work."""

    name: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True)
class WorkspaceSpec:
    """A workspace, its API keys and its budget.

    Args:
        name: The workspace.
        keys: API keys that are valid now.
        priority: Rank that overrides the routes', or None.
        budget: Tokens that it may use in all, or None for no limit.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    budget: int | None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds of what a caller may send and how long it may take.

    Args:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_timeout_s: Longest time to send a head, in seconds.
        idle_timeout_s: Longest pause between requests on a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class DesiredState:
    """One accepted version of all that operators have set."""

    version: int
    routes: tuple[ForwardRoute, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    limits: CallerLimits
    has_workspaces: bool
