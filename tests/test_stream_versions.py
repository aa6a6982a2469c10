"""A stream goes on only at servers of the version that began it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.stream_versions import StreamVersionsTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.server_selection import ServerSelector
from hawthornstage.decisions.stream_holders import (
    HOLDERS_PER_STREAM,
    MAX_SUBSTITUTES,
    STREAM_LIFETIME_S,
    holders_to_ask,
    holders_to_tell,
)
from hawthornstage.decisions.stream_versions import (
    NOTE_LIFETIME_S,
    StreamNotes,
    VersionFound,
    VersionHistory,
    VersionUnknown,
    resolve_version,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters import stream_version
from hawthornstage.filters.stream_version import ResolveStreamVersion
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import MAX_ID_LENGTH
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.forward import ForwardExchange
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerChosen,
)
from hawthornstage.messages.stream_versions import (
    FindStreamVersion,
    HandOverStreams,
    RequestStreamVersion,
    StreamVersionNoted,
    StreamVersionReply,
    StreamVersionSources,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.server_entries import decode_entry
from tests.conftest import StartFleet
from tests.delivery_world import exchange_for
from tests.draws_world import Inbox, Reply
from tests.test_forwarding import make_call
from tools.fleet import RESUMABLE_PATH, Fleet

SERVERS = ("models-1", "models-2", "models-3", "models-4")
# A route of the test document whose streams may be resumed.
RESUMABLE_TARGET = "/letters/long/x"


def versions_that_ran(fleet: Fleet, *request_ids: str) -> set[str]:
    """Return the versions of the servers that ran some calls."""
    found = set()
    for number, name in enumerate(SERVERS, start=1):
        ran = fleet.control(name, "behave", {})["runs"]
        if any(each in ran for each in request_ids):
            found.add(fleet.versions[number % len(fleet.versions)])
    return found


def test_stream_stays_at_one_version_after_servers_broke_it_off(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, servers=4, versions=("v1", "v2"))
    for name in SERVERS:
        fleet.control(name, "behave", {"break_after": 2})
    for number in range(10):
        name = f"s{number}"
        answer = fleet.call("edge-1", RESUMABLE_PATH, name, tokens=(10, 6))
        assert len(versions_that_ran(fleet, name)) == 1
        assert (answer.complete, answer.body.count(b"\n\n")) == (True, 6)


def test_stream_stays_at_one_version_when_its_caller_takes_it_up_elsewhere(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=3, servers=4, versions=("v1", "v2"))
    for name in SERVERS:
        fleet.control(name, "behave", {"event_s": 0.05})
    for number in range(10):
        first, second = f"a{number}", f"b{number}"
        fleet.call("edge-1", RESUMABLE_PATH, first, tokens=(10, 6), most_events=2)
        node = fleet.names[1 + number % 2]
        if number == 9:
            fleet.processes["edge-1"].kill()
        answer = fleet.call(
            node, RESUMABLE_PATH, second, tokens=(10, 6), resumes=(first, 2)
        )
        assert len(versions_that_ran(fleet, first, second)) == 1
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body.startswith(b"id: 3\n")


def server(name: str, version: str, service: str = "models") -> BackendServer:
    """Return a registered server."""
    return BackendServer(name, service, "h", 1, "z", 8, False, 1, version)


def registered(*servers: BackendServer) -> RegisteredServers:
    """Return servers as the registry publishes them."""
    return RegisteredServers({each.id: each for each in servers})


def reply(
    *noted: str, recent: tuple[str, ...] = (), complete: bool = True
) -> StreamVersionReply:
    """Return what a router knows."""
    return StreamVersionReply(noted, recent, complete)


BOTH = ("v1", "v2")


@pytest.mark.parametrize(
    ("own", "others", "version"),
    [
        (reply("v1", recent=BOTH), [], "v1"),
        (reply(recent=BOTH), [reply("v2", recent=BOTH)], "v2"),
        (reply(recent=BOTH), [reply(recent=BOTH)], None),
        (reply(recent=("v1",)), [reply(recent=("v1",))], "v1"),
        (reply(recent=("v1",)), [reply(recent=BOTH)], None),
        (reply(recent=("v1",)), [], None),
        (reply(recent=("v1",), complete=False), [reply(recent=("v1",))], "v1"),
        (
            reply(recent=("v1",), complete=False),
            [reply(recent=("v1",), complete=False)],
            None,
        ),
        (reply(recent=BOTH), [reply("v1"), reply("v2")], None),
        (reply("", recent=("", "v2")), [], None),
        (reply(recent=("",)), [reply(recent=("",))], ""),
        (reply(), [reply()], None),
    ],
    ids=[
        "noted here",
        "noted elsewhere",
        "noted nowhere",
        "only one version",
        "another router knows of a second one",
        "no other router replies",
        "started, but another router did not",
        "all routers started",
        "notes contradict",
        "unnamed beside others",
        "all unnamed",
        "no servers known",
    ],
)
def test_version_is_concluded_only_from_what_shows_it(
    own: StreamVersionReply, others: list[StreamVersionReply], version: str | None
) -> None:
    decision = resolve_version(own, others, alone=False)
    expected = VersionUnknown() if version is None else VersionFound(version)
    assert decision == expected


def test_lone_router_knows_the_only_version() -> None:
    own = reply(recent=("v1",))
    assert resolve_version(own, (), alone=True) == VersionFound("v1")


def test_version_that_left_counts_for_as_long_as_its_streams_may_go_on() -> None:
    history = VersionHistory()
    history.update([server("a", "v1"), server("b", "v2")], 0.0)
    assert not history.is_uniform("models", STREAM_LIFETIME_S)
    history.update([server("b", "v2")], 100.0)
    assert history.recent("models", 100.0 + STREAM_LIFETIME_S - 0.1) == BOTH
    assert history.is_uniform("models", 100.0 + STREAM_LIFETIME_S)
    assert not VersionHistory().is_complete("models", 1_000.0)


def test_notes_are_bounded_and_forgotten() -> None:
    notes = StreamNotes()
    long_id = "x" * (MAX_ID_LENGTH + 1)
    notes.add("models", long_id, "v1", 0.0, own=True)
    assert notes.find("models", long_id) == ("v1",)
    assert notes.find("desk", long_id) == ()
    notes.add("models", "later", "v2", NOTE_LIFETIME_S, own=False)
    assert notes.find("models", long_id) == ()
    assert notes.find("models", "later") == ("v2",)
    assert notes.own_streams("models") == []


ROUTERS = tuple(f"r{number}" for number in range(8))


@pytest.mark.parametrize("number", range(20))
def test_every_router_asks_those_that_were_told(number: int) -> None:
    call_id = f"call-{number}"
    for owner in ROUTERS:
        told = set(holders_to_tell(call_id, set(ROUTERS) - {owner}))
        assert len(told) == HOLDERS_PER_STREAM
        for node in set(ROUTERS) - {owner}:
            asked = set(holders_to_ask(call_id, set(ROUTERS) - {node}))
            assert told - {node} <= asked


def make_task(clock: ManualClock, events: EventLog) -> tuple[Any, Inbox]:
    """Return a task that knows three other routers, and what it sends."""
    peers = Inbox()
    task: Any = StreamVersionsTask(
        peers, Inbox(), LatestValue({}), clock=clock, events=events
    )
    task.handle(KnownRouters({"b": "ws://b", "c": "ws://c", "d": "ws://d"}))
    return task, peers


def test_routers_are_told_of_running_streams_once_versions_differ(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events)
    task.handle(registered(server("a", "v1")))
    clock.advance(STREAM_LIFETIME_S)
    task.handle(StreamVersionNoted("s1", "models", "v1"))
    assert peers.messages == []
    task.handle(registered(server("a", "v1"), server("b", "v2")))
    note = StreamVersionNoted("s1", "models", "v1")
    assert [each.message for each in peers.messages] == [note, note]
    task.handle(StreamVersionNoted("s2", "models", "v2"))
    assert peers.messages[-1].message == StreamVersionNoted("s2", "models", "v2")


def test_router_that_started_tells_of_its_streams(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events)
    task.handle(registered(server("a", "v1")))
    task.handle(StreamVersionNoted("s1", "models", "v1"))
    assert len(peers.messages) == HOLDERS_PER_STREAM


def test_router_that_stops_hands_its_streams_over(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events)
    task.handle(registered(server("a", "v1")))
    task.handle(Ask(StreamVersionNoted("old", "models", "v1"), Reply()))
    clock.advance(STREAM_LIFETIME_S)
    task.handle(Ask(StreamVersionNoted("told", "models", "v1"), Reply()))
    task.handle(StreamVersionNoted("own", "models", "v1"))
    assert peers.messages == []
    task.handle(HandOverStreams())
    assert told_ids(peers) == ["told", "told", "own", "own"]
    peers.messages.clear()
    # It still serves for a while, and others come back that were stopped before.
    task.handle(StreamVersionNoted("later", "models", "v1"))
    assert told_ids(peers) == ["later", "later"]
    peers.messages.clear()
    task.handle(KnownRouters({"e": "ws://e"}))
    assert set(told_ids(peers)) == {"told", "own", "later"}
    assert {each.node for each in peers.messages} == {"e"}


def test_routers_are_told_of_streams_while_all_of_them_are_young(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_task(clock, events)
    task.handle(registered(server("a", "v1")))
    clock.advance(STREAM_LIFETIME_S)
    task.handle(KnownRouters({"b": "ws://b", "e": "ws://e"}))
    task.handle(StreamVersionNoted("s1", "models", "v1"))
    assert peers.messages == []
    # The last one that could conclude the version is gone.
    task.handle(KnownRouters({"e": "ws://e", "f": "ws://f"}))
    assert told_ids(peers) == ["s1", "s1"]
    task.handle(StreamVersionNoted("s2", "models", "v1"))
    assert told_ids(peers)[2:] == ["s2", "s2"]
    clock.advance(STREAM_LIFETIME_S)
    peers.messages.clear()
    task.handle(StreamVersionNoted("s3", "models", "v1"))
    assert peers.messages == []


def told_ids(peers: Inbox) -> list[str]:
    """Return the ids of the streams that other routers were told of."""
    return [each.message.call_id for each in peers.messages]


def test_noted_version_is_told_to_who_asks(
    clock: ManualClock, events: EventLog
) -> None:
    task, _ = make_task(clock, events)
    task.handle(Ask(StreamVersionNoted("s1", "models", "v1"), Reply()))
    answer = Reply()
    task.handle(Ask(RequestStreamVersion("s1", "models"), answer))
    assert answer.value == StreamVersionReply(("v1",), (), False)


class Routers:
    """Stands for this router's task and for other routers that reply as prepared."""

    def __init__(self, own: StreamVersionReply, others: dict[str, list[Any]]) -> None:
        self.own = own
        self.others = others

    def tell(self, message: Any) -> None:
        """Reply to a message."""
        match message:
            case Ask(message=FindStreamVersion(), reply_to=reply_to):
                reply_to.put(StreamVersionSources(self.own, tuple(self.others)))
            case Send(node, _, reply_to):
                replies = self.others[node]
                reply_to.put(replies.pop(0) if len(replies) > 1 else replies[0])


def resolve(
    routers: Any, monkeypatch: pytest.MonkeyPatch, **headers: str
) -> ForwardExchange | Failure:
    """Pass a call through the filter, on a clock whose pauses pass at once."""
    clock = ManualClock()
    monkeypatch.setattr(stream_version, "sleep", lambda _, seconds: None)
    each = ResolveStreamVersion(routers, routers, clock, EventLog("a", clock))
    call = make_call(RESUMABLE_TARGET, **headers)
    return each.apply(replace(exchange_for(RESUMABLE_TARGET), call=call))


AWAY = PeerUnreachable("b", "no connection")


def test_router_that_was_unreachable_is_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    routers = Routers(reply(recent=BOTH), {"b": [AWAY, reply("v2", recent=BOTH)]})
    exchange = resolve(routers, monkeypatch, resumes="s1", last_event_id="3")
    assert isinstance(exchange, ForwardExchange)
    assert exchange.stream_version == "v2"


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (AWAY, ErrorKind.STREAM_VERSION_UNKNOWN),
        (reply(recent=BOTH), ErrorKind.STREAM_NOT_RESUMABLE),
    ],
)
def test_stream_of_an_unknown_version_is_refused(
    answer: Any, kind: ErrorKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    routers = Routers(reply(recent=BOTH), {"b": [answer]})
    failure = resolve(routers, monkeypatch, resumes="s1", last_event_id="3")
    assert isinstance(failure, Failure)
    assert failure.kind is kind


def test_new_stream_may_begin_at_any_version(monkeypatch: pytest.MonkeyPatch) -> None:
    exchange = resolve(Routers(reply(), {}), monkeypatch)
    assert isinstance(exchange, ForwardExchange)
    assert exchange.stream_version is None


def choose(
    servers: RegisteredServers, version: str | None, *excluded: str
) -> ServerChosen | NoServerAvailable:
    """Choose a server for a call that needs a version."""
    selector = ServerSelector("z")
    selector.replace_servers(servers)
    want = RequestServer(
        "c", "models", None, frozenset(excluded), False, version=version
    )
    return selector.choose(want, 10, 0.0)


def test_choice_keeps_to_the_version() -> None:
    servers = registered(server("a", "v1"), server("b", "v2"), server("c", "v2"))
    choice = choose(servers, "v1")
    assert isinstance(choice, ServerChosen)
    assert choice.server.id == "a"
    attempted = choose(servers, "v1", "a")
    assert isinstance(attempted, NoServerAvailable)
    assert not attempted.version_gone


@pytest.mark.parametrize("version", ["v0", ""])
def test_version_without_a_server_is_told(version: str) -> None:
    outcome = choose(registered(server("a", "v1"), server("b", "")), version)
    assert isinstance(outcome, NoServerAvailable)
    assert outcome.version_gone


def test_servers_that_all_name_no_version_go_on_with_each_others_streams() -> None:
    choice = choose(registered(server("a", ""), server("b", "")), "", "a")
    assert isinstance(choice, ServerChosen)


@pytest.mark.parametrize(
    ("field", "length"),
    [
        (b"", 0),
        (b', "version": "v1.2"', 4),
        (b', "version": ""', 0),
        (b', "version": "' + b"9" * 5000 + b'"', 32),
        (b', "version": "\\u00e9"', 32),
        (b', "version": "\\ud800"', 32),
    ],
)
def test_version_of_an_entry_is_an_opaque_text(field: bytes, length: int) -> None:
    start = b'{"service": "s", "address": "10.0.0.1:80", "state": "ready"'
    entry = decode_entry("servers/i-1", start + field + b"}")
    assert isinstance(entry, BackendServer)
    assert len(entry.version) == length


@pytest.mark.parametrize("value", [b"4", b"null", b'["v1"]'])
def test_entry_with_a_version_that_is_no_text_names_no_server(value: bytes) -> None:
    start = b'{"service": "s", "address": "10.0.0.1:80", "state": "ready"'
    entry = decode_entry("servers/i-1", start + b', "version": ' + value + b"}")
    assert isinstance(entry, str)


def address(node: str, process: str) -> str:
    """Return the address of one process of a router."""
    return process_address(node, 81, process)


# Three other routers, the first of which has started again.
SETTLED = {node: address(node, "first") for node in "bcd"}
RESTARTED = {**SETTLED, "b": address("b", "second")}


def restarted(*names: str) -> dict[str, str]:
    """Return the other routers after some of them have started again."""
    return {**SETTLED, **{name: address(name, "second") for name in names}}


def calls_held_by(name: str, count: int = 3) -> list[str]:
    """Return ids of calls among whose holders is a router."""
    ids = [f"call-{number}" for number in range(100)]
    return [each for each in ids if name in holders_to_tell(each, SETTLED)][:count]


def told_nodes(peers: Inbox, call_id: str) -> list[str]:
    """Return the routers that were told of a stream, and forget what was sent."""
    sent, peers.messages = peers.messages, []
    return sorted(each.node for each in sent if each.message.call_id == call_id)


def make_settled_task(clock: ManualClock, events: EventLog) -> tuple[Any, Inbox]:
    """Return a task whose history is complete, among routers that are old."""
    peers = Inbox()
    task: Any = StreamVersionsTask(
        peers, Inbox(), LatestValue({}), clock=clock, events=events
    )
    task.handle(KnownRouters(SETTLED))
    task.handle(registered(server("a", "v1")))
    clock.advance(STREAM_LIFETIME_S)
    return task, peers


def test_streams_are_told_once_their_holders_have_started_again(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: streams are lost with a router whose holders are back under their names.

    They are too young to conclude a version, and were told nothing while they were old.
    """
    task, peers = make_settled_task(clock, events)
    (call_id,) = calls_held_by("b", 1)
    first, second = holders_to_tell(call_id, SETTLED)
    task.handle(StreamVersionNoted(call_id, "models", "v1"))
    assert told_nodes(peers, call_id) == []
    task.handle(KnownRouters(restarted(first)))
    # The other one is old enough to conclude the version.
    assert told_nodes(peers, call_id) == []
    task.handle(KnownRouters(restarted(first, second)))
    assert told_nodes(peers, call_id) == sorted((first, second))
    # Streams that begin now are told at once.
    task.handle(StreamVersionNoted(call_id, "models", "v1"))
    assert told_nodes(peers, call_id) == sorted((first, second))


def test_holder_that_starts_again_is_told_again_of_what_it_has_lost(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: a note is lost with its holder, though who knows it lives on."""
    task, peers = make_settled_task(clock, events)
    task.handle(registered(server("a", "v1"), server("b", "v2")))
    own, told = calls_held_by("b", 2)
    task.handle(StreamVersionNoted(own, "models", "v1"))
    task.handle(Ask(StreamVersionNoted(told, "models", "v2"), Reply()))
    peers.messages.clear()
    task.handle(KnownRouters(RESTARTED))
    assert {(each.node, each.message.call_id) for each in peers.messages} == {
        ("b", own),
        ("b", told),
    }
    assert {each.message.version for each in peers.messages} == {"v1", "v2"}


def test_router_that_takes_the_place_of_a_holder_is_told(
    clock: ManualClock, events: EventLog
) -> None:
    task, peers = make_settled_task(clock, events)
    task.handle(registered(server("a", "v1"), server("b", "v2")))
    (call_id,) = calls_held_by("b", 1)
    task.handle(StreamVersionNoted(call_id, "models", "v1"))
    told = told_nodes(peers, call_id)
    task.handle(KnownRouters({n: url for n, url in SETTLED.items() if n != "b"}))
    assert told_nodes(peers, call_id) == sorted({"c", "d"} - set(told))


def test_stopping_router_tells_each_holder_that_starts_again(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: streams were handed over to processes that were about to end."""
    task, peers = make_settled_task(clock, events)
    (call_id,) = calls_held_by("b", 1)
    task.handle(StreamVersionNoted(call_id, "models", "v1"))
    task.handle(HandOverStreams())
    holders = list(holders_to_tell(call_id, SETTLED))
    assert told_nodes(peers, call_id) == sorted(holders)
    known: list[str] = []
    for name in holders:
        known.append(name)
        task.handle(KnownRouters(restarted(*known)))
        assert told_nodes(peers, call_id) == [name]


def test_old_router_that_is_not_asked_does_not_count(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: of six routers the only old one is none of the three that are asked."""
    task, peers = make_settled_task(clock, events)
    (call_id,) = calls_held_by("b", 1)
    holders = holders_to_tell(call_id, SETTLED)
    task.handle(KnownRouters(restarted(*holders)))
    task.handle(StreamVersionNoted(call_id, "models", "v1"))
    assert told_nodes(peers, call_id) == sorted(holders)


def fail_sent(task: Any, peers: Inbox, *nodes: str) -> None:
    """Let what was sent to some routers fail, and the task handle the replies."""
    sent, peers.messages = peers.messages, []
    for each in sent:
        if each.node in nodes:
            each.reply_to.put(PeerUnreachable(each.node, "gone"))
    while not task.actor_inbox.empty():
        task.handle(task.actor_inbox.get().message)


def test_other_routers_are_told_in_place_of_holders_that_cannot_be_reached(
    clock: ManualClock, events: EventLog
) -> None:
    """Guards: the holders of a stream's note were down when it began, unnoticed."""
    peers = Inbox()
    task: Any = StreamVersionsTask(
        peers, Inbox(), LatestValue({}), clock=clock, events=events
    )
    others = {name: address(name, "first") for name in ROUTERS[1:]}
    task.handle(KnownRouters(others))
    task.handle(registered(server("a", "v1"), server("b", "v2")))
    task.handle(StreamVersionNoted("s1", "models", "v1"))
    order = rendezvous_order("s1", others)
    told: set[str] = set()
    for _ in range(MAX_SUBSTITUTES + HOLDERS_PER_STREAM + 1):
        told |= {each.node for each in peers.messages}
        fail_sent(task, peers, *told)
    assert told == set(order[: HOLDERS_PER_STREAM + MAX_SUBSTITUTES])
    for node in order[HOLDERS_PER_STREAM + MAX_SUBSTITUTES :]:
        assert told <= {*holders_to_ask("s1", {*ROUTERS} - {node}), node}


def test_routers_that_may_have_been_told_in_place_of_holders_are_asked_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    others: dict[str, list[Any]] = {
        name: [reply(recent=BOTH)] for name in ("b", "c", "d", "e")
    }
    others["f"] = [reply("v2", recent=BOTH)]
    routers = Routers(reply(recent=BOTH), others)
    exchange = resolve(routers, monkeypatch, resumes="s1", last_event_id="3")
    assert isinstance(exchange, ForwardExchange)
    assert exchange.stream_version == "v2"
