"""What a broken server sends is never taken for an answer, nor draws calls to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest
import urllib3

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.messages.request import Exchange, Request, ServiceCall
from hawthornstage.messages.tables import Pool, PoolKind, Route, Server
from hawthornstage.observe.events import EventLog
from tests.broken_server import BrokenServer
from tests.conftest import StartFleet
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, Fleet

CALLS = 20
# A body that is still being sent when the server responds, in bytes.
LONG_BODY = b"z" * 3_000_000
SHAPES = ("reset", "end", "000", "099", "600", "999")
StartBroken = Callable[[str], BrokenServer]


@pytest.fixture
def start_broken() -> Iterator[StartBroken]:
    """Return a function that starts a broken server, ended with the test."""
    with ExitStack() as stack:

        def start(shape: str) -> BrokenServer:
            server = BrokenServer(shape)
            stack.callback(server.close)
            return server

        yield start


def register(fleet: Fleet, server: BrokenServer) -> None:
    """Register a server of the service `desk`."""
    entry = {
        "service": "desk",
        "address": f"127.0.0.1:{server.port}",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "version": "v1",
        "born": 1,
    }
    fleet.control("store", "put", {"servers/desk-broken": entry})
    wait_until(
        lambda: "server=desk-broken" in fleet.read_log("edge-1"),
        description="edge-1 to know the broken server",
    )


@pytest.mark.parametrize("path", [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH])
@pytest.mark.parametrize("shape", SHAPES)
def test_broken_server_never_gives_an_answer(
    shape: str, path: str, start_fleet: StartFleet, start_broken: StartBroken
) -> None:
    fleet = start_fleet(routers=1, servers=0)
    server = start_broken(shape)
    register(fleet, server)
    body = LONG_BODY if shape in ("reset", "end") else b"b"
    answers = [
        fleet.call("edge-1", path, f"b-{number}", body=body) for number in range(CALLS)
    ]
    assert server.calls > 0
    assert {each.status for each in answers} <= {502, 503}


@pytest.mark.parametrize("shape", ["500", "999"])
def test_server_that_fails_at_once_draws_few_calls(
    shape: str, start_fleet: StartFleet, start_broken: StartBroken
) -> None:
    fleet = start_fleet(routers=1, servers=1)
    fleet.control("desk-1", "behave", {"work_s": 0.05})
    server = start_broken(shape)
    register(fleet, server)
    answers = [
        fleet.call("edge-1", NON_IDEMPOTENT_PATH, f"o-{number}", body=b"b")
        for number in range(2 * CALLS)
    ]
    assert (200, b"done:b") in {(each.status, each.body) for each in answers}
    assert server.calls <= CALLS


@pytest.mark.parametrize("shape", SHAPES)
def test_standalone_router_takes_no_broken_response(
    shape: str, start_broken: StartBroken, events: EventLog
) -> None:
    server = start_broken(shape)
    dispatch = Dispatch(urllib3.PoolManager(), events)
    for _ in range(CALLS):
        outcome = dispatch.apply(booking(server, 4 * LONG_BODY))
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.SERVER_FAILED


def booking(server: BrokenServer, body: bytes) -> Exchange:
    """Return a call of the standalone router that may not be repeated."""
    call = ServiceCall("POST", "/book", body, "application/json")
    request = Request("r1", "", "refunds", call, "k1", "f1", 0.0)
    pool = Pool("services", PoolKind.SERVICE, (), call_tokens=5)
    route = Route("refunds", ("*",), ("refunds",), "services", idempotent=False)
    address = Server("desk", f"http://127.0.0.1:{server.port}")
    return Exchange(request, route=route, pool=pool, server=address)
