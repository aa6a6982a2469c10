"""The desired state that operators publish: routes, services and workspaces."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from functools import cached_property

from hawthornstage.messages.slow_start import SlowStartTerms


class Idempotency(Enum):
    """Whether the calls of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class TrafficShare:
    """A service's weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class ForwardRoute:
    """Maps calls to services and sets their limits.

    Args:
        name: The route's name.
        host: The Host header to match, in lower case.
        path_prefix: Prefix of the paths to match.
        idempotency: Whether a call may run more than once.
        stream: Whether responses are streams of events.
        resumable: Whether an interrupted stream may resume at another server.
        public: Whether calls need no API key.
        shares: The services and their weights.
        max_attempts: Maximum number of servers to which one call is sent.
        timeout_s: Longest time until the response is complete, in seconds.
        latency_objective_s: Latency objective in seconds; for a stream, the time to
            its first event.
        priority: Priority of the route's calls; 0 is the most urgent.
        regions: The route's home regions, or None for all regions.
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
    regions: frozenset[str] | None = None


@dataclass(frozen=True)
class EngineSpec:
    """Properties that all engines of a service share.

    Args:
        slots: Calls that one engine runs concurrently.
        kv_cache_tokens: Capacity of the KV cache, in tokens.
        tokens_per_event: Output tokens in one event of a stream.
    """

    slots: int
    kv_cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class ServiceSpec:
    """A group of interchangeable backend servers.

    Args:
        name: The service's name.
        max_connections: Connections that one server accepts from all routers.
        engine: Properties of its engines, or None.
        slow_start: What its cold servers tolerate, or None if it names nothing.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    slow_start: SlowStartTerms | None = None


@dataclass(frozen=True)
class WorkspaceSpec:
    """A workspace, its API keys and its budget.

    Args:
        name: The workspace's name.
        keys: Valid API keys.
        priority: Priority that overrides the routes' priorities, or None.
        budget: Tokens that the workspace may use in total, or None for no limit.
        regions: The workspace's home regions, or None for all regions.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    budget: int | None
    regions: frozenset[str] | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Size and time limits of callers' requests.

    Args:
        header_bytes: Maximum size of a request's head, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_s: Longest time to send a head, in seconds.
        idle_timeout_s: Longest pause between requests on a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class DesiredState:
    """One version of the operators' configuration.

    Args:
        version: Version number; later versions are greater.
        routes: All routes.
        services: All services.
        workspaces: All workspaces; empty if the document lists none.
        limits: Size and time limits of callers' requests.
        has_workspaces: Whether the document has a list of workspaces; without one, no
            call needs an API key.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    limits: CallerLimits
    has_workspaces: bool

    @cached_property
    def routes_by_host(self) -> Mapping[str, tuple[ForwardRoute, ...]]:
        """The routes of each host, those with the longest prefix first."""
        by_host: dict[str, list[ForwardRoute]] = {}
        for route in sorted(
            self.routes, key=lambda r: len(r.path_prefix), reverse=True
        ):
            by_host.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in by_host.items()}

    @cached_property
    def longest_timeout_s(self) -> float:
        """The longest time until a response is complete, of all routes, in seconds."""
        return max((route.timeout_s for route in self.routes), default=0.0)

    @cached_property
    def slow_starts(self) -> Mapping[str, SlowStartTerms]:
        """What cold servers tolerate, by service, of those that name it."""
        terms = {each.name: each.slow_start for each in self.services}
        return {name: each for name, each in terms.items() if each is not None}

    @cached_property
    def workspaces_by_key(self) -> Mapping[str, WorkspaceSpec]:
        """The workspace of each valid API key."""
        return {key: each for each in self.workspaces for key in each.keys}
