"""The watch of a prefix of the platform's store, a thread of its own."""

from __future__ import annotations

import threading

from hawthornstage.clock import Clock
from hawthornstage.messages.store import (
    Changes,
    HistoryLost,
    Item,
    Listing,
    Removal,
    StoreRefused,
    StoreSilent,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Longest wait of one watch, in seconds.
WATCH_WAIT_S = 10.0
# Pause after a failed call to the store, in seconds.
RETRY_PAUSE_S = 0.25


class StoreWatch(threading.Thread):
    """Reads all items below a prefix, then follows their changes.

    Args:
        prefix: What is watched.
        store: A client that nobody else uses.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self, prefix: str, store: StoreClient, clock: Clock, events: EventLog
    ) -> None:
        super().__init__(name=f"watch {prefix}", daemon=True)
        self.prefix = prefix
        self.store = store
        self.clock = clock
        self.events = events
        self.revision: int | None = None
        self.unavailable = False

    def run(self) -> None:
        """Read, then watch from there; read again after each gap."""
        while True:
            if not self.step():
                sleep(self.clock, RETRY_PAUSE_S)

    def step(self) -> bool:
        """Make one call; False if the store did not answer."""
        if self.revision is None:
            outcome = self.store.list(self.prefix)
        else:
            outcome = self.store.watch(self.prefix, self.revision, self.watch_timeout())
        match outcome:
            case Listing(items, revision):
                self.record_success()
                self.revision = revision
                self.apply_listing(items)
            case Changes(changes, revision):
                self.record_success()
                self.revision = revision
                self.apply_changes(changes)
            case HistoryLost():
                self.events.emit("watch_restarted", prefix=self.prefix)
                self.revision = None
            case StoreRefused(reason) | StoreSilent(reason):
                self.record_failure(reason)
                return False
        return True

    def watch_timeout(self) -> float:
        """Return the longest wait of the next watch, in seconds."""
        return WATCH_WAIT_S

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Take in all items; subclasses say how."""
        raise NotImplementedError

    def apply_changes(self, changes: tuple[Item | Removal, ...]) -> None:
        """Take in changes in their order; subclasses say how."""
        raise NotImplementedError

    def on_store_recovered(self) -> None:
        """Do what is due after an outage."""

    def record_failure(self, reason: str) -> None:
        """Log the first failure of a series."""
        if not self.unavailable:
            self.unavailable = True
            self.events.emit("store_lost", what=self.prefix, reason=reason[:120])

    def record_success(self) -> None:
        """Log the end of a series of failures."""
        if self.unavailable:
            self.unavailable = False
            self.events.emit("store_regained", what=self.prefix)
            self.on_store_recovered()


def sleep(clock: Clock, seconds: float) -> None:
    """Wait on the runtime's clock."""
    condition = threading.Condition()
    with condition:
        clock.wait(condition, seconds)
