"""A thread that watches a key prefix of the platform's store."""

from __future__ import annotations

import threading
from collections.abc import Callable

import structlog

from hawthornstage.actors.shared_watches import MakeWatchShare, SharedNews
from hawthornstage.clock import Clock
from hawthornstage.decisions.store_news import longest_watch
from hawthornstage.decisions.watch_sharing import (
    AVOIDANCE_S,
    READER_PAUSE_S,
    reader_wait,
)
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
# Pause between two watches of a router that does not know the others yet, in seconds.
STARTING_PAUSE_S = 0.5


class StoreWatch(threading.Thread):
    """Lists all items below a key prefix, then follows their changes.

    In a large fleet it asks one of the prefix's readers for changes, and the store only
    if that reader cannot tell in time.

    Args:
        prefix: The key prefix.
        store: A client used by this thread only.
        bounds: Returns the times within which changes in the store must take effect.
        clock: The runtime's clock.
        events: The event log.
        share: Makes this watch's part in sharing, or None if it is not shared.
    """

    def __init__(
        self,
        prefix: str,
        store: StoreClient,
        bounds: Callable[[], StoreBounds],
        clock: Clock,
        events: EventLog,
        share: MakeWatchShare | None = None,
    ) -> None:
        super().__init__(name=f"watch {prefix}", daemon=True)
        self.prefix = prefix
        self.store = store
        self.bounds = bounds
        self.clock = clock
        self.events = events
        self.revision: int | None = None
        self.unavailable = False
        # Times at which the state below the prefix was last heard of, at which the last
        # failed call began, and at which a reader told of one of its own.
        self.heard_at = float("-inf")
        self.down_at = float("-inf")
        self.reader_failed_at = float("-inf")
        self.epoch = store.epoch
        self.share = share(prefix) if share else None

    def run(self) -> None:
        """List, then watch from that revision; list again if its history is lost."""
        while True:
            pause = self.next_pause() if self.try_step() else RETRY_PAUSE_S
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
        """Make one call; return False if the store failed."""
        # A reader cannot tell of another epoch than the one asked for.
        news = self.ask_reader() if self.store.epoch == self.epoch else None
        if news is None or self.store.epoch != self.epoch:
            return self.ask_store()
        self.revision = news.changes.revision
        self.apply_changes(news.changes.events)
        self.heard_at = news.heard_at
        return True

    def ask_reader(self) -> SharedNews | None:
        """Return the changes that a reader tells, or None if the store is to be asked.

        A reader's word that the store has failed counts like a failed call of this
        router, which did not call it. But maybe only the reader was cut off: it does
        not show that the store was down, so that no bound is any later for it.
        """
        if self.share is None or self.revision is None or not self.may_ask_reader():
            return None
        news = self.share.ask(
            self.epoch,
            self.revision,
            known_at=self.heard_at,
            bound_s=self.effect_bound(),
        )
        if isinstance(news, SharedNews):
            return news
        now = self.clock.monotonic()
        if news.store_failed and now - self.reader_failed_at >= AVOIDANCE_S:
            self.reader_failed_at = now
            self.record_failure("a reader's calls to the store failed")
        return None

    def may_ask_reader(self) -> bool:
        """Whether a reader may be asked now in place of the store."""
        return not self.unavailable

    def ask_store(self) -> bool:
        """Make one call to the store; return False if it failed."""
        began_at = self.clock.monotonic()
        if self.store.epoch != self.epoch:
            # Another client of this process has seen it; a watch might wait for long.
            self.restart_after_restore()
        after = self.revision
        if after is None:
            outcome = self.store.list(self.prefix)
        else:
            outcome = self.store.watch(self.prefix, after, self.next_watch_timeout())
        responded_at = self.clock.monotonic()
        if self.store.epoch != self.epoch:
            self.restart_after_restore()
            return not isinstance(outcome, StoreRefused | StoreNoResponse)
        match outcome:
            case Listing(items, revision):
                self.record_success()
                self.revision = revision
                self.apply_listing(items)
                self.note_read(revision, Changes((), revision), responded_at)
            case Changes(changes, revision):
                self.record_success()
                self.revision = revision
                self.apply_changes(changes)
                assert after is not None
                self.note_read(after, outcome, responded_at)
            case HistoryCompacted():
                self.events.emit("watch_restarted", prefix=self.prefix)
                self.revision = None
            case StoreRefused(reason) | StoreNoResponse(reason):
                self.down_at = began_at
                self.record_failure(reason)
                if self.share is not None:
                    self.share.tell_lost()
                return False
        return True

    def note_read(self, after: int, changes: Changes, at: float) -> None:
        """Note the time of the store's response, and tell it to those who wait for it.

        Args:
            after: Revision after which the changes are complete.
            changes: What the store returned.
            at: Monotonic time of the response, in seconds. Applying the changes took
                time, in which there may have been others.
        """
        self.heard_at = at
        if self.share is not None:
            self.share.tell_read(self.epoch, after, changes, at=at)

    def restart_after_restore(self) -> None:
        """List again: revisions of the epoch before mean nothing in this one.

        The outcome of the call that was under way may belong to either epoch.
        """
        self.events.emit("watch_restarted", prefix=self.prefix, epoch=self.store.epoch)
        self.epoch = self.store.epoch
        self.revision = None
        self.down_at = self.clock.monotonic()
        self.on_store_restored()

    def next_pause(self) -> float:
        """Return the pause before the next call, in seconds.

        There is none before a reader is asked, as it replies when it has news.
        """
        if self.share is None or self.revision is None:
            return self.pause()
        if not self.share.fleet_known:
            # The fleet may be starting, and its servers with it.
            return max(STARTING_PAUSE_S, self.pause())
        if self.share.is_reader:
            return min(READER_PAUSE_S, self.pause())
        if self.may_ask_reader() and self.share.reader() is not None:
            return 0.0
        return self.pause()

    def next_watch_timeout(self) -> float:
        """Return the timeout of the next watch call, in seconds.

        A reader's is shorter, so that the others can rely on it within their bounds.
        """
        timeout = self.watch_timeout()
        if self.share is not None and self.share.is_reader:
            return min(timeout, reader_wait(self.effect_bound()))
        return timeout

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
