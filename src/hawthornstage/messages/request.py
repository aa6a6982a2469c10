"""A caller's request and what each filter of the pipe adds to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.messages.money import GrantRef
from hawthornstage.messages.tables import Pool, Route, Server


@dataclass(frozen=True)
class ChatCall:
    """A call for a model's completion.

    Args:
        body: The JSON document that goes to the engine.
        stream: Whether the caller wants server-sent events.
        usage_requested: Whether the caller wants a last event with the token count.
        max_prompt_tokens: Upper bound of the prompt's size, in tokens.
        max_tokens: The caller's limit of the answer, in tokens, or None.
        prefix: Hash of the prompt's beginning, for prefix affinity.
    """

    body: dict[str, Any]
    stream: bool
    usage_requested: bool
    max_prompt_tokens: int
    max_tokens: int | None
    prefix: str


@dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service.

    Args:
        method: HTTP method.
        path: Path below the service, with its query string.
        body: The body as sent.
        content_type: The body's media type.
    """

    method: str
    path: str
    body: bytes
    content_type: str


Call = ChatCall | ServiceCall


@dataclass(frozen=True)
class RawCall:
    """A call as the front end received it.

    Args:
        method: HTTP method.
        path: Path without the query.
        query: Query string, or empty.
        headers: Header values by lower-case name.
        body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Request:
    """A parsed request, before anything is known of its caller.

    Args:
        id: Names the request over its retries; unique within a workspace.
        credentials: The bearer token as sent.
        purpose: What the call is for; routes match on it.
        call: The call itself.
        idempotency_key: The caller's own key, or None.
        fingerprint: Hash of the call, the same for every try.
        arrived: Monotonic time of arrival, in seconds.
    """

    id: str
    credentials: str
    purpose: str
    call: Call
    idempotency_key: str | None
    fingerprint: str
    arrived: float


@dataclass(frozen=True)
class Reservation:
    """Tokens held for one request under a grant.

    Args:
        budget: The workspace that pays.
        grant: The grant and its witnesses.
        holder: The router that holds the grant.
        tokens: The worst case that was reserved.
    """

    budget: str
    grant: GrantRef
    holder: str
    tokens: int


@dataclass(frozen=True)
class Usage:
    """What a request really used, in tokens."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """The tokens that are billed."""
        return self.prompt_tokens + self.completion_tokens


@dataclass
class ResponseProgress:
    """What relay learns while the answer flows, read by settle at its end.

    Args:
        usage: The server's own count, as far as it was reported.
        content_events: Content events passed to the caller so far.
        tail: The end of the answer, held back until the bill is final.
        cut_reason: Why the answer broke off, or None while it is whole.
        sent: Whether a server may have executed the call.
        server_failed: Whether the server broke off while it ran the call.
        may_be_billed: Whether a bill may exist, so that nothing may be released.
        attempts: Servers that were tried.
    """

    usage: Usage | None = None
    content_events: int = 0
    tail: bytes = b""
    cut_reason: str | None = None
    sent: bool = False
    server_failed: bool = False
    may_be_billed: bool = False
    attempts: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class UpstreamResponse:
    """A backend server's answer.

    Args:
        status: HTTP status code.
        content_type: The body's media type.
        body: The whole body, or empty for a stream.
        events: The server-sent events of a stream, or None.
        close: Ends the call, which cancels it on the server.
    """

    status: int
    content_type: str
    body: bytes
    events: Iterator[bytes] | None
    close: Callable[[], None]


@dataclass(frozen=True)
class Reply:
    """The answer on its way to the caller.

    Args:
        status: HTTP status code.
        content_type: The body's media type.
        body: The body in pieces; the last is held back until the bill is safe.
        headers: Further headers.
    """

    status: int
    content_type: str
    body: Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Exchange:
    """A request with all that the filters have found out so far.

    Args:
        request: What accept made of the caller's bytes.
        workspace: Set by authenticate.
        route: Set by match route.
        pool: Set by match route.
        attempt: Names this try of the request.
        claimed: Whether this try holds a claim.
        reservation: Set by reserve.
        server: Set by choose server.
        upstream: The backend server's answer; set by dispatch.
        progress: Shared by relay and settle.
        reply: Set by relay, wrapped by settle.
    """

    request: Request
    workspace: str = ""
    route: Route | None = None
    pool: Pool | None = None
    attempt: str = ""
    claimed: bool = False
    reservation: Reservation | None = None
    server: Server | None = None
    upstream: UpstreamResponse | None = None
    progress: ResponseProgress = field(default_factory=ResponseProgress)
    reply: Reply | None = None
