"""Few routers watch the store for the others, and no change takes effect late."""

from __future__ import annotations

import threading
from typing import Any

import pytest

from hawthornstage.actors.servers.registry import ServerRegistry
from hawthornstage.actors.shared_watches import PrefixLost, SharedWatches, WatchShare
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.store_news import SEND_MARGIN_S
from hawthornstage.decisions.watch_sharing import (
    AVOIDANCE_S,
    MAX_CHANGES,
    MAX_REPLY_BYTES,
    MAX_TRANSIT_S,
    MIN_ROUTERS,
    READER_PAUSE_S,
    SHARING_PATH,
    ChangeHistory,
    WatchReaders,
    reader_wait,
    reply_timeout,
    sharing_routers,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.shared_watches import (
    ChangesRead,
    ChangesUnavailable,
    RequestChanges,
    SharedChange,
)
from hawthornstage.messages.store import Changes, Item, Listing, Removal, StoreRefused
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.server_entries import ENTRIES_PREFIX
from tests.draws_world import Inbox, Reply
from tests.test_server_registry import entry_item

BOUNDS = StoreBounds()
FIRST = Listing((entry_item("a", 1), entry_item("b", 2)), 2)


class PassingClock(ManualClock):
    """A clock on which a wait passes at once."""

    def wait(self, condition: threading.Condition, timeout: float | None) -> bool:
        """Let the timeout pass."""
        self.now += timeout or 0.0
        return False


class SharedStore:
    """A store with a log of changes, whose watches pass the time that they wait."""

    epoch = 1

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.log: list[Item | Removal] = []
        self.calls = 0
        self.is_down = False

    def list(self, prefix: str) -> Any:
        """Return two servers."""
        self.calls += 1
        return FIRST

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return later changes, or none after the wait."""
        self.calls += 1
        if self.is_down:
            return StoreRefused("down")
        found = tuple(each for each in self.log if each.revision > after)
        if not found:
            self.clock.advance(wait_s)
        return Changes(found, max((each.revision for each in found), default=after))


class World:
    """Routers that watch one store, and the links between them.

    Args:
        events: The event log.
        size: Number of routers.
    """

    def __init__(self, events: EventLog, size: int = MIN_ROUTERS) -> None:
        self.clock = PassingClock()
        self.store = SharedStore(self.clock)
        self.names = [f"edge-{number}" for number in range(size)]
        self.frozen: set[str] = set()
        self.silent_store_of: set[str] = set()
        self.tasks: dict[str, Any] = {}
        self.watches: dict[str, ServerRegistry] = {}
        for name in self.names:
            self.add_router(name, events)
        for watch in self.watches.values():
            watch.step()
        self.deliver()

    def add_router(self, name: str, events: EventLog) -> None:
        """Add a router that knows all others."""
        readers = LatestValue(WatchReaders(name))
        task = SharedWatches(name, readers, clock=self.clock, events=events)
        task.handle(KnownRouters({n: f"ws://{n}{SHARING_PATH}" for n in self.names}))
        self.tasks[name] = task
        inbox: Any = Inbox()
        peers: Any = self
        store: Any = self.store
        self.watches[name] = ServerRegistry(
            store,
            (),
            LatestValue(RegisteredServers({})),
            LatestValue(len(self.names)),
            StoreBounds,
            self.clock,
            events,
            lambda prefix: WatchShare(
                prefix, inbox, readers, peers, clock=self.clock, events=events
            ),
        )

    def deliver(self) -> None:
        """Deliver what the watches tell their own routers."""
        for name, watch in self.watches.items():
            inbox: Any = watch.share and watch.share.task
            messages, inbox.messages = inbox.messages, []
            for message in messages:
                self.tasks[name].handle(message)

    def tell(self, send: Any) -> None:
        """Carry a message between routers; a reader that has to wait makes its call."""
        if send.node in self.frozen:
            return
        replied = Reply()
        self.tasks[send.node].handle(Ask(send.message, replied))
        if replied.value is None and send.node not in self.silent_store_of:
            self.watches[send.node].step()
            self.deliver()
        if replied.value is not None:
            send.reply_to.put(replied.value)

    @property
    def readers(self) -> tuple[str, ...]:
        """The routers that read the servers' entries."""
        return WatchReaders("", frozenset(self.names)).readers(ENTRIES_PREFIX)

    @property
    def other(self) -> ServerRegistry:
        """The watch of a router that reads nothing for others."""
        name = next(each for each in self.names if each not in self.readers)
        return self.watches[name]

    def remove_server(self) -> float:
        """Remove a server from the store; return the time."""
        self.store.log.append(Removal("servers/a", 3))
        return self.clock.monotonic()

    def run_until_removed(self, watch: ServerRegistry) -> float:
        """Let a watch go on until the server is gone; return the time."""
        while "a" in watch.servers:
            self.clock.advance(watch.next_pause())
            watch.step()
            self.deliver()
        return self.clock.monotonic()


@pytest.fixture
def world(events: EventLog) -> World:
    """Return the smallest fleet that shares its watches, after its first reads."""
    return World(events)


def test_routers_that_ask_a_reader_make_no_calls_to_the_store(world: World) -> None:
    calls, other = world.store.calls, world.other
    for _ in range(10):
        other.step()
    # Each question waits for one call of the reader.
    assert world.store.calls == calls + 10
    world.remove_server()
    other.step()
    assert set(other.servers) == {"b"}
    assert other.next_pause() == 0.0


def test_routers_of_a_small_fleet_ask_the_store(events: EventLog) -> None:
    world = World(events, MIN_ROUTERS - 1)
    for watch in world.watches.values():
        assert watch.share is not None
        assert not watch.share.is_reader and watch.share.reader() is None


def test_change_is_in_force_in_time_although_all_readers_are_frozen(
    world: World,
) -> None:
    world.other.step()
    world.frozen.update(world.readers)
    removed_at = world.remove_server()
    gone_at = world.run_until_removed(world.other)
    assert gone_at <= removed_at + BOUNDS.drain_s - SEND_MARGIN_S


def test_change_is_in_force_in_time_although_the_readers_hear_nothing_of_the_store(
    world: World,
) -> None:
    world.other.step()
    world.silent_store_of.update(world.readers)
    removed_at = world.remove_server()
    gone_at = world.run_until_removed(world.other)
    assert gone_at <= removed_at + BOUNDS.drain_s - SEND_MARGIN_S


def test_change_is_in_force_in_time_although_the_reader_is_cut_from_the_store(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    world.other.step()
    # The store is well: its responses to the reader alone are lost, which notices late.
    delays_s = [reply_timeout(BOUNDS.drain_s) - 0.1]

    def fail(send: Any) -> None:
        world.clock.advance(delays_s.pop() if delays_s else 0.0)
        send.reply_to.put(ChangesUnavailable(store_failed=True))

    monkeypatch.setattr(world, "tell", fail)
    removed_at = world.remove_server()
    gone_at = world.run_until_removed(world.other)
    assert not delays_s
    assert gone_at <= removed_at + BOUNDS.drain_s - SEND_MARGIN_S


def test_router_that_knows_of_a_restore_does_not_wait_for_a_reader(
    world: World,
) -> None:
    world.other.step()
    world.frozen.update(world.readers)
    world.store.epoch = 2
    began_at = world.clock.monotonic()
    world.other.step()
    assert world.other.epoch == 2
    assert world.clock.monotonic() == began_at


def test_time_to_apply_changes_does_not_count_as_heard_of_the_store(
    world: World,
) -> None:
    reader = world.watches[world.readers[0]]
    world.remove_server()
    read_at = world.clock.monotonic()
    publish = reader.publish
    reader.publish = lambda: (world.clock.advance(0.4), publish())  # type: ignore
    reader.step()
    world.deliver()
    assert reader.heard_at == read_at
    assert world.tasks[world.readers[0]].histories[ENTRIES_PREFIX].read_at == read_at


def test_reader_that_gave_no_reply_is_not_asked_for_a_time(world: World) -> None:
    other = world.other
    assert other.share is not None
    first = other.share.reader()
    world.frozen.update(world.readers)
    other.step()
    assert other.share.reader() not in (first, None)
    world.clock.advance(AVOIDANCE_S)
    assert other.share.reader() == first
    later = world.clock.monotonic() + AVOIDANCE_S
    other.share.avoided.update(dict.fromkeys(world.readers, later))
    assert other.share.reader() is None


def test_outage_that_only_the_reader_noticed_gives_lapsed_entries_time(
    world: World,
) -> None:
    for reader in world.readers:
        world.tasks[reader].handle(PrefixLost(ENTRIES_PREFIX))
    world.remove_server()
    world.other.step()
    assert set(world.other.servers) == {"a", "b"}
    assert not world.other.may_ask_reader()


def test_failed_call_of_a_reader_ends_the_requests_that_it_holds(world: World) -> None:
    task = world.tasks[world.readers[0]]
    reply = Reply()
    task.handle(Ask(RequestChanges(ENTRIES_PREFIX, 1, 2), reply))
    assert reply.value is None
    task.handle(PrefixLost(ENTRIES_PREFIX))
    assert reply.value == ChangesUnavailable(store_failed=True)


def test_reader_tells_again_once_the_store_responds(world: World) -> None:
    name = world.readers[0]
    world.tasks[name].handle(PrefixLost(ENTRIES_PREFIX))
    world.watches[name].step()
    world.deliver()
    world.remove_server()
    world.other.step()
    assert set(world.other.servers) == {"b"}


def test_router_that_reads_for_nobody_refuses_at_once(world: World) -> None:
    name = next(each for each in world.names if each not in world.readers)
    reply = Reply()
    world.tasks[name].handle(Ask(RequestChanges(ENTRIES_PREFIX, 1, 2), reply))
    assert reply.value == ChangesUnavailable(store_failed=False)


@pytest.mark.parametrize("request_", [(2, 2), (2, 9), (1, 1)])
def test_reader_tells_nothing_of_another_epoch_or_of_unknown_revisions(
    world: World, request_: tuple[int, int]
) -> None:
    name = world.readers[0]
    reply = Reply()
    world.tasks[name].handle(Ask(RequestChanges(ENTRIES_PREFIX, *request_), reply))
    world.watches[name].step()
    world.deliver()
    assert reply.value == ChangesUnavailable(store_failed=False)


def test_reader_whose_response_is_older_than_what_is_known_waits_for_the_next(
    world: World,
) -> None:
    name = world.readers[0]
    reply = Reply()
    world.tasks[name].handle(Ask(RequestChanges(ENTRIES_PREFIX, 1, 4), reply))
    for revision in (3, 5):
        assert reply.value is None
        world.store.log.append(Item("servers/c", b"{}", revision))
        world.watches[name].step()
        world.deliver()
    assert reply.value.changes == (SharedChange("servers/c", 5, b"{}"),)


def test_changes_too_large_for_a_reply_are_read_from_the_store(world: World) -> None:
    name = world.readers[0]
    reply = Reply()
    world.tasks[name].handle(Ask(RequestChanges(ENTRIES_PREFIX, 1, 2), reply))
    world.store.log.append(Item("servers/c", b"x" * MAX_REPLY_BYTES, 3))
    world.watches[name].step()
    world.deliver()
    assert reply.value == ChangesUnavailable(store_failed=False)


@pytest.mark.parametrize("late_s", [0.0, MAX_TRANSIT_S + 0.1])
def test_reply_without_news_counts_only_if_it_was_not_long_under_way(
    world: World, late_s: float
) -> None:
    class LatePeers:
        def tell(self, send: Any) -> None:
            world.clock.advance(0.5 + late_s)
            send.reply_to.put(ChangesRead((), 2, 0.5))

    other = world.other
    assert other.share is not None
    peers: Any = LatePeers()
    share = WatchShare(
        ENTRIES_PREFIX,
        other.share.task,
        other.share.readers,
        peers,
        clock=world.clock,
        events=other.events,
    )
    known_at = world.clock.monotonic()
    outcome = share.ask(1, 2, known_at=known_at, bound_s=BOUNDS.drain_s)
    assert isinstance(outcome, ChangesUnavailable) == bool(late_s)


def test_unreachable_reader_costs_one_call_to_the_store(world: World) -> None:
    class NoPeers:
        def tell(self, send: Any) -> None:
            send.reply_to.put(PeerUnreachable(send.node, "cut"))

    other = world.other
    assert other.share is not None
    peers: Any = NoPeers()
    other.share = WatchShare(
        ENTRIES_PREFIX,
        other.share.task,
        other.share.readers,
        peers,
        clock=world.clock,
        events=other.events,
    )
    calls = world.store.calls
    world.remove_server()
    assert other.step()
    assert set(other.servers) == {"b"} and world.store.calls == calls + 1


def test_history_keeps_the_latest_changes() -> None:
    history = ChangeHistory(1, 0, 0, 0.0)
    for revision in range(1, MAX_CHANGES + 3):
        change = SharedChange(f"servers/{revision}", revision)
        history.add((change,), revision, 1.0)
    assert history.since(1, 1) is None
    assert len(history.since(1, 2) or ()) == MAX_CHANGES


def test_only_the_last_change_of_each_key_is_told() -> None:
    history = ChangeHistory(1, 0, 0, 0.0)
    changes = tuple(SharedChange("servers/a", n, b"%d" % n) for n in range(1, 4))
    history.add((*changes, SharedChange("servers/b", 4)), 4, 1.0)
    assert history.since(1, 0) == (changes[-1], SharedChange("servers/b", 4))


def test_routers_of_an_earlier_build_are_not_asked() -> None:
    urls = {"old": "ws://10.0.0.1:7340", "new": "ws://10.0.0.2:7340" + SHARING_PATH}
    assert sharing_routers(urls) == {"new"}


@pytest.mark.parametrize("bound_s", [2.0, 3.0, 4.0])
def test_reader_has_heard_of_the_store_before_the_others_stop_waiting(
    bound_s: float,
) -> None:
    assert reader_wait(bound_s) + READER_PAUSE_S < reply_timeout(bound_s) < bound_s


def test_change_is_in_force_in_time_although_readers_start_again_under_their_names(
    world: World, events: EventLog
) -> None:
    """Guards: a reader that starts again has lost the changes and requests it held."""
    world.other.step()
    removed_at = world.remove_server()
    urls = {name: f"ws://{name}{SHARING_PATH}" for name in world.names}
    for name in world.readers:
        world.add_router(name, events)
        urls[name] = process_address(name, 81, "second")
        other_name = next(n for n, w in world.watches.items() if w is world.other)
        world.tasks[other_name].handle(KnownRouters(urls))
    gone_at = world.run_until_removed(world.other)
    assert gone_at <= removed_at + BOUNDS.drain_s - SEND_MARGIN_S
    assert set(world.other.servers) == {"b"}
