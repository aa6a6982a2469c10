"""Decides whether an overloaded router takes new connections.

A router that stays overloaded although it refuses calls pauses: its callers' next
connections go to others. It stays away for a bounded time and takes part again for a
longer one, whatever its load, so that not all routers of a fleet stay away together.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time for which the router's tasks must run late before it takes no new connections, in
# seconds.
OVERLOADED_FOR_S = 1.0
# Share of the lateness at which calls are shed from which a router pauses: callers that
# go elsewhere in time need not be refused.
PRESSED_SHARE = 0.25
# Weight of a new lateness in the average.
LATENESS_WEIGHT = 0.3
# Length of a pause, in seconds.
PAUSE_S = 30.0
# Shortest time from the end of a pause to the next one, in seconds.
REST_S = 240.0
# Fewest other routers with which a router pauses: fewer could not take its callers.
MIN_OTHERS = 11


@dataclass
class ConnectionPause:
    """When the router takes no new connections.

    Args:
        late_s: Average lateness of the router's tasks, in seconds.
        pressed_since: Time since when they run late, or None.
        paused_until: End of the latest pause.
    """

    late_s: float = 0.0
    pressed_since: float | None = None
    paused_until: float = float("-inf")

    def update(self, late_s: float, limit_s: float, others: int, now: float) -> None:
        """Begin a pause if the router's tasks have run late for long enough.

        Args:
            late_s: How late a task ran, in seconds.
            limit_s: Lateness at which calls are shed, in seconds.
            others: Other routers that are known.
            now: Monotonic time in seconds.
        """
        # One long stall weighs no more than a moment of overload.
        bounded_s = min(late_s, limit_s)
        self.late_s += LATENESS_WEIGHT * (bounded_s - self.late_s)
        if self.late_s <= limit_s * PRESSED_SHARE:
            self.pressed_since = None
            return
        if self.pressed_since is None:
            self.pressed_since = now
        lasted_s = now - self.pressed_since
        rested = now >= self.paused_until + REST_S
        if lasted_s >= OVERLOADED_FOR_S and rested and others >= MIN_OTHERS:
            self.paused_until = now + PAUSE_S

    def is_paused(self, now: float) -> bool:
        """Whether the router takes no new connections now."""
        return now < self.paused_until
