"""The closed list of error kinds and the answer that a caller gets for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ExecutionState(Enum):
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
class ErrorResponse:
    """What a caller is told for one error kind.

    Args:
        status: HTTP status code.
        ran: Whether a back end may have executed the request.
        retry_after: Seconds after which a retry makes sense, or None for never.
        message: One sentence for people.
    """

    status: int
    ran: ExecutionState
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


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, ExecutionState.NO, None, "The request is malformed."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, ExecutionState.NO, None, "The body is too large."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, ExecutionState.NO, None, "The API key is not known."
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(
        404, ExecutionState.NO, None, "No route matches the request."
    ),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        400, ExecutionState.NO, None, "This route needs an Idempotency-Key header."
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422,
        ExecutionState.NO,
        None,
        "The Idempotency-Key belongs to a different request.",
    ),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(
        402, ExecutionState.NO, None, "The prepaid budget does not cover this request."
    ),
    ErrorKind.BUDGET_UNAVAILABLE: ErrorResponse(
        503, ExecutionState.NO, 2, "The budget cannot be drawn on at the moment."
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(
        503,
        ExecutionState.NO,
        2,
        "This try was not run, as it cannot be claimed at the moment; an earlier try"
        " with the same key may have been.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        409,
        ExecutionState.UNKNOWN,
        None,
        "An earlier try may have run; it was not run again.",
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, ExecutionState.NO, 1, "The router is at its limit."
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, ExecutionState.NO, 1, "The router is shutting down."
    ),
    ErrorKind.NO_SERVER: ErrorResponse(
        503, ExecutionState.NO, 1, "No backend server is available."
    ),
    ErrorKind.SERVER_UNREACHABLE: ErrorResponse(
        502, ExecutionState.NO, 1, "No connection to a backend server could be made."
    ),
    ErrorKind.SERVER_FAILED: ErrorResponse(
        502, ExecutionState.UNKNOWN, 1, "The backend server failed before it answered."
    ),
    ErrorKind.SERVER_REFUSED: ErrorResponse(
        422, ExecutionState.NO, None, "The backend server refused the request."
    ),
    ErrorKind.STREAM_CUT: ErrorResponse(
        502,
        ExecutionState.UNKNOWN,
        1,
        "The backend server failed in the middle of its answer.",
    ),
    ErrorKind.CRASHES_SERVERS: ErrorResponse(
        422,
        ExecutionState.UNKNOWN,
        None,
        "This request crashed the servers that ran it.",
    ),
    ErrorKind.BILL_UNRECORDED: ErrorResponse(
        503, ExecutionState.YES, 2, "The answer could not be billed and is withheld."
    ),
    ErrorKind.NO_DESIRED_STATE: ErrorResponse(
        503, ExecutionState.NO, 0.2, "The router does not know the desired state yet."
    ),
    ErrorKind.TOKENS_UNAVAILABLE: ErrorResponse(
        503,
        ExecutionState.NO,
        0.05,
        "This router holds too few tokens of the budget now.",
    ),
    ErrorKind.SERVERS_BUSY: ErrorResponse(
        503, ExecutionState.NO, 0.1, "No backend server takes the request now."
    ),
    ErrorKind.CALL_BLOCKED: ErrorResponse(
        503,
        ExecutionState.NO,
        None,
        "Servers broke off under this call; it is not sent again.",
    ),
    ErrorKind.OUT_OF_TIME: ErrorResponse(
        504,
        ExecutionState.UNKNOWN,
        None,
        "No server answered within the route's time limit.",
    ),
    ErrorKind.SLOW_REQUEST: ErrorResponse(
        408, ExecutionState.NO, None, "The request was not sent in time."
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, ExecutionState.UNKNOWN, None, "The router has a fault."
    ),
}


def response_for(failure: Failure) -> ErrorResponse:
    """Return the answer that the table holds for a failure."""
    return ERROR_RESPONSES[failure.kind]
