"""Calls are blamed for crashes of servers, and for nothing else that breaks."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.failures import CallAnswered
from hawthornstage.actors.servers.lost_servers import (
    REPLIES_TIMEOUT_S,
    LostServersTask,
)
from hawthornstage.actors.servers.reach_checks import ReachChecks
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.lost_servers import CHECK_DELAY_S, CRASH_TTL_S
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.crashing_parts import CrashConfirmed, CrashDuringCall
from hawthornstage.messages.fleet import ServerFailedDuringCall
from hawthornstage.messages.lost_servers import (
    CheckReach,
    LostCall,
    Reach,
    ServerCrashed,
    ServerLost,
    StopChecks,
)
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.messages.server_links import LinkFault, ServerLinks
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from hawthornstage.observe.events import EventLog
from tests.conftest import StartFleet
from tests.connection_pair import SOON
from tests.delivery_world import closed_port
from tests.draws_world import Inbox
from tools.cluster import wait_until
from tools.fleet import STREAM_PATH

OPENED = TunnelOpened("127.0.0.1", 1, "")
UNREACHABLE = TunnelRefused(TunnelRefusal.UNREACHABLE)
ISOLATED = TunnelRefused(TunnelRefusal.ISOLATED)
NOT_ACCEPTING = TunnelRefused(TunnelRefusal.NOT_ACCEPTING)
CALL = LostCall("call", ("first", "last"))
# Interval between two crashes: several fall within a moment, in seconds.
CRASH_INTERVAL_S = 0.4


def server(name: str, port: int = 1) -> BackendServer:
    """Return a server."""
    return BackendServer(name, "models", "127.0.0.1", port, "z", 8, False, 1)


class World:
    """A router's task that judges lost servers, and all that it talks to."""

    def __init__(self, clock: ManualClock, events: EventLog) -> None:
        self.clock = clock
        self.due: list[tuple[float, Any]] = []
        self.checks, self.peers = Inbox(), Inbox()
        self.failures, self.parts, self.links = Inbox(), Inbox(), Inbox()
        fakes: Any = (self.checks, self.peers, self.failures, self.parts, self.links)
        world: Any = self
        known = LatestValue(ServerLinks(helpers=("b", "c", "d", "e")))
        self.task: Any = LostServersTask(
            *fakes, links=known, timers=world, clock=clock, events=events
        )

    def after(self, delay: float, _: Any, message: Any) -> None:
        """Take a message that is due later, as the timers do."""
        self.due.append((self.clock.monotonic() + delay, message))

    def wait(self, seconds: float) -> None:
        """Let time pass, and the messages that are due arrive."""
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        due, self.due = self.due, []
        for at, message in due:
            if at <= now:
                self.task.handle(message)
            else:
                self.due.append((at, message))
        self.deliver()

    def deliver(self) -> None:
        """Deliver what the task has sent to itself."""
        inbox = self.task.actor_inbox
        while not inbox.empty():
            self.task.handle(inbox.get().message)

    def lose(self, lost: BackendServer, call: LostCall = CALL) -> None:
        """Let a connection to a server break during a call."""
        self.task.handle(ServerLost(lost, call))

    def check(self, own: Reach, *replies: Any) -> None:
        """Let the checks that are due end.

        Args:
            own: Whether this router reaches the servers.
            replies: What other routers reply, in turn; missing ones do not.
        """
        self.wait(CHECK_DELAY_S)
        asked, self.checks.messages = self.checks.messages, []
        for each in asked:
            assert isinstance(each, Ask) and isinstance(each.message, CheckReach)
            each.reply_to.put(own)
        self.deliver()
        for send, reply in zip(self.peers.messages, replies, strict=False):
            assert isinstance(send, Send) and isinstance(send.message, RequestTunnel)
            assert send.message.is_check
            send.reply_to.put(reply)
        self.deliver()

    @property
    def counted(self) -> int:
        """Number of crashes that were counted against calls."""
        counted = [type(message) for message in self.failures.messages]
        assert counted == [ServerFailedDuringCall] * len(counted)
        confirmed = [m for m in self.parts.messages if isinstance(m, CrashConfirmed)]
        assert len(confirmed) == len(counted)
        return len(confirmed)


@pytest.fixture
def world(clock: ManualClock, events: EventLog) -> World:
    """Return a router's task that judges lost servers."""
    return World(clock, events)


def test_deadly_call_is_blocked_although_servers_crash_within_a_moment(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=2, servers=8)
    for number in range(3):
        answer = fleet.call("edge-1", STREAM_PATH, f"d{number}", body=b"deadly")
        assert answer.status == 502
        time.sleep(CRASH_INTERVAL_S)
    for name in fleet.names:
        wait_until(
            partial(is_blocked, fleet, name), description=f"{name} to block the call"
        )
        answer = fleet.call(name, STREAM_PATH, f"s-{name}", tokens=(10, 2))
        assert (answer.status, answer.complete) == (200, True)


def is_blocked(fleet: Any, name: str) -> bool:
    """Return whether a router refuses the deadly call without sending it."""
    answer = fleet.call(name, STREAM_PATH, f"again-{name}", body=b"deadly")
    return b"it is not sent again" in answer.body


@pytest.mark.parametrize(
    ("own", "replies", "counted"),
    [
        (Reach.REACHED, [], False),
        (Reach.UNREACHED, [OPENED], False),
        (Reach.UNREACHED, [UNREACHABLE], True),
        (Reach.UNREACHED, [ISOLATED], True),
        (Reach.UNREACHED, [NOT_ACCEPTING], True),
        (Reach.UNREACHED, [PeerUnreachable("b", "gone")], True),
        (Reach.UNREACHED, [], True),
        (Reach.UNKNOWN, [OPENED], False),
        (Reach.UNKNOWN, [ISOLATED, OPENED, UNREACHABLE], False),
        (Reach.UNKNOWN, [ISOLATED, UNREACHABLE, ISOLATED], True),
        (Reach.UNKNOWN, [ISOLATED, ISOLATED, ISOLATED], False),
        (Reach.UNKNOWN, [ISOLATED, UNREACHABLE], True),
        (Reach.UNKNOWN, [], False),
    ],
    ids=[
        "a reset connection",
        "a failed link to this server",
        "a crash",
        "a crash, and the other router is cut off",
        "a crash, and the other router does not know the server",
        "a crash, and the other router is gone",
        "a crash, and the other router is silent",
        "this router is cut off",
        "routers of a zone are cut off",
        "a crash behind a cut of some routers",
        "all routers are cut off",
        "a crash behind a cut, and a router is silent",
        "this router is alone and cut off",
    ],
)
def test_only_a_crash_is_counted_against_a_call(
    own: Reach, replies: list[Any], counted: bool, world: World
) -> None:
    lost = [server("i-1"), server("i-2")]
    for each in lost:
        world.lose(each)
        world.check(own, *replies)
        world.peers.messages = []
    world.wait(SOON)
    assert world.counted == (len(lost) if counted else 0)
    crashed = [m.incarnation for m in world.links.messages]
    assert crashed == ([each.incarnation for each in lost] if counted else [])
    assert all(isinstance(m, ServerCrashed) for m in world.links.messages)


def test_all_calls_of_a_crashed_server_are_counted_by_one_check(world: World) -> None:
    for number in range(5):
        world.lose(server("i-1"), LostCall(f"c{number}", ("part",)))
    assert [type(message).__name__ for _, message in world.due] == ["BeginCheck"]
    world.check(Reach.UNREACHED, UNREACHABLE)
    assert world.counted == 5
    # The loss is noticed later for some calls.
    world.lose(server("i-1"))
    assert world.counted == 6
    world.wait(CRASH_TTL_S)
    world.lose(server("i-1"))
    world.check(Reach.REACHED)
    assert world.counted == 6


def test_replies_that_are_overdue_for_one_check_do_not_end_the_next_one(
    world: World,
) -> None:
    world.lose(server("i-1"))
    world.check(Reach.UNREACHED, OPENED)
    world.peers.messages = []
    world.wait(REPLIES_TIMEOUT_S - 2 * CHECK_DELAY_S)
    world.lose(server("i-1"))
    # The first check's wait ends while the second one is about to begin.
    world.wait(CHECK_DELAY_S)
    world.wait(CHECK_DELAY_S)
    for each in world.checks.messages:
        each.reply_to.put(Reach.UNREACHED)
    world.deliver()
    world.peers.messages[0].reply_to.put(UNREACHABLE)
    world.deliver()
    assert world.counted == 1


def test_crash_counts_from_the_moment_at_which_the_connection_broke(
    world: World, clock: ManualClock
) -> None:
    began_at = clock.monotonic()
    world.lose(server("i-1"))
    world.check(Reach.UNREACHED, UNREACHABLE)
    crash = CrashDuringCall("i-1@1", CALL.parts)
    assert world.parts.messages == [CrashConfirmed(crash, began_at)]


def test_crash_while_all_routers_are_cut_off_counts_once_the_server_is_back(
    world: World,
) -> None:
    world.lose(server("i-1"))
    world.check(Reach.UNKNOWN, ISOLATED, ISOLATED, ISOLATED)
    again = replace(server("i-1"), started_ms=2)
    world.task.handle(RegisteredServers({"i-1": server("i-1")}))
    assert world.counted == 0
    world.task.handle(RegisteredServers({"i-1": again}))
    assert world.counted == 1


def test_answered_call_is_not_counted_for_a_crash_that_is_found_later(
    world: World,
) -> None:
    world.lose(server("i-1"))
    world.task.handle(CallAnswered(CALL.fingerprint))
    world.check(Reach.UNREACHED, UNREACHABLE)
    assert world.counted == 0


StartChecks = Callable[..., ReachChecks]


@pytest.fixture
def start_checks() -> Iterator[StartChecks]:
    """Return a function that starts a router's task that checks servers."""
    started: list[ReachChecks] = []

    def start(*servers: BackendServer, failed: tuple[str, ...] = ()) -> ReachChecks:
        registered = LatestValue(RegisteredServers({each.id: each for each in servers}))
        links = LatestValue(ServerLinks(dict.fromkeys(failed, LinkFault.SILENT)))
        started.append(ReachChecks("a", registered, links, Clock()))
        started[-1].start()
        return started[-1]

    yield start
    for each in started:
        each.tell(StopChecks())
        each.join(SOON)


def test_server_counts_as_unreached_only_beside_one_that_is_reached(
    start_checks: StartChecks,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        alive = server("alive", listening.getsockname()[1])
        gone, also_gone = server("g1", closed_port()), server("g2", closed_port())
        for others, expected in (
            ((alive,), Reach.UNREACHED),
            ((alive, also_gone), Reach.UNREACHED),
            ((also_gone,), Reach.UNKNOWN),
            ((), Reach.UNKNOWN),
        ):
            assert ask_reach(start_checks(gone, *others), gone) is expected
        assert ask_reach(start_checks(gone, alive), alive) is Reach.REACHED
        # A link that is known to fail shows nothing of the others.
        failed = start_checks(gone, alive, failed=(alive.incarnation,))
        assert ask_reach(failed, gone) is Reach.UNKNOWN


def ask_reach(checks: ReachChecks, checked: BackendServer) -> Any:
    """Ask twice at once whether a server is reached, and return the result."""
    mailboxes = [Mailbox(Clock()), Mailbox(Clock())]
    for each in mailboxes:
        checks.tell(Ask(CheckReach(checked), each))
    results = {each.get(timeout=SOON) for each in mailboxes}
    assert len(results) == 1
    return results.pop()
