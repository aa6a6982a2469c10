"""The tasks that write this router's log of crashes to the store and watch all logs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka

from hawthornstage.actors.held_lease import HeldLease, renew_lease
from hawthornstage.actors.shared_watches import MakeWatchShare
from hawthornstage.actors.store_watch import StoreWatch
from hawthornstage.actors.task import Ask, Task
from hawthornstage.border.stored_values import (
    StoredValueError,
    decode_crash_log,
    encode_crash_log,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.store_news import watch_pause
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.crashing_parts import (
    CrashLog,
    CrashLogRead,
    CrashLogWritten,
    WriteCrashLog,
)
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.store import (
    Committed,
    Item,
    LeaseLost,
    Put,
    Removal,
    StoreRestored,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Key prefix of the logs, followed by the router's name.
CRASH_LOGS_PREFIX = "hawthornstage/crashes/"
# Lease of a log, and the age at which it is renewed, in seconds.
LOG_LEASE_S = 300.0
LOG_LEASE_RENEWAL_AGE_S = 120.0


class CrashLogWriter(Task):
    """Owns the connection over which this router's log is stored.

    A log replaces the one before, so a write without a response is simply repeated.

    Args:
        node: This router's name.
        store: A client used by this task only.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self, node: str, store: StoreClient, clock: Clock, events: EventLog
    ) -> None:
        super().__init__()
        self.key = CRASH_LOGS_PREFIX + node
        self.store = store
        self.clock = clock
        self.events = events
        self.lease = HeldLease(LOG_LEASE_S, LOG_LEASE_RENEWAL_AGE_S)

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=WriteCrashLog(log), reply_to=reply_to):
                reply_to.put(CrashLogWritten(self.write(log)))
            case StoreRestored():
                # The lease's id may belong to another router by now.
                self.lease.id = None

    def write(self, log: CrashLog) -> bool:
        """Store a log under the lease; return whether it is stored for certain."""
        failure = renew_lease(self.lease, self.store, self.clock, self.events)
        if failure is not None or self.lease.id is None:
            return False
        put = Put(self.key, encode_crash_log(log), self.lease.id)
        match self.store.transact({}, puts=(put,)):
            case Committed():
                return True
            case LeaseLost():
                self.lease.id = None
        return False


class CrashLogsWatch(StoreWatch):
    """Owns the watch for the crash logs of all routers.

    Args:
        store: A client used by this thread only.
        task: Gets `CrashLogRead` for each log that changed.
        routers: Number of routers that watch.
        bounds: Returns the times within which changes in the store must take effect.
        clock: The runtime's clock.
        events: The event log.
        share: Makes this watch's part in sharing, or None if it is not shared.
    """

    def __init__(
        self,
        store: StoreClient,
        task: pykka.ActorRef,
        routers: LatestValue[int],
        bounds: Callable[[], StoreBounds],
        clock: Clock,
        events: EventLog,
        share: MakeWatchShare | None = None,
    ) -> None:
        super().__init__(CRASH_LOGS_PREFIX, store, bounds, clock, events, share)
        self.task = task
        self.routers = routers

    def effect_bound(self) -> float:
        """Return the time from a crash until all routers know of it, in seconds."""
        return self.bounds().settled_s

    def pause(self) -> float:
        """Return the pause before the next watch, in seconds."""
        return watch_pause(self.routers.value)

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Pass the listed logs to the task."""
        self.apply_changes(items)

    def apply_changes(self, changes: tuple[Item | Removal, ...]) -> None:
        """Pass each changed log to the task; a removed one has nothing new to tell."""
        for change in changes:
            if isinstance(change, Item):
                self.pass_log(change)

    def pass_log(self, item: Item) -> None:
        """Pass one log to the task unless it is invalid."""
        node = item.key.removeprefix(CRASH_LOGS_PREFIX)
        try:
            self.task.tell(CrashLogRead(node, decode_crash_log(item.value)))
        except StoredValueError as error:
            self.events.emit("crash_log_refused", of=node, reason=str(error)[:160])
