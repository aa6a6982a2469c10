"""A caller's request and the results that the filters of the pipeline add to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from hawthornstage.messages.budget_messages import GrantRef
from hawthornstage.messages.tables import Pool, Route, Server


@dataclass(frozen=True)
class ChatCall:
    """A call for a model's completion.

    Args:
        members: What is passed on to the engine as it is: the members of the caller's
            JSON object, joined, without those that the router sets.
        stream: Whether the caller requested server-sent events.
        usage_requested: Whether the caller requested a last event with the token
            count.
        max_prompt_tokens: Upper bound of the prompt's size, in tokens.
        max_tokens: The caller's limit of the completion, in tokens, or None.
        prefix: Hash of the prompt's beginning, used for prefix affinity.
    """

    members: bytes
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
        body: The body as received.
        content_type: The body's media type.
    """

    method: str
    path: str
    body: bytes
    content_type: str


Call = ChatCall | ServiceCall


@dataclass(frozen=True)
class IncomingCall:
    """An HTTP request as the front end received it.

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
    """A parsed request whose caller is not yet authenticated.

    Args:
        id: Request id, the same for all retries and unique within a workspace.
        credentials: The bearer token as received.
        purpose: The call's purpose, which routes match on.
        call: The call itself.
        idempotency_key: The caller's idempotency key, or None.
        fingerprint: Hash of the call, equal for all attempts.
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
    """Tokens reserved for one request under a grant.

    Args:
        budget: The workspace that pays.
        grant: The grant and its witnesses.
        holder: The router that holds the grant.
        tokens: Reserved tokens, enough for the request's worst case.
    """

    budget: str
    grant: GrantRef
    holder: str
    tokens: int


@dataclass(frozen=True)
class Usage:
    """The actual use of a request, in tokens."""

    prompt_tokens: int
    completion_tokens: int

    @property
    def total(self) -> int:
        """The tokens to bill."""
        return self.prompt_tokens + self.completion_tokens


@dataclass
class ResponseProgress:
    """State of a response that relay updates and settle evaluates at its end.

    Args:
        usage: The token count that the server reported, or None.
        content_events: Content events forwarded to the caller so far.
        tail: The end of the response, held back until the bill is final.
        cut_reason: Why the response ended early, or None if it did not.
        sent: Whether a server may have executed the call.
        server_failed: Whether the server failed during the call.
        may_be_billed: Whether a bill may exist, so that the reservation must not be
            released.
        attempts: Names of the servers chosen so far.
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
    """A backend server's response.

    Args:
        status: HTTP status code.
        content_type: The body's media type.
        body: The whole body, or empty for a stream.
        events: The server-sent events of a stream, or None.
        close: Closes the connection, which cancels the call on the server.
    """

    status: int
    content_type: str
    body: bytes
    events: Iterator[bytes] | None
    close: Callable[[], None]


@dataclass(frozen=True)
class Reply:
    """The response to the caller.

    Args:
        status: HTTP status code.
        content_type: The body's media type.
        body: The body in chunks; the last is held back until the bill is final.
        headers: Additional headers.
    """

    status: int
    content_type: str
    body: Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class Exchange:
    """A request with the results of the filters so far.

    Args:
        request: The parsed request; set by accept.
        workspace: Set by authenticate.
        route: Set by match route.
        pool: Set by match route.
        attempt: Id of this attempt of the request.
        claimed: Whether this attempt holds a claim.
        reservation: Set by reserve.
        server: Set by choose server.
        upstream: The backend server's response; set by dispatch.
        progress: State shared by relay and settle.
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
