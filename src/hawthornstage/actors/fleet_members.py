"""The task that registers this router in the store and discovers the others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import PeerMet, PeersChanged
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.router_processes import (
    ENTRY_DELAY_S,
    RouterDirectory,
    RouterEntry,
    changed_processes,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    LeaseGranted,
    LeaseLost,
    Listing,
    Put,
    StoreNoResponse,
    StoreRefused,
    StoreRestored,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Key prefix of the routers' entries; a value is the address for other routers.
MEMBERS_PREFIX = "hawthornstage/routers/"
# Lease of an entry, in seconds: a router that does not renew it is removed.
LEASE_S = 30.0
# Time after a restoration of the store within which all routers register again, in
# seconds.
REREGISTRATION_S = 12.0
# Period of renewing the lease, in ticks of one second.
RENEWAL_TICKS = 8
# Period of reading the other routers' entries, in ticks.
DISCOVERY_TICKS = 5
# Ticks after the start in which the entries are read each time until they settle.
STARTING_TICKS = 12


@dataclass(frozen=True)
class MembershipTick:
    """Triggers the periodic work, once a second."""


@dataclass(frozen=True)
class Deregister:
    """Removes this router's entry, because the router stops."""


class FleetMembers(Task):
    """Owns this router's entry and the addresses of the other routers' processes.

    Args:
        node: This router's name.
        url: Its address for other routers, which names its process.
        store: A client used by this task only.
        peers: Gets the addresses of the other routers.
        routers: Where the number of routers is published.
        subscribers: Get `KnownRouters`.
        secret: The routers' shared secret, as stored.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        url: str,
        *,
        store: StoreClient,
        peers: Recipient,
        routers: LatestValue[int],
        subscribers: tuple[pykka.ActorRef, ...],
        secret: Put,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.url = url
        self.store = store
        self.peers = peers
        self.routers = routers
        self.subscribers = subscribers
        self.secret = secret
        self.clock = clock
        self.events = events
        self.restored_at = float("-inf")
        self.lease: int | None = None
        # Time at which the entry was written, or None while it is not known to be.
        self.registered_at: float | None = None
        self.directory = RouterDirectory()
        # The addresses that were published, or None before the first read.
        self.urls: dict[str, str] | None = None
        self.settled = False
        self.ticks = 0

    def handle(self, message: Any) -> None:
        match message:
            case MembershipTick():
                self.tick()
            case Ask(message=PeerMet(node, url)):
                self.meet(node, url)
            case StoreRestored():
                self.register_again()
            case Deregister():
                if self.lease is not None:
                    self.store.end_lease(self.lease)

    def tick(self) -> None:
        """Register or renew, and read the entries if due."""
        if self.registered_at is None:
            self.register()
        elif self.ticks % RENEWAL_TICKS == 0:
            self.renew()
        starting = self.ticks < STARTING_TICKS and not self.settled
        if starting or self.ticks % DISCOVERY_TICKS == 0:
            self.discover_routers()
        self.ticks += 1

    def register_again(self) -> None:
        """Register after the store was restored, which ended all leases.

        The lease's id may belong to another router by now.
        """
        self.restored_at = self.clock.monotonic()
        self.lease = self.registered_at = None
        self.directory.forget_revisions()
        self.restore_secret()
        self.register()

    def restore_secret(self) -> None:
        """Store the shared secret again if the copy lacks it."""
        match self.store.transact({self.secret.key: 0}, puts=(self.secret,)):
            case Committed():
                self.events.emit("secret_restored")
            case Conflict(items) if items and items[0].value != self.secret.value:
                self.events.emit("secret_differs")

    def register(self) -> None:
        """Write this router's entry under its lease, or under a new one.

        A write without a response is repeated under the same lease: it may be done
        later, and would bind the entry to a lease that nobody renews.
        """
        if self.lease is None:
            match self.store.grant_lease(LEASE_S):
                case LeaseGranted(lease, _):
                    self.lease = lease
                case StoreRefused(reason) | StoreNoResponse(reason):
                    self.events.emit("registration_failed", reason=reason[:120])
                    return
        entry = Put(MEMBERS_PREFIX + self.node, self.url.encode(), self.lease)
        match self.store.transact({}, puts=(entry,)):
            case Committed():
                self.registered_at = self.clock.monotonic()
                self.events.emit("registered", lease=self.lease)
            case LeaseLost():
                self.lease = None
            case StoreRefused(reason) | StoreNoResponse(reason):
                self.events.emit("registration_failed", reason=reason[:120])

    def renew(self) -> None:
        """Renew the lease; register again if it has expired."""
        assert self.lease is not None
        match self.store.renew_lease(self.lease):
            case LeaseLost():
                self.events.emit("lease_lost", lease=self.lease)
                self.lease = self.registered_at = None
                self.register()
            case StoreRefused(reason) | StoreNoResponse(reason):
                self.events.emit("renewal_failed", reason=reason[:120])

    def check_entry(self, url: str | None) -> None:
        """Have the entry written again if it is not as it was written.

        A write of a process before this one may have been done late.

        Args:
            url: What the entry holds, or None if it is missing.
        """
        if self.registered_at is None or url == self.url:
            return
        if self.clock.monotonic() - self.registered_at < ENTRY_DELAY_S:
            # The entries that were read may be older.
            return
        self.events.emit("registration_missing", url=url or "")
        self.registered_at = None

    def discover_routers(self) -> None:
        """Read the registered routers, and publish them if they have changed."""
        outcome = self.store.list(MEMBERS_PREFIX, stale=True)
        if not isinstance(outcome, Listing):
            return
        found = {
            item.key.removeprefix(MEMBERS_PREFIX): RouterEntry(
                item.value.decode("ascii", "replace"), item.revision
            )
            for item in outcome.items
        }
        own = found.pop(self.node, None)
        self.check_entry(own.url if own else None)
        now = self.clock.monotonic()
        # After a restoration, the others have yet to register again.
        complete = now - self.restored_at >= REREGISTRATION_S
        self.directory.read(found, complete=complete)
        urls = self.directory.urls(now)
        if urls != self.urls:
            self.publish(urls)
        elif not self.settled:
            self.settled = True
            self.tell_subscribers(urls)

    def meet(self, node: str, url: str) -> None:
        """Note the process that a connection leads to, and publish it if it is new.

        Before the first read this router can't tell how many others there are.
        """
        now = self.clock.monotonic()
        self.directory.meet(node, url, now)
        urls = self.directory.urls(now)
        if self.urls is not None and urls != self.urls:
            self.events.emit("router_met", router=node, url=url)
            self.publish(urls)

    def publish(self, urls: dict[str, str]) -> None:
        """Publish the other routers' processes."""
        started = changed_processes(self.urls or {}, urls)
        self.urls = urls
        self.routers.publish(len(urls) + 1)
        self.events.emit(
            "routers_known", count=len(urls) + 1, started=",".join(sorted(started)[:8])
        )
        self.peers.tell(PeersChanged(urls))
        self.tell_subscribers(urls)

    def tell_subscribers(self, urls: dict[str, str]) -> None:
        """Tell the other tasks which routers are known."""
        for subscriber in self.subscribers:
            subscriber.tell(KnownRouters(urls, self.settled))
