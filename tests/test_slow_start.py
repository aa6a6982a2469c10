"""Cold servers get no more calls in any second than the bounds allow."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornstage.actors.servers.links import ServerLinksTask
from hawthornstage.actors.servers.registry import ServerRegistry
from hawthornstage.border.frames import Frame, decode_frame, encode_frame
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.server_selection import ServerSelector
from hawthornstage.decisions.slow_start import (
    CRASH_DOUBT_S,
    END_MARGIN_S,
    ENTRY_LAG_S,
    MAX_SLOW_START_S,
    PERMIT_VALIDITY_S,
    SlowStartBook,
    issuing_rate,
)
from hawthornstage.filters.forward_choice import ServerChoice
from hawthornstage.filters.permits import Permits
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.call_leases import AcquireCallLease, CallLease
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.forward import Delivery, PlacementBasis, Prompt, PromptPart
from hawthornstage.messages.lost_servers import ServerCrashed
from hawthornstage.messages.server_limits import (
    AcquirePermit,
    LimitAnnounced,
    PermitDenied,
    PermitGranted,
    RequestPermit,
)
from hawthornstage.messages.server_links import LinkFailed, LinkFault, LinkWorked
from hawthornstage.messages.server_notices import (
    NoticeObserved,
    ServerNotice,
    ServerNotices,
)
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerAtLimit,
    ServerChosen,
)
from hawthornstage.messages.slow_start import (
    EndSlowStarts,
    EntriesRead,
    ServerInDoubt,
    SlowStartBounds,
    SlowStartNews,
    SlowStartTerms,
)
from hawthornstage.messages.store import Item, Listing
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.desired_state import decode_desired_state
from hawthornstage.platform.server_entries import MAX_COLD_LEFT_S, decode_entry
from tests.conftest import StartFleet
from tests.draws_world import Inbox
from tests.slow_start_world import (
    COLD_S,
    SlowStartWorld,
    answer,
    make_server,
    state_in_use,
)
from tests.test_server_limits import make_task
from tests.test_server_registry import BOUNDS, ScriptedStore
from tools.fleet import IDEMPOTENT_PATH, Fleet, desired_state

RATE = 11.0
TERMS = {"models": SlowStartTerms(RATE, COLD_S)}
WANT = RequestServer("c1", "models", None, frozenset(), False)


# What an entry and the desired state say.


def entry_with(**fields: Any) -> bytes:
    """Return a server's entry."""
    entry = {"service": "models", "address": "10.0.0.1:80", "state": "ready"}
    return json.dumps(entry | fields).encode()


@pytest.mark.parametrize(
    ("value", "left_s", "told"),
    [
        (2500, 2.5, False),
        (0, 0.0, False),
        (1001.5, 1.0015, False),
        (-3, 0.0, True),
        (10**30, MAX_COLD_LEFT_S, True),
        (float("inf"), MAX_COLD_LEFT_S, True),
        (float("nan"), None, True),
        ("3000", None, True),
        (True, None, True),
        (None, None, True),
        ([1], None, True),
    ],
)
def test_absurd_cold_time_is_bounded_and_told_and_the_server_counts(
    value: Any, left_s: float | None, told: bool
) -> None:
    server = decode_entry("servers/i-1", entry_with(**{"cold-left-ms": value}))
    assert not isinstance(server, str)
    assert (server.cold_left_s, bool(server.invalid)) == (left_s, told)


def test_entry_without_a_cold_time_is_of_a_warm_server() -> None:
    server = decode_entry("servers/i-1", entry_with())
    assert not isinstance(server, str)
    assert (server.cold_left_s, server.invalid) == (0.0, ())


def test_services_without_a_rate_have_no_slow_start() -> None:
    services = [
        {"name": "a", "cold-s": 3.0, "cold-per-s": 11.0},
        {"name": "b", "cold-s": 3.0, "cold-per-s": 0.0},
        {"name": "c"},
    ]
    state = decode_desired_state(
        json.dumps({"version": 1, "routes": [], "services": services}).encode()
    )
    assert state.slow_starts == {"a": SlowStartTerms(11.0, 3.0)}


# Which servers are cold.


def book_of(*servers: Any, now: float = 10.0) -> SlowStartBook:
    """Return a book that has read some entries."""
    book = SlowStartBook(TERMS)
    for server in servers:
        book.record_entry(server, now)
    return book


def test_cold_time_ends_by_itself() -> None:
    book = book_of(make_server(cold_left_s=2.0))
    assert book.in_force(10.0) == {"i-1": RATE}
    assert book.in_force(12.0) == {"i-1": RATE}
    assert book.in_force(12.0 + END_MARGIN_S) == {}


def test_huge_cold_time_is_bounded_and_an_unreadable_one_is_a_doubt() -> None:
    book = book_of(make_server(cold_left_s=1e9), make_server("i-2", cold_left_s=None))
    assert book.in_force(12.0) == {"i-1": RATE, "i-2": RATE}
    assert book.in_force(10.5 + COLD_S) == {"i-1": RATE}
    assert book.in_force(10.5 + MAX_SLOW_START_S) == {}


def test_service_without_a_slow_start_has_no_cold_servers() -> None:
    book = SlowStartBook({})
    book.record_entry(make_server(cold_left_s=3.0), 10.0)
    assert not book.record_doubt(ServerInDoubt("i-1@1"), 10.0)
    assert book.in_force(10.0) == {}


def test_doubt_ends_only_by_an_entry_that_cannot_be_older() -> None:
    book = book_of(make_server())
    assert book.record_doubt(ServerInDoubt("i-1@1"), 11.0)
    book.record_entry(make_server(), 11.0 + ENTRY_LAG_S - 0.1)
    assert book.in_force(11.0 + ENTRY_LAG_S) == {"i-1": RATE}
    book.record_entry(make_server(), 11.0 + ENTRY_LAG_S)
    assert book.in_force(11.0 + ENTRY_LAG_S) == {}


def test_doubt_lasts_as_long_as_a_slow_start() -> None:
    book = book_of(make_server())
    book.record_doubt(ServerInDoubt("i-1@1"), 11.0)
    assert book.in_force(11.0 + COLD_S) == {"i-1": RATE}
    assert book.in_force(11.0 + COLD_S + END_MARGIN_S) == {}


def test_crashed_process_is_in_doubt_until_another_has_its_id() -> None:
    book = book_of(make_server())
    book.record_doubt(ServerInDoubt("i-1@1", crashed=True), 11.0)
    book.record_entry(make_server(), 11.0 + ENTRY_LAG_S + 1.0)
    assert book.in_force(11.0 + CRASH_DOUBT_S - 0.1) == {"i-1": RATE}
    assert book.record_entry(make_server(born=2, cold_left_s=2.0), 12.0)
    assert book.in_force(14.0) == {"i-1": RATE}
    assert book.in_force(14.0 + END_MARGIN_S) == {}


def test_entry_that_may_be_older_than_news_does_not_end_a_slow_start() -> None:
    book = book_of(make_server())
    book.record_news("i-1", SlowStartNews(RATE, left_s=3.0, age_s=0.1), 11.0)
    # It was written before the server turned cold, and read late.
    book.record_entry(make_server(), 11.2)
    assert book.in_force(11.2) == {"i-1": RATE}
    book.record_entry(make_server(), 10.9 + ENTRY_LAG_S)
    assert book.in_force(10.9 + ENTRY_LAG_S) == {}


def test_late_and_repeated_news_change_nothing() -> None:
    news = SlowStartNews(RATE, left_s=1.0, age_s=0.2)
    book = book_of(make_server())
    assert not book.record_news("i-1", news, 10.1)
    assert book.in_force(10.1) == {}
    assert book.record_news("i-1", news, 10.3)
    assert not book.record_news("i-1", news, 10.3)
    assert book.in_force(11.2) == {"i-1": RATE}
    assert book.in_force(11.3) == {}


def test_servers_of_an_evacuated_failure_domain_are_in_doubt_after_it() -> None:
    book = book_of(make_server(), make_server("i-2", zone="y"))
    book.replace_evacuated(frozenset({"z"}), 20.0)
    assert book.in_force(60.0) == {"i-1": RATE}
    book.replace_evacuated(frozenset(), 60.0)
    assert book.in_force(60.0 + COLD_S) == {"i-1": RATE}
    assert book.in_force(60.0 + COLD_S + END_MARGIN_S) == {}


# Who binds, and when.


@pytest.fixture(name="task")
def make_cold_task(clock: ManualClock, events: EventLog) -> Any:
    """Return the task of router `a`, alone, that knows the services."""
    task, _ = make_task(clock, events)
    task.handle(state_in_use(RATE))
    return task


def test_limit_is_in_force_before_a_new_server_can_be_chosen(
    clock: ManualClock, events: EventLog, task: Any
) -> None:
    registered = LatestValue(RegisteredServers({}))
    seen: list[Any] = []

    class Direct:
        """Has the task handle each message at once."""

        def tell(self, message: Any) -> None:
            """Handle a message."""
            seen.append(dict(registered.value.servers))
            task.handle(message)

    item = Item("servers/i-1", entry_with(**{"cold-left-ms": 3000}), 1)
    registry = ServerRegistry(
        ScriptedStore(Listing((item,), 1)),  # type: ignore[arg-type]
        (),
        registered,
        LatestValue(3),
        lambda: BOUNDS,
        clock,
        events,
        slow_starts=Direct(),  # type: ignore[arg-type]
    )
    registry.step()
    assert seen == [{}]
    assert task.notices.value.slow_starts == {"i-1": RATE}
    assert list(registered.value.servers) == ["i-1"]


def test_neighbours_learn_of_a_cold_server_once_and_not_of_a_doubt(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events, "b")
    task.handle(state_in_use(RATE))
    answer(task, EntriesRead((make_server(),)))
    task.handle(ServerInDoubt("i-1@1"))
    assert peers.messages == []
    cold = make_server(born=2, cold_left_s=2.0)
    answer(task, EntriesRead((cold,)))
    (sent,) = peers.messages
    assert (sent.node, sent.message.incarnation) == ("b", "i-1@2")
    assert sent.message.slow_start.calls_per_s == RATE
    answer(task, EntriesRead((cold,)))
    answer(task, sent.message)
    assert len(peers.messages) == 1


def test_news_of_a_new_process_bind_a_router_that_knows_the_old_one(task: Any) -> None:
    answer(task, EntriesRead((make_server(),)))
    assert answer(task, AcquirePermit("i-1@1", 0)) == PermitGranted()
    news = SlowStartNews(RATE, left_s=2.0, age_s=0.0)
    answer(task, LimitAnnounced("i-1@2", None, 1e6, news))
    assert isinstance(answer(task, AcquirePermit("i-1@1", 0)), PermitDenied)


def test_issuer_that_has_not_heard_learns_it_with_the_request(
    clock: ManualClock, task: Any
) -> None:
    news = SlowStartNews(RATE, left_s=2.0, age_s=0.0, in_doubt=True)
    request = RequestPermit(LimitAnnounced("i-1@1", None, 1e6, news), 0)
    assert isinstance(answer(task, request), PermitDenied)
    clock.advance(1.1 / RATE)
    assert answer(task, request) == PermitGranted()
    # The doubt is that of the router that asks.
    assert task.notices.value.slow_starts == {}


def test_slow_start_ends_without_news(clock: ManualClock, task: Any) -> None:
    answer(task, EntriesRead((make_server(cold_left_s=1.0),)))
    clock.advance(1.0 + END_MARGIN_S)
    task.handle(EndSlowStarts())
    assert task.notices.value.slow_starts == {}
    assert answer(task, AcquirePermit("i-1@1", 0)) == PermitGranted()


def test_evacuation_that_ends_leaves_its_servers_in_doubt(task: Any) -> None:
    answer(task, EntriesRead((make_server(),)))
    task.handle(Evacuations(frozenset({"z"})))
    task.handle(Evacuations(frozenset()))
    assert task.notices.value.slow_starts == {"i-1": RATE}


def test_links_raise_doubts(clock: ManualClock, events: EventLog) -> None:
    doubts = Inbox()
    task: Any = ServerLinksTask(
        "a", LatestValue(None), Inbox(), (doubts,), clock=clock, events=events
    )
    server = make_server()
    task.handle(LinkFailed(server, LinkFault.SILENT))
    assert doubts.messages == []
    task.handle(LinkWorked(server.incarnation))
    task.handle(LinkFailed(server, LinkFault.REFUSED))
    task.handle(ServerCrashed(server.incarnation))
    assert doubts.messages == [
        ServerInDoubt("i-1@1"),
        ServerInDoubt("i-1@1"),
        ServerInDoubt("i-1@1", crashed=True),
    ]


def test_older_builds_read_announcements() -> None:
    news = SlowStartNews(RATE, 2.0, 0.0)
    plain = LimitAnnounced("i-1@1", None, 0.5)
    for message in (plain, replace(plain, slow_start=news)):
        data = encode_frame(Frame(1, False, Stamp(1, 0, "a"), message))
        assert decode_frame(data).message == message
        assert (b"slow_start" in data) == (message.slow_start is not None)


# The sum over all routers.


@given(
    rate=st.floats(0.5, 200.0),
    overage=st.floats(1.0, 3.0),
    slack=st.floats(3.0, 10.0),
)
def test_issuers_together_stay_within_the_bounds(
    rate: float, overage: float, slack: float
) -> None:
    bounds = SlowStartBounds(overage, slack)
    assert issuing_rate(rate, bounds) <= rate
    assert issuing_rate(RATE, SlowStartBounds()) > 0.9 * RATE


@settings(max_examples=60)
@given(
    seed=st.integers(0, 2**32),
    rate=st.floats(1.0, 60.0),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    delay_s=st.sampled_from([0.005, 0.08, 0.5]),
    ends=st.booleans(),
    returns=st.booleans(),
    parted=st.integers(0, 3),
    reborn=st.booleans(),
    idle_s=st.sampled_from([0.0, 0.5, 0.8]),
)
def test_no_second_brings_a_cold_server_more_than_the_bounds_allow(
    seed: int,
    rate: float,
    loss: float,
    delay_s: float,
    ends: bool,
    returns: bool,
    parted: int,
    reborn: bool,
    idle_s: float,
) -> None:
    world = SlowStartWorld(rate, seed, loss, delay_s)
    knows: dict[str, str] = {}
    cold = make_server(born=2, cold_left_s=COLD_S)
    reads_at = {node: world.random.uniform(0.0, 1.5) for node in world.names}
    if reborn:
        # Those that know the process of before have found its link failed.
        for node in world.names[::2]:
            world.read_entry(node, make_server())
            world.tasks[node].handle(ServerInDoubt("i-1@1"))
            knows[node] = "i-1@1"
    began = world.now
    parts_at, ends_at = world.random.uniform(0.0, 2.0), world.random.uniform(0.0, 2.0)
    while world.now < began + COLD_S - 0.1:
        world.tick(0.02)
        age = world.now - began
        if age >= parts_at:
            world.cut = {*world.names[:parted]}
        if ends and age >= ends_at and not world.ended:
            issuer = world.tasks["r0"].issuing.issuers.issuers("i-1")[0]
            world.ended.add(issuer)
            ends = False
        elif returns and world.ended and age >= ends_at + 0.5:
            (issuer,) = world.ended
            world.ended.clear()
            # It knows nothing, and takes itself for the first issuer before long.
            world.start(issuer)
            reads_at[issuer], knows = age + 0.1, {**knows}
            knows.pop(issuer, None)
        for node in world.names:
            if node in world.ended:
                continue
            if not ends and world.random.random() < 0.02:
                world.list_routers(node)
            if node in reads_at and age >= reads_at[node]:
                del reads_at[node]
                left_s = COLD_S - age
                world.read_entry(node, replace(cold, cold_left_s=left_s))
                knows[node] = cold.incarnation
            # At times there are no calls, and then many at once.
            if node in knows and age % 1.0 >= idle_s:
                world.send(node, knows[node])
    assert world.most_in_one_second() <= SlowStartBounds().most_calls(rate)


def test_cold_server_is_used_as_far_as_it_goes() -> None:
    world = SlowStartWorld(RATE, 1)
    cold = make_server(cold_left_s=COLD_S)
    for node in world.names:
        world.read_entry(node, cold)
    for _ in range(145):
        world.tick(0.02)
        for node in world.names:
            world.send(node, cold.incarnation)
    assert len(world.sent) > 0.85 * RATE * 2.9


# Cold, and something else besides.


def test_lower_limit_of_two_holds(clock: ManualClock, task: Any) -> None:
    answer(task, EntriesRead((make_server(cold_left_s=3.0),)))
    task.handle(NoticeObserved("i-1@1", ServerNotice(2.0)))
    assert answer(task, AcquirePermit("i-1@1", 0)) == PermitDenied(0.5)
    clock.advance(0.5)
    assert answer(task, AcquirePermit("i-1@1", 0)) == PermitGranted()
    clock.advance(3.0)
    task.handle(EndSlowStarts())
    # It is warm, and the limit that it named holds on.
    assert task.notices.value.is_limited("i-1@1")
    task.handle(NoticeObserved("i-1@1", ServerNotice()))
    assert not task.notices.value.is_limited("i-1@1")


def test_responses_without_a_limit_do_not_end_a_slow_start(task: Any) -> None:
    answer(task, EntriesRead((make_server(cold_left_s=3.0),)))
    task.handle(NoticeObserved("i-1@1", ServerNotice()))
    assert task.notices.value.is_cold("i-1@1")


def make_choice(notices: ServerNotices, task: Any, clock: ManualClock) -> ServerChoice:
    """Return the choice of servers over the task that issues permits."""
    permits = Permits(
        task, Inbox(), LatestValue(notices), LatestValue(Evacuations()), clock
    )
    return ServerChoice(Inbox(), permits, clock, Metrics(), LatestValue(None))  # type: ignore[arg-type]


def test_permit_of_a_cold_server_holds_for_a_short_time(clock: ManualClock) -> None:
    choice = ServerChosen(make_server(), PlacementBasis())
    now = clock.monotonic()
    for notices, age_s, lacks in (
        (ServerNotices(slow_starts={"i-1": RATE}), PERMIT_VALIDITY_S + 0.01, True),
        (ServerNotices(slow_starts={"i-1": RATE}), PERMIT_VALIDITY_S - 0.01, False),
        (ServerNotices(slow_starts={"i-1": RATE}), None, True),
        (ServerNotices({"i-1@1": 2.0}), 5.0, False),
        (ServerNotices(), None, False),
    ):
        asked_at = None if age_s is None else now - age_s
        delivery = Delivery(permit_asked_at=asked_at)
        chooser = make_choice(notices, Inbox(), clock)
        assert chooser.lacks_permit(choice, delivery) is lacks


def test_cold_and_fragile_server_needs_a_permit_and_a_lease(
    clock: ManualClock, task: Any
) -> None:
    answer(task, EntriesRead((make_server(cold_left_s=3.0),)))
    task.handle(NoticeObserved("i-1@1", ServerNotice(tolerated_refusals=1.0)))
    notices = task.notices.value
    assert notices.is_cold("i-1@1") and "i-1@1" in notices.fragile
    choice = ServerChosen(make_server(), PlacementBasis())
    chooser = make_choice(notices, task, clock)
    with_permit = Delivery(permit_asked_at=clock.monotonic())
    assert chooser.lacks_permit(choice, with_permit)
    with_permit.lease = CallLease("a", "i-1@1", "l")
    assert not chooser.lacks_permit(choice, with_permit)
    # Its leases alone would let it have as many calls as it has slots.
    wanted = AcquireCallLease("i-1@1", 8, "l", 5.0)
    assert not isinstance(answer(task, wanted), PermitDenied)
    assert isinstance(answer(task, AcquirePermit("i-1@1", 0)), PermitDenied)


def make_selector(*names: str, cold: tuple[str, ...]) -> ServerSelector:
    """Return a selector for servers, some of which are cold."""
    selector = ServerSelector("z")
    selector.replace_servers(RegisteredServers({n: make_server(n) for n in names}))
    selector.replace_notices(ServerNotices(slow_starts=dict.fromkeys(cold, RATE)))
    return selector


def test_stream_waits_for_the_only_server_of_its_version_that_is_cold() -> None:
    selector = make_selector("i-1", "i-2", cold=("i-1",))
    servers = {"i-1": replace(make_server(), version="v2"), "i-2": make_server("i-2")}
    selector.replace_servers(RegisteredServers(servers))
    selector.record_no_room(ServerAtLimit("i-1", 0.3), 10.0)
    refusal = selector.choose(replace(WANT, version="v2"), 9, 10.0)
    assert isinstance(refusal, NoServerAvailable)
    # It is there, and has room soon: the stream is not given up.
    assert not refusal.version_gone
    assert refusal.retry_after_s is not None and refusal.retry_after_s >= 0.3


def test_call_without_room_at_a_cold_server_goes_elsewhere() -> None:
    selector = make_selector("i-1", "i-2", cold=("i-1",))
    selector.record_no_room(ServerAtLimit("i-1", 0.3), 10.0)
    choice = selector.choose(WANT, 9, 10.0)
    assert isinstance(choice, ServerChosen) and choice.server.id == "i-2"


def test_all_cold_servers_are_tried_before_a_call_is_refused_early() -> None:
    names = ("i-1", "i-2", "i-3")
    selector = make_selector(*names, cold=names)
    tried = set()
    for denied in range(3):
        choice = selector.choose(replace(WANT, permits_denied=denied), 9, 10.0)
        assert isinstance(choice, ServerChosen)
        tried.add(choice.server.id)
        selector.record_no_room(ServerAtLimit(choice.server.id, 0.1 * denied + 0.1), 10)
    assert tried == set(names)
    refusal = selector.choose(replace(WANT, permits_denied=3), 9, 10.0)
    assert isinstance(refusal, NoServerAvailable)
    assert refusal.retry_after_s is not None and refusal.retry_after_s < 1.0


def test_cold_server_stays_the_preferred_one_of_its_prompts() -> None:
    names = ("i-1", "i-2", "i-3")
    prompts = [
        Prompt(900, 10, (PromptPart(f"p{number}", 800), PromptPart("own", 100)))
        for number in range(20)
    ]
    warm, cold = make_selector(*names, cold=()), make_selector(*names, cold=("i-1",))
    before = [warm.preferred_server("models", each) for each in prompts]
    assert [cold.preferred_server("models", each) for each in prompts] == before
    assert "i-1" in before


# Over processes.


def send_beside(fleet: Fleet, duration_s: float) -> list[int]:
    """Send calls to all routers side by side; return the status codes."""
    statuses: list[int] = []
    ends_at = time.monotonic() + duration_s

    def send(name: str, label: str) -> None:
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            request_id = f"{label}-{name}-{number}"
            statuses.append(fleet.call(name, IDEMPOTENT_PATH, request_id).status)

    threads = [
        threading.Thread(target=send, args=(name, str(number)))
        for name in fleet.names
        for number in range(3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def test_all_routers_together_start_a_new_server_slowly(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=3, servers=2)
    services = [{"name": "models"}, {"name": "desk", "cold-s": 3, "cold-per-s": 6}]
    state = desired_state(2, fleet.budget, services=services)
    fleet.publish_desired_state(state)
    send_beside(fleet, 0.5)
    warm_at = time.monotonic() + 2.5
    fleet.add_server("desk", "desk-3", cold_left_ms=2_500)
    statuses = send_beside(fleet, 4.5)
    arrivals = fleet.control("desk-3", "behave", {})["arrivals"]
    cold = [each for each in arrivals if each < warm_at]
    most = max((sum(at <= each < at + 1.0 for each in cold) for at in cold), default=0)
    assert most <= SlowStartBounds().most_calls(6.0)
    assert set(statuses) == {200}
    # Once it is warm, it gets its part.
    assert len(arrivals) > 2 * max(1, len(cold))
    assert "event=slow_start_ended" in fleet.read_log(fleet.names[0])
