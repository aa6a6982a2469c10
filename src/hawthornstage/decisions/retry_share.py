"""A router's own share of the fleet's retries, counted over a sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class RetryLimits:
    """How many retries a fleet may make.

    Args:
        ratio: Retries for each request.
        slack: Retries beyond that.
        window_s: Time over which both are counted, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass
class RetryShare:
    """Counts requests and retries for each service.

    Args:
        limits: Returns the terms as they are now.
    """

    limits: Callable[[], RetryLimits]
    requests: dict[str, deque[float]] = field(default_factory=dict)
    retries: dict[str, deque[float]] = field(default_factory=dict)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        since = now - self.limits().window_s
        recent_times(self.requests, service, since).append(now)

    def take(self, service: str, routers: int, now: float) -> bool:
        """Ask for one retry.

        Args:
            service: Where the retry goes.
            routers: Routers that share the slack; too many is safe.
            now: Monotonic time in seconds.

        Returns:
            False if this router's share is used up.
        """
        limits = self.limits()
        since = now - limits.window_s
        recent_retries = recent_times(self.retries, service, since)
        recent_requests = recent_times(self.requests, service, since)
        if len(recent_retries) + 1 > limits.ratio * len(
            recent_requests
        ) + limits.slack / max(1, routers):
            return False
        recent_retries.append(now)
        return True


def recent_times(
    times: dict[str, deque[float]], service: str, since: float
) -> deque[float]:
    """Return a service's times, without those before `since`."""
    found = times.setdefault(service, deque())
    while found and found[0] < since:
        found.popleft()
    return found
