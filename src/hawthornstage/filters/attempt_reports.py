"""Attempt reports: tells the tasks, the metrics and the log how an attempt went."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.servers.failures import CallAnswered
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.filters.forward_choice import ServerChoice
from hawthornstage.filters.forward_relay import (
    OUTCOME_NAMES,
    AttemptOutcome,
    Delivered,
    InternalError,
    Misdirected,
    Refused,
    belongs_to_call,
)
from hawthornstage.filters.permits import Permits
from hawthornstage.filters.server_dialer import ServerDialer
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.forward import (
    Delivery,
    ForwardExchange,
    NotSent,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.messages.lost_servers import LostCall, ServerLost
from hawthornstage.messages.server_selection import CallEnded, ServerChosen
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Status code with which a server ends a call at the call's own deadline.
DEADLINE_STATUS = 504


def is_server_failure(outcome: AttemptOutcome) -> bool:
    """Whether an attempt failed through the server, also if its answer was passed on.

    Args:
        outcome: How the attempt ended.
    """
    match outcome:
        case ServerFailed() | NotSent() | InternalError():
            # What a server is or sends may lead to an error of the router.
            return True
        case Delivered(status):
            return status >= 500 and status != DEADLINE_STATUS
        case _:
            return False


@dataclass(frozen=True)
class AttemptReports:
    """Reports attempts to send calls to servers.

    Args:
        serving: Task that chooses servers.
        server_failures: Task that counts server failures by call fingerprint.
        lost_servers: Task that finds out which servers crashed during calls.
        choice: Ends the lease that an attempt may hold.
        permits: Is told what servers say of themselves.
        dialer: Is told of broken connections.
        events: Structured event log.
        metrics: Counts attempts.
    """

    serving: pykka.ActorRef
    server_failures: pykka.ActorRef
    lost_servers: pykka.ActorRef
    choice: ServerChoice
    permits: Permits
    dialer: ServerDialer
    events: EventLog
    metrics: Metrics

    def note_notice(
        self,
        call_id: str,
        server: BackendServer,
        head: ResponseHead,
        connection: ServerConnection,
    ) -> None:
        """Report what a server said of itself, if the response is its own.

        Args:
            call_id: Id of the call.
            server: The server.
            head: The head of the response.
            connection: The connection that it came on.
        """
        reused = connection.is_reused
        if head.misdirected or not belongs_to_call(head, call_id, reused=reused):
            return
        for reason in head.notice.invalid:
            self.events.emit("server_notice_refused", server=server.id, reason=reason)
        self.permits.observe(server.incarnation, head.notice)
        if connection.through_router is not None and head.notice.closed_for_s:
            self.permits.tell_closed(
                connection.through_router, server.incarnation, head.notice.closed_for_s
            )

    def report(
        self,
        exchange: ForwardExchange,
        choice: ServerChosen,
        delivery: Delivery,
        outcome: AttemptOutcome,
    ) -> None:
        """Report to the tasks, the metrics and the event log how an attempt ended."""
        call = exchange.call
        kind = OUTCOME_NAMES[type(outcome)]
        self.metrics.count_attempt(exchange.service, choice.server.id, kind)
        failed = is_server_failure(outcome)
        full = isinstance(outcome, Refused) and outcome.full
        address_reused = isinstance(outcome, Misdirected)
        self.choice.end_lease(delivery, rejected=full)
        pooled, delivery.pooled = delivery.pooled, None
        self.serving.tell(
            CallEnded(
                exchange.unique_id,
                failed=failed,
                refused=full,
                address_reused=address_reused,
                pooled=pooled,
            )
        )
        match outcome:
            case ServerFailed(connection_lost=True):
                self.report_loss(exchange, choice, delivery)
            case Delivered():
                answered = CallAnswered(exchange.fingerprint)
                self.server_failures.tell(answered)
                self.lost_servers.tell(answered)
        if not isinstance(outcome, Delivered):
            self.events.emit(
                "attempt_failed",
                request_id=call.id,
                server=choice.server.id,
                events=delivery.events,
                parts=",".join(exchange.shared_ids),
                wait_ms=int(choice.basis.wait_s * 1000),
                outcome=kind,
                reason=getattr(outcome, "reason", ""),
            )

    def report_loss(
        self, exchange: ForwardExchange, choice: ServerChosen, delivery: Delivery
    ) -> None:
        """Report that the connection to a server broke during a call.

        Args:
            exchange: The call.
            choice: The server.
            delivery: What was done for the call.
        """
        server = choice.server
        if delivery.through_router is None:
            self.dialer.note_loss(server.incarnation)
        parts = () if delivery.answer_began else exchange.shared_ids
        call = LostCall(exchange.fingerprint, parts)
        self.lost_servers.tell(ServerLost(server, call))
