"""Routers that start together know which versions running streams may have begun at."""

from __future__ import annotations

from typing import Any

import pytest

from hawthornstage.actors.servers.stream_versions import StreamVersionsTask
from hawthornstage.actors.servers.version_records import (
    VERSIONS_PREFIX,
    CheckVersionRecords,
    VersionRecordsTask,
    record_key,
)
from hawthornstage.actors.task import Ask
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.stream_holders import STREAM_LIFETIME_S
from hawthornstage.decisions.version_records import (
    MAX_VERSIONS,
    MEMORY_S,
    RECORD_LIFETIME_S,
    RECORDERS,
    VersionRecords,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.store import Put, StoreRestored
from hawthornstage.messages.stream_versions import (
    RequestStreamVersion,
    ServiceVersion,
    StreamBeganUnrecorded,
    StreamVersionReply,
)
from hawthornstage.observe.events import EventLog
from tests.connection_pair import EVENTS, REQUEST, CallerPair, sealed
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
)
from tests.draws_world import FakeClient, FakeStore, Inbox, Reply
from tests.test_stream_versions import registered, server

V1, V2 = ServiceVersion("models", "v1"), ServiceVersion("models", "v2")


class Router:
    """One process of a router: its part in the records, and its streams."""

    def __init__(
        self,
        node: str,
        store: FakeStore,
        events: EventLog,
        *,
        knows_fleet: bool = True,
    ) -> None:
        streams: Any = Inbox()
        client: Any = FakeClient(store, node)
        shared: dict[str, Any] = {"clock": store.clock, "events": events}
        self.inbox = streams
        self.records: Any = VersionRecordsTask(
            node, client, streams, LatestValue(frozenset()), **shared
        )
        if knows_fleet:
            self.records.handle(KnownRouters({}))
        self.streams: Any = StreamVersionsTask(
            Inbox(), Inbox(), LatestValue({}), **shared
        )

    def see(self, *versions: str) -> None:
        """Let the router read the registered servers."""
        found = [server(each, each) for each in versions]
        for task in (self.records, self.streams):
            task.handle(registered(*found))
        self.deliver()

    def check(self) -> None:
        """Let the periodic check take place."""
        self.records.handle(CheckVersionRecords())
        self.deliver()

    def deliver(self) -> None:
        """Deliver what was read to the task that owns the streams."""
        messages, self.inbox.messages = self.inbox.messages, []
        for message in messages:
            self.streams.handle(message)

    def reply(self) -> StreamVersionReply:
        """Return what the router tells of a stream that nobody has noted."""
        reply = Reply()
        self.streams.handle(Ask(RequestStreamVersion("call", "models"), reply))
        return reply.value


@pytest.fixture
def store(clock: ManualClock) -> FakeStore:
    """Return an empty store."""
    return FakeStore(clock)


def recorded(store: FakeStore) -> set[str]:
    """Return the keys of the records."""
    return {key for key in store.items if key.startswith(VERSIONS_PREFIX)}


def test_router_that_starts_after_all_others_ended_knows_the_only_version(
    store: FakeStore, events: EventLog
) -> None:
    """Guards: after a quick restart of all routers no stream could be taken up."""
    first = Router("a", store, events)
    first.see("v1")
    assert first.reply() == StreamVersionReply((), ("v1",), False)
    second = Router("a", store, events)
    second.see("v1")
    assert second.reply() == StreamVersionReply((), ("v1",), True)


def test_router_that_starts_counts_a_version_that_has_just_left(
    store: FakeStore, clock: ManualClock, events: EventLog
) -> None:
    first = Router("a", store, events)
    first.see("v1", "v2")
    second = Router("a", store, events)
    second.see("v1")
    assert second.reply() == StreamVersionReply((), ("v1", "v2"), True)
    clock.advance(STREAM_LIFETIME_S)
    assert second.reply() == StreamVersionReply((), ("v1",), True)


@pytest.mark.parametrize("mood", ["deaf", "refuses"])
def test_router_concludes_nothing_before_it_has_read_the_records(
    mood: str, store: FakeStore, events: EventLog
) -> None:
    Router("a", store, events).see("v1")
    router = Router("a", store, events)
    store.mood = mood
    router.see("v1")
    assert not router.reply().complete
    store.mood = "well"
    router.check()
    assert router.reply().complete


def test_service_that_nobody_recorded_is_not_concluded(
    store: FakeStore, events: EventLog
) -> None:
    store.write({}, (Put(VERSIONS_PREFIX + "x", b"no record"),))
    router = Router("a", store, events)
    router.see("v1")
    assert not router.reply().complete


def test_version_that_left_is_dropped_and_recorded_again_when_it_is_back(
    store: FakeStore, clock: ManualClock, events: EventLog
) -> None:
    router = Router("a", store, events)
    router.see("v1", "v2")
    router.see("v1")
    clock.advance(RECORD_LIFETIME_S - 1.0)
    router.check()
    assert recorded(store) == {record_key(V1), record_key(V2)}
    clock.advance(1.0)
    router.check()
    assert recorded(store) == {record_key(V1)}
    router.see("v1", "v2")
    assert recorded(store) == {record_key(V1), record_key(V2)}


def test_version_that_appears_is_recorded_although_its_record_seems_to_be_there(
    store: FakeStore, events: EventLog
) -> None:
    router = Router("a", store, events)
    router.see("v1", "v2")
    router.see("v1")
    # Another router has found that it left long ago.
    del store.items[record_key(V2)]
    router.see("v1", "v2")
    assert recorded(store) == {record_key(V1), record_key(V2)}


def test_restored_store_gets_its_records_again(
    store: FakeStore, events: EventLog
) -> None:
    router = Router("a", store, events)
    copy = store.copy()
    router.see("v1")
    store.restore(copy)
    assert recorded(store) == set()
    router.records.handle(StoreRestored(2))
    assert recorded(store) == {record_key(V1)}


@pytest.mark.parametrize("size", [1, 8, 195])
def test_few_routers_record_a_version_and_one_removes_it(size: int) -> None:
    names = frozenset(f"edge-{number}" for number in range(size))
    views = [VersionRecords(name, names) for name in sorted(names)]
    for view in views:
        view.update_registered((V1,), 0.0)
        assert view.to_record() == ()
        view.update_recorded((), 0.0)
    assert sum(bool(view.to_record()) for view in views) == min(size, RECORDERS)
    for view in views:
        view.update_registered((), 0.0)
    assert sum(bool(view.to_remove(RECORD_LIFETIME_S)) for view in views) == 1


def test_place_of_a_recorder_that_left_is_taken() -> None:
    names = frozenset(f"edge-{number}" for number in range(8))
    views = {name: VersionRecords(name, names) for name in names}
    recorders = views["edge-0"].recorders(V1)
    others = names - {recorders[0]}
    fourth = VersionRecords(recorders[1], others).recorders(V1)[-1]
    view = views[fourth]
    view.update_registered((V1,), 0.0)
    view.update_recorded((), 0.0)
    assert fourth not in recorders and view.to_record() == ()
    view.routers = others
    assert view.to_record() == (V1,)


def test_many_versions_are_bounded() -> None:
    view = VersionRecords("a", frozenset())
    many = [ServiceVersion("models", f"v{number}") for number in range(100)]
    view.update_registered([*many, ServiceVersion("desk", "v1")], 0.0)
    view.update_recorded((), 0.0)
    assert len(view.to_record()) == MAX_VERSIONS + 1
    view.update_registered((), 0.0)
    assert len(view.left_at) == 101
    view.update_registered((), MEMORY_S)
    assert view.left_at == {}


def test_nothing_is_recorded_before_the_fleet_is_known(
    store: FakeStore, events: EventLog
) -> None:
    streams: Any = Inbox()
    client: Any = FakeClient(store, "a")
    recorded_versions = LatestValue(frozenset())
    task: Any = VersionRecordsTask(
        "a", client, streams, recorded_versions, clock=store.clock, events=events
    )
    task.handle(RegisteredServers({"a": server("a", "v1")}))
    task.handle(KnownRouters({}, settled=False))
    assert recorded(store) == set()
    task.handle(KnownRouters({}))
    assert recorded(store) == {record_key(V1)}


# Guards against the fleet whose routers were all killed within their first second.
def test_version_at_which_a_stream_began_is_recorded_before_the_fleet_is_known(
    store: FakeStore, events: EventLog
) -> None:
    first = Router("a", store, events, knows_fleet=False)
    first.see("v1", "v2")
    assert recorded(store) == set()
    first.records.handle(StreamBeganUnrecorded(V1))
    assert recorded(store) == {record_key(V1), record_key(V2)}
    assert first.records.recorded.value == {V1, V2}
    second = Router("b", store, events, knows_fleet=False)
    second.see("v1")
    assert second.reply() == StreamVersionReply((), ("v1", "v2"), True)


def test_stream_that_began_is_told_until_its_version_is_recorded(
    pair: CallerPair,
) -> None:
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    assert isinstance(pair.receive(), RawRequest)
    tasks: Any = Tasks([ScriptedServer([sealed(EVENTS)]).start()])
    forwarder = make_forwarder(tasks, ManualClock(start=10.0))
    exchange = exchange_for("/letters/long/x")
    forwarder.deliver(exchange, pair.connection, Delivery())
    told = [each for each in tasks.told if isinstance(each, StreamBeganUnrecorded)]
    assert told == [StreamBeganUnrecorded(ServiceVersion("models", ""))]
