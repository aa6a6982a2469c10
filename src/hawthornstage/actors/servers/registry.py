"""The thread that watches the backend servers' entries in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.shared_watches import MakeWatchShare
from hawthornstage.actors.store_watch import StoreWatch
from hawthornstage.clock import Clock
from hawthornstage.decisions.store_news import (
    earliest_removal,
    longest_lapse,
    watch_pause,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.slow_start import EntriesRead
from hawthornstage.messages.store import Item, Removal
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.server_entries import ENTRIES_PREFIX, decode_entry
from hawthornstage.platform.store import StoreClient

# Time after an outage of the store within which servers register again whose entries
# expired during the outage, in seconds.
REREGISTRATION_GRACE_S = 2.5
# Time for which a server's leaving is remembered, in seconds: a store may be restored
# from a copy that is older.
DEPARTURE_MEMORY_S = 120.0
# Longest wait until the limits of cold servers are in force, in seconds.
SLOW_START_TIMEOUT_S = 0.5


class ServerRegistry(StoreWatch):
    """Owns the watch for servers' entries, and the registered servers.

    Entries removed within `REREGISTRATION_GRACE_S` after an outage of the store stay in
    use until that time is over, because their servers may only have to register again,
    but never beyond the time at which a server that left must get nothing new.

    Args:
        store: A client used by this thread only.
        subscribers: Get `RegisteredServers` after each change.
        registered: Where they are published for the request pipe.
        routers: Number of routers that watch.
        bounds: Returns the times within which changes in the store must take effect.
        clock: The runtime's clock.
        events: The event log.
        share: Makes this watch's part in sharing, or None if it is not shared.
        slow_starts: Task that keeps which servers are cold, or None.
        last_heard: Published, if given: monotonic time at which the registered servers
            were last known to be right, in seconds.
    """

    def __init__(
        self,
        store: StoreClient,
        subscribers: tuple[pykka.ActorRef, ...],
        registered: LatestValue[RegisteredServers],
        routers: LatestValue[int],
        bounds: Callable[[], StoreBounds],
        clock: Clock,
        events: EventLog,
        share: MakeWatchShare | None = None,
        slow_starts: pykka.ActorRef | None = None,
        last_heard: LatestValue[float] | None = None,
    ) -> None:
        super().__init__(ENTRIES_PREFIX, store, bounds, clock, events, share)
        self.subscribers = subscribers
        self.registered = registered
        self.last_heard = last_heard
        self.routers = routers
        self.servers: dict[str, BackendServer] = {}
        self.drop_times: dict[str, float] = {}
        self.grace_ends_at = float("-inf")
        # Processes that left, with the time of the news, and entries that a restored
        # store brought back, with the revision at which it did.
        self.departed: dict[str, float] = {}
        self.brought_back: dict[str, int] = {}
        self.restored = False
        self.slow_starts = slow_starts
        self.entries_read: list[BackendServer] = []
        self.current = True

    def step(self) -> bool:
        """Make one call to the store, then drop entries whose grace time is over."""
        answered = super().step()
        self.drop_lapsed()
        if self.last_heard is not None:
            self.last_heard.publish(self.heard_at)
        if self.current == self.unavailable:
            self.current = not self.unavailable
            self.publish()
        return answered

    def pause(self) -> float:
        """Return the pause before the next watch, in seconds.

        There is none while lapsed entries may return.
        """
        if self.drop_times:
            return 0.0
        return watch_pause(self.routers.value)

    def may_ask_reader(self) -> bool:
        """Whether a reader may be asked; not while lapsed entries may return."""
        return super().may_ask_reader() and not self.drop_times

    def effect_bound(self) -> float:
        """Return the time from a server's leaving until it gets nothing new."""
        return self.bounds().drain_s

    def watch_timeout(self) -> float:
        """Return the timeout of the next watch, in seconds.

        It ends no later than the time at which the next lapsed entry is dropped.
        """
        wait = super().watch_timeout()
        if not self.drop_times:
            return wait
        left = min(self.drop_times.values()) - self.clock.monotonic()
        return min(wait, max(0.05, left))

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Replace all entries by the listed ones."""
        present = {item.key.removeprefix(ENTRIES_PREFIX) for item in items}
        changed = False
        if self.restored:
            self.restored = False
            self.find_brought_back(items)
        for name in self.servers.keys() - present:
            changed |= self.remove(name)
        for item in items:
            changed |= self.update_entry(item)
        self.tell_entries()
        if changed:
            self.publish()

    def apply_changes(self, changes: tuple[Item | Removal, ...]) -> None:
        """Apply changed and removed entries in order."""
        changed = False
        for change in changes:
            match change:
                case Item():
                    changed |= self.update_entry(change)
                case Removal(key, _):
                    changed |= self.remove(key.removeprefix(ENTRIES_PREFIX))
        self.tell_entries()
        if changed:
            self.publish()

    def tell_entries(self) -> None:
        """Have the limits of cold servers in force before the servers get calls."""
        entries, self.entries_read = self.entries_read, []
        if entries and self.slow_starts is not None:
            read = EntriesRead(tuple(entries))
            ask(self.slow_starts, read, self.clock, timeout=SLOW_START_TIMEOUT_S)

    def update_entry(self, item: Item) -> bool:
        """Apply one entry, or remove its server if it is invalid.

        Returns:
            Whether the registered servers have changed.
        """
        name = item.key.removeprefix(ENTRIES_PREFIX)
        returned = self.drop_times.pop(name, None) is not None
        entry = decode_entry(item.key, item.value)
        if isinstance(entry, str):
            self.events.emit("entry_refused", server=name, reason=entry[:160])
            return self.servers.pop(name, None) is not None
        for note in entry.invalid:
            self.events.emit("entry_value_refused", server=name, reason=note)
        self.entries_read.append(entry)
        if self.brought_back.get(name) == item.revision:
            entry = replace(entry, leaving=True)
        else:
            self.brought_back.pop(name, None)
        if entry.leaving:
            self.note_departure(entry)
        else:
            self.departed.pop(entry.incarnation, None)
        known = self.servers.get(name)
        if known == entry:
            return returned
        self.servers[name] = entry
        if known is None or known.leaving != entry.leaving:
            self.events.emit(
                "server_seen",
                server=name,
                service=entry.service,
                leaving=entry.leaving,
                version=entry.version,
                revision=item.revision,
            )
        return True

    def remove(self, name: str) -> bool:
        """Remove an entry, or mark it as lapsed during the grace time after an outage.

        Returns:
            Whether the registered servers have changed.
        """
        if name not in self.servers:
            return False
        drop_at = self.drop_time()
        if self.clock.monotonic() < drop_at:
            self.drop_times.setdefault(name, drop_at)
            return True
        self.note_departure(self.servers.pop(name))
        self.events.emit("server_gone", server=name)
        return True

    def leaving_since(self) -> dict[str, float]:
        """Return since when servers that are still listed are known to leave."""
        return {
            name: self.departed[server.incarnation]
            for name, server in self.servers.items()
            if server.incarnation in self.departed
        }

    def note_departure(self, server: BackendServer) -> None:
        """Remember that a server's process left, for as long as a copy may be old."""
        now = self.clock.monotonic()
        self.departed = {
            incarnation: at
            for incarnation, at in self.departed.items()
            if now - at < DEPARTURE_MEMORY_S
        }
        self.departed.setdefault(server.incarnation, now)

    def find_brought_back(self, items: tuple[Item, ...]) -> None:
        """Find the entries of processes that left and that a copy brought back.

        They are in use again only once their servers write them anew.
        """
        for item in items:
            entry = decode_entry(item.key, item.value)
            if isinstance(entry, str) or entry.leaving:
                continue
            if entry.incarnation in self.departed:
                self.brought_back[entry.id] = item.revision
                self.events.emit("entry_brought_back", server=entry.id)

    def drop_time(self) -> float:
        """Return the monotonic time until which an entry removed now stays in use."""
        bounds = self.bounds()
        removed_at = earliest_removal(
            self.clock.monotonic(),
            heard_at=self.heard_at,
            down_at=self.down_at,
            settled_s=bounds.settled_s,
        )
        lapse_s = longest_lapse(bounds.drain_s, watch_pause(self.routers.value))
        return min(self.grace_ends_at, removed_at + lapse_s)

    def drop_lapsed(self) -> None:
        """Remove lapsed entries that did not return in time."""
        now = self.clock.monotonic()
        overdue = [name for name, at in self.drop_times.items() if at <= now]
        for name in overdue:
            del self.drop_times[name]
            gone = self.servers.pop(name, None)
            if gone is not None:
                self.note_departure(gone)
                self.events.emit("server_gone", server=name, lapsed=True)
        if overdue:
            self.publish()

    def publish(self) -> None:
        """Publish the registered servers and send them to the subscribers."""
        registered = RegisteredServers(
            dict(self.servers),
            dict(self.drop_times),
            self.leaving_since(),
            self.current,
        )
        self.registered.publish(registered)
        for subscriber in self.subscribers:
            subscriber.tell(registered)

    def on_store_recovered(self) -> None:
        """Start the grace time in which lapsed entries may return."""
        self.grace_ends_at = self.clock.monotonic() + REREGISTRATION_GRACE_S

    def on_store_restored(self) -> None:
        """Give servers that the copy lacks time to register, and check the others."""
        self.on_store_recovered()
        self.restored = True
