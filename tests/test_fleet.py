"""Routers on the users' platform, over real processes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from tests.conftest import StartFleet
from tools.cluster import wait_until
from tools.fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    Fleet,
    FleetCallResult,
    desired_state,
)

EVENT = "id: {0}\ndata: t{0}\n\n"


def events(count: int) -> bytes:
    """Return a whole stream."""
    return "".join(EVENT.format(n) for n in range(1, count + 1)).encode()


def runs(fleet: Fleet, server: str) -> dict[str, int]:
    """Return how often a server has run each call."""
    return fleet.control(server, "behave", {})["runs"]


def in_background(call: Callable[[], FleetCallResult]) -> Any:
    """Start a call; return its thread and the list that takes the answer."""
    answers: list[FleetCallResult] = []
    thread = threading.Thread(target=lambda: answers.append(call()))
    thread.start()
    return thread, answers


def test_each_kind_of_call_is_served(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1)
    stream = fleet.call("edge-1", STREAM_PATH, "s1", body=b"p", tokens=(100, 5))
    assert stream == FleetCallResult(200, events(5), True)
    booking = fleet.call("edge-1", NON_IDEMPOTENT_PATH, "b1", body=b"refund")
    assert booking == FleetCallResult(200, b"done:refund", True)
    assert fleet.call("edge-1", IDEMPOTENT_PATH, "o1").status == 200
    assert runs(fleet, "desk-1") == {"b1": 1, "o1": 1}
    seen = fleet.control("models-1", "behave", {})
    assert seen["owners"] == {"s1": "shop-a"}


def test_unknown_keys_and_routes_run_nowhere(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1)
    assert fleet.call("edge-1", IDEMPOTENT_PATH, "o1", key="stolen").status == 401
    assert fleet.call("edge-1", "/nowhere/", "o2").status == 404
    assert runs(fleet, "desk-1") == {}


def test_full_servers_lead_to_a_refusal_that_is_true(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1)
    fleet.control("desk-1", "behave", {"full": True})
    assert fleet.call("edge-1", NON_IDEMPOTENT_PATH, "b1").status == 503
    assert runs(fleet, "desk-1") == {}


def test_stream_goes_on_after_its_server_dies(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1, servers=2)
    for name in ("models-1", "models-2"):
        fleet.control(name, "behave", {"event_s": 0.1})
    thread, answers = in_background(
        lambda: fleet.call("edge-1", RESUMABLE_PATH, "n1", body=b"p", tokens=(10, 20))
    )
    both = ("models-1", "models-2")
    wait_until(
        lambda: any(runs(fleet, name) for name in both), description="the call running"
    )
    time.sleep(0.5)
    fleet.processes[next(n for n in both if runs(fleet, n))].kill()
    thread.join()
    assert answers == [FleetCallResult(200, events(20), True)]


def test_desired_state_is_in_force_soon_and_never_goes_back(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet()
    fleet.publish_desired_state(
        desired_state(5, 1_000, tenants=[{"name": "shop-a", "api-keys": ["new"]}])
    )
    for name in fleet.names:
        wait_until(
            lambda n=name: fleet.call(n, IDEMPOTENT_PATH, "o", key="new").status == 200
        )
        assert fleet.call(name, IDEMPOTENT_PATH, "o", key="key-a").status == 401
    fleet.publish_desired_state(desired_state(4, 1_000))
    time.sleep(1.0)
    for name in fleet.names:
        assert fleet.call(name, IDEMPOTENT_PATH, "o", key="key-a").status == 401


def test_leaving_server_gets_nothing_new(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1, servers=2)
    fleet.add_server("desk", "desk-1", state="draining")
    wait_until(
        lambda: "server=desk-1 service=desk leaving=true" in fleet.read_log("edge-1")
    )
    before = sum(runs(fleet, "desk-1").values())
    for number in range(20):
        assert fleet.call("edge-1", IDEMPOTENT_PATH, f"o{number}").status == 200
    assert sum(runs(fleet, "desk-1").values()) == before


def test_budget_holds_over_kills_and_is_nearly_used(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=2, budget=60_000)
    served = 0
    for turn in range(4):
        for number in range(12):
            name = fleet.names[number % 2]
            answer = fleet.call(
                name, STREAM_PATH, f"s{turn}-{number}", body=b"p", tokens=(1_900, 100)
            )
            assert answer.status in (200, 503)
            served += answer.status == 200
        for name in fleet.names:
            fleet.processes[name].kill()
        for name in fleet.names:
            fleet.start_router(name)
        for name in fleet.names:
            wait_until(
                lambda n=name: fleet.is_ready(n), description=f"{name} being ready"
            )
    used = fleet.control("models-1", "behave", {})["tokens"]["shop-a"]
    assert used <= 60_000
    assert served >= 12


def test_outage_of_the_store_is_bridged(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=2)
    assert fleet.call("edge-1", STREAM_PATH, "s0", body=b"p", tokens=(100, 5)).complete
    fleet.control("store", "faults", {"silent": True})
    wait_until(lambda: "event=draws_stopped" in fleet.read_log("edge-1"))
    for number in range(5):
        answer = fleet.call("edge-1", STREAM_PATH, f"s{number + 1}", tokens=(100, 5))
        assert answer == FleetCallResult(200, events(5), True)
        assert fleet.call("edge-2", NON_IDEMPOTENT_PATH, f"b{number}").status == 200
    fleet.control("store", "faults", {"silent": False})
    wait_until(lambda: "event=draws_resumed" in fleet.read_log("edge-1"))


def test_graceful_shutdown_cuts_nothing_off(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=2)
    fleet.control("models-1", "behave", {"event_s": 0.1})
    thread, answers = in_background(
        lambda: fleet.call("edge-1", STREAM_PATH, "s1", body=b"p", tokens=(10, 30))
    )
    wait_until(lambda: runs(fleet, "models-1"), description="the call running")
    fleet.processes["edge-1"].popen.terminate()
    wait_until(
        lambda: not fleet.is_ready("edge-1"), description="edge-1 saying that it stops"
    )
    assert fleet.call("edge-1", NON_IDEMPOTENT_PATH, "late").status == 200
    thread.join()
    assert answers == [FleetCallResult(200, events(30), True)]
    # The grace period is 8 s, of which the call has used some.
    assert fleet.processes["edge-1"].popen.wait(8) == 0
    assert "event=tokens_returned" in fleet.read_log("edge-1")
