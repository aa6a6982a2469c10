"""Settings that a router's process reads when it starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hawthornstage.messages.slow_start import SlowStartBounds


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True)
class StoreBounds:
    """Times within which changes in the store must take effect on a router.

    Args:
        settled_s: Time after an outage of the store from which the others apply again,
            in seconds.
        drain_s: Time from a server's leaving until it gets nothing new, in seconds.
        desired_state_s: Time from a version of the desired state until it is in force,
            in seconds.
        evacuation_s: Time from the evacuation of a failure domain until its servers get
            nothing new, in seconds.
    """

    settled_s: float = 3.0
    drain_s: float = 2.0
    desired_state_s: float = 2.0
    evacuation_s: float = 5.0


@dataclass(frozen=True)
class HostLimits:
    """What a router may take of its host, and what callers' connections may.

    Args:
        memory_bytes: Memory of the process, in bytes.
        descriptors: Open descriptors of the process.
        max_connections: Callers' connections served at once; None to derive it.
        pool_bytes: Memory of all large bodies and responses, in bytes; None to derive
            it.
    """

    memory_bytes: int = 136_000_000
    descriptors: int = 1_638
    max_connections: int | None = None
    pool_bytes: int | None = None


@dataclass(frozen=True)
class HostSettings:
    """The settings of a router on the users' platform.

    Args:
        node: The router's name.
        failure_domain: The router's failure domain.
        callers: Listen address for callers.
        readiness: Listen address for the load balancer's readiness checks.
        peers: Listen address for other routers.
        tunnels: Listen address for other routers' tunnels to backend servers.
        store: The key-value store's `IP:PORT`.
        store_bounds: Times within which changes in the store must take effect.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        retry_ratio: Fleet-wide retries allowed for each request to a service.
        retry_slack: Fleet-wide retries allowed in addition.
        retry_window_s: Length of the window in which retries are counted, in seconds.
        limits: What the router may take of its host.
        regions: Region of each failure domain; one that is missing has none.
        slow_start_bounds: What a cold server may get in any one second.
    """

    node: str
    failure_domain: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    tunnels: SocketAddress
    store: str
    store_bounds: StoreBounds
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    limits: HostLimits = HostLimits()
    regions: Mapping[str, str] = field(default_factory=dict)
    slow_start_bounds: SlowStartBounds = SlowStartBounds()

    @property
    def region(self) -> str:
        """The router's own region, empty if it has none."""
        return self.regions.get(self.failure_domain, "")

    @property
    def listen_addresses(self) -> tuple[SocketAddress, ...]:
        """The listen addresses, which only a restart can change."""
        return (self.callers, self.readiness, self.peers, self.tunnels)
