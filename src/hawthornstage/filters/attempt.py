"""Attempt: chooses a server and dispatches, again where that is safe."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from hawthornstage.clock import Clock
from hawthornstage.decisions import retries
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.choose_server import ChooseServer
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.filters.isolate import Isolate
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.request import Exchange
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Failures for which the server is to blame.
SERVER_FAULTS = frozenset({ErrorKind.SERVER_UNREACHABLE, ErrorKind.SERVER_FAILED})


class RetryGuard:
    """Holds the router's retry budget.

    All requests of the process share it, so that a failing pool is not asked
    more often than its callers ask.
    """

    def __init__(self) -> None:
        self.budget = retries.RetryBudget()
        self.lock = threading.Lock()

    def accepted(self) -> None:
        """Count an accepted request."""
        with self.lock:
            self.budget = retries.count_request(self.budget)

    def may_retry(self) -> bool:
        """Take one retry from the budget, if there is one."""
        with self.lock:
            self.budget, allowed = retries.acquire(self.budget)
            return allowed


@dataclass(frozen=True)
class Attempt:
    """Sets server and upstream.

    Args:
        choose: Picks a server.
        isolate: Keeps calls that crash servers apart.
        dispatch: Sends the call.
        guard: Limits retries.
        draw: Returns a random number in [0, 1).
        clock: The runtime's clock.
        events: Takes events.
        metrics: Counts retries.
    """

    choose: ChooseServer
    isolate: Isolate
    dispatch: Dispatch
    guard: RetryGuard
    draw: Callable[[], float]
    clock: Clock
    events: EventLog
    metrics: Metrics

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Try servers until one answers, or trying again is not safe or allowed."""
        self.guard.accepted()
        tries = 0
        while True:
            outcome = self.once(exchange)
            tries += 1
            if not isinstance(outcome, Failure):
                return outcome
            if not self.may_repeat(exchange, outcome, tries):
                return outcome
            self.metrics.retries.inc()
            pause = retries.backoff(tries, self.draw())
            self.events.emit(
                "retry", request_id=exchange.request.id, reason=outcome.kind.value
            )
            # Nobody answers on this mailbox: it is a pause on the runtime's clock.
            Mailbox(self.clock).get(timeout=pause)

    def once(self, exchange: Exchange) -> Exchange | Failure:
        """Choose a server and dispatch to it."""
        exchange.progress.crashed = False
        chosen = self.choose.apply(exchange)
        if isinstance(chosen, Failure):
            return chosen
        admitted = self.isolate.apply(chosen)
        if isinstance(admitted, Failure):
            self.choose.finish(chosen, failed=False)
            return admitted
        outcome = self.dispatch.apply(admitted)
        if isinstance(outcome, Failure):
            self.isolate.ended(chosen, whole=False)
            self.choose.finish(chosen, failed=outcome.kind in SERVER_FAULTS)
        return outcome

    def may_repeat(self, exchange: Exchange, failure: Failure, tries: int) -> bool:
        """Tell whether another try is safe, sensible and within the budget."""
        idempotent = exchange.route is not None and exchange.route.idempotent
        safe = failure.kind is ErrorKind.SERVER_UNREACHABLE or (
            failure.kind is ErrorKind.SERVER_FAILED and idempotent
        )
        return safe and tries < retries.MAX_ATTEMPTS and self.guard.may_retry()

    def undo(self, exchange: Exchange) -> None:
        """Cancel the call on its server."""
        self.dispatch.undo(exchange)
        self.isolate.undo(exchange)
        self.choose.undo(exchange)
