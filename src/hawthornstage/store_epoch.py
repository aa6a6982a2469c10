"""The epoch of the platform's store, which changes when it is restored from a copy."""

from __future__ import annotations

import threading
from dataclasses import dataclass

import pykka

from hawthornstage.messages.store import StoreRestored
from hawthornstage.observe.events import EventLog


@dataclass
class StoreEpoch:
    """The latest epoch that any client of this process has seen.

    Revisions and leases of one epoch mean nothing in the next one, and what the store
    acknowledged last may be lost.

    Args:
        events: The event log.
        number: The epoch; 0 before the first response, or if the store names none.
    """

    events: EventLog
    number: int = 0

    def __post_init__(self) -> None:
        self.lock = threading.Lock()
        self.subscribers: tuple[pykka.ActorRef, ...] = ()

    def subscribe(self, *tasks: pykka.ActorRef) -> None:
        """Send `StoreRestored` to tasks whenever the epoch has changed."""
        with self.lock:
            self.subscribers += tasks

    def observe(self, number: int) -> None:
        """Record the epoch that a response of the store named."""
        with self.lock:
            before = self.number
            if number <= before:
                return
            self.number = number
            subscribers = self.subscribers
        if not before:
            return
        self.events.emit("store_restored", epoch=number, before=before)
        for task in subscribers:
            task.tell(StoreRestored(number))
