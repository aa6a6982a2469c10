"""The callers' front end: HTTP in, the request pipe, HTTP out."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.border.answers import error_document, error_headers
from hawthornstage.border.wsgi import StartResponse, send, status_line
from hawthornstage.errors import ErrorKind, Failure, answer_for
from hawthornstage.filters.accept import Accept, Gate
from hawthornstage.filters.pipe import Filter, run
from hawthornstage.messages.request import Exchange, IncomingCall, Reply
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class Front:
    """Serves callers over WSGI.

    Args:
        gate: Counts requests and turns them away at the limit.
        accept: The pipe's first filter.
        filters: The filters after it, in order.
        events: Takes events.
        metrics: Counts requests.
        max_body_bytes: Largest body.
    """

    gate: Gate
    accept: Accept
    filters: tuple[Filter, ...]
    events: EventLog
    metrics: Metrics
    max_body_bytes: int

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call."""
        refusal = self.gate.enter()
        if refusal is not None:
            return self.fail(Failure(refusal), "", "", start_response)
        self.metrics.in_progress.inc()
        try:
            outcome, exchange = self.process(environ)
        except BaseException:
            self.leave()
            raise
        request_id = exchange.request.id if exchange else ""
        route = exchange.route.name if exchange and exchange.route else ""
        if isinstance(outcome, Failure):
            self.leave()
            return self.fail(outcome, request_id, route, start_response)
        return self.answer(outcome, request_id, route, start_response)

    def process(
        self, environ: dict[str, Any]
    ) -> tuple[Reply | Failure, Exchange | None]:
        """Run the pipe; a fault in it becomes an answer too."""
        raw = read_call(environ, self.max_body_bytes)
        if isinstance(raw, Failure):
            return raw, None
        exchange = self.accept.open(raw)
        if isinstance(exchange, Failure):
            return exchange, None
        self.events.emit(
            "accepted", request_id=exchange.request.id, purpose=exchange.request.purpose
        )
        try:
            outcome = run(self.filters, exchange)
        except Exception as error:
            self.events.emit(
                "pipe_error", request_id=exchange.request.id, error=repr(error)
            )
            return Failure(ErrorKind.INTERNAL, type(error).__name__), exchange
        if isinstance(outcome, Exchange):
            assert outcome.reply is not None
            return outcome.reply, outcome
        return outcome, exchange

    def fail(
        self, failure: Failure, request_id: str, route: str, start: StartResponse
    ) -> list[bytes]:
        """Send a failure's answer."""
        self.metrics.requests.labels(route, failure.kind.value).inc()
        self.events.emit(
            "refused",
            request_id=request_id,
            kind=failure.kind.value,
            ran=answer_for(failure).ran.value,
            detail=failure.detail,
        )
        body = json.dumps(error_document(failure, request_id)).encode() + b"\n"
        headers = error_headers(failure, request_id)
        return send(
            start, answer_for(failure).status, "application/json", body, headers
        )

    def answer(
        self, reply: Reply, request_id: str, route: str, start: StartResponse
    ) -> Iterable[bytes]:
        """Send a reply; the request is in the pipe until its last byte is out."""
        self.metrics.requests.labels(route, "answered").inc()
        start(
            status_line(reply.status),
            [("Content-Type", reply.content_type), *reply.headers],
        )
        return Body(reply.body, self.leave, self.events, request_id)

    def leave(self) -> None:
        """Count a request out."""
        self.metrics.in_progress.dec()
        self.gate.leave()


@dataclass
class Body:
    """A reply's body for the HTTP server, which closes it in every case."""

    pieces: Iterator[bytes]
    leave: Callable[[], None]
    events: EventLog
    request_id: str
    left: bool = field(default=False)

    def __iter__(self) -> Iterator[bytes]:
        yield from self.pieces
        self.events.emit("answered", request_id=self.request_id)

    def close(self) -> None:
        """End the reply; called by the HTTP server, also when the caller is gone."""
        if self.left:
            return
        self.left = True
        close = getattr(self.pieces, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self.leave()


def read_call(environ: dict[str, Any], max_body_bytes: int) -> IncomingCall | Failure:
    """Read a call from the HTTP server."""
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
    """Read a call's body, bounded."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length and not length.isdigit():
        return Failure(ErrorKind.BAD_REQUEST, "Content-Length: a number")
    if length and int(length) > max_body_bytes:
        return Failure(ErrorKind.BODY_TOO_LARGE, f"at most {max_body_bytes} bytes")
    try:
        if length:
            body = environ["wsgi.input"].read(int(length))
        elif environ.get("HTTP_TRANSFER_ENCODING"):
            body = environ["wsgi.input"].read(max_body_bytes + 1)
        else:
            body = b""
    except Exception as error:
        return Failure(ErrorKind.BAD_REQUEST, f"the body broke off: {error}")
    if len(body) > max_body_bytes:
        return Failure(ErrorKind.BODY_TOO_LARGE, f"at most {max_body_bytes} bytes")
    if length and len(body) < int(length):
        return Failure(ErrorKind.BAD_REQUEST, "the body broke off")
    return body
