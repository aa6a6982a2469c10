"""The small HTTP servers for the platform's readiness probes and for metrics."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi
from prometheus_client import generate_latest

from hawthornstage.actors.callers import StopSignal
from hawthornstage.border.wsgi import StartResponse, send_response
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.observe.metrics import Metrics

# Threads of one server.
SERVER_THREADS = 2
# Timeout of a connection, in seconds.
CONNECTION_TIMEOUT_S = 5


@dataclass(frozen=True)
class ReadinessPage:
    """Tells whether the load balancer may open connections, as a WSGI application.

    Args:
        stopping: Signals that the router stops.
        desired: The desired state, or None before one is known.
        accepting: Whether the router's load allows new connections.
        faulty: The names of tasks that do not serve.
    """

    stopping: StopSignal
    desired: LatestValue[DesiredState | None]
    accepting: LatestValue[bool]
    faulty: LatestValue[tuple[str, ...]]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond with 200 if the router is ready, else with 503."""
        if self.stopping.closing:
            return send_response(start_response, 503, "text/plain", b"stopping\n")
        if self.desired.value is None:
            reason = b"no desired state yet\n"
            return send_response(start_response, 503, "text/plain", reason)
        if self.faulty.value:
            reason = f"faulty tasks: {', '.join(self.faulty.value)}\n".encode()
            return send_response(start_response, 503, "text/plain", reason)
        if not self.accepting.value:
            return send_response(start_response, 503, "text/plain", b"overloaded\n")
        return send_response(start_response, 200, "text/plain", b"ready\n")


@dataclass(frozen=True)
class MetricsPage:
    """Shows the metrics in the Prometheus text format, as a WSGI application.

    Args:
        metrics: The metrics.
        desired: The desired state, or None before one is known.
        routers: Number of routers known.
        notices: What servers have said of themselves.
    """

    metrics: Metrics
    desired: LatestValue[DesiredState | None]
    routers: LatestValue[int]
    notices: LatestValue[ServerNotices]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond with all metrics."""
        state = self.desired.value
        self.metrics.desired_version.set(state.version if state else 0)
        self.metrics.known_routers.set(self.routers.value)
        self.metrics.cold_servers.set(len(self.notices.value.slow_starts))
        body = generate_latest(self.metrics.registry)
        return send_response(start_response, 200, "text/plain; version=0.0.4", body)


class ProbeServer(threading.Thread):
    """Owns the socket of one page.

    Args:
        address: The listen address.
        page: The page.

    Raises:
        OSError: The address cannot be listened on.
    """

    def __init__(
        self, address: SocketAddress, page: ReadinessPage | MetricsPage
    ) -> None:
        super().__init__(name=type(page).__name__, daemon=True)
        self.server = wsgi.Server(
            (address.host, address.port),
            page,
            numthreads=SERVER_THREADS,
            timeout=CONNECTION_TIMEOUT_S,
        )
        self.server.prepare()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.server.bind_addr[1]

    def run(self) -> None:
        """Serve requests until it is stopped."""
        self.server.serve()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()
