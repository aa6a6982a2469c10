"""Translates the headers of callers' requests and of backend servers' answers."""

from __future__ import annotations

from collections.abc import Iterable

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.forward import (
    AnswerHead,
    ForwardCall,
    Headers,
    Prompt,
    PromptPart,
)

REQUEST_ID = "x-request-id"
# How long the caller waits, and how long the server may work, in milliseconds.
TIME_LIMIT = "x-time-budget"
# Prompt tokens and most output tokens, joined by a comma.
TOKEN_COUNTS = "x-token-counts"
# Parts of the prompt as ID:TOKENS, joined by commas.
PROMPT_PARTS = "x-prompt-prefix"
TARGET_SERVER = "x-target-instance"
WORKSPACE = "x-tenant"
URGENCY = "x-request-urgency"
LAST_EVENT = "last-event-id"
# The digest by which callers know a server's own answer.
SEAL = "x-response-seal"
NOT_RUN = "x-not-executed"
WRONG_SERVER_STATUS = 421
# Urgencies that the servers know; 0 goes first.
MOST_URGENT, LEAST_URGENT = 0, 9

# Headers that concern one connection only.
HOP_HEADERS = frozenset(
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
OWN_HEADERS = frozenset(
    {
        "authorization",
        "host",
        "x-expected-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-duration",
        "kv-fetch",
        "kv-from",
        TIME_LIMIT,
        TARGET_SERVER,
        WORKSPACE,
        URGENCY,
        LAST_EVENT,
    }
)


def read_call(
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    arrived: float,
) -> ForwardCall | Failure:
    """Read a caller's request; names of headers come in lower case."""
    found = list(headers)
    single = dict(found)
    named = single.get("connection", "").lower()
    dropped = {name.strip() for name in named.split(",")} - {REQUEST_ID}
    kept = tuple(
        (name, value)
        for name, value in found
        if name not in HOP_HEADERS and name not in OWN_HEADERS and name not in dropped
    )
    if not single.get(REQUEST_ID):
        return Failure(ErrorKind.BAD_REQUEST, "the request has no id")
    try:
        prompt = read_prompt(single)
        patience = read_patience(single.get(TIME_LIMIT))
    except ValueError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"a header cannot be read: {error}")
    return ForwardCall(
        id=single[REQUEST_ID],
        method=method,
        target=target,
        host=single.get("host", "").partition(":")[0].lower(),
        headers=kept,
        body=body,
        key=read_key(single.get("authorization")),
        patience_s=patience,
        prompt=prompt,
        resume_after=single.get(LAST_EVENT),
        arrived=arrived,
    )


def read_key(value: str | None) -> str | None:
    """Return the API key of an Authorization header."""
    scheme, _, key = (value or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def read_patience(value: str | None) -> float | None:
    """Return a time limit in seconds."""
    return None if value is None else max(0.0, float(value) / 1000)


def read_prompt(headers: dict[str, str]) -> Prompt | None:
    """Read what a caller says of its prompt."""
    if TOKEN_COUNTS not in headers:
        return None
    tokens, _, most = headers[TOKEN_COUNTS].partition(",")
    parts: list[PromptPart] = []
    for entry in filter(None, headers.get(PROMPT_PARTS, "").split(",")):
        name, _, count = entry.strip().rpartition(":")
        parts.append(PromptPart(name, int(count)))
    return Prompt(int(tokens), int(most), tuple(parts))


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
        (TIME_LIMIT, str(max(1, int(remaining_s * 1000)))),
        (TARGET_SERVER, server),
    ]
    if workspace is not None:
        headers.append((WORKSPACE, workspace))
    if urgency is not None:
        limited = min(max(urgency, MOST_URGENT), LEAST_URGENT)
        headers.append((URGENCY, str(limited)))
    if resume_after is not None:
        headers.append((LAST_EVENT, resume_after))
    if call.body or call.method not in ("GET", "HEAD"):
        headers.append(("content-length", str(len(call.body))))
    return headers


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Read the head of a server's answer; names of headers come in lower case."""
    single = dict(headers)
    kept = tuple((name, value) for name, value in headers if name not in HOP_HEADERS)
    return AnswerHead(
        status=status,
        headers=kept,
        request_id=single.get(REQUEST_ID, ""),
        sealed=SEAL in single,
        not_run=NOT_RUN in single or status == WRONG_SERVER_STATUS,
        misdirected=status == WRONG_SERVER_STATUS,
        encoded="content-encoding" in single,
        keep_s=read_keep_alive(single.get("keep-alive", "")),
    )


def read_keep_alive(value: str) -> float | None:
    """Return how long an idle connection is kept, in seconds, if that is said."""
    for entry in value.split(","):
        name, _, seconds = entry.partition("=")
        if name.strip().lower() == "timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
