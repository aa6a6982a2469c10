"""Blocks forwarded calls that crash the servers that run them.

Every server failure during a call is counted on all routers, by the call's
fingerprint. A call with `MAX_SERVER_FAILURES` failures is blocked. An answer to the
call resets its count. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Server failures after which a call is blocked.
MAX_SERVER_FAILURES = 3
# Time for which a call stays blocked after its last server failure, in seconds.
FAILURE_TTL_S = 120.0
# Calls with recorded failures; the oldest are dropped first.
MAX_TRACKED_CALLS = 4_096


@dataclass
class ServerFailures:
    """Times of the latest server failures known to a router, by fingerprint."""

    failure_times: OrderedDict[str, list[float]] = field(default_factory=OrderedDict)

    def record_failure(self, fingerprint: str, now: float) -> None:
        """Record a server failure during a call."""
        failure_times = self.failure_times.pop(fingerprint, [])
        self.failure_times[fingerprint] = [*failure_times, now][-MAX_SERVER_FAILURES:]
        while len(self.failure_times) > MAX_TRACKED_CALLS:
            self.failure_times.popitem(last=False)

    def clear_failures(self, fingerprint: str) -> None:
        """Drop the recorded failures of a call that was answered."""
        self.failure_times.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Whether a call must not be sent to any server."""
        failure_times = self.failure_times.get(fingerprint, [])
        return (
            len(failure_times) >= MAX_SERVER_FAILURES
            and now - failure_times[-1] < FAILURE_TTL_S
        )
