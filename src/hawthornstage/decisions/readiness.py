"""Decides whether an overloaded router takes new connections.

Answers a router that stays overloaded although it refuses calls: its callers' next
connections go to others. It stays away for a bounded time and takes part again for a
longer one, whatever its load, so that not all routers of a fleet stay away together.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time of overload after which the router takes no new connections, in seconds.
OVERLOADED_FOR_S = 1.0
# Time for which it takes none, and least time until it may do so again, in seconds.
PAUSE_S = 5.0
REST_S = 40.0
# Other routers that must be known.
MIN_OTHERS = 4


@dataclass
class ConnectionPause:
    """When the router takes no new connections.

    Args:
        overloaded_since: Start of the present overload, or None.
        paused_until: End of the latest pause.
    """

    overloaded_since: float | None = None
    paused_until: float = float("-inf")

    def update(self, *, overloaded: bool, others: int, now: float) -> None:
        """Begin a pause if the router has been overloaded for long enough.

        Args:
            overloaded: Whether the router is overloaded now.
            others: Other routers that are known.
            now: Monotonic time in seconds.
        """
        if not overloaded:
            self.overloaded_since = None
            return
        if self.overloaded_since is None:
            self.overloaded_since = now
        lasted_s = now - self.overloaded_since
        rested = now >= self.paused_until + REST_S
        if lasted_s >= OVERLOADED_FOR_S and rested and others >= MIN_OTHERS:
            self.paused_until = now + PAUSE_S

    def is_paused(self, now: float) -> bool:
        """Whether the router takes no new connections now."""
        return now < self.paused_until
