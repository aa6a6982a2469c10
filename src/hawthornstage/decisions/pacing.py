"""A rate limit for calls to a service with a known capacity."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class TokenBucket:
    """A token bucket.

    Args:
        rate: Calls a second.
        burst: Calls that may follow at once after a pause.
        available_calls: Calls allowed now.
        updated_at: Time of the last change, in seconds.
    """

    rate: float
    burst: float = 5.0
    available_calls: float = 5.0
    updated_at: float = 0.0


def acquire(bucket: TokenBucket, now: float) -> tuple[TokenBucket, float]:
    """Ask for one call.

    Returns:
        The new state and the pause before the call is allowed, in seconds; the
        call is counted only if the pause is zero.
    """
    available_calls = min(
        bucket.burst,
        bucket.available_calls + max(0.0, now - bucket.updated_at) * bucket.rate,
    )
    bucket = replace(bucket, available_calls=available_calls, updated_at=now)
    if available_calls >= 1.0:
        return replace(bucket, available_calls=available_calls - 1.0), 0.0
    return bucket, (1.0 - available_calls) / bucket.rate
