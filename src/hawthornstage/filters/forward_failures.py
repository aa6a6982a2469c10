"""The failures that callers get when the attempts of a call have ended."""

from __future__ import annotations

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.server_selection import NoServerAvailable, Shortage

# Errors for shortages of servers other than too many calls.
SHORTAGE_KINDS = {
    Shortage.EVACUATED: ErrorKind.EVACUATED,
    Shortage.OUTSIDE_HOMES: ErrorKind.OUTSIDE_HOMES,
}


def final_failure(
    delivery: Delivery, reason: str, retry_after_s: float | None = None
) -> Failure | None:
    """Return the failure to report; None if part of a response was sent.

    The failure depends on whether a server may have run the call.

    Args:
        delivery: What was done for the call.
        reason: Why it failed, for the caller and the log.
        retry_after_s: Time until a retry may succeed, in seconds, if it is known.
    """
    if delivery.head_sent:
        delivery.outcome = f"cut: {reason}"
        return None
    kind = ErrorKind.SERVER_FAILED if delivery.may_have_run else ErrorKind.SERVERS_BUSY
    return Failure(kind, reason, retry_after_s)


def internal_failure(delivery: Delivery, error: Exception) -> Failure | None:
    """Return the failure of a call that an unforeseen error ended.

    None if part of a response was sent. It depends on whether a server may have run
    the call.
    """
    if delivery.head_sent:
        delivery.outcome = "cut: internal error"
        return None
    ran = delivery.may_have_run
    kind = ErrorKind.INTERNAL if ran else ErrorKind.INTERNAL_NOT_SENT
    return Failure(kind, type(error).__name__)


def no_server_failure(delivery: Delivery, choice: NoServerAvailable) -> Failure | None:
    """Return the failure of a call for which there is no server (any more)."""
    untouched = not (delivery.head_sent or delivery.may_have_run)
    if choice.version_gone and untouched:
        return Failure(ErrorKind.STREAM_NOT_RESUMABLE, choice.reason)
    kind = SHORTAGE_KINDS.get(choice.shortage)
    if kind is not None and untouched:
        return Failure(kind, choice.reason)
    return final_failure(delivery, choice.reason, choice.retry_after_s)


def blocked_failure(delivery: Delivery, blocked: Failure) -> Failure | None:
    """Return the failure of a call that was blocked, maybe after an attempt."""
    if delivery.attempts == 0:
        return blocked
    return final_failure(delivery, blocked.detail)


def deadline_failure(delivery: Delivery) -> Failure | None:
    """Return the failure after the deadline; None if part of a response was sent.

    The failure depends on whether a server may have run the call.
    """
    if delivery.head_sent:
        delivery.outcome = "cut: deadline exceeded"
        return None
    kind = ErrorKind.OUT_OF_TIME if delivery.may_have_run else ErrorKind.SERVERS_BUSY
    return Failure(kind, "the deadline of the call has passed")
