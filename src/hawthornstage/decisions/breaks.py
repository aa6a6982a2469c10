"""Finding calls that crash the servers that run them.

Every break of a server under a call is counted on all routers, by the call's
fingerprint. A call with enough breaks on different servers is blocked. A call that
gets an answer is cleared. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Servers that a call may break before it is blocked.
MAX_BREAKS = 3
# Time after the last break until it is forgotten, in seconds.
FORGET_S = 120.0
# Calls that are remembered; the oldest go first.
MAX_CALLS = 4_096


@dataclass
class Breaks:
    """The breaks that a router knows of, by fingerprint."""

    times: OrderedDict[str, list[float]] = field(default_factory=OrderedDict)

    def add(self, fingerprint: str, now: float) -> None:
        """Count a break."""
        times = self.times.pop(fingerprint, [])
        self.times[fingerprint] = [*times, now][-MAX_BREAKS:]
        while len(self.times) > MAX_CALLS:
            self.times.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Forget a call's breaks: it was answered."""
        self.times.pop(fingerprint, None)

    def blocked(self, fingerprint: str, now: float) -> bool:
        """Tell whether a call must not be sent to any server."""
        times = self.times.get(fingerprint, [])
        return len(times) >= MAX_BREAKS and now - times[-1] < FORGET_S
