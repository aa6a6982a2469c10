"""A rate limit for calls to a service with a known capacity."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class TokenBucket:
    """The state of a token bucket, with one token for each call.

    Args:
        rate: Calls per second.
        burst: Largest number of calls allowed at once after a pause.
        available_calls: Calls allowed at `updated_at`.
        updated_at: Monotonic time of the last update, in seconds.
    """

    rate: float
    burst: float = 5.0
    available_calls: float = 5.0
    updated_at: float = 0.0


def acquire(bucket: TokenBucket, now: float) -> tuple[TokenBucket, float]:
    """Take a token for one call.

    Returns:
        The new state and the pause before the call is allowed, in seconds. A token
        is taken only if the pause is zero.
    """
    available_calls = min(
        bucket.burst,
        bucket.available_calls + max(0.0, now - bucket.updated_at) * bucket.rate,
    )
    bucket = replace(bucket, available_calls=available_calls, updated_at=now)
    if available_calls >= 1.0:
        return replace(bucket, available_calls=available_calls - 1.0), 0.0
    return bucket, (1.0 - available_calls) / bucket.rate
