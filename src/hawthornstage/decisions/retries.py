"""The retry budget of a router, and the backoff between attempts."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Retries that each accepted request adds to the budget.
RETRY_RATIO = 0.15
# Largest number of available retries, so that a router with little load can retry.
MAX_AVAILABLE_RETRIES = 10.0
# Attempts of one request, including the first.
MAX_ATTEMPTS = 3
# Shortest and longest pause before a retry, in seconds.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclass(frozen=True)
class RetryBudget:
    """A token bucket that each accepted request fills by `RETRY_RATIO`."""

    available_retries: float = 2.0


def count_request(budget: RetryBudget) -> RetryBudget:
    """Count an accepted request."""
    return replace(
        budget,
        available_retries=min(
            MAX_AVAILABLE_RETRIES, budget.available_retries + RETRY_RATIO
        ),
    )


def acquire(budget: RetryBudget) -> tuple[RetryBudget, bool]:
    """Take one retry; False if none is available."""
    if budget.available_retries < 1.0:
        return budget, False
    return replace(budget, available_retries=budget.available_retries - 1.0), True


def backoff(attempts: int, random_draw: float) -> float:
    """Return the pause before the next attempt, in seconds, with full jitter.

    Args:
        attempts: Attempts made so far, at least 1.
        random_draw: A number in [0, 1).
    """
    return random_draw * min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
