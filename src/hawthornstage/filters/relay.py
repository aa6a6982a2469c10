"""Relay: passes the response on to the caller and extracts its token usage."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from urllib3.exceptions import HTTPError

from hawthornstage.border.chat import parse_usage
from hawthornstage.border.json_values import load_json
from hawthornstage.border.sse import DONE_EVENT, EventTooLargeError, event_data
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.dispatch import CONNECTION_LOST_ERRORS
from hawthornstage.messages.request import (
    ChatCall,
    Exchange,
    Reply,
    ResponseProgress,
    ServiceCall,
    UpstreamResponse,
    Usage,
)
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class Relay:
    """Sets the reply of an exchange; `progress.tail` holds back its end.

    Args:
        clock: Source of time.
        metrics: Records the time to the first byte.
    """

    clock: Clock
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Build the reply from the upstream response."""
        upstream = exchange.upstream
        assert upstream is not None
        waited = self.clock.monotonic() - exchange.request.arrived
        self.metrics.first_byte.observe(waited)
        if upstream.events is not None:
            return self.stream(exchange, upstream)
        usage = usage_of_body(exchange, upstream.body)
        if usage is None:
            detail = "the engine reported no token usage"
            return Failure(ErrorKind.SERVER_FAILED, detail)
        exchange.progress.usage = usage
        exchange.progress.tail = upstream.body
        return replace(exchange, reply=self.reply(exchange, upstream, iter(())))

    def stream(self, exchange: Exchange, upstream: UpstreamResponse) -> Exchange:
        """Build a reply that streams the events of the upstream response."""
        call = exchange.request.call
        usage_requested = isinstance(call, ChatCall) and call.usage_requested
        assert upstream.events is not None
        body = relay_events(
            upstream.events, exchange.progress, usage_requested=usage_requested
        )
        return replace(exchange, reply=self.reply(exchange, upstream, body))

    def reply(
        self, exchange: Exchange, upstream: UpstreamResponse, body: Iterator[bytes]
    ) -> Reply:
        """Return a reply with the request id in its headers."""
        headers = (("X-Request-Id", exchange.request.id),)
        return Reply(upstream.status, upstream.content_type, body, headers)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: `apply` acquires nothing."""


def usage_of_body(exchange: Exchange, body: bytes) -> Usage | None:
    """Return the token usage of a buffered response, or None if it is not reported."""
    match exchange.request.call:
        case ServiceCall():
            assert exchange.pool is not None
            return Usage(exchange.pool.call_tokens, 0)
        case ChatCall():
            return parse_usage(parse_json(body))


def relay_events(
    events: Iterator[bytes], progress: ResponseProgress, *, usage_requested: bool
) -> Iterator[bytes]:
    """Yield the events of an engine up to the first with a finish reason.

    The response is complete only if a finish reason and then the `[DONE]` event
    arrive; otherwise `progress.cut_reason` says why it is incomplete. Later events are
    held back in `progress.tail`.

    Args:
        events: The server-sent events of the engine.
        progress: Receives the usage, the held-back last events and any error.
        usage_requested: Whether the caller asked for the event with the token usage.
    """
    progress.cut_reason = "the stream ended without a finish reason and [DONE]"
    tail: list[bytes] = []
    try:
        for event in events:
            data = event_data(event)
            if data == b"[DONE]":
                if tail:
                    progress.cut_reason = None
                    progress.tail = b"".join(tail) + DONE_EVENT
                return
            document = parse_json(data)
            progress.usage = parse_usage(document) or progress.usage
            choices = document.get("choices") if isinstance(document, dict) else None
            if tail or has_finish_reason(choices):
                if choices or usage_requested:
                    tail.append(event)
                continue
            progress.content_events += 1
            yield event
    except (HTTPError, OSError, EventTooLargeError) as error:
        progress.cut_reason = str(error) or type(error).__name__
        progress.server_failed = isinstance(error, CONNECTION_LOST_ERRORS)


def has_finish_reason(choices: Any) -> bool:
    """Return whether any choice of a chunk has a finish reason."""
    if not isinstance(choices, list):
        return False
    return any(isinstance(c, dict) and c.get("finish_reason") for c in choices)


def parse_json(data: bytes) -> Any:
    """Return the parsed JSON document, or None if the data is not valid JSON."""
    try:
        return load_json(data)
    except ValueError:
        return None
