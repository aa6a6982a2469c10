"""Bounds the number of log lines a second; failures go before routine."""

from __future__ import annotations

import threading

from hawthornstage.clock import Clock

# Lines that a process writes in a second at most, and routine ones among them.
MAX_LINES_S = 400
MAX_ROUTINE_LINES_S = 200


class LineQuota:
    """Counts the lines of the present second.

    Args:
        clock: The runtime's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.second = -1
        self.written = 0
        self.left_out = 0
        self.lock = threading.Lock()

    def take(self, *, routine: bool) -> bool:
        """Ask for one line; a line that is left out is counted."""
        second = int(self.clock.monotonic())
        with self.lock:
            if second != self.second:
                self.second, self.written = second, 0
            if self.written >= (MAX_ROUTINE_LINES_S if routine else MAX_LINES_S):
                self.left_out += 1
                return False
            self.written += 1
            return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last look."""
        with self.lock:
            count, self.left_out = self.left_out, 0
            return count
