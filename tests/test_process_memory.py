"""The memory that the process really has bounds what connections may hold."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pykka
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors import connection_memory
from hawthornstage.actors.caller_listener import CallerListener
from hawthornstage.actors.connection_memory import ConnectionMemoryTask
from hawthornstage.actors.task import Ask
from hawthornstage.allocator import resident_bytes, return_freed_memory
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_limits import MIN_CONNECTIONS
from hawthornstage.decisions.connection_memory import Granted, MemoryAccount
from hawthornstage.decisions.process_memory import SHED_FRACTION, ProcessMemory
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.connection_memory import (
    CheckProcessMemory,
    GiveWay,
    MemoryDenied,
    MemoryGranted,
    RequestMemory,
)
from hawthornstage.observe.events import EventLog
from tests.draws_world import Inbox

HOST_BYTES = 100_000_000
POOL_BYTES = 20_000_000
BODY_BYTES = 1_000_000
OVER_BYTES = int(HOST_BYTES * SHED_FRACTION) + BODY_BYTES


@given(
    bodies=st.lists(st.integers(1, BODY_BYTES), max_size=8),
    answers=st.lists(st.integers(1, BODY_BYTES), max_size=4),
    excess=st.integers(1, 2 * POOL_BYTES),
    size=st.integers(1, BODY_BYTES),
)
def test_nothing_more_is_granted_while_the_process_has_too_much(
    bodies: list[int], answers: list[int], excess: int, size: int
) -> None:
    account = MemoryAccount(POOL_BYTES)
    for number, each in enumerate(bodies):
        account.request(f"body-{number}", each, float(number), caller="a")
    for number, each in enumerate(answers):
        account.request(f"answer-{number}", each, 0.0)
    asked = account.note_excess(excess)
    given_back = sum(account.holdings[each].size for each in asked)
    assert given_back >= min(excess, sum(bodies))
    assert account.note_excess(excess) == ()
    assert not isinstance(account.request("new", size, 9.0, caller="b"), Granted)
    account.note_excess(0)
    for each in asked:
        account.release(each)
    assert isinstance(account.request("new", size, 9.0, caller="b"), Granted)


@pytest.mark.parametrize(
    ("used", "trims", "excess"),
    [(70_000_000, False, 0), (80_000_000, True, 0), (90_000_000, True, 5_000_000)],
)
def test_memory_is_given_back_before_callers_give_way(
    used: int, trims: bool, excess: int
) -> None:
    memory = ProcessMemory(used, HOST_BYTES)
    assert (memory.should_trim, memory.excess_bytes) == (trims, excess)


def test_own_memory_is_read() -> None:
    before = resident_bytes()
    held = bytearray(b"z" * 50_000_000)
    during = resident_bytes()
    del held
    return_freed_memory()
    assert before is not None and during is not None
    assert during - before > 40_000_000


@pytest.fixture
def scarce() -> LatestValue[bool]:
    """Return whether memory is scarce."""
    return LatestValue(False)


@pytest.fixture
def used(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Return a function that sets the memory of the process."""

    def set_used(size: int) -> None:
        monkeypatch.setattr(connection_memory, "resident_bytes", lambda: size)

    return set_used


@pytest.fixture
def task(scarce: LatestValue[bool], events: EventLog) -> Iterator[pykka.ActorRef]:
    """Return the task that owns the memory of connections."""
    started = ConnectionMemoryTask.start(
        POOL_BYTES,
        scarce=scarce,
        host_bytes=lambda: HOST_BYTES,
        clock=Clock(),
        events=events,
    )
    yield started
    started.stop()


def ask_for(task: pykka.ActorRef, holder: str, interrupt: Any) -> Any:
    """Ask for the memory of a body and return the reply."""
    reply = Mailbox(Clock())
    task.tell(Ask(RequestMemory(holder, BODY_BYTES, "a", interrupt), reply))
    return reply.get(timeout=1.0)


# Guards against review/11: no account saw the memory that the process really had.
def test_bodies_give_way_to_what_no_account_sees(
    task: pykka.ActorRef, scarce: LatestValue[bool], used: Callable[[int], None]
) -> None:
    interrupt = Inbox()
    interrupt.put = interrupt.tell  # type: ignore[attr-defined]
    used(HOST_BYTES // 2)
    assert isinstance(ask_for(task, "first", interrupt), MemoryGranted)
    used(OVER_BYTES)
    task.tell(CheckProcessMemory())
    assert isinstance(ask_for(task, "second", interrupt), MemoryDenied)
    assert scarce.value
    assert interrupt.messages == [GiveWay()]
    used(HOST_BYTES // 2)
    task.tell(CheckProcessMemory())
    assert isinstance(ask_for(task, "third", interrupt), MemoryGranted)
    assert not scarce.value


def test_new_connection_replaces_another_while_memory_is_scarce() -> None:
    listener: Any = CallerListener.__new__(CallerListener)
    listener.max_connections = 512
    listener.memory_scarce = LatestValue(False)
    listener.connections = type("Connections", (), {"count": 100})
    assert listener.limit() == 512
    listener.memory_scarce.publish(True)
    assert listener.limit() == 100
    listener.connections.count = 0
    assert listener.limit() == MIN_CONNECTIONS
