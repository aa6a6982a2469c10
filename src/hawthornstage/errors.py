"""All error kinds and the error response that callers receive for each."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from hawthornstage.messages.execution import ExecutionState


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
    LOAD_SHED = "load_shed"
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
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    EVACUATED = "evacuated"
    OUTSIDE_HOMES = "outside_homes"
    OUT_OF_TIME = "out_of_time"
    SLOW_REQUEST = "slow_request"
    INTERNAL = "internal"
    INTERNAL_NOT_SENT = "internal_not_sent"


@dataclass(frozen=True)
class ErrorResponse:
    """The error response that callers receive for one error kind.

    Args:
        status: HTTP status code.
        ran: Whether a backend server may have executed the request.
        retry_after: Seconds to wait before a retry, or None if none is advised.
        message: Human-readable description in one sentence.
    """

    status: int
    ran: ExecutionState
    retry_after: float | None
    message: str


@dataclass(frozen=True)
class Failure:
    """A failed request, passed along the pipe as a value.

    Args:
        kind: The error kind, which determines the error response.
        detail: The specific cause, sent to the caller.
        retry_after_s: Time after which a retry may succeed, in seconds, if it is known
            better than for all failures of the kind.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, ExecutionState.NO, None, "The request is malformed."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, ExecutionState.NO, None, "The body is too large."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, ExecutionState.NO, None, "The API key is unknown."
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
        503,
        ExecutionState.NO,
        2,
        "Tokens cannot be reserved from the budget at the moment.",
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(
        503,
        ExecutionState.NO,
        2,
        "This attempt was not run because its claim cannot be recorded at the moment;"
        " an earlier attempt with the same key may have been run.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        409,
        ExecutionState.UNKNOWN,
        None,
        "An earlier attempt may have run; the request was not run again.",
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503,
        ExecutionState.NO,
        1,
        "The router has reached its limit of concurrent requests.",
    ),
    ErrorKind.LOAD_SHED: ErrorResponse(
        503,
        ExecutionState.NO,
        0.1,
        "The router is overloaded and serves more urgent requests first.",
    ),
    ErrorKind.DRAINING: ErrorResponse(
        503, ExecutionState.NO, 1, "The router is shutting down."
    ),
    ErrorKind.NO_SERVER: ErrorResponse(
        503, ExecutionState.NO, 1, "No backend server is available."
    ),
    ErrorKind.SERVER_UNREACHABLE: ErrorResponse(
        502, ExecutionState.NO, 1, "No backend server accepted a connection."
    ),
    ErrorKind.SERVER_FAILED: ErrorResponse(
        502, ExecutionState.UNKNOWN, 1, "The backend server failed before it responded."
    ),
    ErrorKind.SERVER_REFUSED: ErrorResponse(
        422, ExecutionState.UNKNOWN, None, "The backend server refused the request."
    ),
    ErrorKind.STREAM_CUT: ErrorResponse(
        502,
        ExecutionState.UNKNOWN,
        1,
        "The backend server failed in the middle of its response.",
    ),
    ErrorKind.CRASHES_SERVERS: ErrorResponse(
        422,
        ExecutionState.UNKNOWN,
        None,
        "This request crashed the servers that ran it.",
    ),
    ErrorKind.BILL_UNRECORDED: ErrorResponse(
        502, ExecutionState.YES, 2, "The response could not be billed and is withheld."
    ),
    ErrorKind.NO_DESIRED_STATE: ErrorResponse(
        503, ExecutionState.NO, 0.2, "The router has not loaded the desired state yet."
    ),
    ErrorKind.TOKENS_UNAVAILABLE: ErrorResponse(
        503,
        ExecutionState.NO,
        0.05,
        "The router currently holds too few tokens of the budget.",
    ),
    ErrorKind.SERVERS_BUSY: ErrorResponse(
        503,
        ExecutionState.NO,
        0.1,
        "No backend server has capacity for the request at the moment.",
    ),
    ErrorKind.CALL_BLOCKED: ErrorResponse(
        503,
        ExecutionState.NO,
        None,
        "Servers failed while they ran this call; it is not sent again.",
    ),
    ErrorKind.STREAM_VERSION_UNKNOWN: ErrorResponse(
        503,
        ExecutionState.NO,
        0.5,
        "The routers that may know the version of the stream's server do not reply.",
    ),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorResponse(
        503,
        ExecutionState.NO,
        None,
        "The stream cannot go on: there is no server of the version that began it.",
    ),
    ErrorKind.EVACUATED: ErrorResponse(
        503,
        ExecutionState.NO,
        1,
        "All failure domains with servers for the request are evacuated.",
    ),
    ErrorKind.OUTSIDE_HOMES: ErrorResponse(
        503,
        ExecutionState.NO,
        None,
        "No server is in the home regions of the request's route and workspace.",
    ),
    ErrorKind.OUT_OF_TIME: ErrorResponse(
        504,
        ExecutionState.UNKNOWN,
        None,
        "No server responded within the route's time limit.",
    ),
    ErrorKind.SLOW_REQUEST: ErrorResponse(
        408,
        ExecutionState.NO,
        None,
        "The request did not arrive completely within the time limit.",
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, ExecutionState.UNKNOWN, None, "Internal error in the router."
    ),
    ErrorKind.INTERNAL_NOT_SENT: ErrorResponse(
        503,
        ExecutionState.NO,
        0.5,
        "Internal error in the router before the request was sent to a server.",
    ),
}


def response_for(failure: Failure) -> ErrorResponse:
    """Return the error response for a failure."""
    response = ERROR_RESPONSES[failure.kind]
    if failure.retry_after_s is None or response.retry_after is None:
        return response
    return replace(response, retry_after=round(failure.retry_after_s, 3))
