"""A planned stop answers every request that has reached the router."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing
from typing import Any

import pytest

from hawthornstage.actors.caller_connections import CallerConnections
from hawthornstage.actors.caller_listener import CallerListener
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.actors.callers import CallerIntake, StopSignal
from hawthornstage.actors.forwarded_calls import (
    ForwardedCalls,
    ForwardPipe,
    read_limits,
)
from hawthornstage.actors.reading_turns import ReadingTurnsTask
from hawthornstage.actors.timers import Timers
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.reading_turns import ReadingTurns
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.forward import ForwardCall
from hawthornstage.messages.host_settings import HostLimits, SocketAddress
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tools.cluster import wait_until

# Connections that the listener serves at once.
MAX_CONNECTIONS = 8
# Longest wait for what must happen at once, in seconds.
SOON = 10.0
HEAD = b"POST /orders/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 2\r\n"
REQUEST = HEAD + b"\r\nhi"
Connect = Callable[[], socket.socket]


class RefuseEachCall:
    """Stands for the first filter, and refuses each call.

    Args:
        released: The filter waits until it is set.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.released = threading.Event()
        self.released.set()

    def begin(self, call: ForwardCall) -> Failure:
        """Refuse a call."""
        self.calls += 1
        self.released.wait(SOON)
        return Failure(ErrorKind.NO_DESIRED_STATE)


@pytest.fixture
def refusing() -> RefuseEachCall:
    """Return the filter of the listener's pipe."""
    return RefuseEachCall()


@pytest.fixture
def accepting() -> LatestValue[bool]:
    """Return whether the listener's router takes new connections."""
    return LatestValue(True)


@pytest.fixture
def listener(refusing: RefuseEachCall, accepting: LatestValue[bool]) -> CallerListener:
    """Return a listener that is not started."""
    unused: Any = None
    timers = Timers(Clock())
    timers.start()
    first_filter: Any = refusing
    shared: dict[str, Any] = {"clock": Clock(), "events": EventLog("a", Clock())}
    intake = CallerIntake(
        memory=ConnectionMemory(unused, Clock()),
        turns=ReadingTurns(ReadingTurnsTask.start(timers, **shared), Clock()),
        host=HostLimits(max_connections=MAX_CONNECTIONS),
        limits=lambda: read_limits(None),
        start_delays=StartDelays(),
        **shared,
    )
    pipe = ForwardPipe(
        identify=first_filter,
        filters=(),
        reserve=unused,
        forwarder=unused,
        accepting=accepting,
        metrics=Metrics(),
        **shared,
    )
    stopping = StopSignal()
    calls = ForwardedCalls(pipe, stopping)
    address = SocketAddress("127.0.0.1", 0)
    connections = CallerConnections(**shared)
    scarce = LatestValue(False)
    return CallerListener(address, intake, calls, stopping, connections, scarce)


@pytest.fixture
def connect(listener: CallerListener) -> Iterator[Connect]:
    """Return a function that connects to the listener."""
    with ExitStack() as stack:

        def open_connection() -> socket.socket:
            address = ("127.0.0.1", listener.port)
            return stack.enter_context(socket.create_connection(address, SOON))

        yield open_connection


def read_all(connection: socket.socket) -> bytes:
    """Return what arrives until the connection ends."""
    received = b""
    while data := connection.recv(4_096):
        received += data
    return received


def test_connections_that_wait_to_be_accepted_are_served_at_a_stop(
    listener: CallerListener, connect: Connect
) -> None:
    callers = [connect() for _ in range(5)]
    for caller in callers:
        caller.sendall(REQUEST)
    listener.stopping.close_after_response()
    listener.close_trigger.close()
    listener.start()
    for caller in callers:
        assert read_all(caller).startswith(b"HTTP/1.1 503")
    listener.join(SOON)
    assert not listener.is_alive()


def test_closed_listener_accepts_nothing_new(
    listener: CallerListener, connect: Connect
) -> None:
    listener.start()
    listener.close(SOON)
    assert not listener.is_alive()
    with pytest.raises(OSError):
        connect()


def test_stop_waits_for_a_request_that_is_being_read(
    listener: CallerListener, connect: Connect
) -> None:
    listener.start()
    caller = connect()
    caller.sendall(HEAD)
    wait_until(lambda: listener.connections.connections == 1)
    listener.stopping.close_after_response()
    listener.close(SOON)
    listener.stopping.close_idle()
    assert not listener.wait_ended(0.2)
    caller.sendall(b"\r\nhi")
    assert read_all(caller).startswith(b"HTTP/1.1 503")
    assert listener.wait_ended(SOON)


def test_stop_waits_for_a_request_that_is_served(
    listener: CallerListener, connect: Connect, refusing: RefuseEachCall
) -> None:
    refusing.released.clear()
    listener.start()
    caller = connect()
    caller.sendall(REQUEST)
    wait_until(lambda: listener.connections.calls == 1)
    listener.stopping.close_idle()
    listener.close(SOON)
    assert not listener.wait_ended(0.2)
    refusing.released.set()
    assert read_all(caller).startswith(b"HTTP/1.1 503")
    assert listener.wait_ended(SOON)


def test_stop_ends_idle_connections_at_once(
    listener: CallerListener, connect: Connect
) -> None:
    listener.start()
    caller = connect()
    wait_until(lambda: listener.connections.connections == 1)
    listener.close(SOON)
    listener.stopping.close_idle()
    assert listener.wait_ended(SOON)
    assert read_all(caller) == b""


def test_call_that_arrives_late_in_a_stop_is_refused_and_not_passed_on(
    listener: CallerListener, connect: Connect, refusing: RefuseEachCall
) -> None:
    listener.start()
    caller = connect()
    caller.sendall(HEAD)
    wait_until(lambda: listener.connections.connections == 1)
    listener.close(SOON)
    listener.stopping.close_idle()
    listener.stopping.refuse_calls()
    caller.sendall(b"\r\nhi")
    answer = read_all(caller).lower()
    assert answer.startswith(b"http/1.1 503")
    assert b"x-ran: no" in answer and b"retry-after: 0.05" in answer
    assert refusing.calls == 0
    assert listener.wait_ended(SOON)


def test_longest_idle_connection_gives_way_to_a_new_one(
    listener: CallerListener, connect: Connect
) -> None:
    listener.start()
    callers = []
    for _ in range(MAX_CONNECTIONS):
        callers.append(connect())
        wait_until(lambda: len(listener.connections.waiting) == len(callers))
    newest = connect()
    newest.sendall(REQUEST)
    assert newest.recv(4_096).startswith(b"HTTP/1.1 503")
    assert callers[0].recv(1) == b""
    for each in callers[1:]:
        each.sendall(REQUEST)
        assert each.recv(4_096).startswith(b"HTTP/1.1 503")


def reading(listener: CallerListener) -> int:
    """Return the number of connections on which a request has begun."""
    waiting = list(listener.connections.waiting.values())
    return sum(not each.connection.idle for each in waiting)


def test_request_that_is_not_complete_gives_way_and_is_said_not_to_have_run(
    listener: CallerListener, connect: Connect, refusing: RefuseEachCall
) -> None:
    listener.start()
    callers = []
    for _ in range(MAX_CONNECTIONS):
        callers.append(connect())
        callers[-1].sendall(HEAD)
        wait_until(lambda: reading(listener) == len(callers))
    newest = connect()
    newest.sendall(REQUEST)
    assert newest.recv(4_096).startswith(b"HTTP/1.1 503")
    refused = read_all(callers[0]).lower()
    assert refused.startswith(b"http/1.1 503")
    assert b"x-ran: no" in refused
    assert refusing.calls == 1


def test_call_in_progress_does_not_give_way(
    listener: CallerListener, connect: Connect, refusing: RefuseEachCall
) -> None:
    refusing.released.clear()
    listener.start()
    callers = [connect() for _ in range(MAX_CONNECTIONS)]
    for each in callers:
        each.sendall(REQUEST)
    wait_until(lambda: listener.connections.calls == MAX_CONNECTIONS)
    newest = connect()
    newest.sendall(REQUEST)
    wait_until(lambda: listener.connections.room_wanted)
    refusing.released.set()
    assert newest.recv(4_096).startswith(b"HTTP/1.1 503")
    for each in callers:
        assert each.recv(4_096).startswith(b"HTTP/1.1 503")
    assert refusing.calls == MAX_CONNECTIONS + 1


def test_response_closes_the_connection_while_the_router_takes_no_new_ones(
    listener: CallerListener, connect: Connect, accepting: LatestValue[bool]
) -> None:
    listener.start()
    caller = connect()
    with closing(http.client.HTTPConnection("h")) as client:
        client.sock = caller
        client.request("POST", "/orders/", b"hi", {"X-Request-Id": "r"})
        first = client.getresponse()
        first.read()
        assert first.getheader("connection") is None
        accepting.publish(False)
        client.request("POST", "/orders/", b"hi", {"X-Request-Id": "r"})
        second = client.getresponse()
        second.read()
        assert (second.status, second.getheader("connection")) == (503, "close")
    assert listener.wait_ended(SOON)


def test_call_is_not_served_whose_caller_left_before_it_was_read(
    listener: CallerListener, connect: Connect, refusing: RefuseEachCall
) -> None:
    left = connect()
    left.sendall(REQUEST)
    left.close()
    stays = connect()
    stays.sendall(REQUEST)
    listener.start()
    assert stays.recv(4_096).startswith(b"HTTP/1.1 503")
    stays.close()
    assert listener.wait_ended(SOON)
    assert refusing.calls == 1
