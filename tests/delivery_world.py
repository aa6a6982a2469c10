"""Servers that play a script, and the parts that forward calls to them."""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

from hawthornstage.clock import Clock
from hawthornstage.decisions.crashing_parts import BlockedParts
from hawthornstage.decisions.forwarding import resolve_call
from hawthornstage.decisions.server_failures import BlockedCalls
from hawthornstage.errors import Failure
from hawthornstage.filters.admit import AdmitCall
from hawthornstage.filters.attempt_reports import AttemptReports
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.forward import BlockCrashingCalls
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.filters.forward_choice import ServerChoice
from hawthornstage.filters.permits import Permits
from hawthornstage.filters.server_dialer import ServerDialer
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.filters.server_versions import ServerVersions
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.admission import (
    AdmissionPolicy,
    RequestRoom,
    RoomDenied,
    RoomGranted,
)
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.forward import (
    Delivery,
    ForwardExchange,
    PlacementBasis,
)
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    ServerChosen,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.desired_state import decode_desired_state
from tests.connection_pair import (
    CallerPair,
)
from tests.test_forwarding import document, make_call


@dataclass
class ScriptedServer:
    """A backend server that sends prepared bytes to each connection in turn.

    Args:
        answers: For each connection its bytes, or None to wait for the end.
        reset: Whether connections end with a reset.
        seen: What came in.
        left: Set when a connection was closed by the router.
    """

    answers: list[bytes | None]
    reset: bool = False
    seen: list[bytes] = field(default_factory=list)
    left: threading.Event = field(default_factory=threading.Event)

    def start(self) -> SocketAddress:
        """Listen in a thread of its own."""
        self.socket = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.run, daemon=True).start()
        return SocketAddress(*self.socket.getsockname())

    def run(self) -> None:
        """Serve the connections."""
        for answer in self.answers:
            connection, _ = self.socket.accept()
            with connection:
                data = b""
                while not data.endswith(b"text") and (chunk := connection.recv(65_536)):
                    data += chunk
                self.seen.append(data)
                if answer is None:
                    if not connection.recv(1):
                        self.left.set()
                    continue
                connection.sendall(answer)
                if self.reset:
                    linger = b"\x01\0\0\0\0\0\0\0"
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def server_id(address: SocketAddress) -> str:
    """Return the id of the server at an address."""
    return f"i-{address.port}"


def server_at(address: SocketAddress, *, leaving: bool = False) -> BackendServer:
    """Return the server at an address."""
    return BackendServer(
        server_id(address), "models", address.host, address.port, "z", 1, leaving, 1
    )


class Tasks:
    """Stands for the tasks that choose servers and count breaks."""

    def __init__(self, addresses: list[SocketAddress]) -> None:
        self.addresses = addresses
        servers = {server_id(each): server_at(each) for each in addresses}
        self.registered = LatestValue(RegisteredServers(servers))
        self.servers_heard_at = LatestValue(math.inf)
        self.processes_confirmed: LatestValue[Any] = LatestValue({})
        self.blocked_calls = LatestValue(BlockedCalls())
        self.blocked_parts = LatestValue(BlockedParts())
        self.notices = LatestValue(ServerNotices())
        self.evacuations = LatestValue(Evacuations())
        self.links = LatestValue(ServerLinks())
        self.peers: Any = self
        self.desired: LatestValue[DesiredState | None] = LatestValue(None)
        self.room: RoomGranted | RoomDenied = RoomGranted()
        self.told: list[Any] = []

    def tell(self, message: Any) -> None:
        """Take a message; give the next server to who asks for one."""
        self.told.append(message)
        reply_to = getattr(message, "reply_to", None)
        if reply_to is None:
            return
        if isinstance(message.message, RequestRoom):
            reply_to.put(self.room)
            return
        if not self.addresses:
            reply_to.put(NoServerAvailable("none is left", all_attempted=True))
            return
        server = server_at(self.addresses.pop(0))
        reply_to.put(ServerChosen(server, PlacementBasis()))


# Forwards one call to scripted servers.
Deliver = Callable[..., tuple[Failure | None, Delivery]]


def make_forwarder(tasks: Any, clock: Clock) -> Forwarder:
    """Return a forwarder whose tasks are all stood for by one object."""
    block = BlockCrashingCalls(tasks.blocked_calls, tasks.blocked_parts, clock)
    permits = Permits(tasks, tasks.peers, tasks.notices, tasks.evacuations, clock)
    metrics = Metrics()
    events = EventLog("a", clock)
    choice = ServerChoice(tasks, permits, clock, metrics, tasks.desired)
    admit = AdmitCall(tasks, LatestValue(AdmissionPolicy()), clock, metrics)
    dialer = ServerDialer(tasks.links, tasks, tasks.peers, clock, events, metrics)
    versions = ServerVersions(
        tasks,
        tasks,
        LatestValue(frozenset()),
        ConfirmProcess(clock, events),
        permits,
        tasks.registered,
        tasks.servers_heard_at,
        tasks.processes_confirmed,
        clock,
    )
    return Forwarder(
        serving=tasks,
        crashing_parts=tasks,
        choice=choice,
        admit=admit,
        block=block,
        permits=permits,
        dialer=dialer,
        versions=versions,
        reports=AttemptReports(
            tasks, tasks, tasks, choice, permits, dialer, events, metrics
        ),
        memory=ConnectionMemory(tasks, clock),
        registered=tasks.registered,
        clock=clock,
        metrics=metrics,
    )


def exchange_for(target: str, *, arrived: float = 10.0) -> ForwardExchange:
    """Return a call that has passed the filters."""
    call = replace(make_call(target), arrived=arrived)
    exchange = resolve_call(call, decode_desired_state(document()))
    assert not isinstance(exchange, Failure)
    return exchange


def read_all(pair: CallerPair) -> bytes:
    """Close the router's end and return what the caller got.

    A response that is not complete ends with a reset for callers without chunks.
    """
    pair.connection.close()
    data = b""
    with suppress(ConnectionResetError):
        while chunk := pair.caller.recv(65_536):
            data += chunk
    return data


def closed_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]
