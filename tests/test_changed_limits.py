"""Limits that change are in force on connections that were open before."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from dataclasses import dataclass, replace
from http.client import HTTPResponse
from typing import Any

import pytest

from hawthornstage.actors.caller_connections import CallerConnections, Waiting
from hawthornstage.actors.caller_limits import CallerLimitsTask
from hawthornstage.actors.task import Ask
from hawthornstage.border.read_limits import LimitsChanged, ReadLimits
from hawthornstage.border.request_reader import (
    IdleTimeout,
    MalformedRequest,
    RawRequest,
    RequestTimeout,
)
from hawthornstage.border.sockets import Interrupt
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.connection_limits import WaitingConnection
from hawthornstage.messages.connection_memory import GiveWay
from hawthornstage.messages.desired import CallerLimits, DesiredState
from hawthornstage.messages.fleet import DesiredStateInUse
from hawthornstage.messages.forward import Delivery
from hawthornstage.observe.events import EventLog
from tests.conftest import StartFleet
from tests.connection_pair import REQUEST, SOON, CallerPair
from tests.delivery_world import Tasks, exchange_for, make_forwarder
from tools.cluster import wait_until
from tools.fleet import API_KEY, HOST, IDEMPOTENT_PATH, Fleet, desired_state

# A time that no test waits for, and one that passes soon, in seconds.
LONG_S, SHORT_S = 60.0, 0.1
LIMITS = ReadLimits(LONG_S, LONG_S, body_bytes=1_000, header_bytes=1_000)


@dataclass
class Reading:
    """The reading of one request in a thread, within limits that a test changes.

    Args:
        pair: The connection.
        limits: The limits in force.
        received: What was received.
    """

    pair: CallerPair
    limits: ReadLimits = LIMITS
    received: Any = None

    def start(self) -> None:
        """Begin to read."""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Read one request."""
        connection, wake = self.pair.connection, self.pair.wake
        self.received = connection.receive(
            wake, lambda: self.limits, self.pair.observer
        )

    def change(self, *, tell: bool = True, **limits: float) -> None:
        """Change limits, and wake the reader as the router does."""
        self.limits = replace(self.limits, **limits)
        if tell:
            self.pair.observer.interrupt.put(LimitsChanged())

    def result(self) -> Any:
        """Return what was received."""
        self.thread.join(SOON)
        assert not self.thread.is_alive()
        return self.received


@pytest.fixture
def reading(pair: CallerPair) -> Reading:
    """Return the reading of a request that has begun, with no byte received."""
    started = Reading(pair)
    started.start()
    return started


def send_body(reading: Reading, size: int) -> None:
    """Send a whole request with a body."""
    head = REQUEST + b"Content-Length: %d\r\n\r\n" % size
    reading.pair.caller.sendall(head + size * b"z")


def send_long_head(reading: Reading, size: int) -> None:
    """Send a whole request with a long head."""
    head = REQUEST + b"X-Long: " + size * b"z" + b"\r\nContent-Length: 0\r\n\r\n"
    reading.pair.caller.sendall(head)


# Guards against review/12: limits of the connection's start stayed in force.
@pytest.mark.parametrize("send", [send_body, send_long_head])
def test_larger_limits_hold_for_a_wait_that_began_before(
    reading: Reading, send: Any
) -> None:
    reading.change(tell=False, body_bytes=4_000, header_bytes=4_000)
    send(reading, 2_000)
    assert isinstance(reading.result(), RawRequest)


@pytest.mark.parametrize("send", [send_body, send_long_head])
def test_smaller_limits_hold_for_a_wait_that_began_before(
    reading: Reading, send: Any
) -> None:
    reading.change(tell=False, body_bytes=100, header_bytes=200)
    send(reading, 500)
    assert isinstance(reading.result(), MalformedRequest)


def test_shorter_idle_timeout_ends_a_wait(reading: Reading) -> None:
    reading.change(first_byte_timeout_s=SHORT_S)
    assert isinstance(reading.result(), IdleTimeout)


def test_shorter_timeout_ends_a_request_that_has_begun(reading: Reading) -> None:
    reading.pair.caller.sendall(REQUEST)
    reading.change(read_timeout_s=SHORT_S)
    assert isinstance(reading.result(), RequestTimeout)


@pytest.mark.parametrize("limit", ["first_byte_timeout_s", "read_timeout_s"])
def test_longer_timeout_holds_for_a_wait_that_began_before(
    pair: CallerPair, limit: str
) -> None:
    begun = Reading(pair, replace(LIMITS, **{limit: SHORT_S}))
    if limit == "read_timeout_s":
        pair.caller.sendall(REQUEST)
    begun.start()
    begun.change(tell=False, **{limit: LONG_S})
    begun.thread.join(5 * SHORT_S)
    assert begun.thread.is_alive()
    pair.caller.close()
    begun.result()


def test_changed_limits_do_not_hide_that_a_connection_gives_way(
    reading: Reading,
) -> None:
    reading.change(body_bytes=2_000)
    reading.pair.observer.interrupt.put(GiveWay())
    assert isinstance(reading.result(), IdleTimeout)


def test_turn_that_comes_with_changed_limits_is_used(pair: CallerPair) -> None:
    grant = pair.observer.request_turn

    def grant_and_change(recipient: Interrupt) -> None:
        recipient.put(LimitsChanged())
        grant(recipient)
        recipient.put(LimitsChanged())

    pair.observer.paced = True
    pair.observer.request_turn = grant_and_change  # type: ignore[method-assign]
    pair.caller.sendall(REQUEST + b"Content-Length: 0\r\n\r\n")
    assert isinstance(pair.receive(), RawRequest)


@pytest.fixture
def interrupt() -> Iterator[Interrupt]:
    """Return an interrupt, closed with the test."""
    interrupt = Interrupt()
    yield interrupt
    interrupt.close()


def test_waiting_connections_are_told_of_changed_limits_only(
    events: EventLog, interrupt: Interrupt
) -> None:
    connections = CallerConnections(Clock(), events)
    connections.begin_wait(Waiting(WaitingConnection(1, "a", 0.0, True), interrupt))
    in_force = [LIMITS]
    task = CallerLimitsTask.start(lambda: in_force[0], connections)
    state = DesiredState(1, (), (), (), CallerLimits(), False)
    in_use = DesiredStateInUse(state, b"")
    task.tell(in_use)
    in_force[0] = replace(LIMITS, body_bytes=1)
    task.tell(in_use)
    task.tell(in_use)
    task.stop()
    assert interrupt.take() == [LimitsChanged()]


def ask(connection: socket.socket, *, head: int = 0, body: int = 0) -> int:
    """Send a request on a connection and return the status of its answer."""
    connection.sendall(
        f"POST {IDEMPOTENT_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: k\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Long: z{'z' * head}\r\n"
        f"Content-Length: {body}\r\n\r\n{'z' * body}".encode()
    )
    answer = HTTPResponse(connection)
    answer.begin()
    answer.read()
    return answer.status


def adopt(fleet: Fleet, version: int, **limits: int) -> None:
    """Publish a version with limits, and wait until the router has it."""
    named = {name.replace("_", "-"): value for name, value in limits.items()}
    fleet.publish_desired_state(desired_state(version, 1_000, limits=named))
    line = f"desired_state_adopted node=edge-1 version={version}"
    wait_until(lambda: line in fleet.read_log("edge-1"), description=line)


def test_kept_connection_has_the_limits_of_each_version(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, servers=1)
    address = (fleet.host, fleet.processes["edge-1"].port)
    with socket.create_connection(address, SOON) as kept:
        assert ask(kept) == 200
        adopt(fleet, 2, max_header_bytes=2_000, max_body_bytes=1_000)
        assert ask(kept, body=2_000) == 413
    with socket.create_connection(address, SOON) as kept:
        assert ask(kept) == 200
        adopt(fleet, 3, max_header_bytes=40_000, max_body_bytes=200_000)
        assert ask(kept, head=30_000, body=100_000) == 200


def test_call_that_waited_is_placed_by_the_limit_in_use() -> None:
    tasks: Any = Tasks([])
    choice = make_forwarder(tasks, ManualClock(start=10.0)).choice
    exchange = exchange_for("/letters/x")
    choice.choose(exchange, Delivery())
    services = tuple(replace(s, max_connections=7) for s in exchange.desired.services)
    tasks.desired.publish(replace(exchange.desired, services=services))
    choice.choose(exchange, Delivery())
    wanted = [each.message for each in tasks.told if isinstance(each, Ask)]
    assert [each.max_connections_per_server for each in wanted] == [370, 7]
