"""The closed list of error kinds and the answer that a caller gets for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """What a refusal says about the request's execution."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every way in which a request can fail."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    NO_ROUTE = "no_route"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NO_SERVER = "no_server"
    SERVER_UNREACHABLE = "server_unreachable"
    SERVER_FAILED = "server_failed"
    SERVER_REFUSED = "server_refused"
    STREAM_CUT = "stream_cut"
    CRASHES_SERVERS = "crashes_servers"
    BILL_UNRECORDED = "bill_unrecorded"
    NO_DESIRED_STATE = "no_desired_state"
    TOKENS_UNAVAILABLE = "tokens_unavailable"
    SERVERS_BUSY = "servers_busy"
    CALL_BLOCKED = "call_blocked"
    OUT_OF_TIME = "out_of_time"
    SLOW_REQUEST = "slow_request"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Answer:
    """What a caller is told for one error kind.

    Args:
        status: HTTP status code.
        ran: Whether a back end may have executed the request.
        retry_after: Seconds after which a retry makes sense, or None for never.
        message: One sentence for people.
    """

    status: int
    ran: Ran
    retry_after: float | None
    message: str


@dataclass(frozen=True)
class Failure:
    """A tagged outcome: a request failed.

    Args:
        kind: The error kind, which fixes the answer.
        detail: What exactly was wrong, for the caller.
    """

    kind: ErrorKind
    detail: str = ""


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO, None, "The request is malformed."),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, None, "The body is too large."),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NO, None, "The API key is not known."),
    ErrorKind.NO_ROUTE: Answer(404, Ran.NO, None, "No route matches the request."),
    ErrorKind.KEY_REQUIRED: Answer(
        400, Ran.NO, None, "This route needs an Idempotency-Key header."
    ),
    ErrorKind.KEY_REUSED: Answer(
        422, Ran.NO, None, "The Idempotency-Key belongs to a different request."
    ),
    ErrorKind.BUDGET_EXHAUSTED: Answer(
        402, Ran.NO, None, "The prepaid budget does not cover this request."
    ),
    ErrorKind.BUDGET_UNAVAILABLE: Answer(
        503, Ran.NO, 2, "The budget cannot be drawn on at the moment."
    ),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(
        503,
        Ran.NO,
        2,
        "This try was not run, as it cannot be claimed at the moment; an earlier try"
        " with the same key may have been.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        409, Ran.UNKNOWN, None, "An earlier try may have run; it was not run again."
    ),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, 1, "The router is at its limit."),
    ErrorKind.DRAINING: Answer(503, Ran.NO, 1, "The router is shutting down."),
    ErrorKind.NO_SERVER: Answer(503, Ran.NO, 1, "No backend server is available."),
    ErrorKind.SERVER_UNREACHABLE: Answer(
        502, Ran.NO, 1, "No connection to a backend server could be made."
    ),
    ErrorKind.SERVER_FAILED: Answer(
        502, Ran.UNKNOWN, 1, "The backend server failed before it answered."
    ),
    ErrorKind.SERVER_REFUSED: Answer(
        422, Ran.NO, None, "The backend server refused the request."
    ),
    ErrorKind.STREAM_CUT: Answer(
        502, Ran.UNKNOWN, 1, "The backend server failed in the middle of its answer."
    ),
    ErrorKind.CRASHES_SERVERS: Answer(
        422, Ran.UNKNOWN, None, "This request crashed the servers that ran it."
    ),
    ErrorKind.BILL_UNRECORDED: Answer(
        503, Ran.YES, 2, "The answer could not be billed and is withheld."
    ),
    ErrorKind.NO_DESIRED_STATE: Answer(
        503, Ran.NO, 0.2, "The router does not know the desired state yet."
    ),
    ErrorKind.TOKENS_UNAVAILABLE: Answer(
        503, Ran.NO, 0.05, "This router holds too few tokens of the budget now."
    ),
    ErrorKind.SERVERS_BUSY: Answer(
        503, Ran.NO, 0.1, "No backend server takes the request now."
    ),
    ErrorKind.CALL_BLOCKED: Answer(
        503, Ran.NO, None, "Servers broke off under this call; it is not sent again."
    ),
    ErrorKind.OUT_OF_TIME: Answer(
        504, Ran.UNKNOWN, None, "No server answered within the route's time limit."
    ),
    ErrorKind.SLOW_REQUEST: Answer(
        408, Ran.NO, None, "The request was not sent in time."
    ),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, None, "The router has a fault."),
}


def answer_for(failure: Failure) -> Answer:
    """Return the answer that the table holds for a failure."""
    return ANSWERS[failure.kind]
