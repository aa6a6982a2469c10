"""Decides what callers may be told of whether their request has run."""

from __future__ import annotations

from hawthornstage.errors import ErrorKind, Failure, response_for
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


def failure_after(failure: Failure, ran: ExecutionState) -> Failure:
    """Return the failure of a call that ended with a failure, maybe not its first.

    Args:
        failure: The last failure, which may tell of its own attempt only.
        ran: What is known of the attempts before it.
    """
    says_not_run = response_for(failure).ran is ExecutionState.NO
    if ran is ExecutionState.NO or not says_not_run:
        return failure
    return Failure(ErrorKind.SERVER_FAILED, f"{failure.kind.value}: {failure.detail}")
