"""The task that owns the connections between routers, over real sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import pytest

from hawthornstage.actors.peers.incoming_connections import (
    MAX_FRAMES_PER_S,
    MAX_INCOMING_IDLE_S,
)
from hawthornstage.actors.peers.messages import PeerMet, PeersChanged, Send
from hawthornstage.actors.peers.outgoing_links import (
    HANDSHAKE_TIMEOUT_S,
    MAX_PENDING,
    RECONNECT_PAUSE_S,
    REPLY_TIMEOUT_S,
    SEARCH_S,
)
from hawthornstage.actors.peers.task import Peers
from hawthornstage.actors.task import Ask, MessageDispatcher
from hawthornstage.border.frames import Frame, encode_frame
from hawthornstage.border.peer_connection import PeerIdentity, connect_to_peer
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.peer_links import MAX_IDLE_S
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.fleet import (
    DesiredStateOffered,
    RequestDesiredState,
    ServerFailedDuringCall,
)
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

SECRET = "shared"
# Rounds of both routers until an exchange that needs no time must be over.
MAX_ROUNDS = 500


@dataclass
class Responder:
    """A task that replies to every message at once.

    Args:
        messages: The messages received.
        document: The desired state that it offers.
    """

    messages: list[Any] = field(default_factory=list)
    document: bytes = b""

    def tell(self, message: Any) -> None:
        """Reply to a message."""
        assert isinstance(message, Ask)
        self.messages.append(message.message)
        match message.message:
            case RequestDesiredState():
                message.reply_to.put(DesiredStateOffered(self.document))
            case _:
                message.reply_to.put(Acknowledged())


@dataclass
class Reply:
    """Keeps the replies to one message."""

    values: list[Any] = field(default_factory=list)

    def put(self, reply: Any) -> None:
        """Take a reply."""
        self.values.append(reply)


class Fleet:
    """Some routers' peers tasks, which the test steps itself, and raw sockets."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.stack = ExitStack()
        self.peers: dict[str, Peers] = {}
        self.responders: dict[str, Responder] = {}

    def add(
        self, node: str, *, secret: str = SECRET, port: int = 0, process: str = ""
    ) -> Peers:
        """Start the peers task of a router.

        Args:
            node: Its name.
            secret: The shared secret that it presents and accepts.
            port: Its port; 0 lets the system choose.
            process: The process that it announces, as builds without it do if empty.
        """
        responder = self.responders[node] = Responder()
        dispatcher = MessageDispatcher()
        kinds = (ServerFailedDuringCall, RequestDesiredState, PeerMet)
        dispatcher.register(responder, kinds)  # type: ignore[arg-type]
        url = process_address("127.0.0.1", port, process) if process else ""
        peers = self.peers[node] = Peers(
            PeerIdentity(node, secret, url),
            SocketAddress("127.0.0.1", port),
            secrets=(secret,),
            dispatcher=dispatcher,
            clock=self.clock,
            events=EventLog(node, self.clock),
            metrics=Metrics(),
        )
        self.stack.callback(peers.close_all)
        self.introduce()
        return peers

    def introduce(self, **others: str) -> None:
        """Tell all routers the addresses of each other and of further ones."""
        urls = {n: f"ws://127.0.0.1:{p.port}" for n, p in self.peers.items()}
        for node, peers in self.peers.items():
            known = {name: url for name, url in urls.items() if name != node}
            peers.tell(PeersChanged({**known, **others}))

    def listen_silently(self) -> str:
        """Return the address of a router that accepts and never says anything."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.stack.callback(listener.close)
        return f"ws://127.0.0.1:{listener.getsockname()[1]}"

    def connect(self, node: str) -> socket.socket:
        """Open a raw connection to a router."""
        address = ("127.0.0.1", self.peers[node].port)
        connection = self.stack.enter_context(socket.create_connection(address))
        connection.setblocking(False)
        return connection

    def step(self) -> None:
        """Let every router handle what has arrived."""
        for peers in list(self.peers.values()):
            peers.step(0.001)

    def wait_until(self, condition: Callable[[], Any]) -> None:
        """Step all routers until a condition holds."""
        for _ in range(MAX_ROUNDS):
            if condition():
                return
            self.step()
        raise AssertionError("the condition does not hold")

    def send(self, node: str, to: str, message: Any) -> Reply:
        """Send a message from one router to another."""
        reply = Reply()
        self.peers[node].tell(Send(to, message, reply))
        return reply

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.advance(seconds)
        self.step()


@pytest.fixture
def fleet(clock: ManualClock) -> Iterator[Fleet]:
    """Return a fleet of two routers, `a` and `b`."""
    started = Fleet(clock)
    with started.stack:
        started.add("a")
        started.add("b")
        yield started


FAILURE = ServerFailedDuringCall("call-1", "engine-1")


def test_message_is_answered_over_one_kept_connection(fleet: Fleet) -> None:
    replies = [fleet.send("a", "b", FAILURE) for _ in range(5)]
    fleet.wait_until(lambda: all(each.values for each in replies))
    assert [each.values for each in replies] == [[Acknowledged()]] * 5
    assert fleet.responders["b"].messages == [FAILURE] * 5
    assert len(fleet.peers["b"].incoming.connections) == 1


def test_message_to_itself_needs_no_connection(fleet: Fleet) -> None:
    reply = fleet.send("a", "a", FAILURE)
    fleet.wait_until(lambda: reply.values)
    assert fleet.responders["a"].messages == [FAILURE]
    assert not fleet.peers["a"].outgoing.links


def test_unknown_router_is_unreachable(fleet: Fleet) -> None:
    reply = fleet.send("a", "nobody", FAILURE)
    fleet.wait_until(lambda: reply.values)
    assert isinstance(reply.values[0], PeerUnreachable)


def test_wrong_secret_is_refused(fleet: Fleet) -> None:
    fleet.add("stranger", secret="other")
    reply = fleet.send("stranger", "b", FAILURE)
    fleet.wait_until(lambda: reply.values)
    assert isinstance(reply.values[0], PeerUnreachable)
    assert fleet.responders["b"].messages == []


def test_silent_router_delays_no_other(fleet: Fleet) -> None:
    fleet.introduce(silent=fleet.listen_silently())
    unanswered = fleet.send("a", "silent", FAILURE)
    answered = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: answered.values)
    assert unanswered.values == []
    fleet.advance(HANDSHAKE_TIMEOUT_S)
    assert isinstance(unanswered.values[0], PeerUnreachable)


def test_connection_that_goes_silent_is_replaced(fleet: Fleet) -> None:
    first = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: first.values)
    silent_link = fleet.peers["a"].outgoing.links["b"]
    frozen = fleet.peers.pop("b")
    unanswered = fleet.send("a", "b", FAILURE)
    fleet.step()
    fleet.advance(REPLY_TIMEOUT_S)
    assert isinstance(unanswered.values[0], PeerUnreachable)
    fleet.peers["b"] = frozen
    fleet.clock.advance(RECONNECT_PAUSE_S)
    again = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: again.values)
    assert again.values == [Acknowledged()]
    assert fleet.peers["a"].outgoing.links["b"] is not silent_link


def test_slow_reply_does_not_cost_the_connection(fleet: Fleet) -> None:
    first = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: first.values)
    link = fleet.peers["a"].outgoing.links["b"]
    fleet.responders["b"].tell = lambda message: None  # type: ignore[method-assign]
    late = fleet.send("a", "b", FAILURE)
    fleet.step()
    fleet.advance(REPLY_TIMEOUT_S / 2)
    del fleet.responders["b"].tell  # type: ignore[method-assign]
    other = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: other.values)
    fleet.advance(REPLY_TIMEOUT_S / 2)
    assert isinstance(late.values[0], PeerUnreachable)
    assert fleet.peers["a"].outgoing.links["b"] is link


def test_router_that_sends_without_end_is_paused(fleet: Fleet) -> None:
    flood = connect_to_peer(
        f"ws://127.0.0.1:{fleet.peers['b'].port}",
        PeerIdentity("flood", SECRET),
        fleet.clock.monotonic(),
    )
    fleet.stack.callback(flood.close)
    stamp = Stamp(0, 0, "flood")
    for number in range(MAX_FRAMES_PER_S + 500):
        flood.send(encode_frame(Frame(number, False, stamp, FAILURE)))
    received = fleet.responders["b"].messages

    def pump() -> bool:
        flood.flush()
        flood.receive(fleet.clock.monotonic())
        return len(received) >= MAX_FRAMES_PER_S

    fleet.wait_until(pump)
    at_pause = len(received)
    answered = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: answered.values)
    for _ in range(20):
        flood.flush()
        fleet.step()
    assert len(received) == at_pause + 1
    fleet.advance(1.0)
    fleet.wait_until(lambda: pump() and len(received) == MAX_FRAMES_PER_S + 501)


def test_head_without_end_is_cut_off(fleet: Fleet) -> None:
    connection = fleet.connect("b")
    connection.send(b"GET / HTTP/1.1\r\nX: ")
    ended = False
    for _ in range(MAX_ROUNDS):
        try:
            connection.send(b"x" * 10_000)
        except BlockingIOError:
            pass
        except OSError:
            ended = True
            break
        fleet.step()
    assert ended
    assert not fleet.peers["b"].incoming.connections


def test_handshake_that_does_not_end_is_cut_off(fleet: Fleet) -> None:
    fleet.connect("b").send(b"GET / HTTP/1.1\r\n")
    fleet.wait_until(lambda: fleet.peers["b"].incoming.connections)
    fleet.advance(HANDSHAKE_TIMEOUT_S)
    assert not fleet.peers["b"].incoming.connections


def test_router_that_does_not_read_replies_is_cut_off(fleet: Fleet) -> None:
    fleet.responders["b"].document = b"x" * 3_000_000
    deaf = connect_to_peer(
        f"ws://127.0.0.1:{fleet.peers['b'].port}",
        PeerIdentity("deaf", SECRET),
        fleet.clock.monotonic(),
    )
    fleet.stack.callback(deaf.close)
    stamp = Stamp(0, 0, "deaf")
    for number in range(20):
        deaf.send(encode_frame(Frame(number, False, stamp, RequestDesiredState())))
    fleet.wait_until(lambda: fleet.peers["b"].incoming.connections)

    def cut_off() -> bool:
        if not deaf.is_open:
            deaf.flush()
            deaf.receive(fleet.clock.monotonic())
        return not fleet.peers["b"].incoming.connections

    fleet.wait_until(cut_off)


def test_messages_without_a_reply_are_bounded(fleet: Fleet) -> None:
    fleet.introduce(silent=fleet.listen_silently())
    for _ in range(MAX_PENDING):
        fleet.send("a", "silent", FAILURE)
    refused = fleet.send("a", "silent", FAILURE)
    fleet.wait_until(lambda: refused.values)
    assert isinstance(refused.values[0], PeerUnreachable)


def test_idle_connections_are_closed(fleet: Fleet) -> None:
    first = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: first.values)
    fleet.advance(MAX_IDLE_S)
    assert not fleet.peers["a"].outgoing.links
    fleet.wait_until(lambda: not fleet.peers["b"].incoming.connections)
    again = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: again.values)
    assert again.values == [Acknowledged()]


def test_incoming_connection_of_a_lost_router_is_closed(fleet: Fleet) -> None:
    first = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: first.values)
    del fleet.peers["a"]
    fleet.advance(MAX_INCOMING_IDLE_S)
    assert not fleet.peers["b"].incoming.connections


def test_router_that_moved_is_reached_at_its_new_address(fleet: Fleet) -> None:
    first = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: first.values)
    moved = fleet.peers["b"]
    fleet.add("b")
    moved.close_all()
    again = fleet.send("a", "b", FAILURE)
    fleet.wait_until(lambda: again.values)
    assert fleet.responders["b"].messages == [FAILURE]


class Restarts:
    """Router `c`, which starts again at its port, among routers that know its name."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.add("a", process="a1")
        self.port = fleet.add("c", process="c1").port
        fleet.peers["c"].close_all()
        self.start("c1")

    def start(self, process: str) -> str:
        """Start the next process of `c`; return its address."""
        self.fleet.add("c", port=self.port, process=process)
        return process_address("127.0.0.1", self.port, process)

    def stop(self) -> None:
        """End the process of `c`."""
        self.fleet.peers.pop("c").close_all()

    def told(self, node: str) -> list[PeerMet]:
        """Return which processes a router was told of."""
        messages = self.fleet.responders[node].messages
        return [each for each in messages if isinstance(each, PeerMet)]

    def pass_time(self, seconds: float) -> None:
        """Let time pass, a quarter of a second at a time."""
        for _ in range(int(seconds * 4)):
            self.fleet.advance(0.25)
            for _ in range(20):
                self.fleet.step()


@pytest.fixture
def restarts(clock: ManualClock) -> Iterator[Restarts]:
    """Return router `c`, connected to by `a`."""
    started = Fleet(clock)
    with started.stack:
        yield Restarts(started)


def test_both_sides_of_a_connection_learn_which_process_the_other_one_is(
    restarts: Restarts,
) -> None:
    reply = restarts.fleet.send("a", "c", FAILURE)
    restarts.fleet.wait_until(lambda: reply.values)
    assert restarts.told("a") == [
        PeerMet("c", process_address("127.0.0.1", restarts.port, "c1"))
    ]
    assert restarts.told("c") == [PeerMet("a", process_address("127.0.0.1", 0, "a1"))]


def test_router_that_is_lost_is_searched_for_until_it_is_back(
    restarts: Restarts,
) -> None:
    """Guards: a router that is back under its name is not noticed until it is used."""
    reply = restarts.fleet.send("a", "c", FAILURE)
    restarts.fleet.wait_until(lambda: reply.values)
    restarts.stop()
    restarts.pass_time(SEARCH_S / 2)
    url = restarts.start("c2")
    restarts.pass_time(2.0)
    assert restarts.told("a")[1:] == [PeerMet("c", url)]
    # Nobody looks for a router that stays away.
    restarts.stop()
    restarts.pass_time(SEARCH_S + 1.0)
    restarts.start("c3")
    restarts.pass_time(2.0)
    assert len(restarts.told("a")) == 2


def test_connection_to_the_new_process_is_kept_when_it_becomes_known(
    restarts: Restarts,
) -> None:
    restarts.stop()
    url = restarts.start("c2")
    fleet = restarts.fleet
    first = fleet.send("a", "c", FAILURE)
    fleet.wait_until(lambda: first.values)
    link = fleet.peers["a"].outgoing.links["c"]
    fleet.peers["a"].tell(PeersChanged({"c": url}))
    again = fleet.send("a", "c", FAILURE)
    fleet.wait_until(lambda: again.values)
    assert fleet.peers["a"].outgoing.links["c"] is link
    fleet.peers["a"].tell(
        PeersChanged({"c": process_address("127.0.0.1", restarts.port, "c3")})
    )
    fleet.wait_until(lambda: not fleet.peers["a"].outgoing.links)
