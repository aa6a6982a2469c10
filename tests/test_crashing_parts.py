"""Prompt parts that crash servers are blocked on all routers, and no others."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.servers.crash_logs import (
    CRASH_LOGS_PREFIX,
    CrashLogsWatch,
    CrashLogWriter,
)
from hawthornstage.actors.servers.crashing_parts import (
    MAX_ENTRIES_PER_SERVER,
    MAX_LOG_ENTRIES,
    CheckCrashLog,
    CrashingPartsTask,
)
from hawthornstage.border.stored_values import decode_crash_log, encode_crash_log
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.crashing_parts import (
    BLOCK_TTL_S,
    MAX_CRASHES,
    MAX_CRASHES_ANSWERED,
    BlockedParts,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.crashing_parts import (
    AnswerBegan,
    CrashConfirmed,
    CrashDuringCall,
    CrashLog,
    CrashLogEntry,
    CrashLogRead,
    CrashLogWritten,
)
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.store import (
    Committed,
    Item,
    LeaseGranted,
    LeaseLost,
    Listing,
    StoreNoResponse,
)
from hawthornstage.observe.events import EventLog
from tests.draws_world import Inbox

# Parts of a prompt: the first is shared by all calls, the second by some sound calls.
FIRST, SOUND, DEADLY = "first", "sound", "deadly"
# Time between two crashes, and more than a router waits before it writes, in seconds.
STEP_S = 2.0


class Fleet:
    """Routers that reach each other only through the store.

    Args:
        size: Number of routers.
        clock: The clock of all routers.
        events: The event log of all routers.
    """

    def __init__(self, size: int, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.events = events
        self.size = size
        self.tasks: dict[str, Any] = {}
        self.writers: dict[str, Inbox] = {}
        self.blocked: dict[str, LatestValue[BlockedParts]] = {}
        self.stored: dict[str, bytes] = {}
        self.store_answers = True
        for number in range(size):
            self.start(f"edge-{number}")

    def start(self, name: str) -> None:
        """Start a router, which reads all logs, or start it again."""
        writer: Any = Inbox()
        self.writers[name] = writer
        self.blocked[name] = LatestValue(BlockedParts())
        self.tasks[name] = CrashingPartsTask(
            name,
            self.blocked[name],
            writer,
            LatestValue(self.size),
            clock=self.clock,
            events=self.events,
        )
        for node, data in self.stored.items():
            self.tasks[name].handle(CrashLogRead(node, decode_crash_log(data)))

    def crash(self, router: int, server: str, *parts: str) -> None:
        """Let a server crash before it begins to answer a call of a router."""
        crash = CrashDuringCall(server, parts)
        self.tasks[f"edge-{router}"].handle(
            CrashConfirmed(crash, self.clock.monotonic())
        )

    def crash_before(self, age_s: float, router: int, server: str, part: str) -> None:
        """Let it become certain now that a server crashed some time ago."""
        crash = CrashDuringCall(server, (part,))
        self.tasks[f"edge-{router}"].handle(
            CrashConfirmed(crash, self.clock.monotonic() - age_s)
        )

    def answer(self, router: int, *parts: str) -> None:
        """Let a server begin to answer a call of a router."""
        self.tasks[f"edge-{router}"].handle(AnswerBegan(parts))

    def exchange(self, seconds: float = STEP_S) -> int:
        """Let the routers write and read logs for some time; return the writes."""
        self.clock.advance(seconds)
        writes = 0
        for name, task in self.tasks.items():
            task.handle(CheckCrashLog())
            messages, self.writers[name].messages = self.writers[name].messages, []
            for ask in messages:
                writes += 1
                if self.store_answers:
                    self.stored[name] = encode_crash_log(ask.message.log)
                task.handle(CrashLogWritten(self.store_answers))
        for node, data in self.stored.items():
            for task in self.tasks.values():
                task.handle(CrashLogRead(node, decode_crash_log(data)))
        return writes

    def blocking(self, part: str) -> int:
        """Return the number of routers that block a part."""
        now = self.clock.monotonic()
        values = self.blocked.values()
        return sum(blocked.value.find((part,), now) == part for blocked in values)


@pytest.mark.parametrize("size", [1, 8, 78])
def test_part_that_crashes_servers_is_blocked_on_routers_that_reach_no_other(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(size, clock, events)
    for number in range(MAX_CRASHES):
        assert fleet.blocking(DEADLY) == 0
        fleet.answer(0, FIRST)
        fleet.crash(number % size, f"engine-{number}", FIRST, DEADLY)
        fleet.exchange()
        fleet.exchange()
    assert fleet.blocking(DEADLY) == size
    assert fleet.blocking(FIRST) == 0
    clock.advance(BLOCK_TTL_S)
    assert fleet.blocking(DEADLY) == 0


def test_parts_of_calls_that_crashed_beside_it_stay_allowed(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(8, clock, events)
    for number in range(2 * MAX_CRASHES_ANSWERED):
        fleet.crash(number % 8, f"engine-{number}", FIRST, DEADLY)
        for router in range(8):
            fleet.crash(router, f"engine-{number}", FIRST, SOUND)
        fleet.answer((number + 3) % 8, FIRST, SOUND)
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 8
    assert fleet.blocking(FIRST) == fleet.blocking(SOUND) == 0


def test_sound_part_that_comes_with_it_stays_allowed_by_an_answer_from_before(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(8, clock, events)
    fleet.answer(5, FIRST, SOUND)
    clock.advance(STEP_S)
    for number in range(MAX_CRASHES):
        fleet.crash(number, f"engine-{number}", FIRST, SOUND, DEADLY)
        fleet.exchange()
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 8
    assert fleet.blocking(SOUND) == fleet.blocking(FIRST) == 0


def test_of_parts_that_always_come_together_one_is_blocked(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(2, clock, events)
    for number in range(MAX_CRASHES):
        fleet.crash(0, f"engine-{number}", DEADLY, SOUND)
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 0 and fleet.blocking(SOUND) == 2
    # Without the other part, the next crash tells.
    fleet.crash(1, "engine-9", DEADLY)
    fleet.exchange()
    assert fleet.blocking(DEADLY) == 2


def test_part_that_was_answered_before_it_crashed_servers_is_blocked_later(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(2, clock, events)
    fleet.answer(0, DEADLY)
    clock.advance(STEP_S)
    for number in range(MAX_CRASHES_ANSWERED):
        assert fleet.blocking(DEADLY) == 0
        fleet.crash(1, f"engine-{number}", DEADLY)
        fleet.exchange()
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 2


def test_servers_that_crash_at_the_same_moment_block_nothing(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(8, clock, events)
    for router in range(8):
        for number in range(5):
            fleet.crash(router, f"engine-{number}", FIRST, f"{SOUND}-{number}")
    fleet.exchange()
    blocked = [value.value.blocked_until for value in fleet.blocked.values()]
    assert blocked == [{}] * 8


def test_server_that_breaks_connections_without_a_crash_blocks_nothing(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(2, clock, events)
    writes = 0
    for _ in range(10 * MAX_ENTRIES_PER_SERVER):
        fleet.crash(0, "engine-1", SOUND)
        writes += fleet.exchange()
    assert fleet.blocking(SOUND) == 0
    assert writes <= 2 * MAX_ENTRIES_PER_SERVER


def test_log_stays_small_whatever_parts_callers_name(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(1, clock, events)
    for number in range(2 * MAX_LOG_ENTRIES):
        parts = [f"{number}-{n}-{'x' * 40}" for n in range(1_000)]
        fleet.crash(0, f"engine-{number}", "y" * 10_000, *parts, DEADLY)
    fleet.exchange()
    fleet.crash(0, "engine-last", DEADLY)
    fleet.exchange()
    # The store takes values of up to a mebibyte, in base64.
    assert len(fleet.stored["edge-0"]) < 2**20 / 4
    assert fleet.blocking("y" * 10_000) == 0


def test_restarted_router_knows_the_blocked_parts(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(3, clock, events)
    for number in range(MAX_CRASHES):
        fleet.crash(number, f"engine-{number}", FIRST, DEADLY)
        fleet.exchange()
    for number in range(3):
        fleet.start(f"edge-{number}")
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 3
    # Its own new log is not taken for the old one.
    fleet.crash(1, "engine-7", SOUND)
    fleet.exchange()
    fleet.crash(0, "engine-8", SOUND)
    fleet.exchange()
    fleet.crash(2, "engine-9", SOUND)
    fleet.exchange()
    assert fleet.blocking(SOUND) == 3


def test_crashes_are_told_when_the_store_is_back(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(3, clock, events)
    fleet.store_answers = False
    for number in range(MAX_CRASHES):
        fleet.crash(number, f"engine-{number}", DEADLY)
        fleet.exchange()
    assert fleet.blocking(DEADLY) == 0
    fleet.store_answers = True
    fleet.exchange()
    assert fleet.blocking(DEADLY) == 3
    # Each tells once of the block, and then there is nothing to tell.
    assert fleet.exchange() == 3
    assert fleet.exchange() == 0


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(["crash", "answer", "victims"]),
            st.floats(0.05, 3.0),
        ),
        max_size=40,
    )
)
def test_part_without_answers_is_blocked_in_time_and_answered_ones_are_not(
    steps: list[tuple[int, str, float]],
) -> None:
    clock = ManualClock()
    fleet = Fleet(4, clock, EventLog("edge", clock))
    crashes = 0
    for number, (router, step, pause_s) in enumerate(steps):
        if step == "crash" and fleet.blocking(DEADLY) == 0:
            crashes += 1
            fleet.crash(router, f"engine-{number}", FIRST, SOUND, DEADLY)
        if step == "victims":
            fleet.crash(router, f"engine-{number}", FIRST, SOUND)
        fleet.exchange(pause_s)
        fleet.answer((router + 1) % 4, FIRST, SOUND)
        fleet.exchange(0.3)
        assert crashes <= MAX_CRASHES
        assert fleet.blocking(FIRST) == fleet.blocking(SOUND) == 0
        assert fleet.blocking(DEADLY) == (4 if crashes == MAX_CRASHES else 0)


class LogStore:
    """A store that gives prepared outcomes to writes, and one listing."""

    epoch = 1

    def __init__(self, *outcomes: Any, listing: Any = None) -> None:
        self.outcomes = list(outcomes)
        self.listing = listing
        self.leases = 0
        self.written: list[Any] = []

    def grant_lease(self, ttl_s: float) -> LeaseGranted:
        """Grant a new lease."""
        self.leases += 1
        return LeaseGranted(self.leases, ttl_s)

    def transact(self, expected: Any, *, puts: Any = (), removes: Any = ()) -> Any:
        """Keep the write and return the next outcome."""
        self.written += puts
        return self.outcomes.pop(0)

    def list(self, prefix: str) -> Any:
        """Return the listing."""
        return self.listing


def test_log_is_stored_under_a_new_lease_once_the_old_one_is_lost(
    clock: ManualClock, events: EventLog
) -> None:
    lost = StoreNoResponse("lost")
    store: Any = LogStore(Committed(1), lost, LeaseLost(), Committed(2))
    writer = CrashLogWriter("edge-1", store, clock, events)
    log = CrashLog("p")
    assert [writer.write(log) for _ in range(4)] == [True, False, False, True]
    assert [put.lease for put in store.written] == [1, 1, 1, 2]
    assert {put.key for put in store.written} == {CRASH_LOGS_PREFIX + "edge-1"}


def test_invalid_log_is_skipped(clock: ManualClock, events: EventLog) -> None:
    log = CrashLog(
        "p", (CrashLogEntry(1, CrashDuringCall("engine-1@5", (DEADLY,)), 0.5),)
    )
    items = (
        Item(CRASH_LOGS_PREFIX + "edge-1", b"no log", 1),
        Item(CRASH_LOGS_PREFIX + "edge-2", encode_crash_log(log), 2),
    )
    store: Any = LogStore(listing=Listing(items, 2))
    task: Any = Inbox()
    watch = CrashLogsWatch(store, task, LatestValue(8), StoreBounds, clock, events)
    assert watch.step()
    assert task.messages == [CrashLogRead("edge-2", log)]


def test_crash_that_is_confirmed_after_a_later_answer_counts_against_no_part(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(2, clock, events)
    for number in range(MAX_CRASHES_ANSWERED):
        clock.advance(STEP_S)
        fleet.answer(0, SOUND)
        fleet.crash_before(STEP_S / 2, 0, f"engine-{number}", SOUND)
        fleet.exchange()
    assert all(not each.value.blocked_until for each in fleet.blocked.values())


def test_crashes_count_at_the_time_of_their_connections_loss(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(1, clock, events)
    for number in range(MAX_CRASHES):
        # They become certain at the same moment.
        fleet.crash_before(STEP_S * number, 0, f"engine-{number}", DEADLY)
    assert DEADLY in fleet.blocked["edge-0"].value.blocked_until
