"""Blocks forwarded calls that crash the servers that run them.

Server failures during a call are counted by the call's fingerprint: on the router that
sent it, and on a few others that the fingerprint chooses, so that they add up although
a repeated call comes to other routers. A call with `MAX_SERVER_FAILURES` failures is
blocked, which all routers are told. An answer to the call resets its count, and
failures soon after it do not count, as the same sound call may come from many callers.
Times are seconds of the monotonic clock.
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
# Time for which an answer shows that a call crashes no servers, in seconds.
ANSWER_TTL_S = 10.0
# Calls with recorded failures, and with recorded answers; the oldest are dropped first.
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
    """What a router knows of calls and the servers that failed during them.

    Args:
        failure_times: Times of the latest server failures, by fingerprint.
        answer_times: Time of the latest answer on this router, by fingerprint.
    """

    failure_times: OrderedDict[str, list[float]] = field(default_factory=OrderedDict)
    answer_times: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def is_answered(self, fingerprint: str, now: float) -> bool:
        """Whether a call was answered not long ago."""
        answered_at = self.answer_times.get(fingerprint, float("-inf"))
        return now - answered_at < ANSWER_TTL_S

    def record_failure(self, fingerprint: str, now: float) -> None:
        """Record a server failure during a call, unless the call is known as sound."""
        if self.is_answered(fingerprint, now):
            return
        failure_times = self.failure_times.pop(fingerprint, [])
        self.failure_times[fingerprint] = [*failure_times, now][-MAX_SERVER_FAILURES:]
        while len(self.failure_times) > MAX_TRACKED_CALLS:
            self.failure_times.popitem(last=False)

    def block(self, fingerprint: str, now: float, age_s: float = 0.0) -> None:
        """Block a call because another router has counted enough failures.

        Args:
            fingerprint: Hash of the call.
            now: Time of the news.
            age_s: Time since the last failure, in seconds.
        """
        if self.is_answered(fingerprint, now):
            return
        failed_at = max([now - age_s, *self.failure_times.get(fingerprint, [])])
        for _ in range(MAX_SERVER_FAILURES):
            self.record_failure(fingerprint, failed_at)

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Record that a call was answered, and drop its failures.

        Returns:
            Whether there were any.
        """
        self.answer_times.pop(fingerprint, None)
        self.answer_times[fingerprint] = now
        while len(self.answer_times) > MAX_TRACKED_CALLS:
            self.answer_times.popitem(last=False)
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

    def last_failure(self, fingerprint: str) -> float:
        """Return the time of a call's last failure, which must be known."""
        return self.failure_times[fingerprint][-1]

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
