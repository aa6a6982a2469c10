"""How many calls a router may have on a server, by its demand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hawthornstage.actors.servers.selection import ServerSelectionTask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.connection_share import (
    CallLimit,
    LimitRange,
    most_calls,
    start_limit,
)
from hawthornstage.decisions.retry_share import RetryLimits, RetryShare
from hawthornstage.decisions.server_selection import MAX_AVOIDANCE_S, ServerSelector
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.server_selection import (
    CallEnded,
    NoServerAvailable,
    RegisteredServers,
    ServerChosen,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tests.test_serving import make_server, want

MAX_CONNECTIONS = 480
ROUTERS = 69
EQUAL_PART = MAX_CONNECTIONS // ROUTERS


@pytest.fixture
def selector() -> ServerSelector:
    """Return the choice among two servers."""
    selector = ServerSelector("z")
    servers = {name: make_server(name) for name in ("a", "b")}
    selector.replace_servers(RegisteredServers(servers))
    return selector


def place(selector: ServerSelector, call_id: str, now: float = 1.0) -> bool:
    """Place a call of one of many routers; return whether a server was chosen."""
    call = want(call_id, max_connections_per_server=MAX_CONNECTIONS)
    limit = start_limit(MAX_CONNECTIONS, ROUTERS)
    return not isinstance(selector.choose(call, limit, now), NoServerAvailable)


def end(selector: ServerSelector, call_id: str, *, refused: bool = False) -> None:
    """End a call, which its server refused or answered."""
    if not refused:
        selector.record_first_byte(call_id, 1.0)
    selector.record_end(CallEnded(call_id, failed=False, refused=refused), 1.0)


def test_router_with_three_times_the_mean_of_the_calls_is_not_refused(
    selector: ServerSelector, clock: ManualClock, events: EventLog
) -> None:
    task = ServerSelectionTask(
        selector,
        RetryShare(lambda: RetryLimits(0.2, 100.0, 10.0)),
        LatestValue(ROUTERS),
        metrics=Metrics(),
        clock=clock,
        events=events,
    )
    for number in range(3 * EQUAL_PART * len(selector.servers)):
        call = want(f"c{number}", max_connections_per_server=MAX_CONNECTIONS)
        choice = task.choose(call, clock.monotonic())
        assert isinstance(choice, ServerChosen), choice


def test_call_counts_once_for_retries_however_often_it_finds_no_room(
    selector: ServerSelector, clock: ManualClock, events: EventLog
) -> None:
    share = RetryShare(lambda: RetryLimits(0.2, 100.0, 10.0))
    task = ServerSelectionTask(
        selector,
        share,
        LatestValue(ROUTERS),
        metrics=Metrics(),
        clock=clock,
        events=events,
    )
    call = want("c", excluded=frozenset(selector.servers))
    for _ in range(5):
        assert isinstance(task.choose(call, clock.monotonic()), NoServerAvailable)
    retry = replace(call, retry=True)
    assert isinstance(task.choose(retry, clock.monotonic()), NoServerAvailable)
    assert not any(share.requests.values())
    assert not any(share.retries.values())
    task.choose(want("c"), clock.monotonic())
    # It could not connect to that server.
    task.choose(want("c", excluded=frozenset({"a"})), clock.monotonic())
    assert [len(each) for each in share.requests.values()] == [1]


def test_limit_follows_demand_up_to_a_safe_part(selector: ServerSelector) -> None:
    running: list[str] = []
    for number in range(20 * MAX_CONNECTIONS):
        if place(selector, f"c{number}"):
            running.append(f"c{number}")
        else:
            end(selector, running.pop(0))
    loads = selector.loads.values()
    assert [load.running for load in loads] == [most_calls(MAX_CONNECTIONS)] * 2


def test_refusals_lower_the_limit_to_an_equal_part(selector: ServerSelector) -> None:
    calls = [f"c{n}" for n in range(50) if place(selector, f"c{n}")]
    for call in calls:
        end(selector, call, refused=True)
    later = 1.0 + MAX_AVOIDANCE_S
    placed = [f"d{n}" for n in range(50) if place(selector, f"d{n}", later)]
    assert len(placed) == EQUAL_PART * len(selector.servers)


def test_limit_grows_slowly_after_a_refusal() -> None:
    limits = LimitRange(24, 240)
    limit = CallLimit()
    limit.lower_after_refusal(limits, 24)
    for _ in range(11):
        limit.raise_after_success(limits, 24)
    assert limit.allowed(24) == 12


def test_success_below_the_limit_changes_nothing() -> None:
    limit = CallLimit()
    limit.raise_after_success(LimitRange(24, 240), 23)
    assert limit.allowed(24) == 24


@pytest.mark.parametrize("routers", [1, 2, 8, 69, 370, 1_000])
def test_limit_is_at_least_an_equal_part_and_at_most_the_whole(routers: int) -> None:
    start = start_limit(MAX_CONNECTIONS, routers)
    assert max(1, MAX_CONNECTIONS // routers) <= start <= MAX_CONNECTIONS
