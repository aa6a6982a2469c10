"""Attempt: chooses a server and dispatches the call, and retries if that is safe."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from hawthornstage.clock import Clock
from hawthornstage.decisions import retries
from hawthornstage.decisions.promises import failure_after
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.filters.choose_server import ChooseServer
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.filters.isolate import Isolate
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.request import Exchange
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Kinds of failure that count against the server.
SERVER_FAILURE_KINDS = frozenset(
    {ErrorKind.SERVER_UNREACHABLE, ErrorKind.SERVER_FAILED, ErrorKind.INTERNAL}
)


class SharedRetryBudget:
    """A retry budget that all requests of the process share.

    It bounds retries by a fraction of the accepted requests, so that they do not
    multiply the load on a failing pool.
    """

    def __init__(self) -> None:
        self.budget = retries.RetryBudget()
        self.lock = threading.Lock()

    def record_request(self) -> None:
        """Count an accepted request, which adds to the retry budget."""
        with self.lock:
            self.budget = retries.count_request(self.budget)

    def take_retry(self) -> bool:
        """Take one retry from the budget; False if it is spent."""
        with self.lock:
            self.budget, allowed = retries.acquire(self.budget)
            return allowed


@dataclass(frozen=True)
class Attempt:
    """Sets the server and the upstream response of an exchange.

    Args:
        choose: Chooses a server.
        isolate: Runs a suspected call alone on its server.
        dispatch: Sends the call.
        retry_budget: Limits the retries of all requests.
        draw: Returns a random number in [0, 1).
        clock: Source of time and timeouts.
        events: Structured event log.
        metrics: Counts retries.
    """

    choose: ChooseServer
    isolate: Isolate
    dispatch: Dispatch
    retry_budget: SharedRetryBudget
    draw: Callable[[], float]
    clock: Clock
    events: EventLog
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Send the call until a server responds or no retry is safe or allowed."""
        self.retry_budget.record_request()
        attempts = 0
        ran = ExecutionState.NO
        while True:
            outcome = self.attempt_once(exchange)
            attempts += 1
            if not isinstance(outcome, Failure):
                return outcome
            if not self.should_retry(exchange, outcome, attempts):
                return failure_after(outcome, ran)
            if response_for(outcome).ran is not ExecutionState.NO:
                ran = ExecutionState.UNKNOWN
            self.metrics.retries.inc()
            pause = retries.backoff(attempts, self.draw())
            self.events.emit(
                "retry", request_id=exchange.request.id, reason=outcome.kind.value
            )
            # Nothing is sent to this mailbox: this sleeps on the injected clock.
            Mailbox(self.clock).get(timeout=pause)

    def attempt_once(self, exchange: Exchange) -> Exchange | Failure:
        """Choose a server and dispatch the call to it."""
        exchange.progress.server_failed = False
        chosen = self.choose.apply(exchange)
        if isinstance(chosen, Failure):
            return chosen
        admitted = self.isolate.apply(chosen)
        if isinstance(admitted, Failure):
            self.choose.report_finished(chosen, failed=False)
            return admitted
        outcome = self.dispatch.apply(admitted)
        if isinstance(outcome, Failure):
            self.isolate.call_ended(chosen, completed=False)
            self.choose.report_finished(
                chosen, failed=outcome.kind in SERVER_FAILURE_KINDS
            )
        return outcome

    def should_retry(self, exchange: Exchange, failure: Failure, attempts: int) -> bool:
        """Return whether another attempt is safe, and take it from the retry budget."""
        idempotent = exchange.route is not None and exchange.route.idempotent
        safe = failure.kind is ErrorKind.SERVER_UNREACHABLE or (
            failure.kind is ErrorKind.SERVER_FAILED and idempotent
        )
        return (
            safe and attempts < retries.MAX_ATTEMPTS and self.retry_budget.take_retry()
        )

    def undo(self, exchange: Exchange) -> None:
        """Cancel the call on its server."""
        self.dispatch.undo(exchange)
        self.isolate.undo(exchange)
        self.choose.undo(exchange)
