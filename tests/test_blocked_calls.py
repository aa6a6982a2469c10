"""Calls that crash servers are blocked on all routers, whatever their number."""

from __future__ import annotations

from typing import Any

import pytest

from hawthornstage.actors.servers.failures import CallAnswered, ServerFailuresTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.server_failures import (
    ANSWER_TTL_S,
    FAILURE_TTL_S,
    MAX_SERVER_FAILURES,
    BlockedCalls,
    ServerFailures,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters, ServerFailedDuringCall
from hawthornstage.observe.events import EventLog
from tests.draws_world import Inbox


class Fleet:
    """Routers' tasks that count server failures, and the messages between them."""

    def __init__(self, size: int, clock: ManualClock, events: EventLog) -> None:
        self.names = [f"edge-{number}" for number in range(size)]
        self.inboxes = {name: Inbox() for name in self.names}
        self.tasks: dict[str, Any] = {}
        self.blocked: dict[str, LatestValue[BlockedCalls]] = {}
        self.clock = clock
        for name in self.names:
            peers: Any = self.inboxes[name]
            blocked = self.blocked[name] = LatestValue(BlockedCalls())
            task = self.tasks[name] = ServerFailuresTask(
                name, blocked, peers, clock=clock, events=events
            )
            others = {other: "" for other in self.names if other != name}
            task.handle(KnownRouters(others))

    def restart(self, name: str) -> None:
        """Start a router again under its name, which the others notice."""
        self.tasks[name].failures = ServerFailures()
        self.blocked[name].publish(BlockedCalls())
        for other in self.names:
            if other != name:
                others = {each: "" for each in self.names if each != other}
                url = process_address(name, 81, "second")
                self.tasks[other].handle(KnownRouters({**others, name: url}))

    def fail(self, router: str, server: str) -> None:
        """Let a server fail during the call on a router."""
        self.tasks[router].handle(ServerFailedDuringCall("call", server))

    def answer(self, router: str) -> None:
        """Let a server answer the call on a router."""
        self.tasks[router].handle(CallAnswered("call"))

    def deliver(self) -> int:
        """Deliver messages until none is left; return their number."""
        delivered = 0
        while any(inbox.messages for inbox in self.inboxes.values()):
            for inbox in self.inboxes.values():
                messages, inbox.messages = inbox.messages, []
                for send in messages:
                    self.tasks[send.node].handle(Ask(send.message, send.reply_to))
                delivered += len(messages)
        return delivered

    def allowing(self) -> list[str]:
        """Return the routers that would send the call."""
        now = self.clock.monotonic()
        return [
            name
            for name, blocked in self.blocked.items()
            if not blocked.value.is_blocked("call", now)
        ]


@pytest.mark.parametrize("size", [1, 8, 24, 195])
def test_call_is_blocked_everywhere_after_failures_on_different_routers(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(size, clock, events)
    for number in range(MAX_SERVER_FAILURES):
        assert fleet.allowing() == fleet.names
        fleet.fail(fleet.names[-1 - number % size], f"engine-{number}")
        fleet.deliver()
    assert fleet.allowing() == []
    clock.advance(FAILURE_TTL_S)
    assert fleet.allowing() == fleet.names


def test_one_failure_is_told_to_few_routers(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(195, clock, events)
    fleet.fail("edge-7", "engine-1")
    assert fleet.deliver() <= 4


def test_sound_call_of_many_callers_is_not_blocked_by_crashes_under_it(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(8, clock, events)
    for number in range(MAX_SERVER_FAILURES + 1):
        for name in fleet.names:
            fleet.answer(name)
        clock.advance(ANSWER_TTL_S / 2)
        fleet.fail(fleet.names[number], f"engine-{number}")
        fleet.deliver()
    assert fleet.allowing() == fleet.names


def test_block_is_not_adopted_by_a_router_that_got_an_answer(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(8, clock, events)
    fleet.answer("edge-0")
    for number in range(MAX_SERVER_FAILURES):
        fleet.fail("edge-7", f"engine-{number}")
    fleet.deliver()
    assert fleet.allowing() == ["edge-0"]
    clock.advance(ANSWER_TTL_S)
    for number in range(MAX_SERVER_FAILURES):
        fleet.fail("edge-0", f"engine-{number}")
    assert fleet.allowing() == []


@pytest.mark.parametrize("size", [2, 8, 24, 195])
def test_call_is_blocked_at_a_router_that_is_back_under_its_name(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    """Guards: a restarted router sends a call that crashes servers, which all know."""
    fleet = Fleet(size, clock, events)
    for number in range(MAX_SERVER_FAILURES):
        fleet.fail("edge-0", f"engine-{number}")
    fleet.deliver()
    clock.advance(FAILURE_TTL_S / 2)
    fleet.restart("edge-1")
    fleet.deliver()
    assert fleet.allowing() == []
    # It is blocked there no longer than elsewhere, however often routers start again.
    clock.advance(FAILURE_TTL_S / 2)
    assert fleet.allowing() == fleet.names
    fleet.restart("edge-1")
    assert fleet.deliver() == 0
