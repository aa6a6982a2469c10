"""Threads that serve callers' connections, one connection at a time each."""

from __future__ import annotations

import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue

from hawthornstage.clock import Clock

# Stack of a worker, in bytes.
STACK_BYTES = 512 * 1024
# Time for which a worker waits for a further connection before it ends, in seconds.
IDLE_TIMEOUT_S = 5.0

Serve = Callable[[], None]


class StartDelays:
    """How late connections begin to be served; workers record it for admission."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.longest_s = 0.0

    def record(self, delay_s: float) -> None:
        """Record the time from a connection's accept until a worker served it."""
        with self.lock:
            self.longest_s = max(self.longest_s, delay_s)

    def take(self) -> float:
        """Return the longest delay since the last call, in seconds."""
        with self.lock:
            longest_s, self.longest_s = self.longest_s, 0.0
        return longest_s


class CallerWorkers:
    """Starts a worker for a connection unless an idle one takes it.

    A thread costs more than many calls do, and its start holds up the listener.

    Args:
        clock: The runtime's clock.
        delays: Where the delay of each connection is recorded.
    """

    def __init__(self, clock: Clock, delays: StartDelays) -> None:
        threading.stack_size(STACK_BYTES)
        self.clock = clock
        self.delays = delays
        self.waiting: SimpleQueue[tuple[Serve, float]] = SimpleQueue()
        self.lock = threading.Lock()
        # Workers that wait for a connection and have none assigned.
        self.idle = 0

    def serve(self, serve: Serve) -> None:
        """Have a worker serve a connection.

        Args:
            serve: Serves the connection until it ends; raises nothing.

        Raises:
            RuntimeError: The system gives the process no further thread.
        """
        accepted_at = self.clock.monotonic()
        with self.lock:
            has_idle = self.idle > 0
            if has_idle:
                self.idle -= 1
        if has_idle:
            self.waiting.put((serve, accepted_at))
            return
        threading.Thread(
            target=self.run, args=(serve, accepted_at), name="caller", daemon=True
        ).start()

    def run(self, serve: Serve, accepted_at: float) -> None:
        """Serve one connection after the other until none comes for a while."""
        following: tuple[Serve, float] | None = (serve, accepted_at)
        while following is not None:
            serve, accepted_at = following
            self.delays.record(self.clock.monotonic() - accepted_at)
            serve()
            with self.lock:
                self.idle += 1
            following = self.next_connection()

    def next_connection(self) -> tuple[Serve, float] | None:
        """Wait for a connection; return None if the worker is to end."""
        while True:
            try:
                return self.waiting.get(timeout=IDLE_TIMEOUT_S)
            except Empty:
                with self.lock:
                    # Without an idle worker left, one connection is on its way here.
                    if self.idle > 0:
                        self.idle -= 1
                        return None
