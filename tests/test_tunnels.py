"""Calls through another router are whole, sent once, and leave nothing behind."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.reach_checks import ReachChecks
from hawthornstage.actors.servers.tunnels import TOKEN_TIMEOUT_S, TunnelsTask
from hawthornstage.actors.task import Ask
from hawthornstage.border.chunked_body import encode_chunk
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.border.tunnel import LAST_CHUNK, TunnelReader
from hawthornstage.clock import Clock
from hawthornstage.decisions.tunnels import MAX_TUNNELS, refusal_of_tunnel
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.lost_servers import ServerLost, StopChecks
from hawthornstage.messages.server_links import (
    ConnectionLost,
    HelperFailed,
    LinkFailed,
    LinkFault,
    ServerLinks,
)
from hawthornstage.messages.server_notices import ClosedAnnounced, ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    StopTunnels,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tests.connection_pair import (
    EVENTS,
    REQUEST,
    SEALED,
    SOON,
    CallerPair,
    sealed,
)
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    closed_port,
    exchange_for,
    make_forwarder,
    read_all,
    server_at,
)
from tests.draws_world import Inbox


class Helper:
    """Another router that carries calls, and the stub through which it is asked."""

    def __init__(self, tasks: Any) -> None:
        self.links_inbox = Inbox()
        self.region = "north"
        links: Any = self.links_inbox
        known = LatestValue(ServerLinks())
        self.checks = ReachChecks("b", tasks.registered, known, Clock())
        self.task = TunnelsTask(
            SocketAddress("127.0.0.1", 0),
            self.checks,
            links,
            registered=tasks.registered,
            notices=tasks.notices,
            evacuations=tasks.evacuations,
            links=known,
            region=lambda: self.region,
            clock=Clock(),
            events=EventLog("b", Clock()),
            metrics=Metrics(),
        )
        self.tasks = tasks
        self.announced: list[ClosedAnnounced] = []
        self.checks.start()
        self.task.start()

    def stop(self) -> None:
        """Stop its tasks."""
        self.task.tell(StopTunnels())
        self.checks.tell(StopChecks())
        self.task.join(SOON)
        self.checks.join(SOON)

    def tell(self, message: Any) -> None:
        """Deliver what is sent to the router to its task, the rest to the stub."""
        match message:
            case Send(_, ClosedAnnounced() as announced, _):
                self.announced.append(announced)
            case Send(_, request, reply_to):
                self.task.tell(Ask(request, reply_to))
            case _:
                self.tasks.tell(message)

    def request(self, server: BackendServer, time_left_s: float = SOON) -> Any:
        """Ask for a tunnel to a server, and return the reply."""
        mailbox = Mailbox(Clock())
        request = RequestTunnel(server.id, server.incarnation, time_left_s)
        self.task.tell(Ask(request, mailbox))
        return mailbox.get(timeout=SOON)


StartHelper = Callable[..., Helper]


@pytest.fixture
def start_helper(capsys: pytest.CaptureFixture[str]) -> Iterator[StartHelper]:
    """Return a function that starts a helper for servers at some addresses."""
    helpers: list[Helper] = []

    def start(*addresses: SocketAddress) -> Helper:
        helpers.append(Helper(Tasks(list(addresses))))
        return helpers[-1]

    yield start
    for each in helpers:
        each.stop()
    assert "task_error" not in capsys.readouterr().out


@pytest.fixture
def deliver_through(
    pair: CallerPair, start_helper: StartHelper
) -> Callable[..., tuple[Failure | None, Delivery, Helper]]:
    """Return a function that forwards a call over links that fail."""

    def run(
        *servers: ScriptedServer, target: str = "/letters/x"
    ) -> tuple[Failure | None, Delivery, Helper]:
        pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
        pair.receive()
        addresses = [server.start() for server in servers]
        helper = start_helper(*addresses)
        tasks = helper.tasks
        failed = {server_at(each).incarnation: LinkFault.SILENT for each in addresses}
        tasks.links.publish(ServerLinks(failed, True, helpers=("b",)))
        tasks.peers = helper
        delivery = Delivery()
        failure = make_forwarder(tasks, Clock()).deliver(
            exchange_for(target, arrived=Clock().monotonic()),
            pair.connection,
            delivery,
        )
        return failure, delivery, helper

    return run


def test_stream_comes_whole_through_another_router(
    deliver_through: Any, pair: CallerPair
) -> None:
    failure, delivery, _ = deliver_through(ScriptedServer([sealed(EVENTS)]))
    assert failure is None
    assert (delivery.events, delivery.outcome) == (2, "answered")
    answer = read_all(pair)
    assert b"x-response-seal: s" in answer and answer.endswith(b"0\r\n\r\n")


def test_answer_that_ends_with_its_connection_is_whole_through_another_router(
    deliver_through: Any, pair: CallerPair
) -> None:
    failure, delivery, _ = deliver_through(ScriptedServer([SEALED + b"\r\n" + EVENTS]))
    assert (failure, delivery.outcome) == (None, "answered")


def test_answer_of_a_server_that_resets_is_not_whole_through_another_router(
    deliver_through: Any, pair: CallerPair
) -> None:
    broken = ScriptedServer([SEALED + b"\r\n" + EVENTS], reset=True)
    _, delivery, _ = deliver_through(broken)
    assert delivery.outcome.startswith("cut") or not delivery.head_sent
    assert not read_all(pair).endswith(b"0\r\n\r\n")


def test_caller_that_leaves_ends_the_call_through_another_router(
    deliver_through: Any, pair: CallerPair
) -> None:
    server = ScriptedServer([None])
    threading.Timer(0.3, pair.caller.close).start()
    _, delivery, _ = deliver_through(server)
    assert delivery.outcome == "caller_left"
    assert server.left.wait(SOON)


def test_carrying_router_learns_that_a_server_wants_no_calls(
    deliver_through: Any,
) -> None:
    closed = b"HTTP/1.1 503 Busy\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
    closed += b"Retry-After: 1.5\r\nContent-Length: 0\r\n\r\n"
    _, delivery, helper = deliver_through(ScriptedServer([closed]))
    incarnation = delivery.attempted_servers[0].incarnation
    assert ClosedAnnounced(incarnation, 1.5) in helper.announced


@pytest.mark.parametrize("reset", [False, True])
def test_crash_of_a_server_counts_through_another_router(
    reset: bool, deliver_through: Any
) -> None:
    _, delivery, helper = deliver_through(ScriptedServer([b""], reset=reset))
    told = [each for each in helper.tasks.told if isinstance(each, ServerLost)]
    assert [each.server for each in told] == list(delivery.attempted_servers)
    assert told[0].call.parts == ("aa", "bb")
    assert ConnectionLost not in [type(each) for each in helper.tasks.told]


def test_call_is_not_run_when_the_helper_does_not_reach_the_server(
    deliver_through: Any,
) -> None:
    server = ScriptedServer([])
    server.start = lambda: SocketAddress("127.0.0.1", closed_port())  # type: ignore
    failure, delivery, helper = deliver_through(server)
    assert failure.kind is ErrorKind.SERVERS_BUSY
    assert (delivery.attempts, delivery.may_have_run) == (0, False)
    assert [type(each) for each in helper.links_inbox.messages] == [LinkFailed]
    assert HelperFailed("b", f"i-{delivery.attempted_servers[0].port}@1") in (
        helper.tasks.told
    )


def test_router_says_whether_it_reaches_a_server_and_opens_no_tunnel(
    start_helper: StartHelper,
) -> None:
    listening = socket.create_server(("127.0.0.1", 0))
    alive = SocketAddress(*listening.getsockname())
    gone = SocketAddress("127.0.0.1", closed_port())
    with listening:
        helper = start_helper(alive, gone)
        assert isinstance(helper.request(server_at(alive), 0.0), TunnelOpened)
        refused = helper.request(server_at(gone), 0.0)
        assert refused == TunnelRefused(TunnelRefusal.UNREACHABLE)
        unknown = helper.request(server("other"), 0.0)
        assert unknown == TunnelRefused(TunnelRefusal.NOT_ACCEPTING)
    # It reaches none of them any more, so it cannot tell which have failed.
    isolated = helper.request(server_at(gone), 0.0)
    assert isolated == TunnelRefused(TunnelRefusal.ISOLATED)
    assert helper.task.tunnels == {}
    assert helper.links_inbox.messages == []


def test_token_is_valid_once(start_helper: StartHelper) -> None:
    address = ScriptedServer([None]).start()
    helper = start_helper(address)
    opened = helper.request(server_at(address))
    assert isinstance(opened, TunnelOpened)
    place = SocketAddress(opened.host, opened.port)
    first = ServerConnection(
        place, Clock(), connect_timeout_s=SOON, tunnel_token=opened.token
    )
    for token in (opened.token, "0" * len(opened.token)):
        with pytest.raises(OSError):
            ServerConnection(place, Clock(), connect_timeout_s=SOON, tunnel_token=token)
    first.close()
    assert helper.task.wait_ended(SOON)


def test_tunnel_that_nobody_uses_is_closed(start_helper: StartHelper) -> None:
    server = ScriptedServer([None])
    address = server.start()
    helper = start_helper(address)
    assert isinstance(helper.request(server_at(address)), TunnelOpened)
    assert not helper.task.wait_ended(0.0)
    assert helper.task.wait_ended(SOON + TOKEN_TIMEOUT_S)


@pytest.mark.parametrize("size", [1, 3, 1_000])
def test_only_the_last_chunk_tells_that_the_server_closed(size: int) -> None:
    data = encode_chunk(b"abc") + encode_chunk(b"defg") + LAST_CHUNK
    reader, parts = TunnelReader(), []
    for start in range(0, len(data), size):
        parts += reader.feed(data[start : start + size])
    assert (b"".join(parts), parts[-1]) == (b"abcdefg", b"")
    broken = TunnelReader()
    broken.feed(data[:-2])
    with pytest.raises(OSError):
        broken.feed(b"")
    with pytest.raises(OSError):
        TunnelReader().feed(b"no chunk\r\n")


def server(name: str, *, leaving: bool = False) -> BackendServer:
    """Return a registered server."""
    return BackendServer(name, "models", "h", 1, "z", 8, leaving, 1)


@pytest.mark.parametrize(
    ("change", "refusal"),
    [
        ({}, None),
        ({"server": server("i-2")}, TunnelRefusal.NOT_ACCEPTING),
        ({"server": server("i-1", leaving=True)}, TunnelRefusal.NOT_ACCEPTING),
        ({"notices": ServerNotices(leaving={"i-1@1": 0.0})}, "not_accepting"),
        ({"evacuations": Evacuations(frozenset({"z"}))}, "not_accepting"),
        ({"notices": ServerNotices(closed_until={"i-1@1": 9.0})}, "not_accepting"),
        ({"links": ServerLinks({"i-1@1": LinkFault.SILENT})}, "unreachable"),
        ({"links": ServerLinks({"i-1@1": LinkFault.SILENT}, True)}, "isolated"),
        ({"open_tunnels": MAX_TUNNELS}, TunnelRefusal.BUSY),
        ({"stopping": True}, TunnelRefusal.BUSY),
    ],
)
def test_server_gets_no_calls_through_a_router_that_would_send_none(
    change: dict[str, Any], refusal: TunnelRefusal | str | None
) -> None:
    known = change.pop("server", server("i-1"))
    options: dict[str, Any] = {
        "notices": ServerNotices(),
        "evacuations": Evacuations(),
        "links": ServerLinks(),
        "region": "north",
        "open_tunnels": 0,
        "stopping": False,
        **change,
    }
    request = RequestTunnel("i-1", "i-1@1", 1.0)
    registered = RegisteredServers({known.id: known})
    decision = refusal_of_tunnel(request, registered, now=1.0, **options)
    assert decision == (TunnelRefusal(refusal) if refusal else None)


def test_refused_tunnel_is_told_as_such(start_helper: StartHelper) -> None:
    helper = start_helper()
    reply = helper.request(server("i-9"))
    assert reply == TunnelRefused(TunnelRefusal.NOT_ACCEPTING)
