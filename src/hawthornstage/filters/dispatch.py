"""Dispatch: sends the call to the chosen backend server."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import structlog
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
    ProtocolError,
)

from hawthornstage.border.chat import encode_engine_chat
from hawthornstage.border.sse import EventTooLargeError, read_events
from hawthornstage.decisions.promises import is_false_promise
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.request import (
    ChatCall,
    Exchange,
    ServiceCall,
    UpstreamResponse,
)
from hawthornstage.messages.tables import Pool, Priority
from hawthornstage.observe.events import EventLog

log = structlog.get_logger()

# Timeout for connecting to a server, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Size of the parts in which a body is written, in bytes.
UPLOAD_PART_BYTES = 16 * 1024
# Largest response body that is not streamed, in bytes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Priority values of the engines; lower values are scheduled first.
ENGINE_PRIORITY = {Priority.HIGH: 0, Priority.LOW: 10}
# Errors raised before any byte of the call can have reached the server.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError, NameResolutionError)
# Errors that a crash of the server causes while it runs a call.
CONNECTION_LOST_ERRORS = (ProtocolError, ConnectionError)


@dataclass(frozen=True)
class Dispatch:
    """Sets the upstream response of an exchange; a stream is read to its first event.

    Args:
        pool: Connection pool for the servers, shared by all requests.
        events: Structured event log.
    """

    pool: urllib3.PoolManager
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Send the call to the chosen server and map errors to failures."""
        assert exchange.server is not None
        assert exchange.route is not None
        self.events.emit(
            "dispatched", request_id=exchange.request.id, server=exchange.server.name
        )
        try:
            return self.send(exchange)
        except NOT_SENT_ERRORS as error:
            return Failure(ErrorKind.SERVER_UNREACHABLE, str(error))
        except (HTTPError, OSError, EventTooLargeError) as error:
            exchange.progress.sent = True
            exchange.progress.server_failed = isinstance(error, CONNECTION_LOST_ERRORS)
            return Failure(ErrorKind.SERVER_FAILED, str(error))
        except Exception as error:
            log.exception(
                "dispatch_error",
                request_id=exchange.request.id,
                server=exchange.server.name,
            )
            exchange.progress.sent = True
            return Failure(ErrorKind.INTERNAL, type(error).__name__)

    def send(self, exchange: Exchange) -> Exchange | Failure:
        """Send the HTTP request and read the start of the response."""
        assert exchange.pool is not None
        idempotent = exchange.route is not None and exchange.route.idempotent
        # A pooled connection can fail after the request was written to it, and the
        # error does not show whether the call ran. Non-idempotent calls therefore
        # use a new connection.
        pool = self.pool if idempotent else urllib3.PoolManager(retries=False)
        call = request_arguments(exchange)
        upload = Upload(call["body"])
        if upload.data:
            call["headers"]["Content-Length"] = str(len(upload.data))
            call["body"] = upload
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=exchange.pool.timeout_s
        )
        response = pool.request(
            **call,
            timeout=timeout,
            retries=False,
            redirect=False,
            preload_content=False,
        )
        exchange.progress.sent = True
        if not upload.written and not has_length(response):
            # The failed write has hidden a reset, and the end looks orderly.
            response.close()
            raise ProtocolError("the server closed the connection during the request")
        return self.receive(exchange, response)

    def receive(
        self, exchange: Exchange, response: urllib3.BaseHTTPResponse
    ) -> Exchange | Failure:
        """Map the response of the server to an upstream response or a failure."""
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        streamed = content_type.startswith("text/event-stream")
        if streamed and response.status == 200:
            events = read_first_event(read_events(response.stream(4096)))
            upstream = UpstreamResponse(200, content_type, b"", events, response.close)
            return replace(exchange, upstream=upstream)
        body = response.read(MAX_RESPONSE_BYTES + 1)
        response.release_conn()
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            return Failure(
                ErrorKind.SERVER_FAILED,
                f"the response is larger than {MAX_RESPONSE_BYTES} bytes",
            )
        refusal = failure_for_status(exchange, response.status, body)
        if refusal is not None:
            return refusal
        upstream = UpstreamResponse(
            response.status, content_type, body, None, response.close
        )
        return replace(exchange, upstream=upstream)

    def undo(self, exchange: Exchange) -> None:
        """Close the upstream response, which cancels the call on the server."""
        if exchange.upstream is not None:
            exchange.upstream.close()


class Upload:
    """The body of a request, which tells whether all of it was written.

    Args:
        data: The body.
    """

    def __init__(self, data: bytes | str) -> None:
        self.data = data.encode() if isinstance(data, str) else data
        self.written = not self.data

    def __iter__(self) -> Iterator[bytes]:
        for start in range(0, len(self.data), UPLOAD_PART_BYTES):
            yield self.data[start : start + UPLOAD_PART_BYTES]
        self.written = True


def has_length(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether a response shows its end by itself, not by a close."""
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def request_arguments(exchange: Exchange) -> dict[str, Any]:
    """Return the HTTP request for a server as keyword arguments for urllib3."""
    assert exchange.server is not None
    assert exchange.route is not None
    assert exchange.pool is not None
    request = exchange.request
    headers = {"X-Request-Id": request.id}
    if request.idempotency_key is not None:
        headers["Idempotency-Key"] = request.idempotency_key
    base = exchange.server.url.rstrip("/")
    match request.call:
        case ChatCall():
            fields = engine_fields(request.call, exchange.pool)
            fields["priority"] = ENGINE_PRIORITY[exchange.route.priority]
            headers["Content-Type"] = "application/json"
            return {
                "method": "POST",
                "url": f"{base}/v1/chat/completions",
                "body": encode_engine_chat(request.call, fields),
                "headers": headers,
            }
        case ServiceCall(method, path, body, content_type):
            headers["Content-Type"] = content_type
            return {
                "method": method,
                "url": base + path,
                "body": body,
                "headers": headers,
            }


def engine_fields(call: ChatCall, pool: Pool) -> dict[str, Any]:
    """Return the fields of a request to an engine that its pool decides."""
    return {"model": pool.model, "max_tokens": call.max_tokens or pool.max_tokens}


def failure_for_status(exchange: Exchange, status: int, body: bytes) -> Failure | None:
    """Return the failure that a status code means, or None for a usable response."""
    # No server of this interface says that it has not run a call.
    if status >= 500 or is_false_promise(status, ExecutionState.UNKNOWN):
        detail = f"status {status}: {body[:200].decode(errors='replace')}"
        return Failure(ErrorKind.SERVER_FAILED, detail)
    if isinstance(exchange.request.call, ChatCall) and status >= 400:
        detail = f"status {status}: {body[:500].decode(errors='replace')}"
        return Failure(ErrorKind.SERVER_REFUSED, detail)
    return None


def read_first_event(events: Iterator[bytes]) -> Iterator[bytes]:
    """Read the first event eagerly, so that an error in it can still be retried."""
    first = next(events, None)

    def all_events() -> Iterator[bytes]:
        if first is not None:
            yield first
        yield from events

    return all_events()
