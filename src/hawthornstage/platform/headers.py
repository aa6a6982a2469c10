"""Translates headers of callers' requests and of backend servers' responses."""

from __future__ import annotations

import math
from collections.abc import Iterable

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.bounded_text import bounded_id, bounded_text
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import (
    ForwardCall,
    Headers,
    Prompt,
    PromptPart,
    ResponseHead,
)
from hawthornstage.messages.server_notices import ServerNotice

REQUEST_ID = "x-request-id"
# In a caller's request the caller's timeout, in a request to a server the time that
# the server may take, in milliseconds.
TIME_BUDGET = "x-time-budget"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = "x-token-counts"
# Most parts of a prompt: each takes far more memory than its text, for as long as the
# call lasts.
MAX_PARTS = 128
# Most digits of a number of tokens.
MAX_TOKEN_DIGITS = 10
# Parts of the prompt as ID:TOKENS, separated by commas.
PROMPT_PARTS = "x-prompt-prefix"
TARGET_SERVER = "x-target-instance"
WORKSPACE = "x-tenant"
URGENCY = "x-request-urgency"
LAST_EVENT_ID = "last-event-id"
# In a continued stream, the id of the request that brought its first event.
RESUMES = "resumes"
# Digest with which callers verify that a response is a server's own.
RESPONSE_SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"
WRONG_SERVER_STATUS = 421
# Set by a server that leaves.
LEAVING = "server-leaving"
# Calls per second that a server accepts from all routers together.
RATE_LIMIT = "server-limit"
# Time for which a server wants no calls of this router, in seconds, and the longest
# that a router acts on.
RETRY_AFTER = "retry-after"
MAX_CLOSED_S = 60.0
# Range of rates that a router acts on, in calls per second: with fewer, too few calls
# would reach the server to learn when its limit ends.
MIN_CALLS_PER_S, MAX_CALLS_PER_S = 0.1, 1_000_000.0
# Set by a server that fails if it rejects more calls in a second.
FRAGILE = "server-brittle"
# Range of urgencies that the servers accept; 0 is the most urgent.
MOST_URGENT, LEAST_URGENT = 0, 9

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only the router may set; those in a caller's request are dropped.
RESERVED_HEADERS = frozenset(
    {
        "authorization",
        "host",
        "x-expected-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-duration",
        "kv-fetch",
        "kv-from",
        TIME_BUDGET,
        TARGET_SERVER,
        WORKSPACE,
        URGENCY,
        LAST_EVENT_ID,
    }
)


def parse_call(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    arrived: float,
) -> ForwardCall | Failure:
    """Parse a caller's request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Names in lower case, and values.
        body: The whole body.
        arrived: Monotonic time at which the head was complete, in seconds.

    Returns:
        The call, or a failure if a header is missing or invalid.
    """
    header_list = list(headers)
    by_name = dict(header_list)
    connection_options = by_name.get("connection", "").lower()
    connection_headers = {name.strip() for name in connection_options.split(",")} - {
        REQUEST_ID
    }
    forwarded = tuple(
        (name, value)
        for name, value in header_list
        if name not in HOP_BY_HOP_HEADERS
        and name not in RESERVED_HEADERS
        and name not in connection_headers
    )
    if not by_name.get(REQUEST_ID):
        return Failure(ErrorKind.BAD_REQUEST, "the x-request-id header is missing")
    try:
        prompt = parse_prompt(by_name)
        time_budget_s = parse_time_budget(by_name.get(TIME_BUDGET))
    except ValueError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"invalid request header: {error}")
    return ForwardCall(
        id=by_name[REQUEST_ID],
        method=method,
        target=target,
        host=by_name.get("host", "").partition(":")[0].lower(),
        headers=forwarded,
        body=body,
        key=parse_api_key(by_name.get("authorization")),
        time_limit_s=time_budget_s,
        prompt=prompt,
        resume_after=by_name.get(LAST_EVENT_ID),
        resumes=by_name.get(RESUMES),
        arrived=arrived,
    )


def parse_api_key(value: str | None) -> str | None:
    """Return the bearer token of an Authorization header, or None."""
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def parse_time_budget(value: str | None) -> float | None:
    """Return a time budget in seconds, or None if the header is absent.

    Raises:
        ValueError: The value is not a number.
    """
    return None if value is None else max(0.0, float(value) / 1000)


def parse_prompt(headers: dict[str, str]) -> Prompt | None:
    """Return the prompt that the headers declare, or None.

    Raises:
        ValueError: A token count is not a number from 0 up to some billions, or there
            are too many parts.
    """
    if TOKEN_COUNTS not in headers:
        return None
    tokens, _, max_output = headers[TOKEN_COUNTS].partition(",")
    parts: list[PromptPart] = []
    entries = [each for each in headers.get(PROMPT_PARTS, "").split(",") if each]
    if len(entries) > MAX_PARTS:
        raise ValueError(f"a prompt has {len(entries)} parts, {MAX_PARTS} are allowed")
    for entry in entries:
        name, _, count = entry.strip().rpartition(":")
        parts.append(PromptPart(bounded_id(name), parse_tokens(count)))
    return Prompt(parse_tokens(tokens), parse_tokens(max_output), tuple(parts))


def parse_tokens(text: str) -> int:
    """Return a number of tokens.

    Raises:
        ValueError: The text is no decimal number, or no prompt has so many tokens.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_TOKEN_DIGITS:
        raise ValueError(f"{bounded_text(text)!r} is not a number of tokens")
    return int(digits)


def request_headers(
    call: ForwardCall,
    *,
    server: str,
    workspace: str | None,
    remaining_s: float,
    urgency: int | None,
    resume_after: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a server.

    Args:
        call: The caller's request.
        server: Id of the server.
        workspace: The workspace's name, or None on a public route.
        remaining_s: Time until the call's deadline, in seconds.
        urgency: The call's priority, clamped to the servers' range, or None.
        resume_after: Id of the last event that the caller has received, or None.
    """
    headers = [("host", call.host), *call.headers]
    headers += [
        (TIME_BUDGET, str(max(1, int(remaining_s * 1000)))),
        (TARGET_SERVER, server),
    ]
    if workspace is not None:
        headers.append((WORKSPACE, workspace))
    if urgency is not None:
        limited = min(max(urgency, MOST_URGENT), LEAST_URGENT)
        headers.append((URGENCY, str(limited)))
    if resume_after is not None:
        headers.append((LAST_EVENT_ID, resume_after))
    if call.body or call.method not in ("GET", "HEAD"):
        headers.append(("content-length", str(len(call.body))))
    return headers


def parse_response_head(status: int, headers: Headers) -> ResponseHead:
    """Parse the head of a server's response.

    Args:
        status: HTTP status code.
        headers: Names in lower case, and values.
    """
    by_name = dict(headers)
    forwarded = tuple(
        (name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS
    )
    return ResponseHead(
        status=status,
        headers=forwarded,
        request_id=by_name.get(REQUEST_ID, ""),
        sealed=RESPONSE_SEAL in by_name,
        ran=parse_execution(by_name),
        misdirected=status == WRONG_SERVER_STATUS,
        content_encoded="content-encoding" in by_name,
        keep_alive_s=parse_keep_alive(by_name.get("keep-alive", "")),
        notice=parse_notice(status, by_name),
    )


def parse_execution(headers: dict[str, str]) -> ExecutionState:
    """Return what a response tells of whether its server has run the request.

    Only a header states that it has not; a status code alone states nothing.

    Args:
        headers: The values by name in lower case.
    """
    return ExecutionState.NO if NOT_EXECUTED in headers else ExecutionState.UNKNOWN


def parse_notice(status: int, headers: dict[str, str]) -> ServerNotice:
    """Return what a server says of itself in a response.

    Args:
        status: HTTP status code.
        headers: Names in lower case, and values.
    """
    invalid: list[str] = []

    def read(name: str) -> float | None:
        value = headers.get(name)
        number = None if value is None else parse_number(value)
        if value is not None and number is None:
            invalid.append(f"{name}: {value[:40]!r}")
        return number

    calls_per_s = read(RATE_LIMIT)
    if calls_per_s is not None:
        calls_per_s = min(max(calls_per_s, MIN_CALLS_PER_S), MAX_CALLS_PER_S)
    # Only this status speaks of the server, and not of the call alone.
    closed_for_s = read(RETRY_AFTER) if status == 503 else None
    if closed_for_s is not None:
        closed_for_s = min(closed_for_s, MAX_CLOSED_S)
    tolerated = read(FRAGILE)
    if tolerated is not None:
        tolerated = min(tolerated, MAX_CALLS_PER_S)
    leaving = headers.get(LEAVING, "0").strip() not in ("", "0")
    return ServerNotice(calls_per_s, leaving, closed_for_s, tuple(invalid), tolerated)


def parse_number(value: str) -> float | None:
    """Return a number that is finite and not negative, or None if it is not one."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def parse_keep_alive(value: str) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, or None."""
    for entry in value.split(","):
        name, _, seconds = entry.partition("=")
        if name.strip().lower() == "timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
