"""Finding calls that crash the servers that run them.

Every break of a server under a call is counted on all routers, by the call's
fingerprint. A call with enough breaks on different servers is blocked. A call that
gets an answer is cleared. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Servers that a call may break before it is blocked.
MAX_SERVER_FAILURES = 3
# Time after the last break until it is forgotten, in seconds.
FAILURE_TTL_S = 120.0
# Calls that are remembered; the oldest go first.
MAX_TRACKED_CALLS = 4_096


@dataclass
class ServerFailures:
    """The breaks that a router knows of, by fingerprint."""

    failure_times: OrderedDict[str, list[float]] = field(default_factory=OrderedDict)

    def record_failure(self, fingerprint: str, now: float) -> None:
        """Count a break."""
        failure_times = self.failure_times.pop(fingerprint, [])
        self.failure_times[fingerprint] = [*failure_times, now][-MAX_SERVER_FAILURES:]
        while len(self.failure_times) > MAX_TRACKED_CALLS:
            self.failure_times.popitem(last=False)

    def clear_failures(self, fingerprint: str) -> None:
        """Forget a call's breaks: it was answered."""
        self.failure_times.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Tell whether a call must not be sent to any server."""
        failure_times = self.failure_times.get(fingerprint, [])
        return (
            len(failure_times) >= MAX_SERVER_FAILURES
            and now - failure_times[-1] < FAILURE_TTL_S
        )
