"""Calls that crash servers are blocked on all routers, whatever their number."""

from __future__ import annotations

from typing import Any

import pytest

from hawthornstage.actors.server_failures import CheckCallAllowed, ServerFailuresTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.server_failures import MAX_SERVER_FAILURES
from hawthornstage.messages.fleet import KnownRouters, ServerFailedDuringCall
from hawthornstage.observe.events import EventLog
from tests.draws_world import Inbox, Reply


class Fleet:
    """Routers' tasks that count server failures, and the messages between them."""

    def __init__(self, size: int, clock: ManualClock, events: EventLog) -> None:
        self.names = [f"edge-{number}" for number in range(size)]
        self.inboxes = {name: Inbox() for name in self.names}
        self.tasks: dict[str, Any] = {}
        for name in self.names:
            peers: Any = self.inboxes[name]
            task = self.tasks[name] = ServerFailuresTask(name, peers, clock, events)
            others = {other: "" for other in self.names if other != name}
            task.handle(KnownRouters(others))

    def fail(self, router: str, server: str) -> None:
        """Let a server fail during the call on a router."""
        self.tasks[router].handle(ServerFailedDuringCall("call", server))

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
        allowing = []
        for name, task in self.tasks.items():
            reply = Reply()
            task.handle(Ask(CheckCallAllowed("call"), reply))
            if reply.value:
                allowing.append(name)
        return allowing


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


def test_one_failure_is_told_to_few_routers(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(195, clock, events)
    fleet.fail("edge-7", "engine-1")
    assert fleet.deliver() <= 4
