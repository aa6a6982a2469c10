"""Servers of an evacuated failure domain get nothing new."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.desired_states import DesiredStateReceived, DesiredStateWatch
from hawthornstage.actors.evacuations import CheckEvacuations, EvacuationsTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.evacuations import (
    ENDED_MEMORY_S,
    REWRITE_S,
    EvacuationBook,
)
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.server_selection import ServerSelector
from hawthornstage.decisions.store_news import DETECTION_S
from hawthornstage.decisions.watch_sharing import SHARING_PATH
from hawthornstage.errors import ErrorKind, response_for
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.evacuations import (
    EvacuationChange,
    EvacuationRecord,
    Evacuations,
    EvacuationsRead,
    StorePosition,
)
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.server_links import LinkFault, ServerLinks
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerChosen,
    Shortage,
)
from hawthornstage.messages.store import (
    Changes,
    HistoryCompacted,
    Item,
    ItemsChanged,
    ItemsListed,
    Listing,
    Removal,
    StoreNoResponse,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tests.conftest import StartFleet
from tests.connection_pair import CallerPair
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
    server_at,
)
from tests.draws_world import Inbox, Reply
from tests.test_serving import LIMIT, make_server, want
from tests.test_tunnels import StartHelper, start_helper  # noqa: F401
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, Fleet

KEY_A, KEY_B = "op/evacuate/a", "op/evacuate/b"


def change(domain: str, active: bool, revision: int, epoch: int = 1) -> Any:
    """Return what an operator did."""
    return EvacuationChange(domain, active, StorePosition(epoch, revision))


def read(*changes: Any, at: int, epoch: int = 1, complete: bool = False) -> Any:
    """Return what the store told."""
    return EvacuationsRead(changes, StorePosition(epoch, at), complete)


def record(domain: str, active: bool, revision: int, epoch: int = 1) -> Any:
    """Return what another router told."""
    return EvacuationRecord(domain, active, epoch, revision, 0.0)


# Order of news.


def test_listing_ends_what_it_lacks_and_changes_follow_it() -> None:
    book = EvacuationBook()
    assert book.read(read(change("a", True, 5), at=7, complete=True), 0.0) == ["a"]
    assert book.read(read(change("b", True, 8), at=8), 1.0) == ["b"]
    assert book.read(read(change("a", False, 9), at=9), 2.0) == ["a"]
    assert book.in_force() == Evacuations(frozenset({"b"}), {"a": 2.0})
    # Its history was lost; the removal is seen by the listing only.
    assert book.read(read(at=20, complete=True), 3.0) == ["b"]
    assert book.in_force().ended_at == {"a": 2.0, "b": 3.0}
    assert book.read(read(change("a", True, 21), at=21), 4.0) == ["a"]
    assert book.in_force().ended_at == {"b": 3.0}


def test_older_news_of_a_router_changes_nothing() -> None:
    book = EvacuationBook()
    book.read(read(change("a", True, 5), at=5, complete=True), 0.0)
    assert book.hear([record("a", False, 4), record("b", True, 4)], 1.0) == []
    assert book.hear([record("a", False, 6), record("b", True, 7)], 2.0) == ["a", "b"]
    # The store tells it later than the router did.
    assert book.read(read(change("a", False, 6), at=6), 3.0) == []
    assert book.in_force() == Evacuations(frozenset({"b"}), {"a": 2.0})


def test_router_that_was_cut_off_brings_no_ended_evacuation_back() -> None:
    book, cut_off = EvacuationBook(), EvacuationBook()
    for each in (book, cut_off):
        each.read(read(change("a", True, 5), at=5, complete=True), 0.0)
    book.read(read(change("a", False, 9), at=9), 10.0)
    book.end_lapsed(10.0 + ENDED_MEMORY_S)
    assert book.known == {}
    heard = cut_off.news(500.0)
    assert book.hear(heard, 500.0) == []
    assert cut_off.hear(book.answer(heard, 500.0), 500.0) == ["a"]
    assert cut_off.active() == frozenset()


def test_end_that_only_a_router_told_is_remembered_until_the_store_is_later() -> None:
    book = EvacuationBook()
    book.read(read(change("a", True, 5), at=5, complete=True), 0.0)
    book.hear([record("a", False, 9)], 1.0)
    book.end_lapsed(1.0 + ENDED_MEMORY_S)
    assert book.hear([record("a", True, 5)], 200.0) == []
    assert book.active() == frozenset()


def test_evacuation_that_a_copy_lacks_holds_until_operators_had_time() -> None:
    book, started = EvacuationBook(), EvacuationBook()
    book.read(read(change("a", True, 50), change("b", True, 51), at=60), 0.0)
    book.read(read(at=40, epoch=2, complete=True), 100.0)
    started.read(read(at=40, epoch=2, complete=True), 101.0)
    assert started.hear(book.news(101.0), 101.0) == ["a", "b"]
    # One is written again, and then removed.
    for each in (book, started):
        each.read(read(change("b", True, 41, 2), at=41, epoch=2), 102.0)
        assert each.end_lapsed(100.0 + REWRITE_S - 0.1) == []
        assert each.active() == {"a", "b"}
        assert each.end_lapsed(100.0 + REWRITE_S) == ["a"]
        assert each.hear([record("a", True, 50)], 120.0) == []
        assert each.read(read(change("b", False, 42, 2), at=42, epoch=2), 130.0) == [
            "b"
        ]


def test_evacuation_that_a_copy_brought_back_is_in_force_until_it_is_removed() -> None:
    book = EvacuationBook()
    book.read(read(change("a", True, 50), at=50, complete=True), 0.0)
    book.read(read(change("a", False, 55), at=55), 1.0)
    listing = read(change("a", True, 50, 2), at=52, epoch=2, complete=True)
    assert book.read(listing, 2.0) == ["a"]
    assert book.read(read(change("a", False, 53, 2), at=53, epoch=2), 3.0) == ["a"]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "read", "list", "tell"]),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    max_size=40,
)


@given(steps=STEPS)
def test_routers_agree_with_the_store_and_never_go_back(steps: Any) -> None:
    """Operators write; routers read late or not at all, and tell old messages."""
    history: list[Any] = []
    books = [EvacuationBook() for _ in range(3)]
    sent: list[list[Any]] = [[()] for _ in books]

    def state_at(revision: int) -> dict[str, Any]:
        return {each.failure_domain: each for each in history[:revision]}

    def take(book: EvacuationBook, act: Any) -> None:
        before = {name: known.position for name, known in book.known.items()}
        act()
        for name, position in before.items():
            assert book.known[name].position >= position
        for name, known in book.known.items():
            # What it holds was true at the store's revision that it names.
            true = state_at(known.position.revision).get(name)
            assert known.active == (true is not None and true.active)

    for number, (action, first, second) in enumerate(steps):
        now = float(number)
        book = books[first]
        match action:
            case "write":
                domain = "abc"[second]
                known = state_at(len(history)).get(domain)
                active = known is None or not known.active
                history.append(change(domain, active, len(history) + 1))
            case "read" if book.position.revision:
                fresh = history[book.position.revision :]
                news = read(*fresh, at=len(history))
                take(book, partial(book.read, news, now))
            case "list" if history:
                all_active = [
                    each for each in state_at(len(history)).values() if each.active
                ]
                listing = read(*all_active, at=len(history), complete=True)
                take(book, partial(book.read, listing, now))
            case "tell":
                sent[first].append(book.news(now))
                # An earlier message may arrive late, or twice.
                old = sent[first][second % len(sent[first])]
                other = books[second]
                take(other, partial(other.hear, old, now))
    for book in books:
        fresh = [each for each in state_at(len(history)).values() if each.active]
        book.read(read(*fresh, at=len(history), complete=True), 100.0)
        assert book.active() == {each.failure_domain for each in fresh}


# The watch of the store.


class OperatorStore:
    """A store client that plays prepared outcomes of its calls."""

    def __init__(self, *outcomes: Any, epoch: int = 1) -> None:
        self.outcomes = list(outcomes)
        self.epoch = epoch
        self.waits: list[float] = []

    def list(self, prefix: str) -> Any:
        """Return the next outcome."""
        assert prefix == "op/"
        return self.next_outcome()

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return the next outcome."""
        self.waits.append(wait_s)
        return self.next_outcome()

    def next_outcome(self) -> Any:
        """Return the next outcome; a number is a new epoch, and comes before one."""
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, int):
            self.epoch = outcome
            return self.next_outcome()
        return outcome


def item(key: str, revision: int, value: bytes = b"{}") -> Item:
    """Return a key of an operator."""
    return Item(key, value, revision)


class Follower:
    """Hands what the watch passes on to the task at once."""

    def __init__(self, clock: ManualClock, events: EventLog) -> None:
        peers: Any = Inbox()
        self.task: Any = make_task("edge-1", peers, clock, events)

    def tell(self, message: Any) -> None:
        """Handle a message."""
        self.task.handle(message)

    @property
    def book(self) -> EvacuationBook:
        """What the task knows."""
        return self.task.book


def make_task(node: str, peers: Any, clock: ManualClock, events: EventLog) -> Any:
    """Return the task that owns a router's evacuations."""
    return EvacuationsTask(
        node,
        LatestValue(Evacuations()),
        (),
        peers,
        lambda: frozenset("ab"),
        metrics=Metrics(),
        clock=clock,
        events=events,
    )


def watch_of(clock: ManualClock, events: EventLog, *outcomes: Any) -> Any:
    """Return a watch, its store and the follower with the evacuations' task."""
    store: Any = OperatorStore(*outcomes)
    follower: Any = Follower(clock, events)
    states: Any = Inbox()
    watch = DesiredStateWatch(
        store, states, StoreBounds, clock, events, followers=(follower,)
    )
    return watch, store, follower


def test_watch_passes_evacuations_and_versions_on(
    clock: ManualClock, events: EventLog
) -> None:
    outcomes = (
        Listing((item("op/config", 3), item(KEY_A, 4)), 6),
        Changes((item(KEY_B, 7), Removal(KEY_A, 8)), 8),
        Changes((), 9),
        HistoryCompacted(),
        Listing((item(KEY_B, 7),), 12),
    )
    watch, _, follower = watch_of(clock, events, *outcomes)
    seen = []
    for _ in range(len(outcomes)):
        assert watch.step()
        seen.append((set(follower.book.active()), follower.book.position.revision))
    assert seen == [({"a"}, 6), ({"b"}, 8), ({"b"}, 9), ({"b"}, 9), ({"b"}, 12)]
    assert watch.task.messages == [DesiredStateReceived(b"{}", "store")]


@pytest.mark.parametrize(
    ("key", "value", "domain"),
    [
        ("op/evacuate/", b"{}", None),
        ("op/evacuate", b"{}", None),
        ("op/evacuated/a", b"{}", None),
        (KEY_A, b"", "a"),
        (KEY_A, b"\xff[", "a"),
        (KEY_A, b"[" * 100_000, "a"),
        ("op/evacuate/a/b", b"{}", "a/b"),
        ("op/evacuate/nowhere", b"{}", "nowhere"),
    ],
)
def test_key_alone_evacuates(
    key: str, value: bytes, domain: str | None, clock: ManualClock, events: EventLog
) -> None:
    listing = Listing((item(key, 4, value),), 6)
    watch, _, follower = watch_of(clock, events, listing, Changes((), 7))
    assert watch.step()
    assert follower.book.active() == ({domain} if domain else frozenset())
    assert watch.step()
    assert follower.book.position == StorePosition(1, 7)


def test_watch_is_repeated_in_time_if_its_response_is_lost(
    clock: ManualClock, events: EventLog
) -> None:
    bounds = StoreBounds(settled_s=2.0, desired_state_s=9.0, evacuation_s=5.0)
    watch, store, _ = watch_of(clock, events, Listing((), 1), Changes((), 1))
    watch.bounds = lambda: bounds
    watch.step()
    watch.step()
    assert store.waits == [2.0 + 5.0 - DETECTION_S]


def test_evacuation_survives_an_outage_and_a_restored_store(
    clock: ManualClock, events: EventLog
) -> None:
    outcomes = (
        Listing((item(KEY_A, 4),), 6),
        StoreNoResponse("down"),
        2,
        Changes((), 7),
        Listing((), 3),
    )
    watch, _, follower = watch_of(clock, events, *outcomes)
    for expected in (True, False, True, True):
        assert watch.step() is expected
        assert follower.book.active() == {"a"}
    assert follower.book.position == StorePosition(2, 3)
    clock.advance(REWRITE_S)
    follower.tell(CheckEvacuations())
    assert follower.task.in_force.value == Evacuations(
        ended_at={"a": clock.monotonic()}
    )


# Routers that tell each other.

# Address of a router of this build.
ADDRESS = f"ws://h:1{SHARING_PATH}"


class Routers:
    """Routers' tasks that own evacuations, and the messages between them."""

    def __init__(self, size: int, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.names = [f"edge-{number}" for number in range(size)]
        self.cut_off: set[str] = set()
        self.inboxes = {name: Inbox() for name in self.names}
        self.tasks: dict[str, Any] = {}
        for name in self.names:
            peers: Any = self.inboxes[name]
            task = self.tasks[name] = make_task(name, peers, clock, events)
            others = {n: ADDRESS for n in self.names if n != name}
            task.handle(KnownRouters(others))
            task.handle(ItemsListed((), 1, 1))

    def restart(self, name: str) -> None:
        """Start a router again under its name, which the others notice."""
        peers: Any = self.inboxes[name]
        self.tasks[name] = make_task(name, peers, self.clock, self.tasks[name].events)
        url = process_address("h", 1, "second")
        for other in self.names:
            known = {each: ADDRESS for each in self.names if each != other}
            if other != name:
                known[name] = url
            self.tasks[other].handle(KnownRouters(known))

    def deliver(self) -> int:
        """Deliver messages until none is left; return how many were sent."""
        count = 0
        while any(inbox.messages for inbox in self.inboxes.values()):
            for name, inbox in self.inboxes.items():
                messages, inbox.messages = inbox.messages, []
                for send in messages:
                    count += 1
                    if {name, send.node} & self.cut_off:
                        continue
                    reply = Reply()
                    self.tasks[send.node].handle(Ask(send.message, reply))
                    self.tasks[name].handle(reply.value)
        return count

    def pass_time(self, seconds: int) -> int:
        """Let time pass, with the periodic messages; return how many were sent."""
        count = 0
        for _ in range(seconds // 2):
            self.clock.advance(2.0)
            for task in self.tasks.values():
                task.handle(CheckEvacuations())
            count += self.deliver()
        return count

    def knowing(self, *domains: str) -> set[str]:
        """Return the routers for which exactly these domains are evacuated."""
        return {
            name
            for name, task in self.tasks.items()
            if task.in_force.value.failure_domains == frozenset(domains)
        }


def test_routers_of_an_earlier_build_are_not_told(
    clock: ManualClock, events: EventLog
) -> None:
    peers: Any = Inbox()
    task = make_task("edge-0", peers, clock, events)
    task.handle(KnownRouters({"edge-1": "ws://h:1", "edge-2": ADDRESS}))
    task.handle(ItemsListed((item(KEY_A, 2),), 1, 2))
    for _ in range(4):
        task.handle(CheckEvacuations())
    assert {each.node for each in peers.messages} == {"edge-2"}


def test_nothing_is_sent_without_an_evacuation(
    clock: ManualClock, events: EventLog
) -> None:
    routers = Routers(8, clock, events)
    assert routers.pass_time(60) == 0


@pytest.mark.parametrize("size", [2, 8, 24, 195])
def test_router_that_is_back_under_its_name_learns_of_evacuations_at_once(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    """Guards: a restarted router sends to an evacuated domain until its turn comes."""
    routers = Routers(size, clock, events)
    read = ItemsChanged((item(KEY_A, 2),), 1, 2)
    routers.tasks["edge-0"].handle(read)
    routers.deliver()
    routers.restart("edge-1")
    routers.deliver()
    assert routers.knowing("a") == set(routers.names)


@pytest.mark.parametrize("size", [2, 24, 195])
def test_routers_without_the_store_learn_of_evacuations_at_once(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    routers = Routers(size, clock, events)
    everyone = set(routers.names)
    first = routers.tasks["edge-0"]
    first.handle(ItemsChanged((item(KEY_A, 2), item(KEY_B, 3)), 1, 3))
    routers.deliver()
    assert routers.knowing("a", "b") == everyone
    first.handle(ItemsChanged((Removal(KEY_A, 4),), 1, 4))
    routers.deliver()
    assert routers.knowing("b") == everyone
    for task in routers.tasks.values():
        shown = task.metrics.registry.get_sample_value
        assert shown("hawthornstage_evacuated", {"failure_domain": "a"}) == 0
        assert shown("hawthornstage_evacuated", {"failure_domain": "b"}) == 1


def test_router_that_returns_from_a_cut_learns_what_it_missed(
    clock: ManualClock, events: EventLog
) -> None:
    routers = Routers(24, clock, events)
    routers.cut_off = {"edge-5", "edge-7"}
    routers.tasks["edge-0"].handle(ItemsChanged((item(KEY_A, 2),), 1, 2))
    routers.deliver()
    assert routers.knowing() == routers.cut_off
    routers.cut_off = set()
    routers.pass_time(10)
    assert routers.knowing("a") == set(routers.names)
    routers.cut_off = {"edge-5"}
    routers.tasks["edge-0"].handle(ItemsChanged((Removal(KEY_A, 3),), 1, 3))
    routers.pass_time(400)
    assert routers.knowing("a") == {"edge-5"}
    routers.cut_off = set()
    routers.pass_time(10)
    assert routers.knowing() == set(routers.names)
    routers.pass_time(60)
    assert routers.pass_time(20) == 0


# The choice of servers.


def selector_with(**domains: str) -> ServerSelector:
    """Return a selector of servers in some failure domains."""
    selector = ServerSelector("z")
    servers = {n: make_server(n, failure_domain=d) for n, d in domains.items()}
    selector.replace_servers(RegisteredServers(servers))
    return selector


def test_evacuated_domains_get_nothing_until_they_come_back() -> None:
    selector = selector_with(s1="a", s2="b", s3="c")
    selector.replace_evacuations(Evacuations(frozenset({"a", "nowhere"})))
    chosen = set()
    for number in range(40):
        choice = selector.choose(want(f"r{number}"), LIMIT, 1.0)
        assert isinstance(choice, ServerChosen)
        chosen.add(choice.server.id)
    assert chosen == {"s2", "s3"}
    assert set(selector.staying("models")) == {"s2", "s3"}
    selector.replace_evacuations(Evacuations(frozenset({"a", "b"})))
    choice = selector.choose(want("r99"), LIMIT, 1.0)
    assert isinstance(choice, ServerChosen) and choice.server.id == "s3"
    selector.replace_evacuations(Evacuations(ended_at={"a": 2.0, "b": 2.0}))
    only = want("r100", excluded=frozenset({"s2", "s3"}))
    assert isinstance(selector.choose(only, LIMIT, 2.0), ServerChosen)


@pytest.mark.parametrize(
    ("leaving", "asked", "shortage"),
    [
        ((), want(), Shortage.EVACUATED),
        # A server that leaves in an evacuated domain, and the last one elsewhere.
        (("s1", "s3"), want(), Shortage.EVACUATED),
        (("s1", "s2", "s3"), want(), Shortage.BUSY),
        ((), want(service="desk"), Shortage.BUSY),
        (("s3",), want(version="v1"), Shortage.EVACUATED),
    ],
)
def test_refusal_tells_whether_an_evacuation_is_the_cause(
    leaving: tuple[str, ...], asked: RequestServer, shortage: Shortage
) -> None:
    selector = selector_with(s1="a", s2="b", s3="c")
    servers = {
        name: replace(server, leaving=name in leaving, version=f"v{name[1]}")
        for name, server in selector.servers.items()
    }
    selector.replace_servers(RegisteredServers(servers))
    selector.replace_evacuations(Evacuations(frozenset("ab" if leaving else "abc")))
    refusal = selector.choose(asked, LIMIT, 1.0)
    assert isinstance(refusal, NoServerAvailable)
    assert refusal.shortage is shortage


def test_stream_whose_version_is_evacuated_is_not_given_up() -> None:
    selector = selector_with(s1="a", s2="b")
    versions = {n: replace(s, version=n) for n, s in selector.servers.items()}
    selector.replace_servers(RegisteredServers(versions))
    selector.replace_evacuations(Evacuations(frozenset({"a"})))
    refusal = selector.choose(want(version="s1"), LIMIT, 1.0)
    assert isinstance(refusal, NoServerAvailable)
    assert (refusal.shortage, refusal.version_gone) == (Shortage.EVACUATED, False)


def test_last_server_elsewhere_leaves_and_returns_beside_an_evacuation() -> None:
    selector = selector_with(s1="a", s2="b")
    selector.replace_evacuations(Evacuations(frozenset({"a"})))
    known = dict(selector.servers)
    gone = {**known, "s2": replace(known["s2"], leaving=True)}
    selector.replace_servers(RegisteredServers(gone))
    assert isinstance(selector.choose(want(), LIMIT, 1.0), NoServerAvailable)
    selector.replace_servers(RegisteredServers(known))
    choice = selector.choose(want(), LIMIT, 1.0)
    assert isinstance(choice, ServerChosen) and choice.server.id == "s2"


class EvacuatingTasks(Tasks):
    """Stands for the router's tasks; evacuates domain z once a server is chosen."""

    def tell(self, message: Any) -> None:
        """Choose, then evacuate."""
        super().tell(message)
        if getattr(message, "reply_to", None) is not None:
            self.evacuations.publish(Evacuations(frozenset({"z"})))


def test_call_is_not_sent_to_a_domain_that_was_evacuated_since_the_choice(
    pair: CallerPair,
) -> None:
    servers = [ScriptedServer([None]), ScriptedServer([None])]
    tasks = EvacuatingTasks([each.start() for each in servers])
    delivery = Delivery()
    exchange = exchange_for("/open/x", arrived=Clock().monotonic())
    forwarder = make_forwarder(tasks, Clock())
    failure = forwarder.deliver(exchange, pair.connection, delivery)
    assert failure is not None and response_for(failure).status == 503
    assert not delivery.may_have_run and delivery.attempts == 0
    assert all(b"HTTP" not in data for each in servers for data in each.seen)


class OnlyEvacuated(Tasks):
    """Stands for the router's tasks; all servers are evacuated."""

    def tell(self, message: Any) -> None:
        """Refuse who asks for a server."""
        reply_to = getattr(message, "reply_to", None)
        if reply_to is not None:
            reply_to.put(NoServerAvailable("all", shortage=Shortage.EVACUATED))


def test_refusal_promises_that_the_call_has_not_run_only_if_it_has_not(
    pair: CallerPair,
) -> None:
    forwarder = make_forwarder(OnlyEvacuated([]), Clock())
    exchange = exchange_for("/open/x", arrived=Clock().monotonic())
    failure = forwarder.deliver(exchange, pair.connection, Delivery())
    assert failure is not None and failure.kind is ErrorKind.EVACUATED
    assert (response_for(failure).status, response_for(failure).retry_after) == (503, 1)
    sent = Delivery(attempts=1, ran=ExecutionState.UNKNOWN)
    failure = forwarder.deliver(exchange, pair.connection, sent)
    assert failure is not None and failure.kind is ErrorKind.SERVER_FAILED


@pytest.mark.parametrize("knows", ["caller's router", "carrying router"])
def test_either_router_of_a_relay_keeps_to_the_evacuation(
    knows: str,
    pair: CallerPair,
    start_helper: StartHelper,  # noqa: F811
) -> None:
    server = ScriptedServer([None])
    address = server.start()
    helper = start_helper(address)
    tasks = helper.tasks
    failed = {server_at(address).incarnation: LinkFault.SILENT}
    tasks.links.publish(ServerLinks(failed, True, helpers=("b",)))
    tasks.peers = helper
    evacuated = LatestValue(Evacuations(frozenset({"z"})))
    if knows == "carrying router":
        helper.task.evacuations = evacuated
    else:
        helper.task.evacuations = LatestValue(Evacuations())
        tasks.evacuations = evacuated
    delivery = Delivery()
    exchange = exchange_for("/open/x", arrived=Clock().monotonic())
    forwarder = make_forwarder(tasks, Clock())
    failure = forwarder.deliver(exchange, pair.connection, delivery)
    assert failure is not None and response_for(failure).status == 503
    assert (delivery.attempts, delivery.may_have_run) == (0, False)
    assert not any(server.seen)


# Over processes.


def arrivals(fleet: Fleet, *names: str) -> int:
    """Return how many calls reached some servers."""
    return sum(len(fleet.control(n, "behave", {})["arrivals"]) for n in names)


def wait_logged(fleet: Fleet, event: str, count: int = 1) -> None:
    """Wait until all routers have logged an event."""
    wait_until(
        lambda: all(
            fleet.read_log(name).count(f"event={event} ") >= count
            for name in fleet.names
        ),
        description=f"all routers to log {event}",
    )


def test_domain_is_evacuated_during_calls_and_comes_back(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=2, servers=2, zones=("b", "a"))
    fleet.control("store", "put", {KEY_A: {}})
    wait_logged(fleet, "evacuation_began")
    before = arrivals(fleet, "desk-1")
    for number in range(10):
        router = fleet.names[number % 2]
        assert fleet.call(router, IDEMPOTENT_PATH, f"a{number}").status == 200
    assert arrivals(fleet, "desk-1") == before
    # A router that starts in the middle of it.
    fleet.processes["edge-2"].kill()
    fleet.start_router("edge-2")
    wait_until(
        lambda: fleet.read_log("edge-2").count("event=server_seen") >= 8,
        description="the router that started to know all servers",
    )
    for number in range(10):
        assert fleet.call("edge-2", IDEMPOTENT_PATH, f"s{number}").status == 200
    assert arrivals(fleet, "desk-1") == before
    fleet.control("store", "put", {KEY_B: {}})
    wait_logged(fleet, "evacuation_began", 2)
    wait_until(
        lambda: "failure_domain=b" in fleet.read_log("edge-2"),
        description="the router that started to know of both",
    )
    refused = fleet.call("edge-1", NON_IDEMPOTENT_PATH, "n1")
    assert refused.status == 503 and b"evacuated" in refused.body
    # Routers keep to it while the store is away.
    fleet.control("store", "faults", {"down": True})
    assert fleet.call("edge-2", IDEMPOTENT_PATH, "n2").status == 503
    fleet.control("store", "faults", {"down": False})
    fleet.control("store", "remove", {KEY_A: None, KEY_B: None})
    wait_logged(fleet, "evacuation_ended", 2)
    for number in range(10):
        assert fleet.call("edge-1", IDEMPOTENT_PATH, f"b{number}").status == 200
    assert arrivals(fleet, "desk-1") > before
