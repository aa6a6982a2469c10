"""Streams do not go on at servers that may have another version by now."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from hawthornstage.actors.servers.registry import ServerRegistry
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.clock import ManualClock
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.store import Changes, Listing, StoreRefused
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.server_reports import decode_started_ms
from tests.connection_pair import REQUEST, CallerPair
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
    read_all,
    server_at,
)
from tests.test_delivery import EVENTS, sealed
from tests.test_server_registry import BOUNDS, ScriptedStore, entry_item

RESUMABLE = "/letters/long/x"
BROKEN_OFF = sealed(EVENTS + b"id: 3\ndata: c\n\n")[:-9]
REST = sealed(b"id: 3\ndata: c\n\n")


class ReportingServer:
    """A server that says which process it is, and then answers one call.

    Args:
        report: The report's bytes, or None to close instead.
    """

    def __init__(self, report: bytes | None) -> None:
        self.report = report
        self.calls: list[bytes] = []
        self.on_report: Callable[[], None] = lambda: None

    def start(self) -> SocketAddress:
        """Listen in a thread of its own."""
        self.socket = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.run, daemon=True).start()
        return SocketAddress(*self.socket.getsockname())

    def run(self) -> None:
        """Serve one connection."""
        connection, _ = self.socket.accept()
        with connection:
            data = b""
            while chunk := connection.recv(65_536):
                data += chunk
                if data.startswith(b"GET /-/report ") and data.endswith(b"\r\n\r\n"):
                    data = b""
                    self.on_report()
                    if self.report is None:
                        return
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                    connection.sendall(head % len(self.report) + self.report)
                elif data.endswith(b"text"):
                    self.calls.append(data)
                    connection.sendall(REST)
                    return


def deliver(
    pair: CallerPair, servers: list[Any], *, began_at: str | None, current: bool
) -> Delivery:
    """Forward one call of a resumable route; return what was done for it.

    Args:
        pair: The caller's connection.
        servers: The servers, in the order in which they are chosen.
        began_at: Version that began the stream, or None if it begins.
        current: Whether the list of servers is.
    """
    return deliver_by(
        Tasks([each.start() for each in servers]), pair, began_at, current
    )


def deliver_by(
    tasks: Any, pair: CallerPair, began_at: str | None, current: bool
) -> Delivery:
    """Forward one call as `deliver` does, with tasks that the test has prepared."""
    servers_known = tasks.registered.value.servers
    tasks.registered = LatestValue(RegisteredServers(servers_known, current=current))
    exchange = replace(exchange_for(RESUMABLE), stream_version=began_at)
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    assert isinstance(pair.receive(), RawRequest)
    delivery = Delivery()
    forwarder = make_forwarder(tasks, ManualClock(start=10.0))
    forwarder.deliver(exchange, pair.connection, delivery)
    return delivery


def report(born: Any) -> bytes:
    """Return a server's report."""
    return json.dumps({"stage": "both", "born": born}).encode()


def test_stream_that_begins_while_the_list_may_be_old_does_not_go_on_elsewhere(
    pair: CallerPair,
) -> None:
    second = ScriptedServer([REST])
    servers = [ScriptedServer([BROKEN_OFF]), second]
    delivery = deliver(pair, servers, began_at=None, current=False)
    assert (delivery.events, delivery.stream_version) == (2, None)
    assert second.seen == []
    assert not read_all(pair).endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "says", [report(2), report("1"), report(True), b"none", b"{}", None]
)
def test_stream_goes_on_only_at_the_process_in_the_list(
    pair: CallerPair, says: bytes | None
) -> None:
    other, same = ReportingServer(says), ReportingServer(report(1))
    delivery = deliver(pair, [other, same], began_at="", current=False)
    assert server_at(SocketAddress("h", 1)).started_ms == 1
    assert (len(other.calls), len(same.calls)) == (0, 1)
    assert (delivery.events, delivery.attempts) == (1, 1)


def test_server_that_leaves_while_it_is_asked_gets_no_call(pair: CallerPair) -> None:
    server = ReportingServer(report(1))
    tasks = Tasks([server.start()])
    (known,) = tasks.registered.value.servers.values()
    leaving = ServerNotices(leaving={known.incarnation: 10.0})
    server.on_report = lambda: tasks.notices.publish(leaving)
    delivery = deliver_by(tasks, pair, "", False)
    assert tasks.notices.value == leaving
    assert (server.calls, delivery.attempts) == ([], 0)


def test_servers_are_not_asked_while_the_list_is_current(pair: CallerPair) -> None:
    server = ScriptedServer([REST])
    delivery = deliver(pair, [server], began_at="", current=True)
    assert delivery.events == 1
    assert server.seen[0].startswith(b"POST")


def test_servers_are_asked_if_the_store_may_have_been_silent_since(
    pair: CallerPair,
) -> None:
    other, same = ReportingServer(report(2)), ReportingServer(report(1))
    tasks = Tasks([other.start(), same.start()])
    # The clock of the call stands at 10 s; a watch without news may wait for seconds.
    tasks.servers_heard_at.publish(9.0)
    delivery = deliver_by(tasks, pair, "", True)
    assert (len(other.calls), len(same.calls)) == (0, 1)
    assert (delivery.events, delivery.attempts) == (1, 1)


def test_report_without_a_start_is_of_a_server_that_names_none() -> None:
    assert decode_started_ms(b"{}") == 0
    assert decode_started_ms(report(7)) == 7
    assert decode_started_ms(report(-1)) is None
    assert decode_started_ms(b"[]") is None


def test_list_is_not_current_from_a_failed_call_to_the_next_answer(
    clock: ManualClock, events: EventLog
) -> None:
    registered = LatestValue(RegisteredServers({}))
    store = ScriptedStore(
        Listing((entry_item("a", 1),), 1), StoreRefused("503"), Changes((), 1)
    )
    registry = ServerRegistry(
        store,  # type: ignore[arg-type]
        (),
        registered,
        LatestValue(3),
        lambda: BOUNDS,
        clock,
        events,
    )
    seen = []
    for _ in range(3):
        registry.step()
        seen.append((registered.value.current, sorted(registered.value.servers)))
    assert seen == [(True, ["a"]), (False, ["a"]), (True, ["a"])]
