"""A rate limit for calls to a service with a known capacity."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Pace:
    """A token bucket.

    Args:
        rate: Calls a second.
        burst: Calls that may follow at once after a pause.
        saved: Calls allowed now.
        at: Time of the last change, in seconds.
    """

    rate: float
    burst: float = 5.0
    saved: float = 5.0
    at: float = 0.0


def take(pace: Pace, now: float) -> tuple[Pace, float]:
    """Ask for one call.

    Returns:
        The new state and the pause before the call is allowed, in seconds; the
        call is counted only if the pause is zero.
    """
    saved = min(pace.burst, pace.saved + max(0.0, now - pace.at) * pace.rate)
    pace = replace(pace, saved=saved, at=now)
    if saved >= 1.0:
        return replace(pace, saved=saved - 1.0), 0.0
    return pace, (1.0 - saved) / pace.rate
