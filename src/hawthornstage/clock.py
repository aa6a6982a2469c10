"""The clock of all tasks, which tests replace by one that they advance."""

from __future__ import annotations

import threading
import time


class Clock:
    """The system clocks: monotonic for durations, wall time for records."""

    def monotonic(self) -> float:
        """Return the reading of a clock that never decreases, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def wait(self, condition: threading.Condition, timeout: float | None) -> bool:
        """Wait on a condition whose lock is held, for at most `timeout` seconds.

        The seconds are those of this clock; None waits without a limit.

        Returns:
            False if the timeout expired.
        """
        return condition.wait(timeout)


class ManualClock(Clock):
    """A clock whose time changes only when a test advances it.

    Args:
        start: The initial reading, in seconds.
    """

    def __init__(self, *, start: float = 1_000.0) -> None:
        self.now = start
        self.waiting: set[threading.Condition] = set()
        self.lock = threading.Lock()

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def wait(self, condition: threading.Condition, timeout: float | None) -> bool:
        if timeout is None:
            return condition.wait()
        deadline = self.now + timeout
        with self.lock:
            self.waiting.add(condition)
        notified = condition.wait() if self.now < deadline else False
        with self.lock:
            self.waiting.discard(condition)
        return notified and self.now < deadline

    def advance(self, seconds: float) -> None:
        """Advance the time and wake every waiter to check its timeout again."""
        self.now += seconds
        with self.lock:
            waiting = list(self.waiting)
        for condition in waiting:
            with condition:
                condition.notify_all()
