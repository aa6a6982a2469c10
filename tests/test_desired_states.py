"""How the desired state spreads from the store and between routers."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hawthornstage.actors.desired_states import (
    FETCH_TIMEOUT_S,
    STORE_HEAD_START_S,
    DesiredStateReceived,
    DesiredStateTask,
    DesiredStateWatch,
    FetchNewerVersion,
    SendVersion,
)
from hawthornstage.actors.task import Ask
from hawthornstage.border.compression import MAX_DOCUMENT_BYTES, compress
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.peer_links import MAX_NEIGHBOURS
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import (
    CompressedStateOffered,
    DesiredStateHeartbeat,
    KnownRouters,
    RequestCompressedState,
)
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.store import (
    Changes,
    Item,
    ItemsChanged,
    ItemsListed,
    Listing,
    Removal,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.desired_state import DESIRED_STATE_KEY
from tests.draws_world import Inbox, Reply
from tests.scripted_store import ScriptedStore


def document(version: int) -> bytes:
    """Return an encoded desired state."""
    state: dict[str, Any] = {"version": version, "routes": [], "services": []}
    return json.dumps(state).encode()


class Fleet:
    """Routers' tasks that own the desired state, and the messages between them."""

    def __init__(self, size: int, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.names = [f"edge-{number}" for number in range(size)]
        self.inboxes = {name: Inbox() for name in self.names}
        self.tasks: dict[str, Any] = {}
        for name in self.names:
            peers: Any = self.inboxes[name]
            task = self.tasks[name] = DesiredStateTask(
                name,
                LatestValue(None),
                peers=peers,
                subscribers=(),
                clock=clock,
                events=events,
            )
            task.handle(KnownRouters({n: "" for n in self.names if n != name}))
        self.fetched: list[str] = []

    def restart(self, name: str) -> None:
        """Start a router again under its name, which the others notice."""
        peers: Any = self.inboxes[name]
        task = self.tasks[name]
        self.tasks[name] = DesiredStateTask(
            name,
            LatestValue(None),
            peers=peers,
            subscribers=(),
            clock=self.clock,
            events=task.events,
        )
        for other in self.names:
            known = {each: "" for each in self.names if each != other}
            if other != name:
                known[name] = process_address(name, 81, "second")
            self.tasks[other].handle(KnownRouters(known))

    def from_store(self, name: str, version: int) -> None:
        """Let the store deliver a version to a router."""
        self.tasks[name].handle(DesiredStateReceived(document(version), "store"))

    def deliver(self) -> None:
        """Deliver messages until none is left."""
        while any(inbox.messages for inbox in self.inboxes.values()):
            for name, inbox in self.inboxes.items():
                messages, inbox.messages = inbox.messages, []
                for send in messages:
                    if isinstance(send.message, RequestCompressedState):
                        self.fetched.append(name)
                    reply = Reply()
                    self.tasks[send.node].handle(Ask(send.message, reply))
                    self.tasks[name].handle(reply.value)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, with the periodic messages."""
        for quarter in range(int(seconds * 4)):
            self.clock.advance(0.25)
            for task in self.tasks.values():
                task.handle(FetchNewerVersion())
                if quarter % 4 == 3:
                    task.handle(SendVersion())
            self.deliver()

    def versions(self) -> set[int]:
        """Return the versions in use."""
        states = (task.in_use.value for task in self.tasks.values())
        return {state.version if state else 0 for state in states}


def test_version_that_the_store_delivers_is_fetched_from_no_router(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(24, clock, events)
    for name in fleet.names:
        fleet.from_store(name, 5)
        fleet.deliver()
        clock.advance(STORE_HEAD_START_S / 24)
    fleet.pass_time(5.0)
    assert fleet.versions() == {5}
    assert fleet.fetched == []


@pytest.mark.parametrize("size", [2, 8, 24, 195])
def test_router_that_is_back_under_its_name_gets_the_version_at_once(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    """Guards: a restarted router without the store waits until its turn comes."""
    fleet = Fleet(size, clock, events)
    for name in fleet.names:
        fleet.from_store(name, 5)
    fleet.deliver()
    fleet.restart("edge-1")
    fleet.deliver()
    fleet.pass_time(STORE_HEAD_START_S + 0.25)
    assert fleet.versions() == {5}


@pytest.mark.parametrize("size", [2, 24, 195])
def test_routers_without_the_store_get_the_version_soon(
    size: int, clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(size, clock, events)
    fleet.from_store("edge-0", 5)
    fleet.deliver()
    # The shortest bound for such routers: 2 s, and 5 s more while the store is away.
    fleet.pass_time(7.0)
    assert fleet.versions() == {5}
    # Each fetched the document once.
    assert sorted(fleet.fetched) == sorted(fleet.names[1:])


def test_document_is_fetched_from_one_router_at_a_time(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(24, clock, events)
    task, inbox = fleet.tasks["edge-3"], fleet.inboxes["edge-3"]
    for number in range(10, 10 + MAX_NEIGHBOURS):
        heartbeat = DesiredStateHeartbeat(f"edge-{number}", 5)
        task.handle(Ask(heartbeat, Reply()))
    clock.advance(STORE_HEAD_START_S)
    for _ in range(4):
        task.handle(FetchNewerVersion())
    requests = [
        m for m in inbox.messages if isinstance(m.message, RequestCompressedState)
    ]
    assert len(requests) == 1
    clock.advance(FETCH_TIMEOUT_S)
    task.handle(FetchNewerVersion())
    requests = [
        m for m in inbox.messages if isinstance(m.message, RequestCompressedState)
    ]
    assert len(requests) == 2


def test_broken_compressed_document_is_refused(
    clock: ManualClock, events: EventLog
) -> None:
    fleet = Fleet(1, clock, events)
    fleet.from_store("edge-0", 5)
    whole = compress(document(9))
    bomb = compress(b" " * (MAX_DOCUMENT_BYTES + 1))
    for data in (b"no", whole[:-5], bomb, compress(b"{")):
        fleet.tasks["edge-0"].handle(CompressedStateOffered(data))
    assert fleet.versions() == {5}
    fleet.tasks["edge-0"].handle(CompressedStateOffered(whole))
    assert fleet.versions() == {9}


def test_one_watch_serves_the_desired_state_and_the_operators_other_keys(
    clock: ManualClock, events: EventLog
) -> None:
    state = Item(DESIRED_STATE_KEY, document(3), 5)
    other = Item("op/other/a", b"{}", 6)
    gone = Removal("op/other/a", 7)
    store: Any = ScriptedStore(Listing((state, other), 6), Changes((gone,), 7))
    task: Any = Inbox()
    follower: Any = Inbox()
    watch = DesiredStateWatch(
        store, task, StoreBounds, clock, events, followers=(follower,)
    )
    watch.step()
    watch.step()
    assert task.messages == [DesiredStateReceived(document(3), "store")]
    assert follower.messages == [
        ItemsListed((state, other), store.epoch, 6),
        ItemsChanged((gone,), store.epoch, 7),
    ]
