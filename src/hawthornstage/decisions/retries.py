"""When a failed try may be repeated, and how often over the whole router."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Sent tries stay below this multiple of accepted requests.
RETRY_RATIO = 0.15
# Retries that may be saved up, so that a quiet router can still repeat.
MAX_AVAILABLE_RETRIES = 10.0
# Tries of one request, the first included.
MAX_ATTEMPTS = 3
# Shortest and longest pause before a retry, in seconds.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@dataclass(frozen=True)
class RetryBudget:
    """A token bucket that each accepted request fills by the retry ratio."""

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
    """Ask for one retry; False if the router has spent its retries."""
    if budget.available_retries < 1.0:
        return budget, False
    return replace(budget, available_retries=budget.available_retries - 1.0), True


def backoff(attempts: int, random_draw: float) -> float:
    """Return the pause before the next try, in seconds, with full jitter.

    Args:
        attempts: Tries made so far, at least 1.
        random_draw: A number in [0, 1).
    """
    return random_draw * min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
