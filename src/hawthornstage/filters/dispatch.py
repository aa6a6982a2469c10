"""Dispatch: sends the call to the chosen backend server."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
    ProtocolError,
)

from hawthornstage.border.sse import EventTooLarge, read_events
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import (
    ChatCall,
    Exchange,
    ServiceCall,
    UpstreamResponse,
)
from hawthornstage.messages.tables import Pool, Priority
from hawthornstage.observe.events import EventLog

# Longest wait for a connection to a server, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Largest body of an answer that is not streamed, in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# What engines take as priority: lower numbers go first.
ENGINE_PRIORITY = {Priority.HIGH: 0, Priority.LOW: 10}
# Errors after which no byte of the call can have reached the server.
NOT_SENT = (NewConnectionError, ConnectTimeoutError, NameResolutionError)
# Errors that a server's death leads to while it runs a call.
BROKEN_OFF = (ProtocolError, ConnectionError)


@dataclass(frozen=True)
class Dispatch:
    """Sets the upstream answer, up to a stream's first event.

    Args:
        pool: Connections to the servers, shared by all requests.
        events: Takes events.
    """

    pool: urllib3.PoolManager
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Send the call once."""
        assert exchange.server is not None
        assert exchange.route is not None
        self.events.emit(
            "dispatched", request_id=exchange.request.id, server=exchange.server.name
        )
        try:
            return self.send(exchange)
        except NOT_SENT as error:
            return Failure(ErrorKind.SERVER_UNREACHABLE, str(error))
        except (HTTPError, OSError, EventTooLarge) as error:
            exchange.progress.sent = True
            exchange.progress.server_failed = isinstance(error, BROKEN_OFF)
            return Failure(ErrorKind.SERVER_FAILED, str(error))

    def send(self, exchange: Exchange) -> Exchange | Failure:
        """Make the HTTP call and read the start of the answer."""
        assert exchange.pool is not None
        idempotent = exchange.route is not None and exchange.route.idempotent
        # A kept connection may break after the call was written to it, which
        # can't be told from a call that ran: such calls get a new connection.
        pool = self.pool if idempotent else urllib3.PoolManager(retries=False)
        call = outgoing(exchange)
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
        return self.receive(exchange, response)

    def receive(
        self, exchange: Exchange, response: urllib3.BaseHTTPResponse
    ) -> Exchange | Failure:
        """Turn the server's response into an upstream answer."""
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        streamed = content_type.startswith("text/event-stream")
        if streamed and response.status == 200:
            events = first_read(read_events(response.stream(4096)))
            upstream = UpstreamResponse(200, content_type, b"", events, response.close)
            return replace(exchange, upstream=upstream)
        body = response.read(MAX_ANSWER_BYTES + 1)
        response.release_conn()
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            return Failure(ErrorKind.SERVER_FAILED, "the answer is too large")
        refusal = refused(exchange, response.status, body)
        if refusal is not None:
            return refusal
        upstream = UpstreamResponse(
            response.status, content_type, body, None, response.close
        )
        return replace(exchange, upstream=upstream)

    def undo(self, exchange: Exchange) -> None:
        """End the call, which cancels it on the server."""
        if exchange.upstream is not None:
            exchange.upstream.close()


def outgoing(exchange: Exchange) -> dict[str, Any]:
    """Return the HTTP call for a server, as arguments of urllib3."""
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
            body = engine_body(request.call, exchange.pool)
            body["priority"] = ENGINE_PRIORITY[exchange.route.priority]
            headers["Content-Type"] = "application/json"
            return {
                "method": "POST",
                "url": f"{base}/v1/chat/completions",
                "body": json.dumps(body),
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


def engine_body(call: ChatCall, pool: Pool) -> dict[str, Any]:
    """Return the body for an engine: the output bounded, the use reported."""
    body = dict(call.body)
    body.pop("max_completion_tokens", None)
    body["model"] = pool.model
    body["max_tokens"] = call.max_tokens or pool.max_tokens
    if call.stream:
        body["stream_options"] = {
            "include_usage": True,
            "continuous_usage_stats": True,
        }
    return body


def refused(exchange: Exchange, status: int, body: bytes) -> Failure | None:
    """Return the failure that a server's status stands for, or None."""
    if status >= 500:
        detail = f"status {status}: {body[:200].decode(errors='replace')}"
        return Failure(ErrorKind.SERVER_FAILED, detail)
    if isinstance(exchange.request.call, ChatCall) and status >= 400:
        detail = f"status {status}: {body[:500].decode(errors='replace')}"
        return Failure(ErrorKind.SERVER_REFUSED, detail)
    return None


def first_read(events: Iterator[bytes]) -> Iterator[bytes]:
    """Read the first event now, so that its failure can still lead to a retry."""
    first = next(events, None)

    def all_events() -> Iterator[bytes]:
        if first is not None:
            yield first
        yield from events

    return all_events()
