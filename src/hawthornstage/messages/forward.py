"""A call that is forwarded unread, and what the filters add to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.desired import (
    DesiredState,
    ForwardRoute,
    ServiceSpec,
    WorkspaceSpec,
)

Headers = tuple[tuple[str, str], ...]
# Connections that a server accepts as long as the desired state does not say.
DEFAULT_MAX_CONNECTIONS = 100


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; equal ids are equal text."""

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a caller says of its prompt.

    Args:
        tokens: Tokens of the whole prompt.
        max_output: Most tokens that may be generated.
        parts: The prompt's parts in order; the last belongs to this call alone.
    """

    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other calls may have as well."""
        return self.parts[:-1]


@dataclass(frozen=True)
class ForwardCall:
    """A caller's request as it came in.

    Args:
        id: Names this try of the caller's.
        method: HTTP method.
        target: Path and query.
        host: The Host header in lower case, without a port.
        headers: What is passed on as it is.
        body: The whole body.
        key: The API key, or None.
        time_limit_s: Seconds that the caller waits, or None if it does not say.
        prompt: What the caller says of its prompt, or None.
        resume_after: Id of the last event that the caller has, or None.
        arrived: Monotonic time at which the head was complete, in seconds.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    time_limit_s: float | None
    prompt: Prompt | None
    resume_after: str | None
    arrived: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class ForwardExchange:
    """A call with all that the filters have found out so far.

    Args:
        call: What the caller sent.
        desired: The desired state that the call is handled by.
        route: Set by identify.
        workspace: Set by identify; None on a public route.
        service: Set by identify: the name of the service.
        fingerprint: Hash of what makes two calls the same call.
        reserved: Tokens set aside for the call.
    """

    call: ForwardCall
    desired: DesiredState
    route: ForwardRoute
    workspace: WorkspaceSpec | None
    service: str
    fingerprint: str
    reserved: int = 0

    @property
    def deadline(self) -> float:
        """Monotonic time at which the caller must have its final answer."""
        limit = self.route.timeout_s
        if self.call.time_limit_s is not None:
            limit = min(limit, self.call.time_limit_s)
        return self.call.arrived + limit

    @property
    def priority(self) -> int:
        """The call's rank; 0 goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def service_spec(self) -> ServiceSpec | None:
        """What the desired state says of the service."""
        for service in self.desired.services:
            if service.name == self.service:
                return service
        return None

    @property
    def tokens_per_event(self) -> int:
        """Output tokens in one event of the answer."""
        kind = self.service_spec
        return kind.engine.tokens_per_event if kind and kind.engine else 1

    @property
    def max_connections_per_server(self) -> int:
        """Connections that each of its servers accepts from all routers."""
        kind = self.service_spec
        return kind.max_connections if kind else DEFAULT_MAX_CONNECTIONS


@dataclass(frozen=True)
class ResponseHead:
    """The head of a backend server's answer.

    Args:
        status: HTTP status code.
        headers: What is passed on to the caller.
        request_id: Id of the request that it answers, or empty.
        sealed: Whether it carries the server's digest.
        not_executed: Whether the server says that it did not run the request.
        misdirected: Whether another server than the one that was meant answers.
        content_encoded: Whether the body is not the server's own bytes.
        keep_alive_s: How long the server keeps the connection idle, in seconds, or None.
    """

    status: int
    headers: Headers
    request_id: str
    sealed: bool
    not_executed: bool
    misdirected: bool
    content_encoded: bool
    keep_alive_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the server says that the request has succeeded."""
        return 200 <= self.status < 300


@dataclass(frozen=True)
class ResponseData:
    """Bytes of an answer's body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """The answer is complete; `closed` says that only the close told its end."""

    closed: bool


@dataclass(frozen=True)
class NotSent:
    """The request did not reach a server."""

    reason: str


@dataclass(frozen=True)
class ServerFailed:
    """The server broke off; it may have run the request."""

    reason: str


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True)
class DeadlineExceeded:
    """The call's deadline has passed."""


ExchangeEvent = (
    ResponseHead
    | ResponseData
    | ResponseEnd
    | NotSent
    | ServerFailed
    | CallerDisconnected
    | DeadlineExceeded
)


class PooledConnection(Protocol):
    """An idle connection to a backend server."""

    keep_alive_s: float | None

    def is_reusable(self) -> bool:
        """Whether nothing has come on it, not even a close."""

    def close(self) -> None:
        """Close it."""


@dataclass(frozen=True)
class PlacementBasis:
    """What decided the choice of a server.

    Args:
        wait_s: Estimated time to its first byte, in seconds.
        candidates: Servers that might have been chosen.
        uncached_tokens: Prompt tokens that it is thought not to have cached.
        running: This router's calls on it before this one.
        last_answer_age_s: Time since its last first byte to this router, in seconds; None if
            there was none.
    """

    wait_s: float = 0.0
    candidates: int = 0
    uncached_tokens: int = 0
    running: int = 0
    last_answer_age_s: float | None = None


@dataclass
class Delivery:
    """What has been done for a call so far; settle reads it.

    Args:
        attempts: Sends to servers.
        misdirected: Those of them that another server answered than the one meant.
        attempted_servers: The servers that were chosen, also those that could not be reached.
        may_have_run: Whether a server may have begun to work on it.
        events: Whole events passed to the caller.
        last_event_id: Id of the last of them.
        head_sent: Whether the caller has the head of an answer.
        status: Status that the caller got, 0 if none.
        outcome: How it ended, for the log.
        pooled: The last connection to a server, if another call may use it.
        basis: What decided the choice of the last server.
        first_byte_s: Time from the last send to the first byte, in seconds.
        longest_pause_s: Longest time between two events of the answer, in seconds.
    """

    attempts: int = 0
    misdirected: int = 0
    attempted_servers: tuple[BackendServer, ...] = ()
    may_have_run: bool = False
    events: int = 0
    last_event_id: str | None = None
    head_sent: bool = False
    status: int = 0
    outcome: str = ""
    pooled: PooledConnection | None = None
    basis: PlacementBasis | None = None
    first_byte_s: float | None = None
    longest_pause_s: float = 0.0
