"""The task that finds out whether this router reaches a server."""

from __future__ import annotations

import errno
import selectors
import socket
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.actors.selector_task import CHECK_INTERVAL_S, SelectorTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.lost_servers import servers_to_compare
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.lost_servers import CheckReach, Reach, StopChecks
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_selection import RegisteredServers

# Timeout for connecting to a server, in seconds.
CONNECT_TIMEOUT_S = 0.4
# Interval of the checks for timeouts while a server is connected to, in seconds.
CONNECTING_CHECK_INTERVAL_S = 0.05


@dataclass(eq=False)
class ReachCheck:
    """One server that is connected to, and others to compare it with.

    Args:
        server: The server.
        ends_at: Monotonic time at which it counts as not reached, in seconds.
        reply_to: Get the result.
        connecting: Connections that are being opened, with their servers.
        failed: Whether the server is not reached.
        links_work: Whether another server is reached.
    """

    server: BackendServer
    ends_at: float
    reply_to: list[ReplyTo]
    connecting: dict[socket.socket, BackendServer] = field(default_factory=dict)
    failed: bool = False
    links_work: bool = False

    def note(self, server: BackendServer, *, reached: bool) -> Reach | None:
        """Note the end of a connection's opening; return the result if it is known."""
        if server is self.server:
            if reached:
                return Reach.REACHED
            self.failed = True
        elif reached:
            self.links_work = True
        return self.result if self.failed and self.links_work else None

    @property
    def result(self) -> Reach:
        """The result if nothing else is waited for."""
        return Reach.UNREACHED if self.links_work else Reach.UNKNOWN


class ReachChecks(SelectorTask):
    """Owns the connections that find out whether a server is reached.

    Args:
        node: This router's name.
        registered: The servers that may get calls.
        links: This router's links to servers.
        clock: The runtime's clock.
    """

    def __init__(
        self,
        node: str,
        registered: LatestValue[RegisteredServers],
        links: LatestValue[ServerLinks],
        clock: Clock,
    ) -> None:
        super().__init__("reach-checks", selectors.DefaultSelector(), clock)
        self.node = node
        self.registered = registered
        self.links = links
        self.checks: dict[str, ReachCheck] = {}

    @property
    def check_interval_s(self) -> float:
        return CONNECTING_CHECK_INTERVAL_S if self.checks else CHECK_INTERVAL_S

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=CheckReach(server), reply_to=reply_to):
                self.begin(server, reply_to)
            case StopChecks():
                self.stopped = True

    def end_failed(self, concerned: Any) -> None:
        match concerned:
            case Ask(message=CheckReach(server)) if server.incarnation in self.checks:
                self.end(self.checks[server.incarnation], Reach.UNKNOWN)
            case Ask(reply_to=reply_to):
                reply_to.put(Reach.UNKNOWN)
            case ReachCheck():
                self.end(concerned, Reach.UNKNOWN)

    def begin(self, server: BackendServer, reply_to: ReplyTo) -> None:
        """Connect to a server and some others, unless that is going on."""
        now = self.clock.monotonic()
        known = self.checks.get(server.incarnation)
        if known is not None:
            known.reply_to.append(reply_to)
            return
        check = ReachCheck(server, now + CONNECT_TIMEOUT_S, [reply_to])
        self.checks[server.incarnation] = check
        others = servers_to_compare(
            server, self.node, self.registered.value, self.links.value.failed, now
        )
        for each in (server, *others):
            self.connect(check, each)
        self.end_if_idle(check)

    def connect(self, check: ReachCheck, server: BackendServer) -> None:
        """Begin to open one connection of a check."""
        connection = socket.socket()
        connection.setblocking(False)
        check.connecting[connection] = server
        self.selector.register(connection, selectors.EVENT_WRITE, check)
        error = connection.connect_ex((server.host, server.port))
        if error not in (0, errno.EINPROGRESS):
            self.end_connection(check, connection, reached=False)

    def handle_ready(self, owner: Any, ready: int) -> None:
        match owner:
            case ReachCheck():
                self.find_opened(owner)
            case handler:
                handler()

    def find_opened(self, check: ReachCheck) -> None:
        """Note which connections of a check are open or have failed."""
        for connection in list(check.connecting):
            if self.checks.get(check.server.incarnation) is not check:
                return
            error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.end_connection(check, connection, reached=False)
            elif is_open(connection):
                self.end_connection(check, connection, reached=True)
        self.end_if_idle(check)

    def end_connection(
        self, check: ReachCheck, connection: socket.socket, *, reached: bool
    ) -> None:
        """Close one connection of a check, and end the check if it is decided."""
        server = check.connecting.pop(connection)
        self.selector.unregister(connection)
        connection.close()
        result = check.note(server, reached=reached)
        if result is not None:
            self.end(check, result)

    def end_if_idle(self, check: ReachCheck) -> None:
        """End a check that waits for nothing."""
        if not check.connecting and check.server.incarnation in self.checks:
            self.end(check, check.result)

    def end(self, check: ReachCheck, result: Reach) -> None:
        """Close the connections of a check and send its result."""
        self.checks.pop(check.server.incarnation, None)
        for connection in check.connecting:
            if connection in self.selector.get_map():
                self.selector.unregister(connection)
            connection.close()
        check.connecting.clear()
        for each in check.reply_to:
            each.put(result)

    def check_timeouts(self, now: float) -> None:
        for check in list(self.checks.values()):
            if now >= check.ends_at:
                self.end(check, check.result)

    def close_all(self) -> None:
        for check in list(self.checks.values()):
            self.end(check, Reach.UNKNOWN)
        super().close_all()


def is_open(connection: socket.socket) -> bool:
    """Whether a connection that reports no error has been opened."""
    try:
        connection.getpeername()
    except OSError:
        return False
    return True
