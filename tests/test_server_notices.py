"""Servers that say that they leave, or want no calls for a time, get none."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hawthornstage.actors.peers.messages import Send
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.server_acceptance import NotAccepting, why_not_accepting
from hawthornstage.messages.call_leases import FragileAnnounced
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.server_limits import LimitAnnounced
from hawthornstage.messages.server_notices import (
    LeavingAnnounced,
    NoticeObserved,
    ServerNotice,
    ServerNotices,
)
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    ServerChosen,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.headers import (
    MAX_CLOSED_S,
    parse_response_head,
)
from tests.conftest import StartFleet
from tests.test_server_limits import WANT, answer, make_selector, make_server, make_task
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH


def test_server_that_says_that_it_leaves_gets_nothing_until_it_starts_anew() -> None:
    selector = make_selector("i-1", limited=())
    selector.replace_notices(ServerNotices(leaving={"i-1@1": 10.0}))
    assert isinstance(selector.choose(WANT, 9, 60.0), NoServerAvailable)
    selector.replace_servers(RegisteredServers({"i-1": make_server("i-1", 2)}))
    assert isinstance(selector.choose(WANT, 9, 60.0), ServerChosen)


def test_server_that_says_that_it_leaves_gets_nothing_from_any_router(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=2, servers=2)
    fleet.control("desk-1", "behave", {"leaving": True})
    for number in range(20):
        fleet.call("edge-1", IDEMPOTENT_PATH, f"before-{number}")
    wait_until(
        lambda: all(
            "event=server_said_leaving" in fleet.read_log(name) for name in fleet.names
        ),
        description="both routers to know that the server leaves",
    )
    before = len(fleet.control("desk-1", "behave", {})["arrivals"])
    statuses = [
        fleet.call(fleet.names[number % 2], IDEMPOTENT_PATH, f"after-{number}").status
        for number in range(20)
    ]
    assert len(fleet.control("desk-1", "behave", {})["arrivals"]) == before
    assert set(statuses) == {200}


def test_server_that_wants_no_calls_for_a_time_gets_none_until_then(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, servers=2)
    fleet.control("desk-1", "behave", {"closed_for_s": 60.0})
    statuses = [
        fleet.call("edge-1", IDEMPOTENT_PATH, f"call-{number}").status
        for number in range(40)
    ]
    # What was on its way when it said so may still arrive.
    assert 1 <= len(fleet.control("desk-1", "behave", {})["arrivals"]) <= 2
    assert set(statuses) == {200}


@pytest.mark.parametrize(
    ("change", "reason", "source", "age_s"),
    [
        ({}, None, None, None),
        ({"servers": {}}, "it is not registered", "store", None),
        (
            {"servers": {"i-1": make_server("i-1", 2)}},
            "it has started again",
            "store",
            None,
        ),
        ({"drop_times": {"i-1": 4.0}}, "it is leaving", "store", None),
        (
            {"drop_times": {"i-1": 4.0}, "leaving_since": {"i-1": 3.0}},
            "it is leaving",
            "store",
            2.0,
        ),
        ({"leaving": {"i-1@1": 4.5}}, "it said that it leaves", "server", 0.5),
        (
            {"evacuations": Evacuations(frozenset({"z"}))},
            "domain 'z' is evacuated",
            "operator",
            None,
        ),
        (
            {"closed_until": {"i-1@1": 6.0}},
            "it wants no calls of this router for 1.000 s",
            "server",
            None,
        ),
    ],
)
def test_refusal_names_its_source_and_age(
    change: dict[str, Any], reason: str | None, source: str | None, age_s: float | None
) -> None:
    server = make_server("i-1")
    told = ("leaving", "closed_until")
    notices = ServerNotices(**{k: v for k, v in change.items() if k in told})
    entries = {k: v for k, v in change.items() if k not in (*told, "evacuations")}
    registered = RegisteredServers(**{"servers": {"i-1": server}, **entries})
    evacuations = change.get("evacuations", Evacuations())
    refusal = why_not_accepting(server, registered, notices, evacuations, 5.0)
    if reason is None:
        assert refusal is None
    else:
        assert refusal == NotAccepting(reason, str(source), age_s)


def test_neighbours_learn_of_a_leaving_server_once(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events, "b")
    task.handle(NoticeObserved("i-1@1", ServerNotice(leaving=True)))
    assert not task.notices.value.accepts_calls("i-1@1", clock.now)
    assert peers.messages == [Send("b", LeavingAnnounced("i-1@1"))]
    answer(task, LeavingAnnounced("i-1@1"))
    assert len(peers.messages) == 1


def test_router_that_becomes_a_neighbour_learns_of_a_leaving_server(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events)
    task.handle(NoticeObserved("i-1@1", ServerNotice(leaving=True)))
    assert peers.messages == []
    for _ in range(2):
        task.handle(KnownRouters({"b": ""}))
        assert peers.messages == [Send("b", LeavingAnnounced("i-1@1"))]


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False)])
def test_leaving_is_read_from_any_response(value: str, leaving: bool) -> None:
    head = parse_response_head(503, (("server-leaving", value),))
    assert head.notice == ServerNotice(leaving=leaving)


@pytest.mark.parametrize(
    ("status", "value", "closed_for_s", "valid"),
    [
        (503, "2", 2.0, True),
        (503, "0.25", 0.25, True),
        (503, "0", 0.0, True),
        (503, "1e9", MAX_CLOSED_S, True),
        (503, "-3", None, False),
        (503, "Fri, 31 Dec 2027 23:59:59 GMT", None, False),
        (503, "nan", None, False),
        (429, "1", None, True),
        (200, "1", None, True),
    ],
)
def test_only_a_503_closes_a_server_and_within_bounds(
    status: int, value: str, closed_for_s: float | None, valid: bool
) -> None:
    notice = parse_response_head(status, (("retry-after", value),)).notice
    assert notice.closed_for_s == closed_for_s
    assert bool(notice.invalid) is not valid


def test_server_that_turned_a_call_away_gets_none_until_its_time_is_over(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events, "b")
    closed = ServerNotice(closed_for_s=1.5)
    task.handle(NoticeObserved("i-1@1", closed))
    # It speaks of this router's calls only.
    assert peers.messages == []
    selector = make_selector("i-1", "i-2", limited=())
    selector.replace_notices(task.notices.value)
    for number in range(9):
        choice = selector.choose(replace(WANT, call_id=f"c{number}"), 9, clock.now)
        assert isinstance(choice, ServerChosen) and choice.server.id == "i-2"
    only = replace(WANT, excluded=frozenset({"i-2"}))
    refusal = selector.choose(only, 9, clock.now)
    assert isinstance(refusal, NoServerAvailable)
    assert refusal.retry_after_s is not None and 1.5 <= refusal.retry_after_s < 2.0
    assert isinstance(selector.choose(only, 9, clock.now + 1.5), ServerChosen)


def test_shorter_time_does_not_end_a_longer_one(
    clock: ManualClock, events: EventLog
) -> None:
    task, _ = make_task(clock, events)
    task.handle(NoticeObserved("i-1@1", ServerNotice(closed_for_s=2.0)))
    task.handle(NoticeObserved("i-1@1", ServerNotice(closed_for_s=0.5)))
    assert not task.notices.value.accepts_calls("i-1@1", clock.now + 1.9)
    assert task.notices.value.accepts_calls("i-1@1", clock.now + 2.0)


def test_neighbour_that_is_back_under_its_name_learns_what_servers_have_said(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: limits and fragile servers are unknown to a router that starts again.

    They were announced when they changed, to the process before it.
    """
    task, peers = make_task(clock, events, "b")
    task.handle(NoticeObserved("i-1@1", ServerNotice(leaving=True)))
    task.handle(NoticeObserved("i-2@1", ServerNotice(2.0)))
    task.handle(NoticeObserved("i-3@1", ServerNotice(tolerated_refusals=4)))
    peers.messages.clear()
    task.handle(KnownRouters({"b": ""}))
    assert peers.messages == []
    clock.advance(1.0)
    task.handle(KnownRouters({"b": process_address("b", 81, "second")}))
    assert peers.messages == [
        Send("b", LeavingAnnounced("i-1@1")),
        Send("b", LimitAnnounced("i-2@1", 2.0, 1.0)),
        Send("b", FragileAnnounced("i-3@1", 4, 1.0)),
    ]
