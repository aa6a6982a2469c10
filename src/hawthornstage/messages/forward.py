"""Data classes of a call that is forwarded without parsing its body."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.call_leases import CallLease
from hawthornstage.messages.desired import (
    DesiredState,
    ForwardRoute,
    ServiceSpec,
    WorkspaceSpec,
)
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.server_notices import SILENT_NOTICE, ServerNotice

Headers = tuple[tuple[str, str], ...]
# Connections that a server accepts if the desired state sets no limit.
DEFAULT_MAX_CONNECTIONS = 100


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; parts with equal ids have equal text."""

    id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a prompt as declared by the caller.

    Args:
        tokens: Tokens of the whole prompt.
        max_output: Upper bound of the output, in tokens.
        parts: The prompt's parts in order; the last is unique to this call.
    """

    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other calls may share."""
        return self.parts[:-1]

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """The ids of the parts that other calls may share."""
        return tuple(part.id for part in self.shared_parts)


@dataclass(frozen=True)
class ForwardCall:
    """A caller's request as received.

    Args:
        id: Request id, which a caller is to choose anew for each attempt, but may use
            for several calls.
        method: HTTP method.
        target: Path and query.
        host: The Host header in lower case, without a port.
        headers: Headers to forward unchanged.
        body: The whole body.
        key: The API key, or None.
        time_limit_s: The caller's timeout in seconds, or None if it sent none.
        prompt: The prompt's declared size, or None.
        resume_after: Id of the last event that the caller received, or None.
        arrived: Monotonic time at which the head was complete, in seconds.
        resumes: Id of the call that brought the first event of the stream that this
            call continues, or None.
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
    resumes: str | None = None

    @property
    def continues_stream(self) -> bool:
        """Whether the caller has part of the stream already."""
        return self.resume_after is not None or self.resumes is not None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class ForwardExchange:
    """A call with the results of the filters so far.

    Args:
        call: The caller's request.
        desired: The desired state that applies to the call.
        route: Set by identify.
        workspace: Set by identify; None on a public route.
        service: Set by identify: the name of the service.
        fingerprint: Hash of the call, equal for repetitions of the same call.
        reserved: Tokens reserved for the call.
        stream_version: Version of the servers at which the stream may go on, or None
            if it has not begun.
        regions: Set by identify: the regions in which the call may be handled, or None
            for all.
        waited_s: Time for which the call waited for room, in seconds.
        number: Set by identify: tells the router's calls apart.
    """

    call: ForwardCall
    desired: DesiredState
    route: ForwardRoute
    workspace: WorkspaceSpec | None
    service: str
    fingerprint: str
    reserved: int = 0
    stream_version: str | None = None
    regions: frozenset[str] | None = None
    waited_s: float = 0.0
    number: int = 0

    @property
    def unique_id(self) -> str:
        """Id that no other call of this router has, of bounded length."""
        return f"{bounded_id(self.call.id)}#{self.number}"

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """The ids of the prompt's shared parts; empty without a prompt."""
        return self.call.prompt.shared_ids if self.call.prompt else ()

    @property
    def deadline(self) -> float:
        """Monotonic time by which the response must be complete, in seconds."""
        limit = self.route.timeout_s
        if self.call.time_limit_s is not None:
            limit = min(limit, self.call.time_limit_s)
        return self.call.arrived + limit

    @property
    def priority(self) -> int:
        """The call's priority; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def service_spec(self) -> ServiceSpec | None:
        """The service's entry in the desired state, or None."""
        for service in self.desired.services:
            if service.name == self.service:
                return service
        return None

    @property
    def tokens_per_event(self) -> int:
        """Output tokens in one event of the response."""
        kind = self.service_spec
        return kind.engine.tokens_per_event if kind and kind.engine else 1

    @property
    def max_connections_per_server(self) -> int:
        """Connections that one server of the service accepts from all routers."""
        kind = self.service_spec
        return kind.max_connections if kind else DEFAULT_MAX_CONNECTIONS


@dataclass(frozen=True)
class ResponseHead:
    """The head of a backend server's response.

    Args:
        status: HTTP status code.
        headers: Headers to forward to the caller.
        request_id: Id of the request that the response belongs to, or empty.
        sealed: Whether it carries the server's digest.
        ran: What the response tells of whether the server has run the request.
        misdirected: Whether a server other than the intended one responded.
        content_encoded: Whether a content encoding changed the server's own bytes.
        keep_alive_s: Time for which the server keeps an idle connection open, in
            seconds, or None if it does not state one.
        notice: What the server says of itself.
    """

    status: int
    headers: Headers
    request_id: str
    sealed: bool
    ran: ExecutionState
    misdirected: bool
    content_encoded: bool
    keep_alive_s: float | None = None
    notice: ServerNotice = SILENT_NOTICE

    @property
    def is_success(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300

    @property
    def shows_speed(self) -> bool:
        """Whether the time to it shows the server's speed.

        A failing server may answer sooner than one that does its work.
        """
        if self.ran is ExecutionState.NO or self.misdirected:
            return False
        return self.sealed if self.is_success else 300 <= self.status < 500


@dataclass(frozen=True)
class ResponseData:
    """A chunk of a response body."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """The response is complete; `closed` tells that only the close marked its end."""

    closed: bool


@dataclass(frozen=True)
class NotSent:
    """The request did not reach the server."""

    reason: str


@dataclass(frozen=True)
class ServerFailed:
    """The server failed during the call and may have run the request.

    Args:
        reason: What happened, for the log.
        connection_lost: Whether the connection broke, as it does in a crash.
    """

    reason: str
    connection_lost: bool = False


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""


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
        """Return whether neither data nor a close has arrived while it was idle."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(frozen=True)
class PlacementBasis:
    """The data on which a server was chosen.

    Args:
        wait_s: Estimated time to the server's first byte, in seconds.
        candidates: Number of eligible servers.
        uncached_tokens: Prompt tokens that the server is assumed not to have cached.
        running: This router's calls on the server before this one.
        last_answer_age_s: Time since the server last started a response to this
            router, in seconds; None if it never did.
    """

    wait_s: float = 0.0
    candidates: int = 0
    uncached_tokens: int = 0
    running: int = 0
    last_answer_age_s: float | None = None


@dataclass
class Delivery:
    """Progress of a call's delivery, evaluated when the call is settled.

    Args:
        attempts: Number of times that the call was sent to a server.
        misdirected: Attempts that another server than the intended one answered, and
            did not run.
        attempted_servers: The chosen servers, including unreachable ones.
        excluded: Ids of the servers that must not be chosen again.
        full: Ids of those among them that only had no room for the call.
        ran: What is known of whether a server has run the call.
        events: Complete events forwarded to the caller.
        last_event_id: Id of the last forwarded event.
        stream_version: Version of the server that began the stream, or None before its
            first event.
        head_sent: Whether the caller has received the head of a response.
        status: Status code sent to the caller, 0 if none.
        outcome: The call's outcome for the log.
        pooled: The last server connection, if another call may reuse it.
        basis: The data on which the last server was chosen.
        first_byte_s: Time from the last send to the first byte, in seconds.
        answer_began: Whether the last server began the body of a success.
        longest_pause_s: Longest time between two events of the response, in seconds.
        through_router: The router that carried the latest attempt, or None.
        failed_to_connect: Whether a server could not be connected to.
        lease: The lease of the server that the call is sent to, if it is fragile.
        began_unconfirmed: Whether the stream began at a server whose version is not
            certain, so that it cannot go on elsewhere.
        permit_asked_at: Time at which the permit for that server was asked for, or None
            if it needed none.
    """

    attempts: int = 0
    misdirected: int = 0
    attempted_servers: tuple[BackendServer, ...] = ()
    excluded: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    ran: ExecutionState = ExecutionState.NO
    events: int = 0
    last_event_id: str | None = None
    stream_version: str | None = None
    head_sent: bool = False
    status: int = 0
    outcome: str = ""
    pooled: PooledConnection | None = None
    basis: PlacementBasis | None = None
    first_byte_s: float | None = None
    answer_began: bool = False
    longest_pause_s: float = 0.0
    through_router: str | None = None
    failed_to_connect: bool = False
    lease: CallLease | None = None
    permit_asked_at: float | None = None
    began_unconfirmed: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to run the call."""
        return self.ran is not ExecutionState.NO
