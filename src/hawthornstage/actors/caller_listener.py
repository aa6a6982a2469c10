"""The task that accepts the connections of callers."""

from __future__ import annotations

import socket
import threading
from itertools import count

from hawthornstage.actors.caller_connections import CallerConnections
from hawthornstage.actors.caller_workers import CallerWorkers
from hawthornstage.actors.callers import (
    Answerer,
    CallerIntake,
    CallerTask,
    StopSignal,
)
from hawthornstage.border.sockets import READABLE, wait_ready
from hawthornstage.decisions.connection_limits import MIN_CONNECTIONS, derive_limits
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.host_settings import SocketAddress

# Listen backlog: connections that may wait to be accepted.
BACKLOG = 512
# Wait after a connection could not be accepted, in seconds.
FAILED_ACCEPT_WAIT_S = 0.1
# Longest wait for a connection before the next one, in seconds.
ACCEPT_WAIT_S = 3600.0


class CallerListener(threading.Thread):
    """Owns the listening socket, and has a worker serve each caller's connection.

    Args:
        address: The address to listen on.
        intake: What connections share while they read.
        answerer: Serves complete requests.
        stopping: Signals to connections that the router stops.
        connections: Counts the connections.
        memory_scarce: Whether the process has more memory than it should.
    """

    def __init__(
        self,
        address: SocketAddress,
        intake: CallerIntake,
        answerer: Answerer,
        stopping: StopSignal,
        connections: CallerConnections,
        memory_scarce: LatestValue[bool],
    ) -> None:
        super().__init__(name="callers", daemon=True)
        self.intake = intake
        self.answerer = answerer
        self.stopping = stopping
        self.connections = connections
        self.memory_scarce = memory_scarce
        self.workers = CallerWorkers(intake.clock, intake.start_delays)
        self.max_connections = derive_limits(intake.host).connections
        self.numbers = count()
        self.socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG, reuse_port=False
        )
        self.socket.setblocking(False)
        self.close_wake, self.close_trigger = socket.socketpair()

    @property
    def port(self) -> int:
        """The bound port, chosen by the system if the address has port 0."""
        return self.socket.getsockname()[1]

    def run(self) -> None:
        """Accept connections until `close`, then those that still wait."""
        watched = [(self.socket, READABLE), (self.close_wake, READABLE)]
        closing = False
        while not closing:
            ready = wait_ready(watched, ACCEPT_WAIT_S)
            closing = self.close_wake.fileno() in ready
            while self.accept():
                pass
        self.socket.close()

    def accept(self) -> bool:
        """Accept one connection and make room for it; return False if none waits."""
        try:
            connection, (address, _) = self.socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            self.intake.events.emit("accept_failed", reason=str(error))
            wait_ready([(self.close_wake, READABLE)], FAILED_ACCEPT_WAIT_S)
            return False
        self.connections.make_room(self.limit())
        self.connections.add_connection()
        try:
            task = CallerTask(
                connection,
                self.intake,
                self.answerer,
                self.stopping,
                self.connections,
                next(self.numbers),
                address,
            )
            self.workers.serve(task.run)
        except Exception as error:
            # The caller has reset it, or the system gives the process no thread more;
            # whatever it was, the next caller is accepted.
            self.intake.events.emit("accept_failed", reason=str(error))
            connection.close()
            self.connections.remove_connection()
        return True

    def limit(self) -> int:
        """Return the connections that may be open with one more.

        While memory is scarce, another one has to give way for each new one.
        """
        if not self.memory_scarce.value:
            return self.max_connections
        return min(self.max_connections, max(MIN_CONNECTIONS, self.connections.count))

    def wait_ended(self, timeout: float) -> bool:
        """Wait until all connections have ended; return False after `timeout` seconds.

        A request that is still being read counts as well as one that is served.
        """
        return self.connections.wait_until_below(1, timeout)

    def close(self, timeout: float) -> None:
        """Stop listening once the connections that wait are accepted.

        Args:
            timeout: Longest wait in seconds.
        """
        self.close_trigger.close()
        self.join(timeout)
