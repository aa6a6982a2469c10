"""What the router knows of the registered servers."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hawthornstage.actors.servers.registry import (
    REREGISTRATION_GRACE_S,
    ServerRegistry,
)
from hawthornstage.actors.store_watch import RETRY_PAUSE_S
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.store_news import (
    MAX_PAUSE_S,
    SEND_MARGIN_S,
    longest_lapse,
    watch_pause,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.store import (
    Changes,
    HistoryCompacted,
    Item,
    Listing,
    Removal,
    StoreNoResponse,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import RESPONSE_TIMEOUT_S
from tests.draws_world import Inbox
from tests.scripted_store import ScriptedStore

BOUNDS = StoreBounds()


class SilentStore:
    """A store that loses the response of one watch, and then answers each at once.

    Args:
        clock: The clock that the lost watch advances.
        event: The change of which the second watch tells, or None.
    """

    epoch = 1

    def __init__(self, clock: ManualClock, event: Any = None) -> None:
        self.clock = clock
        self.event = event
        self.lost = False

    def list(self, prefix: str) -> Any:
        """Return two servers."""
        return Listing((entry_item("a", 1), entry_item("b", 2)), 2)

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Lose the first response; the client waits a little longer than asked for."""
        if not self.lost:
            self.lost = True
            self.clock.advance(wait_s + RESPONSE_TIMEOUT_S)
            return StoreNoResponse("read timed out")
        event, self.event = self.event, None
        return Changes((event,) if event else (), after + 1)


class TimedStore:
    """A store whose watches pass time: they wait for the next event or their timeout.

    Args:
        clock: The clock that a waiting watch advances.
        down_until: Time until which every call fails.
        events: Changes by the time at which they occur.
    """

    epoch = 1

    def __init__(
        self, clock: ManualClock, down_until: float, events: dict[float, Any]
    ) -> None:
        self.clock = clock
        self.down_until = down_until
        self.events = events

    def list(self, prefix: str) -> Any:
        """Return two servers."""
        return Listing((entry_item("a", 1), entry_item("b", 2)), 2)

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Wait for the next event, for at most `wait_s` seconds."""
        if self.clock.monotonic() < self.down_until:
            self.clock.advance(0.25)
            return StoreNoResponse("no answer")
        ends_at = self.clock.monotonic() + wait_s
        due = min(self.events, default=ends_at + 1.0)
        self.clock.advance(max(0.0, min(due, ends_at) - self.clock.monotonic()))
        if due > ends_at:
            return Changes((), after)
        return Changes((self.events.pop(due),), after + 1)


def entry_item(name: str, revision: int, state: str = "ready") -> Item:
    """Return a server's entry."""
    entry = {"service": "models", "address": "10.0.0.1:80", "state": state, "born": 5}
    return Item(f"servers/{name}", json.dumps(entry).encode(), revision)


def make_registry(clock: ManualClock, events: EventLog, *outcomes: Any) -> Any:
    """Return a registry on prepared outcomes."""
    store: Any = ScriptedStore(*outcomes)
    return registry_of(store, clock, events)


def registry_of(store: Any, clock: ManualClock, events: EventLog) -> Any:
    """Return a registry of one of eight routers on a store."""
    inbox: Any = Inbox()
    registered = LatestValue(RegisteredServers({}))
    routers = LatestValue(8)
    return ServerRegistry(
        store, (inbox,), registered, routers, StoreBounds, clock, events
    )


def test_registry_follows_changes(clock: ManualClock, events: EventLog) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1), entry_item("b", 2)), 2),
        Changes((entry_item("a", 3, "draining"), Removal("servers/b", 4)), 4),
    )
    assert registry.step() and registry.step()
    assert {n: s.leaving for n, s in registry.servers.items()} == {"a": True}


def test_entries_that_lapsed_in_an_outage_get_time_to_return(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1), entry_item("b", 2)), 2),
        StoreNoResponse("no answer"),
        Changes((Removal("servers/a", 3), Removal("servers/b", 3)), 3),
        Changes((entry_item("a", 4),), 4),
        Changes((), 4),
    )
    for _ in range(4):
        registry.step()
    assert set(registry.servers) == {"a", "b"}
    clock.advance(REREGISTRATION_GRACE_S + 0.1)
    registry.step()
    assert set(registry.servers) == {"a"}


def test_server_that_leaves_long_after_an_outage_is_dropped_at_once(
    clock: ManualClock, events: EventLog
) -> None:
    start = clock.monotonic()
    left_at = start + 1.0 + REREGISTRATION_GRACE_S + 0.8
    removal = Removal("servers/a", 3)
    store: Any = TimedStore(clock, start + 1.0, {left_at: removal})
    registry = registry_of(store, clock, events)
    while clock.monotonic() < left_at:
        registry.step()
    assert set(registry.servers) == {"b"}


def test_server_that_leaves_right_after_an_outage_is_dropped_in_time(
    clock: ManualClock, events: EventLog
) -> None:
    start = clock.monotonic()
    left_at = start + 1.1
    removal = Removal("servers/a", 3)
    store: Any = TimedStore(clock, start + 1.0, {left_at: removal})
    registry = registry_of(store, clock, events)
    registry.step()
    assert "a" in registry.servers
    while "a" in registry.servers:
        registry.step()
    assert clock.monotonic() <= left_at + BOUNDS.drain_s - SEND_MARGIN_S


def test_server_that_leaves_after_a_lost_response_is_dropped_in_time(
    clock: ManualClock, events: EventLog
) -> None:
    registry = registry_of(SilentStore(clock, Removal("servers/a", 3)), clock, events)
    registry.step()
    store_back_at = clock.monotonic()
    registry.step()
    while "a" in registry.servers:
        clock.advance(RETRY_PAUSE_S)
        registry.step()
    # The bound holds for what happens once the store has been back for a while.
    bound = store_back_at + BOUNDS.settled_s + BOUNDS.drain_s
    assert clock.monotonic() <= bound - SEND_MARGIN_S


def test_lapsed_server_gets_nothing_new_in_time_though_the_store_is_silent_again(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1),), 2),
        StoreNoResponse("no answer"),
        Changes((Removal("servers/a", 3),), 3),
    )
    for _ in range(3):
        registry.step()
    # The next watch gets no response, so that the registry cannot act meanwhile.
    assert registry.registered.value.accepts_calls("a", clock.monotonic())
    in_time = clock.monotonic() + BOUNDS.drain_s - SEND_MARGIN_S
    assert not registry.registered.value.accepts_calls("a", in_time)


def test_removal_in_lost_history_counts_from_when_the_entry_was_last_known(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1),), 2),
        StoreNoResponse("cut"),
        HistoryCompacted(),
        Listing((), 9),
    )
    registry.step()
    known_at = clock.monotonic()
    clock.advance(0.1)
    registry.step()
    clock.advance(BOUNDS.settled_s + 1.0)
    for _ in range(2):
        registry.step()
    in_time = known_at + BOUNDS.settled_s + BOUNDS.drain_s - SEND_MARGIN_S
    assert not registry.registered.value.accepts_calls("a", in_time)


@pytest.mark.parametrize(("routers", "most"), [(1, 0.05), (8, 0.2), (195, MAX_PAUSE_S)])
def test_large_fleets_pause_between_watches(
    clock: ManualClock, events: EventLog, routers: int, most: float
) -> None:
    registry = make_registry(clock, events, Listing((entry_item("a", 1),), 2))
    registry.step()
    registry.routers.publish(routers)
    assert 0.0 < registry.pause() <= most
    # A server that left is dropped in time, whatever the fleet's size.
    lapse_s = longest_lapse(BOUNDS.drain_s, watch_pause(routers))
    assert watch_pause(routers) + lapse_s <= BOUNDS.drain_s - SEND_MARGIN_S
    registry.drop_times["a"] = clock.monotonic()
    assert registry.pause() == 0.0


def test_registry_reads_again_after_lost_history(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1),), 2),
        HistoryCompacted(),
        Listing((entry_item("b", 9),), 9),
    )
    for _ in range(3):
        registry.step()
    assert set(registry.servers) == {"b"}


class RestoredStore(ScriptedStore):
    """Gives prepared outcomes, each with the epoch that its response names."""

    def next_outcome(self) -> Any:
        """Return the next outcome, after its epoch has become known."""
        self.epoch, outcome = self.outcomes.pop(0)
        return outcome

    def list(self, prefix: str) -> Any:
        """Return the next outcome."""
        return self.next_outcome()

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return the next outcome."""
        return self.next_outcome()


def follow(clock: ManualClock, events: EventLog, store: Any) -> Any:
    """Return a registry that has taken in all that a store tells."""
    registry = registry_of(store, clock, events)
    while store.outcomes:
        registry.step()
        clock.advance(0.1)
    return registry


def test_changes_of_a_restored_store_are_listed_though_its_revisions_went_on(
    clock: ManualClock, events: EventLog
) -> None:
    first = Listing((entry_item("a", 8),), 10)
    # The store's new revisions have passed those that this router knows.
    missed = Changes((), 12)
    second = Listing((entry_item("a", 8), entry_item("b", 9)), 12)
    store = RestoredStore((1, first), (2, missed), (2, second))
    registry = follow(clock, events, store)
    assert set(registry.registered.value.servers) == {"a", "b"}


def test_router_whose_other_calls_saw_the_restored_store_lists_at_once(
    clock: ManualClock, events: EventLog
) -> None:
    listing = Listing((entry_item("a", 8),), 10)
    store = RestoredStore((1, listing))
    registry = follow(clock, events, store)
    # A watch could wait for long for a revision that the copy has passed already.
    store.epoch, store.outcomes = 2, [(2, Listing((entry_item("b", 9),), 12))]
    assert registry.step()
    assert set(registry.registered.value.servers) == {"a", "b"}
    assert (registry.revision, registry.epoch) == (12, 2)


@pytest.mark.parametrize("removed", [False, True])
def test_copy_does_not_bring_a_server_back_that_left(
    clock: ManualClock, events: EventLog, removed: bool
) -> None:
    ready = entry_item("a", 3)
    leaving = Removal(ready.key, 7) if removed else entry_item("a", 7, "draining")
    store = RestoredStore(
        (1, Listing((ready,), 3)),
        (1, Changes((leaving,), 7)),
        (2, Changes((), 5)),
        (2, Listing((ready,), 5)),
    )
    registry = follow(clock, events, store)
    assert not registry.registered.value.accepts_calls("a", clock.monotonic())
    store.outcomes = [(2, Changes((entry_item("a", 6),), 6))]
    registry.step()
    assert registry.registered.value.accepts_calls("a", clock.monotonic())


def test_copy_keeps_a_server_in_use_that_had_lapsed_and_returned(
    clock: ManualClock, events: EventLog
) -> None:
    ready = entry_item("a", 3)
    store = RestoredStore(
        (1, Listing((ready,), 3)),
        (1, Changes((Removal(ready.key, 5),), 5)),
        (1, Changes((entry_item("a", 7),), 7)),
        (2, Changes((), 8)),
        (2, Listing((entry_item("a", 7),), 8)),
    )
    registry = follow(clock, events, store)
    assert registry.registered.value.accepts_calls("a", clock.monotonic())


def test_server_that_the_copy_lacks_gets_time_to_register(
    clock: ManualClock, events: EventLog
) -> None:
    both = (entry_item("a", 3), entry_item("b", 6))
    store = RestoredStore(
        (1, Listing(both, 6)), (2, Changes((), 4)), (2, Listing(both[:1], 4))
    )
    registry = follow(clock, events, store)
    assert registry.registered.value.accepts_calls("b", clock.monotonic())


def test_odd_entry_keeps_neither_others_out_nor_the_watch_from_going_on(
    clock: ManualClock, events: EventLog
) -> None:
    odd = Item("servers/x", b"[" * 100_000, 2)
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1), odd), 2),
        Changes((entry_item("b", 3),), 3),
    )
    assert registry.try_step() and registry.try_step()
    assert set(registry.registered.value.servers) == {"a", "b"}


def test_watch_goes_on_after_an_error(clock: ManualClock, events: EventLog) -> None:
    odd: Any = object()
    listing = Listing((entry_item("a", 1),), 1)
    registry = make_registry(clock, events, Listing((odd,), 1), listing)
    assert not registry.try_step()
    assert registry.try_step()
    assert set(registry.registered.value.servers) == {"a"}
