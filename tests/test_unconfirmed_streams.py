"""Streams that begin in an outage of the store go on at their version only."""

from __future__ import annotations

from typing import Any

import pytest

from hawthornstage.actors.servers.process_checks import ProcessChecks
from hawthornstage.actors.servers.stream_versions import StreamVersionsTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.stream_holders import STREAM_LIFETIME_S, holders_to_tell
from hawthornstage.decisions.stream_versions import (
    VersionFound,
    VersionUnknown,
    resolve_version,
)
from hawthornstage.decisions.unconfirmed_streams import MAX_STREAMS, UnconfirmedStreams
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.stream_versions import (
    UNKNOWN_VERSION,
    ProcessReported,
    RequestStreamVersion,
    StreamBeganUnconfirmed,
    StreamVersionNoted,
    StreamVersionReply,
)
from hawthornstage.observe.events import EventLog
from tests.connection_pair import CallerPair
from tests.delivery_world import ScriptedServer, Tasks, server_at
from tests.draws_world import Inbox, Reply
from tests.test_server_process import (
    BROKEN_OFF,
    ReportingServer,
    deliver_by,
    report,
)
from tests.test_stream_versions import registered, server, told_ids

OTHERS = {name: f"ws://{name}" for name in "bcd"}
SERVER = server("i-1", "v1")


class World:
    """The task that owns the streams of one router, among others that are old."""

    def __init__(self, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.peers, self.checks = Inbox(), Inbox()
        self.confirmed: LatestValue[Any] = LatestValue({})
        self.task: Any = StreamVersionsTask(
            self.peers, self.checks, self.confirmed, clock=clock, events=events
        )
        self.task.handle(KnownRouters(OTHERS))
        self.task.handle(registered(SERVER))
        clock.advance(STREAM_LIFETIME_S)

    def begin(self, call_id: str) -> None:
        """Let a stream begin at a server that may have started again."""
        self.task.handle(StreamBeganUnconfirmed(call_id, "models", SERVER))

    def hear(self, *, confirmed: bool) -> None:
        """Let the server's report arrive, which was asked for just now."""
        now = self.clock.monotonic()
        self.checks.messages.clear()
        self.task.handle(ProcessReported(SERVER.incarnation, confirmed, now))

    def noted(self, call_id: str) -> tuple[str, ...]:
        """Return what other routers are told that ask for a stream."""
        reply = Reply()
        self.task.handle(Ask(RequestStreamVersion(call_id, "models"), reply))
        return reply.value.noted


@pytest.fixture
def world(clock: ManualClock, events: EventLog) -> World:
    """Return the task of a router."""
    return World(clock, events)


def test_stream_is_not_continued_whose_server_was_another_process(
    world: World,
) -> None:
    """Guards: others concluded the only version in their lists, without a note."""
    world.begin("s1")
    assert world.noted("s1") == (UNKNOWN_VERSION,)
    assert [each.message for each in world.checks.messages] == [SERVER]
    world.hear(confirmed=False)
    assert told_ids(world.peers) == ["s1", "s1"]
    assert {each.message.version for each in world.peers.messages} == {UNKNOWN_VERSION}
    # Its holders are told again like those of other streams.
    holder = holders_to_tell("s1", OTHERS)[0]
    world.peers.messages.clear()
    world.task.handle(KnownRouters({**OTHERS, holder: "ws://second"}))
    assert [each.node for each in world.peers.messages] == [holder]


def test_stream_is_certain_once_its_server_says_that_it_is_the_same_process(
    world: World,
) -> None:
    world.begin("s1")
    world.clock.advance(0.1)
    world.hear(confirmed=True)
    assert world.noted("s1") == ("v1",)
    # Others can conclude that.
    assert world.peers.messages == []
    assert world.confirmed.value == {SERVER.incarnation: world.clock.monotonic()}


def test_later_report_confirms_what_an_earlier_one_did_not(world: World) -> None:
    world.begin("s1")
    world.hear(confirmed=False)
    world.clock.advance(1.0)
    world.begin("s2")
    world.hear(confirmed=True)
    assert world.noted("s1") == world.noted("s2") == ("v1",)


def test_report_says_nothing_of_streams_that_began_after_it_was_asked_for(
    world: World,
) -> None:
    world.begin("s1")
    asked_at = world.clock.monotonic()
    world.clock.advance(0.1)
    world.begin("s2")
    # One report at a time is asked for.
    assert len(world.checks.messages) == 1
    world.task.handle(ProcessReported(SERVER.incarnation, True, asked_at))
    assert (world.noted("s1"), world.noted("s2")) == (("v1",), (UNKNOWN_VERSION,))
    assert len(world.checks.messages) == 2


def test_certain_version_replaces_an_unknown_one_at_a_holder(world: World) -> None:
    for version in (UNKNOWN_VERSION, "v1", UNKNOWN_VERSION):
        noted = StreamVersionNoted("s1", "models", version)
        world.task.handle(Ask(noted, Reply()))
    assert world.noted("s1") == ("v1",)


@pytest.mark.parametrize(
    ("noted", "version"),
    [((UNKNOWN_VERSION,), None), ((UNKNOWN_VERSION, "v1"), "v1"), ((), "v1")],
)
def test_unknown_version_is_not_concluded_from_the_only_one_in_the_lists(
    noted: tuple[str, ...], version: str | None
) -> None:
    own = StreamVersionReply((), ("v1",), True)
    decision = resolve_version(
        own, [StreamVersionReply(noted, ("v1",), True)], alone=False
    )
    expected = VersionUnknown() if version is None else VersionFound(version)
    assert decision == expected


def test_unconfirmed_streams_are_bounded_and_forgotten() -> None:
    streams = UnconfirmedStreams()
    for number in range(MAX_STREAMS + 10):
        streams.add(("models", f"s{number}"), SERVER, 0.0)
    assert len(streams.servers[SERVER.incarnation].streams) == MAX_STREAMS
    streams.add(("models", "later"), SERVER, STREAM_LIFETIME_S)
    assert list(streams.servers[SERVER.incarnation].streams) == [("models", "later")]


def test_stream_that_begins_in_an_outage_is_told_as_unconfirmed(
    pair: CallerPair,
) -> None:
    tasks = Tasks([ScriptedServer([BROKEN_OFF]).start()])
    deliver_by(tasks, pair, None, False)
    told = [each for each in tasks.told if isinstance(each, StreamBeganUnconfirmed)]
    assert [each.server for each in told] == list(
        tasks.registered.value.servers.values()
    )


def test_stream_goes_on_that_began_on_a_connection_to_a_confirmed_process(
    pair: CallerPair,
) -> None:
    second = ReportingServer(report(1))
    tasks = Tasks([ScriptedServer([BROKEN_OFF]).start(), second.start()])
    (first, _) = tasks.registered.value.servers.values()
    # The clock of the call stands at 10 s.
    tasks.processes_confirmed.publish({first.incarnation: 10.5})
    delivery = deliver_by(tasks, pair, None, False)
    assert delivery.stream_version == first.version
    assert any(isinstance(each, StreamVersionNoted) for each in tasks.told)
    assert len(second.calls) == 1


@pytest.mark.parametrize(
    ("says", "confirmed"), [(report(1), True), (report(2), False), (None, False)]
)
def test_server_is_asked_which_process_it_is(
    says: bytes | None, confirmed: bool, events: EventLog
) -> None:
    reporting = ReportingServer(says)
    asked = server_at(reporting.start())
    checks: Any = ProcessChecks(ConfirmProcess(Clock(), events), Clock())
    reply = Reply()
    checks.handle(Ask(asked, reply))
    assert (reply.value.incarnation, reply.value.confirmed) == (
        asked.incarnation,
        confirmed,
    )
