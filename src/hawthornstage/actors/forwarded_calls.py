"""Serves callers' requests by passing them through the filters of forwarded calls."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import structlog

from hawthornstage.actors.callers import (
    IDLE_MARGIN_S,
    StopSignal,
    send_failure,
)
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.read_limits import REQUEST_TIMEOUT_S, ReadLimits
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.clock import Clock
from hawthornstage.decisions.reading_turns import REFUSAL_S
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.forward import (
    ForwardFilter,
    Identify,
    ReserveTokens,
    run_filters,
)
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.filters.forward_failures import internal_failure
from hawthornstage.filters.reading_turns import ReadingPace
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.bounded_text import bounded_text
from hawthornstage.messages.desired import CallerLimits, DesiredState
from hawthornstage.messages.forward import Delivery, ForwardCall, ForwardExchange
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.headers import parse_call

log = structlog.get_logger()

# Time after which a caller that a stopping router refused may try another, in seconds.
DRAINING_RETRY_S = 0.05
# Failures after which the next request on the connection gets no free part of the
# processor time of reading: they cost the caller nothing.
CALLER_FAULTS = frozenset({ErrorKind.UNAUTHENTICATED, ErrorKind.NO_ROUTE})


@dataclass(frozen=True)
class ForwardPipe:
    """The filters of a forwarded call, and what they share.

    Args:
        identify: Creates the exchange of a call.
        filters: Filters that run before a server is chosen.
        reserve: Settles the call's tokens at its end.
        forwarder: Sends the call to a server and relays the response.
        accepting: Whether the router takes new connections.
        clock: The runtime's clock.
        events: The event log.
        metrics: Request metrics.
    """

    identify: Identify
    filters: Sequence[ForwardFilter]
    reserve: ReserveTokens
    forwarder: Forwarder
    accepting: LatestValue[bool]
    clock: Clock
    events: EventLog
    metrics: Metrics


def read_limits(state: DesiredState | None) -> ReadLimits:
    """Return the limits on reading one request.

    Args:
        state: The desired state in use; None for the defaults.
    """
    limits = state.limits if state else CallerLimits()
    longest_s = state.longest_timeout_s if state else 0.0
    return ReadLimits(
        first_byte_timeout_s=limits.idle_timeout_s + IDLE_MARGIN_S,
        read_timeout_s=limits.header_timeout_s,
        body_bytes=limits.body_bytes,
        header_bytes=limits.header_bytes,
        request_timeout_s=max(REQUEST_TIMEOUT_S, longest_s),
    )


class ForwardedCalls:
    """Serves requests by forwarding them to backend servers.

    Args:
        pipe: The filters that serve a request.
        stopping: Signals that the router stops.
    """

    def __init__(self, pipe: ForwardPipe, stopping: StopSignal) -> None:
        self.pipe = pipe
        self.stopping = stopping

    def answer(
        self, raw: RawRequest, caller: CallerConnection, pace: ReadingPace
    ) -> bool:
        """Answer one request; see `Answerer`."""
        call = parse_call(raw.method, raw.target, raw.headers, raw.body, raw.arrived)
        if isinstance(call, Failure):
            send_failure(caller, "", call, close=True)
            return False
        if self.stopping.refusing:
            # It might not end within the grace period, and other routers take it.
            failure = Failure(ErrorKind.DRAINING, retry_after_s=DRAINING_RETRY_S)
            self.report(call, None, Delivery(), failure, 0)
            send_failure(caller, call.id, failure, close=True)
            return False
        if caller.has_caller_left():
            # It gave up while its request waited to be read.
            self.report(call, None, Delivery(outcome="caller_left"), None, 0)
            return False
        if self.sends_callers_away:
            caller.announce_close()
        delivery = Delivery()
        failure = self.forward(call, caller, delivery)
        if failure is not None and failure.kind in CALLER_FAULTS:
            pace.charge(REFUSAL_S)
        else:
            pace.reset()
        if failure is not None:
            send_failure(caller, call.id, failure, close=self.sends_callers_away)
            return True
        return delivery.outcome == "answered"

    @property
    def sends_callers_away(self) -> bool:
        """Whether callers should send their next request to another router."""
        return self.stopping.closing or not self.pipe.accepting.value

    def forward(
        self, call: ForwardCall, caller: CallerConnection, delivery: Delivery
    ) -> Failure | None:
        """Serve a call; an unforeseen error becomes a failure that says what is known.

        Args:
            call: The call.
            caller: The connection of the caller.
            delivery: Updated with what was done for the call.
        """
        try:
            return self.pass_through(call, caller, delivery)
        except Exception as error:
            log.exception(
                "call_error",
                request_id=bounded_text(call.id),
                ran=delivery.ran.value,
                servers=",".join(each.id for each in delivery.attempted_servers),
            )
            failure = internal_failure(delivery, error)
            return failure if caller.can_respond else None

    def pass_through(
        self, call: ForwardCall, caller: CallerConnection, delivery: Delivery
    ) -> Failure | None:
        """Pass a call through the pipe, settle its tokens and report its end."""
        pipe = self.pipe
        begun = pipe.identify.begin(call)
        if isinstance(begun, Failure):
            self.report(call, None, delivery, begun, 0)
            return begun
        exchange = run_filters(pipe.filters, begun)
        if isinstance(exchange, Failure):
            self.report(call, begun, delivery, exchange, 0)
            return exchange
        used = 0
        try:
            failure = pipe.forwarder.deliver(exchange, caller, delivery)
        finally:
            used = pipe.reserve.settle(exchange, delivery)
        self.report(call, exchange, delivery, failure, used)
        return failure

    def report(
        self,
        call: ForwardCall,
        exchange: ForwardExchange | None,
        delivery: Delivery,
        failure: Failure | None,
        used: int,
    ) -> None:
        """Record the end of a call in the metrics and the event log."""
        elapsed_s = self.pipe.clock.monotonic() - call.arrived
        route = exchange.route.name if exchange else ""
        answer = failure.kind.value if failure else delivery.outcome.partition(":")[0]
        self.pipe.metrics.requests.labels(route, answer).inc()
        self.pipe.metrics.call_seconds.labels(route, answer).observe(elapsed_s)
        self.pipe.events.emit(
            "call_ended",
            request_id=call.id,
            routine=answer == "answered",
            route=route,
            version=exchange.desired.version if exchange else 0,
            workspace=exchange.workspace.name
            if exchange and exchange.workspace
            else "",
            servers=",".join(server.id for server in delivery.attempted_servers),
            outcome=answer,
            detail=(failure.detail if failure else delivery.outcome),
            status=response_for(failure).status if failure else delivery.status,
            ms=int(elapsed_s * 1000),
            events=delivery.events,
            stream_version=delivery.stream_version,
            reserved=exchange.reserved if exchange else 0,
            tokens=used,
            **placement_fields(delivery),
        )


def placement_fields(delivery: Delivery) -> dict[str, Any]:
    """Return the log fields of the last server selection and of its response times."""
    basis = delivery.basis
    if basis is None:
        return {}
    fields: dict[str, Any] = {
        "wait_ms": int(basis.wait_s * 1000),
        "candidates": basis.candidates,
        "unread": basis.uncached_tokens,
        "running": basis.running,
    }
    if basis.last_answer_age_s is not None:
        fields["seen_age_ms"] = int(basis.last_answer_age_s * 1000)
    if delivery.first_byte_s is not None:
        fields["first_byte_ms"] = int(delivery.first_byte_s * 1000)
    if delivery.events:
        fields["pause_ms"] = int(delivery.longest_pause_s * 1000)
    return fields
