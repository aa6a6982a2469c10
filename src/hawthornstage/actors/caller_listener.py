"""The task that accepts the connections of callers."""

from __future__ import annotations

import socket
import threading

from hawthornstage.actors.callers import (
    CallerTask,
    ConnectionCounter,
    ForwardPipe,
    StopSignal,
)
from hawthornstage.border.sockets import READABLE, wait_ready
from hawthornstage.messages.host_settings import SocketAddress

# Listen backlog: connections that may wait to be accepted.
BACKLOG = 512
# Connections served at once; further ones wait to be accepted.
MAX_CONNECTIONS = 512
# Stack of a connection's thread, in bytes.
STACK_BYTES = 512 * 1024
# Longest wait for a connection before the next one, in seconds.
ACCEPT_WAIT_S = 3600.0


class CallerListener(threading.Thread):
    """Owns the listening socket, and starts a task for each caller's connection.

    Args:
        address: The address to listen on.
        pipe: The filters that serve a request.
        stopping: Signals to connections that the router stops.
    """

    def __init__(
        self, address: SocketAddress, pipe: ForwardPipe, stopping: StopSignal
    ) -> None:
        super().__init__(name="callers", daemon=True)
        threading.stack_size(STACK_BYTES)
        self.pipe = pipe
        self.stopping = stopping
        self.counter = ConnectionCounter(pipe.clock)
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
                self.counter.wait_until_below(MAX_CONNECTIONS, None)
        self.socket.close()

    def accept(self) -> bool:
        """Accept one connection; return False if none waits."""
        try:
            connection, _ = self.socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            self.pipe.events.emit("accept_failed", reason=str(error))
            return False
        self.counter.add_connection()
        CallerTask(connection, self.pipe, self.stopping, self.counter).start()
        return True

    def wait_ended(self, timeout: float) -> bool:
        """Wait until all connections have ended; return False after `timeout` seconds.

        A request that is still being read counts as well as one that is served.
        """
        return self.counter.wait_until_below(1, timeout)

    def close(self, timeout: float) -> None:
        """Stop listening once the connections that wait are accepted.

        Args:
            timeout: Longest wait in seconds.
        """
        self.close_trigger.close()
        self.join(timeout)
