"""What a process is told about itself when it starts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True)
class HostSettings:
    """The settings of a router on the users' platform.

    Args:
        node: The router's name.
        failure_domain: Where it runs.
        callers: Where callers connect.
        readiness: Where the balancer asks whether the router is ready.
        peers: Where other routers connect.
        store: The key-value store's `IP:PORT`.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        retry_ratio: Retries of the whole fleet for each request to a service.
        retry_slack: Retries of the whole fleet beyond that.
        retry_window_s: Time over which retries are counted, in seconds.
    """

    node: str
    failure_domain: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    store: str
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float

    @property
    def listen_addresses(self) -> tuple[SocketAddress, ...]:
        """Where the router listens; only a restart changes that."""
        return (self.callers, self.readiness, self.peers)
