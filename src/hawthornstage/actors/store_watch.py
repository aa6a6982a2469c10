"""A thread that watches a key prefix of the platform's store."""

from __future__ import annotations

import threading
from collections.abc import Callable

import structlog

from hawthornstage.clock import Clock
from hawthornstage.decisions.store_news import longest_watch
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.store import (
    Changes,
    HistoryCompacted,
    Item,
    Listing,
    Removal,
    StoreNoResponse,
    StoreRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

log = structlog.get_logger()

# Timeout of the first watch call after a failed one, in seconds: its response is what
# shows that the store is back.
RECOVERY_WAIT_S = 0.05
# Delay after a failed call to the store, in seconds.
RETRY_PAUSE_S = 0.25


class StoreWatch(threading.Thread):
    """Lists all items below a key prefix, then follows their changes.

    Args:
        prefix: The key prefix.
        store: A client used by this thread only.
        bounds: Returns the times within which changes in the store must take effect.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        prefix: str,
        store: StoreClient,
        bounds: Callable[[], StoreBounds],
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__(name=f"watch {prefix}", daemon=True)
        self.prefix = prefix
        self.store = store
        self.bounds = bounds
        self.clock = clock
        self.events = events
        self.revision: int | None = None
        self.unavailable = False
        # Times at which the state below the prefix was last heard of, and at which the
        # last failed call began.
        self.heard_at = float("-inf")
        self.down_at = float("-inf")
        self.epoch = store.epoch

    def run(self) -> None:
        """List, then watch from that revision; list again if its history is lost."""
        while True:
            pause = self.pause() if self.try_step() else RETRY_PAUSE_S
            if pause:
                sleep(self.clock, pause)

    def try_step(self) -> bool:
        """Make one call to the store; log any exception and list again after it."""
        try:
            return self.step()
        except Exception:
            log.exception("task_error", task=self.name)
            self.revision = None
            return False

    def step(self) -> bool:
        """Make one call to the store; return False if it failed."""
        began_at = self.clock.monotonic()
        if self.revision is None:
            outcome = self.store.list(self.prefix)
        else:
            outcome = self.store.watch(self.prefix, self.revision, self.watch_timeout())
        if self.store.epoch != self.epoch:
            self.restart_after_restore()
            return not isinstance(outcome, StoreRefused | StoreNoResponse)
        match outcome:
            case Listing(items, revision):
                self.record_success()
                self.revision = revision
                self.apply_listing(items)
                self.heard_at = self.clock.monotonic()
            case Changes(changes, revision):
                self.record_success()
                self.revision = revision
                self.apply_changes(changes)
                self.heard_at = self.clock.monotonic()
            case HistoryCompacted():
                self.events.emit("watch_restarted", prefix=self.prefix)
                self.revision = None
            case StoreRefused(reason) | StoreNoResponse(reason):
                self.down_at = began_at
                self.record_failure(reason)
                return False
        return True

    def restart_after_restore(self) -> None:
        """List again: revisions of the epoch before mean nothing in this one.

        The outcome of the call that was under way may belong to either epoch.
        """
        self.events.emit("watch_restarted", prefix=self.prefix, epoch=self.store.epoch)
        self.epoch = self.store.epoch
        self.revision = None
        self.down_at = self.clock.monotonic()
        self.on_store_restored()

    def pause(self) -> float:
        """Return the pause before the next call after a successful one, in seconds."""
        return 0.0

    def watch_timeout(self) -> float:
        """Return the timeout of the next watch call, in seconds."""
        if self.unavailable:
            return RECOVERY_WAIT_S
        return longest_watch(self.bounds().settled_s, self.effect_bound())

    def effect_bound(self) -> float:
        """Return the time from a change until it must have taken effect, in seconds.

        Implemented by subclasses.
        """
        raise NotImplementedError

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Handle all items below the prefix; implemented by subclasses."""
        raise NotImplementedError

    def apply_changes(self, changes: tuple[Item | Removal, ...]) -> None:
        """Handle changes in order; implemented by subclasses."""
        raise NotImplementedError

    def on_store_recovered(self) -> None:
        """Called when the store responds again after an outage."""

    def on_store_restored(self) -> None:
        """Called when the store came back from a copy, before all is listed again."""

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
    """Sleep for a duration by the runtime's clock, in seconds."""
    condition = threading.Condition()
    with condition:
        clock.wait(condition, seconds)
