"""Blocks forwarded calls that crash the servers that run them.

Server failures during a call are counted by the call's fingerprint: on the router that
sent it, and on a few others that the fingerprint chooses, so that they add up although
a repeated call comes to other routers. A call with `MAX_SERVER_FAILURES` failures is
blocked, which all routers are told. An answer to the call resets its count. Times are
seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order

# Server failures after which a call is blocked.
MAX_SERVER_FAILURES = 3
# Time for which a call stays blocked after its last server failure, in seconds.
FAILURE_TTL_S = 120.0
# Routers that count a call's failures, beside the one that sent it.
COUNTING_ROUTERS = 4
# Calls with recorded failures; the oldest are dropped first.
MAX_TRACKED_CALLS = 4_096


@dataclass(frozen=True)
class BlockedCalls:
    """The times until which calls are blocked, by fingerprint."""

    blocked_until: Mapping[str, float] = field(default_factory=dict)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Whether a call must not be sent to any server."""
        return now < self.blocked_until.get(fingerprint, now)


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

    def block(self, fingerprint: str, now: float) -> None:
        """Block a call because another router has counted enough failures."""
        for _ in range(MAX_SERVER_FAILURES):
            self.record_failure(fingerprint, now)

    def clear_failures(self, fingerprint: str) -> bool:
        """Drop the recorded failures of a call that was answered.

        Returns:
            Whether there were any.
        """
        return self.failure_times.pop(fingerprint, None) is not None

    def blocked_calls(self, now: float) -> BlockedCalls:
        """Return the calls that are blocked."""
        return BlockedCalls(
            {
                fingerprint: times[-1] + FAILURE_TTL_S
                for fingerprint, times in self.failure_times.items()
                if self.is_blocked(fingerprint, now)
            }
        )

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Whether a call must not be sent to any server."""
        failure_times = self.failure_times.get(fingerprint, [])
        return (
            len(failure_times) >= MAX_SERVER_FAILURES
            and now - failure_times[-1] < FAILURE_TTL_S
        )


def counting_routers(fingerprint: str, routers: Iterable[str]) -> tuple[str, ...]:
    """Return the routers that count a call's failures, out of all known ones."""
    return tuple(rendezvous_order(fingerprint, routers)[:COUNTING_ROUTERS])
