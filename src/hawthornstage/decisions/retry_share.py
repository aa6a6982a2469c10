"""A router's share of the fleet's retries, limited over a sliding window.

Retries are counted over the whole window, but requests only over its last half. A
window that ends later still holds these retries but no longer all requests before them;
of the last half it holds all, or the window half a window before it does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class RetryLimits:
    """Limits of the retries of a whole fleet.

    Args:
        ratio: Retries allowed for each request.
        slack: Retries allowed in addition, shared by all routers.
        window_s: Sliding window over which both are counted, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass
class RetryShare:
    """Counts this router's requests and retries of each service.

    Args:
        limits: Returns the terms as they are now.
    """

    limits: Callable[[], RetryLimits]
    requests: dict[str, deque[float]] = field(default_factory=dict)
    retries: dict[str, deque[float]] = field(default_factory=dict)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        since = now - self.limits().window_s / 2
        recent_times(self.requests, service, since).append(now)

    def count_retry(self, service: str, now: float) -> None:
        """Count a retry."""
        since = now - self.limits().window_s
        recent_times(self.retries, service, since).append(now)

    def allows_retry(self, service: str, routers: int, now: float) -> bool:
        """Whether this router's share allows one more retry.

        Args:
            service: The service that the retry goes to.
            routers: Routers that share the slack; an overestimate is safe.
            now: Monotonic time in seconds.
        """
        limits = self.limits()
        recent_retries = recent_times(self.retries, service, now - limits.window_s)
        recent_requests = recent_times(
            self.requests, service, now - limits.window_s / 2
        )
        allowed = limits.ratio * len(recent_requests)
        allowed += limits.slack / max(1, routers)
        return len(recent_retries) + 1 <= allowed


def recent_times(
    times: dict[str, deque[float]], service: str, since: float
) -> deque[float]:
    """Return a service's times after removing those before `since`."""
    found = times.setdefault(service, deque())
    while found and found[0] < since:
        found.popleft()
    return found
