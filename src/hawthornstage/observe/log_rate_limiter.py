"""Limits the log lines per second and reserves a part of them for failures."""

from __future__ import annotations

import threading

from hawthornstage.clock import Clock

# Maximum lines per second of a process; routine lines stop at the lower limit.
MAX_LINES_PER_S = 400
MAX_ROUTINE_LINES_PER_S = 200


class LogRateLimiter:
    """Counts the lines of the current second of monotonic time.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.second = -1
        self.written = 0
        self.omitted = 0
        self.lock = threading.Lock()

    def try_acquire(self, *, routine: bool) -> bool:
        """Return whether a line may be written now; count it as omitted if not.

        Args:
            routine: Whether the limit of routine lines applies.
        """
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
        """Return the number of lines omitted since the previous call."""
        with self.lock:
            count, self.omitted = self.omitted, 0
            return count
