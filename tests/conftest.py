"""Fixtures that the tests share."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import pytest
import yaml
from hypothesis import settings

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.errors import Failure
from hawthornstage.messages.forward import Delivery
from hawthornstage.observe.events import EventLog
from tests.connection_pair import REQUEST, CallerPair, Observer, tcp_pair
from tests.delivery_world import (
    Deliver,
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
)
from tools.cluster import Cluster, Process
from tools.fleet import Fleet

StartFleet = Callable[..., Fleet]

# The same verdict every time, also on a busy machine.
settings.register_profile("same", derandomize=True, deadline=None, max_examples=200)
settings.load_profile("same")

WORKSPACES = ("shop-a", "shop-b")
# Times of test clusters: silent routers are cleaned up after soon.
FAST = {
    "membership": {"beat_s": 0.2, "suspect_s": 1.0, "lost_s": 3.0},
    "drain": {"notice_s": 0.2},
    "log_level": "info",
}


def example_tables(engines: list[Process], services: list[Process]) -> dict[str, Any]:
    """Return tables for engines and plain services."""
    return {
        "revision": 0,
        "routes": [
            {
                "name": "chat",
                "workspaces": ["*"],
                "purposes": ["chat", "draft"],
                "pool": "engines",
            },
            {
                "name": "orders",
                "workspaces": ["*"],
                "purposes": ["orders"],
                "pool": "services",
            },
            {
                "name": "refunds",
                "workspaces": ["*"],
                "purposes": ["refunds"],
                "pool": "services",
                "idempotent": False,
            },
        ],
        "pools": [
            {
                "name": "engines",
                "kind": "engine",
                "model": "m",
                "max_tokens": 2000,
                "servers": [{"name": e.name, "url": e.url} for e in engines],
            },
            {
                "name": "services",
                "kind": "service",
                "call_tokens": 5,
                "servers": [{"name": s.name, "url": s.url} for s in services],
            },
        ],
    }


def top_up(cluster: Cluster, workspace: str, tokens: int, name: str = "first") -> None:
    """Add to a budget."""
    body = f'{{"id": "{name}", "tokens": {tokens}}}'.encode()
    cluster.operator().post(f"budgets/{workspace}/top-up", body)


@pytest.fixture
def start_cluster() -> Iterator[Callable[..., Cluster]]:
    """Return a function that starts routers, servers and the platform."""
    started_clusters: list[Cluster] = []
    with ExitStack() as stack:

        def start(
            *,
            routers: int = 3,
            engines: int = 1,
            domains: tuple[str, ...] = ("a", "b", "c"),
            settings: dict[str, Any] | None = None,
            cut_off: str | None = None,
        ) -> Cluster:
            chosen = {k: v for k, v in FAST.items() if isinstance(v, dict)}
            for section, values in (settings or {}).items():
                chosen[section] = {**chosen.get(section, {}), **values}
            cluster = stack.enter_context(Cluster(WORKSPACES, chosen))
            started_clusters.append(cluster)
            names = [f"engine-{number}" for number in range(1, engines + 1)]
            started = [cluster.add_stand_in(n, "engine", "--name", n) for n in names]
            service = cluster.add_stand_in("service-1", "service")
            cluster.plan_routers(routers, domains)
            if cut_off is not None:
                cluster.route_peers_through_link(cut_off)
            cluster.start_routers()
            tables = example_tables(started, [service])
            body = yaml.safe_dump(tables).encode()
            cluster.operator().post("tables", body, edit_id="first")
            cluster.wait_ready()
            return cluster

        yield start
        for cluster in started_clusters:
            for name in cluster.plans:
                log = cluster.read_log(name)
                assert "task_error" not in log
                assert "pipe_error" not in log
                assert "bill_refused" not in log


@pytest.fixture
def start_fleet() -> Iterator[StartFleet]:
    """Return a function that starts a fleet, ended with the test."""
    with ExitStack() as stack:
        fleets: list[Fleet] = []

        def start(**options: Any) -> Fleet:
            fleets.append(stack.enter_context(Fleet(**options)))
            return fleets[-1]

        yield start
        for fleet in fleets:
            for name in fleet.names:
                log = fleet.read_log(name)
                assert "task_error" not in log
                assert "connection_error" not in log
                assert "Traceback" not in log


@pytest.fixture
def pair() -> Iterator[CallerPair]:
    """Return a connected caller."""
    near, far = tcp_pair()
    wake, trigger = socket.socketpair()
    connection = CallerConnection(far, Clock())
    observer = Observer()
    yield CallerPair(near, connection, wake, trigger, observer)
    for each in (near, far, wake, trigger, observer.interrupt):
        each.close()


@pytest.fixture
def deliver(pair: CallerPair) -> Deliver:
    """Return a function that forwards one call of the pair to scripted servers."""

    def run(
        *servers: ScriptedServer, target: str = "/letters/x"
    ) -> tuple[Failure | None, Delivery]:
        pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
        assert isinstance(pair.receive(), RawRequest)
        tasks: Any = Tasks([server.start() for server in servers])
        forwarder = make_forwarder(tasks, ManualClock(start=10.0))
        delivery = Delivery()
        failure = forwarder.deliver(exchange_for(target), pair.connection, delivery)
        return failure, delivery

    return run


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that stands still."""
    return ManualClock()


@pytest.fixture
def events(clock: ManualClock) -> EventLog:
    """Return a place for events."""
    return EventLog("a", clock)
