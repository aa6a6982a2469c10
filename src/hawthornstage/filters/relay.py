"""Relay: passes the server's answer on, and learns what it used."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from urllib3.exceptions import HTTPError

from hawthornstage.border.chat import parse_usage
from hawthornstage.border.sse import DONE, EventTooLarge, event_data
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.dispatch import BROKEN_OFF
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
    """Sets the reply; its end is held back in `progress.tail`.

    Args:
        clock: The runtime's clock.
        metrics: Takes the time to the first byte.
    """

    clock: Clock
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Make the reply out of the upstream answer."""
        upstream = exchange.upstream
        assert upstream is not None
        waited = self.clock.monotonic() - exchange.request.arrived
        self.metrics.first_byte.observe(waited)
        if upstream.events is not None:
            return self.stream(exchange, upstream)
        usage = usage_of_whole(exchange, upstream.body)
        if usage is None:
            detail = "the engine did not report its use"
            return Failure(ErrorKind.SERVER_FAILED, detail)
        exchange.progress.usage = usage
        exchange.progress.tail = upstream.body
        return replace(exchange, reply=self.reply(exchange, upstream, iter(())))

    def stream(self, exchange: Exchange, upstream: UpstreamResponse) -> Exchange:
        """Make a reply that follows the upstream's events."""
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
        """Return a reply that carries the request's id."""
        headers = (("X-Request-Id", exchange.request.id),)
        return Reply(upstream.status, upstream.content_type, body, headers)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: nothing was taken."""


def usage_of_whole(exchange: Exchange, body: bytes) -> Usage | None:
    """Return what an answer that is not streamed used, or None if unknown."""
    match exchange.request.call:
        case ServiceCall():
            assert exchange.pool is not None
            return Usage(exchange.pool.call_tokens, 0)
        case ChatCall():
            return parse_usage(load(body))


def relay_events(
    events: Iterator[bytes], progress: ResponseProgress, *, usage_requested: bool
) -> Iterator[bytes]:
    """Yield an engine's events up to those that end the answer.

    The answer is whole only if a finish reason and the end mark both came, in
    this order; anything else leaves `progress.cut_reason` set.
    """
    progress.cut_reason = "the stream ended early"
    tail: list[bytes] = []
    try:
        for event in events:
            data = event_data(event)
            if data == b"[DONE]":
                if tail:
                    progress.cut_reason = None
                    progress.tail = b"".join(tail) + DONE
                return
            document = load(data)
            progress.usage = parse_usage(document) or progress.usage
            choices = document.get("choices") if isinstance(document, dict) else None
            if tail or finishes(choices):
                if choices or usage_requested:
                    tail.append(event)
                continue
            progress.content_events += 1
            yield event
    except (HTTPError, OSError, EventTooLarge) as error:
        progress.cut_reason = str(error) or type(error).__name__
        progress.server_failed = isinstance(error, BROKEN_OFF)


def finishes(choices: Any) -> bool:
    """Tell whether a chunk's choices carry a finish reason."""
    if not isinstance(choices, list):
        return False
    return any(isinstance(c, dict) and c.get("finish_reason") for c in choices)


def load(data: bytes) -> Any:
    """Return a JSON document, or None if it is none."""
    try:
        return json.loads(data)
    except ValueError:
        return None
