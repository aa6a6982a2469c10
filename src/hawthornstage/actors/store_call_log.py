"""The task that counts this router's calls to the store and logs them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.task import Task
from hawthornstage.clock import Clock
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class StoreCallEnded:
    """Reports a call to the store.

    Args:
        client: The part of the router that made it.
        kind: The kind of call.
        outcome: The response's status, or the name of the failure.
    """

    client: str
    kind: str
    outcome: str


@dataclass(frozen=True)
class LogStoreCalls:
    """Triggers the periodic log line."""


class StoreCallLog(Task):
    """Owns the counts of this router's calls to the store since the last log line.

    Args:
        metrics: Counts the calls since the router started.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, *, metrics: Metrics, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.metrics = metrics
        self.clock = clock
        self.events = events
        self.counts: Counter[str] = Counter()

    def handle(self, message: Any) -> None:
        match message:
            case StoreCallEnded(client, kind, outcome):
                self.counts[f"{client}.{kind}"] += 1
                self.metrics.store_calls.labels(client, kind, outcome).inc()
                if outcome.isdigit():
                    self.metrics.store_answered.set(self.clock.wall())
            case LogStoreCalls() if self.counts:
                self.events.emit("store_calls", **dict(self.counts.most_common()))
                self.counts.clear()
