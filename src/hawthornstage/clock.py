"""The runtime's clock, which tests pause and advance."""

from __future__ import annotations

import threading
import time


class Clock:
    """The system's time: monotonic for durations, wall time for records."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def wait(self, condition: threading.Condition, timeout: float | None) -> bool:
        """Wait on a held condition for at most `timeout` seconds of this clock.

        Returns:
            False if the time ran out.
        """
        return condition.wait(timeout)


class ManualClock(Clock):
    """A clock that stands still until a test advances it.

    Args:
        start: The first reading, in seconds.
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
        """Move time forward and wake every waiter, which then looks at it again."""
        self.now += seconds
        with self.lock:
            waiting = list(self.waiting)
        for condition in waiting:
            with condition:
                condition.notify_all()
