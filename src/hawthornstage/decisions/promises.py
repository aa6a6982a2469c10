"""Decides what callers may be told of whether their request has run."""

from __future__ import annotations

from hawthornstage.messages.execution import ExecutionState

# Status codes by which callers take a request as not run, now or later.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


def is_false_promise(status: int, ran: ExecutionState) -> bool:
    """Whether a status code would promise more than is known.

    Args:
        status: HTTP status code of a response.
        ran: What is known of the request that it answers.
    """
    return status in PROMISING_STATUSES and ran is not ExecutionState.NO
