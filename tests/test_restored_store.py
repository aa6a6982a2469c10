"""What a store that comes back from a copy must not change."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.fleet_members import (
    REREGISTRATION_S,
    FleetMembers,
    MembershipTick,
)
from hawthornstage.actors.ledger import CheckEpoch
from hawthornstage.actors.ledger_epoch import EPOCHS_PREFIX
from hawthornstage.actors.servers.crashing_parts import CheckCrashLog, CrashingPartsTask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.crashing_parts import BlockedParts
from hawthornstage.decisions.epoch_counts import (
    MERGE_TIMEOUT_S,
    EpochCounts,
    may_settle,
    missing_tokens,
    with_merged,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.crashing_parts import (
    CrashConfirmed,
    CrashDuringCall,
    CrashLogWritten,
)
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    Item,
    LeaseGranted,
    Listing,
    Put,
    StoreRestored,
)
from hawthornstage.observe.events import EventLog
from tests.draws_world import DrawsWorld, Host, Inbox


@pytest.fixture
def world() -> DrawsWorld:
    """Return three routers that have drawn their first tokens."""
    return DrawsWorld()


def spend_in_turn(world: DrawsWorld, calls: int, tokens: int) -> None:
    """Run calls on all routers in turn, as far as they get tokens."""
    for number in range(calls):
        host = world.hosts[world.names[number % len(world.names)]]
        if host.ask(tokens):
            host.end_call(1.0)
        world.clock.advance(0.1)
        host.check()


def test_tokens_drawn_after_the_copy_are_not_given_out_again(world: DrawsWorld) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 20, 5_000)
    world.store.restore(copy)
    spend_in_turn(world, 200, 5_000)
    assert world.spent <= world.budget


def test_tokens_of_a_router_that_died_after_the_copy_are_not_given_out_again(
    world: DrawsWorld,
) -> None:
    copy = world.store.copy()
    host = world.hosts["a"]
    while world.spent < world.budget // 2 and host.ask(2_000):
        host.end_call(1.0)
    host.die()
    world.store.restore(copy)
    world.clock.advance(1.0)
    host.start()
    host.pump()
    spend_in_turn(world, 300, 2_000)
    assert world.spent <= world.budget


def test_router_without_the_store_in_the_drill_spends_nothing_twice(
    world: DrawsWorld,
) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 12, 4_000)
    world.store.cut_off = {"a"}
    world.store.restore(copy)
    spend_in_turn(world, 120, 4_000)
    world.store.cut_off = set()
    spend_in_turn(world, 60, 500)
    assert world.spent <= world.budget


def test_two_restorations_in_a_row_lose_no_draw(world: DrawsWorld) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 15, 4_000)
    world.store.restore(copy)
    world.clock.advance(0.2)
    world.hosts["b"].check()
    world.store.restore(copy)
    spend_in_turn(world, 200, 4_000)
    assert world.spent <= world.budget


def test_late_write_of_an_older_epoch_changes_nothing(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    copy = world.store.copy()
    world.store.mood = "late"
    host.ask(30_000)
    late = world.store.late[0]
    world.store.late.clear()
    world.store.mood = "well"
    world.store.restore(copy)
    spend_in_turn(world, 12, 1_000)
    counts = world.store.counts()
    # Revisions are given out again, and so the write finds those that it expects.
    for key in late.expected:
        if not key.startswith(EPOCHS_PREFIX):
            item = world.store.items.get(key)
            late.expected[key] = item.revision if item else 0
    puts = [replace(put, lease=0) for put in late.puts]
    assert isinstance(world.store.write(late.expected, puts), Conflict)
    assert world.store.counts() == counts


def notice_restoration(host: Host) -> None:
    """Let a router read the store's epoch on another of its connections."""
    host.ledger.store.epoch = host.world.store.epoch
    host.ledger.handle(StoreRestored(host.world.store.epoch))


def test_routers_without_tokens_bring_a_restored_store_up_to_date(
    world: DrawsWorld,
) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 200, 2_000)
    spend_in_turn(world, 60, 100)
    assert world.spent >= world.budget * 0.97
    host, *others = world.hosts.values()
    host.die()
    world.store.restore(copy)
    host.start()
    for _ in range(100):
        for other in others:
            notice_restoration(other)
        if host.ask(2_000):
            host.end_call(1.0)
        world.clock.advance(0.1)
        host.check()
    assert world.spent <= world.budget


def test_write_that_a_merge_forfeits_is_told_to_the_accounts(
    world: DrawsWorld,
) -> None:
    copy = world.store.copy()
    host = world.hosts["a"]
    world.store.mood = "mute"
    host.ask(30_000)
    world.store.mood = "well"
    world.store.restore(copy)
    notice_restoration(host)
    spend_in_turn(world, 200, 3_000)
    assert world.budget * 0.9 <= world.spent <= world.budget


def test_process_that_began_after_the_restoration_waits_for_the_others(
    world: DrawsWorld,
) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 60, 2_000)
    host = world.hosts["a"]
    host.die()
    world.store.restore(copy)
    host.start()
    # It does not know the others yet.
    host.ledger.handle(KnownRouters({}))
    before = world.spent
    for _ in range(10):
        assert not host.ask(2_000)
        world.clock.advance(0.1)
    for other in ("b", "c"):
        notice_restoration(world.hosts[other])
    for _ in range(10):
        world.clock.advance(0.1)
        for other in ("b", "c"):
            world.hosts[other].ledger.handle(CheckEpoch())
    spend_in_turn(world, 6, 2_000)
    assert world.spent > before


def test_draws_go_on_soon_after_the_restoration(world: DrawsWorld) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 6, 2_000)
    world.store.restore(copy)
    before = world.spent
    spend_in_turn(world, 30, 2_000)
    assert world.spent - before >= 25 * 2_000


def test_absent_router_is_waited_for_a_limited_time() -> None:
    epoch = EpochCounts({"shop": 100}, ("a", "b"))
    assert not may_settle(epoch, ("a", "b", "c"), MERGE_TIMEOUT_S - 0.1)
    assert may_settle(epoch, ("a", "b", "c"), MERGE_TIMEOUT_S)
    assert may_settle(epoch, ("a", "b"), 0.0)


@given(
    copied=st.integers(0, 100),
    draws=st.lists(st.integers(1, 50), min_size=1, max_size=6),
    order=st.permutations(range(6)),
)
def test_merged_count_is_the_highest_that_anyone_knew(
    copied: int, draws: list[int], order: list[int]
) -> None:
    known, total = [], copied
    for tokens in draws:
        total += tokens
        known.append(total)
    epoch, count = EpochCounts({"shop": copied}), copied
    for index in (each for each in order if each < len(known)):
        missing = missing_tokens(epoch, {"shop": known[index]})
        count += missing.get("shop", 0)
        epoch = with_merged(epoch, missing, f"r{index}")
    assert count == total


class MemberStore:
    """A store as the task of the members sees it; it lists what it is given.

    Args:
        listed: Names of the registered routers.
    """

    def __init__(self, *listed: str) -> None:
        self.listed = listed
        self.leases = 0
        self.written: list[Put] = []

    def grant_lease(self, ttl_s: float) -> LeaseGranted:
        """Grant a new lease."""
        self.leases += 1
        return LeaseGranted(self.leases, ttl_s)

    def renew_lease(self, lease: int) -> LeaseGranted:
        """Renew a lease, which may be another router's."""
        return LeaseGranted(lease, 30.0)

    def transact(self, expected: Any, *, puts: Any = ()) -> Committed:
        """Keep what is written."""
        self.written += puts
        return Committed(1)

    def list(self, prefix: str, *, stale: bool) -> Listing:
        """Return the registered routers."""
        items = tuple(Item(prefix + name, b"ws://h", 1) for name in self.listed)
        return Listing(items, 1)


def test_routers_register_again_and_stay_known_after_a_restoration(
    clock: ManualClock, events: EventLog
) -> None:
    store: Any = MemberStore("a", "b", "c")
    peers: Any = Inbox()
    routers = LatestValue(0)
    members: Any = FleetMembers(
        "a",
        "ws://a",
        store=store,
        peers=peers,
        routers=routers,
        subscribers=(),
        secret=Put("secret", b"s"),
        clock=clock,
        events=events,
    )
    members.handle(MembershipTick())
    assert routers.value == 3
    store.listed = ()
    members.handle(StoreRestored(2))
    assert [put.lease for put in store.written] == [1, 0, 2]
    for _ in range(6):
        members.handle(MembershipTick())
    assert routers.value == 3
    clock.advance(REREGISTRATION_S)
    for _ in range(6):
        members.handle(MembershipTick())
    assert routers.value == 1


def test_log_of_crashes_is_written_again_after_a_restoration(
    clock: ManualClock, events: EventLog
) -> None:
    writer: Any = Inbox()
    task: Any = CrashingPartsTask(
        "a",
        LatestValue(BlockedParts()),
        writer,
        LatestValue(1),
        clock=clock,
        events=events,
    )
    crash = CrashDuringCall("i-1@1", ("part",))
    task.handle(CrashConfirmed(crash, clock.monotonic()))
    task.handle(CheckCrashLog())
    task.handle(CrashLogWritten(True))
    clock.advance(1.0)
    task.handle(CheckCrashLog())
    assert len(writer.messages) == 1
    task.handle(StoreRestored(2))
    task.handle(CheckCrashLog())
    assert len(writer.messages) == 2
