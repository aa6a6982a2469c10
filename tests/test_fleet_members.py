"""A router that runs stays registered, whatever becomes of its writes."""

from __future__ import annotations

from typing import Any

import pytest

from hawthornstage.actors.fleet_members import (
    LEASE_S,
    MEMBERS_PREFIX,
    FleetMembers,
    MembershipTick,
)
from hawthornstage.actors.peers.messages import PeerMet
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.router_processes import ENTRY_DELAY_S, process_address
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.store import Put
from hawthornstage.observe.events import EventLog
from tests.draws_world import FakeClient, FakeStore, Inbox

# Interval of the task's ticks, in seconds.
TICK_S = 1.0


class MoodyClient(FakeClient):
    """A client whose next writes are done in a mood of the store."""

    moods: tuple[str, ...] = ()

    def transact(self, expected: Any, *, puts: Any = (), removes: Any = ()) -> Any:
        """Write in the next mood."""
        self.store.mood, *rest = self.moods or ("well",)
        self.moods = tuple(rest)
        try:
            return super().transact(expected, puts=puts, removes=removes)
        finally:
            self.store.mood = "well"


class World:
    """A router's task that registers it, and the store."""

    def __init__(self, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.store = FakeStore(clock)
        self.client: Any = MoodyClient(self.store, "a")
        peers: Any = Inbox()
        self.subscriber: Any = Inbox()
        self.members: Any = FleetMembers(
            "a",
            "ws://a",
            store=self.client,
            peers=peers,
            routers=LatestValue(0),
            subscribers=(self.subscriber,),
            secret=Put("secret", b"s"),
            clock=clock,
            events=events,
        )

    def run(self, seconds: float) -> list[bool]:
        """Let time pass; return for each tick whether the router is registered."""
        registered = []
        for _ in range(int(seconds / TICK_S)):
            self.members.handle(MembershipTick())
            self.clock.advance(TICK_S)
            self.store.settle()
            registered.append(MEMBERS_PREFIX + "a" in self.store.items)
        return registered


@pytest.fixture
def world(clock: ManualClock, events: EventLog) -> World:
    """Return a router's task that registers it."""
    return World(clock, events)


def test_routers_are_settled_when_two_reads_found_the_same(world: World) -> None:
    for name in ("b", "c"):
        entry = Put(MEMBERS_PREFIX + name, f"ws://{name}".encode())
        world.store.write({}, (entry,))
        world.run(TICK_S)
    world.run(2 * TICK_S)
    told = [(set(each.urls), each.settled) for each in world.subscriber.messages]
    assert told == [({"b"}, False), ({"b", "c"}, False), ({"b", "c"}, True)]


@pytest.mark.parametrize(
    "moods",
    [("late",), ("mute",), ("late", "late", "well"), ("late", "mute"), ("refuses",)],
)
def test_router_stays_registered_after_a_write_that_is_done_late(
    moods: tuple[str, ...], world: World
) -> None:
    world.client.moods = moods
    world.run(10.0)
    assert all(world.run(3 * LEASE_S))


def test_router_registers_again_when_its_entry_has_vanished(world: World) -> None:
    world.run(ENTRY_DELAY_S)
    # A write of the process before this one, under a lease that nobody renews.
    lease = FakeClient(world.store, "a").grant_lease(LEASE_S).lease
    put = Put(MEMBERS_PREFIX + "a", b"ws://a", lease)
    world.store.write({}, (put,))
    world.run(LEASE_S + ENTRY_DELAY_S)
    assert all(world.run(3 * LEASE_S))


def test_router_registers_under_a_new_lease_when_its_lease_has_ended(
    world: World,
) -> None:
    world.run(ENTRY_DELAY_S)
    world.store.leases.clear()
    world.store.items.clear()
    world.run(ENTRY_DELAY_S)
    assert all(world.run(3 * LEASE_S))


def register(world: World, name: str, process: str) -> None:
    """Let a process of another router write its entry."""
    url = process_address(name, 81, process)
    world.store.write({}, (Put(MEMBERS_PREFIX + name, url.encode()),))


def known_addresses(world: World) -> list[str]:
    """Return the addresses of router `b` that were told, one for each message."""
    return [each.urls.get("b", "") for each in world.subscriber.messages]


def test_router_that_is_back_under_its_name_is_published(world: World) -> None:
    """Guards: what was told to a process is lost with it, and nobody tells the next."""
    register(world, "b", "first")
    world.run(2 * ENTRY_DELAY_S)
    told = len(world.subscriber.messages)
    register(world, "b", "second")
    world.run(ENTRY_DELAY_S)
    assert known_addresses(world)[told:] == [process_address("b", 81, "second")]


def test_process_that_connects_is_published_while_the_store_is_silent(
    world: World,
) -> None:
    register(world, "b", "first")
    world.run(2 * ENTRY_DELAY_S)
    world.store.mood = "deaf"
    url = process_address("b", 81, "second")
    for _ in range(2):
        world.members.handle(Ask(PeerMet("b", url)))
    assert known_addresses(world)[-2:] == [process_address("b", 81, "first"), url]
    world.run(ENTRY_DELAY_S)
    assert known_addresses(world)[-1] == url


def test_process_that_connects_before_the_first_read_is_known_with_the_others(
    world: World,
) -> None:
    register(world, "c", "first")
    url = process_address("b", 81, "first")
    world.members.handle(Ask(PeerMet("b", url)))
    assert world.subscriber.messages == []
    world.run(TICK_S)
    assert set(world.subscriber.messages[0].urls) == {"b", "c"}
