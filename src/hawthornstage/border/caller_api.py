"""The callers' HTTP interface: a WSGI application in front of the request pipe."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.border.error_responses import error_document, error_headers
from hawthornstage.border.wsgi import StartResponse, send_response, status_line
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.accept import Accept, AdmissionGate
from hawthornstage.filters.pipe import Filter, run_pipe
from hawthornstage.messages.request import Exchange, IncomingCall, Reply
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class CallerApi:
    """Serves callers over WSGI.

    Args:
        gate: Limits the number of concurrent requests.
        accept: The first filter of the pipe.
        filters: The filters after it, in order.
        events: Records what happens to each request.
        metrics: Counts requests.
        max_body_bytes: Largest request body, in bytes.
    """

    gate: AdmissionGate
    accept: Accept
    filters: tuple[Filter, ...]
    events: EventLog
    metrics: Metrics
    max_body_bytes: int

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        refusal = self.gate.enter()
        if refusal is not None:
            return self.send_failure(Failure(refusal), "", "", start_response)
        self.metrics.in_progress.inc()
        try:
            outcome, exchange = self.process_call(environ)
        except BaseException:
            self.leave()
            raise
        request_id = exchange.request.id if exchange else ""
        route = exchange.route.name if exchange and exchange.route else ""
        if isinstance(outcome, Failure):
            self.leave()
            return self.send_failure(outcome, request_id, route, start_response)
        return self.send_reply(outcome, request_id, route, start_response)

    def process_call(
        self, environ: dict[str, Any]
    ) -> tuple[Reply | Failure, Exchange | None]:
        """Run the request through the pipe.

        Returns:
            The reply, or the failure to report; and the exchange, or None if the
            request was malformed. An exception in a filter becomes a failure of the
            kind `INTERNAL`.
        """
        raw = read_call(environ, self.max_body_bytes)
        if isinstance(raw, Failure):
            return raw, None
        exchange = self.accept.create_exchange(raw)
        if isinstance(exchange, Failure):
            return exchange, None
        self.events.emit(
            "accepted", request_id=exchange.request.id, purpose=exchange.request.purpose
        )
        try:
            outcome = run_pipe(self.filters, exchange)
        except Exception as error:
            self.events.emit(
                "pipe_error", request_id=exchange.request.id, error=repr(error)
            )
            return Failure(ErrorKind.INTERNAL, type(error).__name__), exchange
        if isinstance(outcome, Exchange):
            assert outcome.reply is not None
            return outcome.reply, outcome
        return outcome, exchange

    def send_failure(
        self, failure: Failure, request_id: str, route: str, start: StartResponse
    ) -> list[bytes]:
        """Send the error response for a failure."""
        self.metrics.requests.labels(route, failure.kind.value).inc()
        self.events.emit(
            "refused",
            request_id=request_id,
            kind=failure.kind.value,
            ran=response_for(failure).ran.value,
            detail=failure.detail,
        )
        body = json.dumps(error_document(failure, request_id)).encode() + b"\n"
        headers = error_headers(failure, request_id)
        return send_response(
            start, response_for(failure).status, "application/json", body, headers
        )

    def send_reply(
        self, reply: Reply, request_id: str, route: str, start: StartResponse
    ) -> Iterable[bytes]:
        """Send a reply.

        The request counts as in progress until the HTTP server closes the body.
        """
        self.metrics.requests.labels(route, "answered").inc()
        start(
            status_line(reply.status),
            [("Content-Type", reply.content_type), *reply.headers],
        )
        return ReplyBody(reply.body, self.leave, self.events, request_id)

    def leave(self) -> None:
        """Stop counting a request as in progress."""
        self.metrics.in_progress.dec()
        self.gate.leave()


@dataclass
class ReplyBody:
    """A reply's body as a WSGI iterable; the HTTP server always closes it.

    Args:
        chunks: The body.
        on_close: Called once, when the body is closed.
        events: Records that the body was sent completely.
        request_id: The request's id.
        closed: Whether `close` has run.
    """

    chunks: Iterator[bytes]
    on_close: Callable[[], None]
    events: EventLog
    request_id: str
    closed: bool = field(default=False)

    def __iter__(self) -> Iterator[bytes]:
        yield from self.chunks
        self.events.emit("answered", request_id=self.request_id)

    def close(self) -> None:
        """Close the chunks; the HTTP server also calls this after a disconnect."""
        if self.closed:
            return
        self.closed = True
        close = getattr(self.chunks, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self.on_close()


def read_call(environ: dict[str, Any], max_body_bytes: int) -> IncomingCall | Failure:
    """Read a request from a WSGI environment.

    Args:
        environ: The WSGI environment.
        max_body_bytes: Largest body, in bytes.

    Returns:
        The request, or why its body was rejected.
    """
    body = read_body(environ, max_body_bytes)
    if isinstance(body, Failure):
        return body
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    return IncomingCall(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )


def read_body(environ: dict[str, Any], max_body_bytes: int) -> bytes | Failure:
    """Return a request's body, which has been received whole.

    Args:
        environ: The WSGI environment; see `make_environ`.
        max_body_bytes: Largest body, in bytes.

    Returns:
        The body, or why it was rejected.
    """
    if int(environ["CONTENT_LENGTH"]) > max_body_bytes:
        return Failure(ErrorKind.BODY_TOO_LARGE, f"the limit is {max_body_bytes} bytes")
    return environ["wsgi.input"].read()
