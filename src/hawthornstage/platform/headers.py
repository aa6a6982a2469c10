"""Translates the headers of callers' requests and of backend servers' answers."""

from __future__ import annotations

from collections.abc import Iterable

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.forward import (
    ForwardCall,
    Headers,
    Prompt,
    PromptPart,
    ResponseHead,
)

REQUEST_ID = "x-request-id"
# How long the caller waits, and how long the server may work, in milliseconds.
TIME_BUDGET = "x-time-budget"
# Prompt tokens and most output tokens, joined by a comma.
TOKEN_COUNTS = "x-token-counts"
# Parts of the prompt as ID:TOKENS, joined by commas.
PROMPT_PARTS = "x-prompt-prefix"
TARGET_SERVER = "x-target-instance"
WORKSPACE = "x-tenant"
URGENCY = "x-request-urgency"
LAST_EVENT_ID = "last-event-id"
# The digest by which callers know a server's own answer.
RESPONSE_SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"
WRONG_SERVER_STATUS = 421
# Urgencies that the servers know; 0 goes first.
MOST_URGENT, LEAST_URGENT = 0, 9

# Headers that concern one connection only.
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
# What a caller may not set: the product's own part of a request.
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
    """Read a caller's request; names of headers come in lower case."""
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
        return Failure(ErrorKind.BAD_REQUEST, "the request has no id")
    try:
        prompt = parse_prompt(by_name)
        time_limit_s = parse_time_budget(by_name.get(TIME_BUDGET))
    except ValueError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"a header cannot be read: {error}")
    return ForwardCall(
        id=by_name[REQUEST_ID],
        method=method,
        target=target,
        host=by_name.get("host", "").partition(":")[0].lower(),
        headers=forwarded,
        body=body,
        key=parse_api_key(by_name.get("authorization")),
        time_limit_s=time_limit_s,
        prompt=prompt,
        resume_after=by_name.get(LAST_EVENT_ID),
        arrived=arrived,
    )


def parse_api_key(value: str | None) -> str | None:
    """Return the API key of an Authorization header."""
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def parse_time_budget(value: str | None) -> float | None:
    """Return a time limit in seconds."""
    return None if value is None else max(0.0, float(value) / 1000)


def parse_prompt(headers: dict[str, str]) -> Prompt | None:
    """Read what a caller says of its prompt."""
    if TOKEN_COUNTS not in headers:
        return None
    tokens, _, max_output = headers[TOKEN_COUNTS].partition(",")
    parts: list[PromptPart] = []
    for entry in filter(None, headers.get(PROMPT_PARTS, "").split(",")):
        name, _, count = entry.strip().rpartition(":")
        parts.append(PromptPart(name, int(count)))
    return Prompt(int(tokens), int(max_output), tuple(parts))


def request_headers(
    call: ForwardCall,
    *,
    server: str,
    workspace: str | None,
    remaining_s: float,
    urgency: int | None,
    resume_after: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a server."""
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
    """Read the head of a server's answer; names of headers come in lower case."""
    by_name = dict(headers)
    forwarded = tuple(
        (name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS
    )
    return ResponseHead(
        status=status,
        headers=forwarded,
        request_id=by_name.get(REQUEST_ID, ""),
        sealed=RESPONSE_SEAL in by_name,
        not_executed=NOT_EXECUTED in by_name or status == WRONG_SERVER_STATUS,
        misdirected=status == WRONG_SERVER_STATUS,
        content_encoded="content-encoding" in by_name,
        keep_alive_s=parse_keep_alive(by_name.get("keep-alive", "")),
    )


def parse_keep_alive(value: str) -> float | None:
    """Return how long an idle connection is kept, in seconds, if that is said."""
    for entry in value.split(","):
        name, _, seconds = entry.partition("=")
        if name.strip().lower() == "timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
