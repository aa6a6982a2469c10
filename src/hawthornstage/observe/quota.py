"""Bounds the number of log lines a second; failures go before routine."""

from __future__ import annotations

import threading

from hawthornstage.clock import Clock

# Lines that a process writes in a second at most, and routine ones among them.
MAX_LINES_PER_S = 400
MAX_ROUTINE_LINES_PER_S = 200


class LogRateLimiter:
    """Counts the lines of the present second.

    Args:
        clock: The runtime's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.second = -1
        self.written = 0
        self.omitted = 0
        self.lock = threading.Lock()

    def try_acquire(self, *, routine: bool) -> bool:
        """Ask for one line; a line that is left out is counted."""
        second = int(self.clock.monotonic())
        with self.lock:
            if second != self.second:
                self.second, self.written = second, 0
            if self.written >= (
                MAX_ROUTINE_LINES_PER_S if routine else MAX_LINES_PER_S
            ):
                self.omitted += 1
                return False
            self.written += 1
            return True

    def take_omitted_count(self) -> int:
        """Return how many lines were left out since the last look."""
        with self.lock:
            count, self.omitted = self.omitted, 0
            return count
