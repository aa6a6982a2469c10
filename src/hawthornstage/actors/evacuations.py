"""The task that owns which failure domains are evacuated."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.evacuations import EvacuationBook
from hawthornstage.decisions.peer_links import neighbour_processes
from hawthornstage.decisions.router_processes import changed_processes
from hawthornstage.decisions.watch_sharing import sharing_routers
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.evacuations import (
    EvacuationChange,
    Evacuations,
    EvacuationsAnnounced,
    EvacuationsRead,
    StorePosition,
)
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.store import Item, ItemsChanged, ItemsListed, Removal
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.evacuations import (
    decode_failure_domain,
    is_evacuation,
    is_expected_value,
)


@dataclass(frozen=True)
class CheckEvacuations:
    """Triggers the repetition of news, and the end of what has lapsed."""


class EvacuationsTask(Task):
    """Owns the evacuations, and tells neighbours of them, which tell theirs.

    While there is nothing to tell, nothing is sent. Routers that do not share watches
    are of builds that do not know these messages, and are not told.

    Args:
        node: This router's name.
        in_force: Where the evacuations are published for the request pipe.
        subscribers: Get `Evacuations` after each change.
        peers: Sends messages to other routers.
        known_domains: Returns the failure domains of the deployment, for the log.
        metrics: Shows which failure domains are evacuated.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        in_force: LatestValue[Evacuations],
        subscribers: tuple[pykka.ActorRef, ...],
        peers: Recipient,
        known_domains: Callable[[], frozenset[str]],
        *,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.in_force = in_force
        self.subscribers = subscribers
        self.peers = peers
        self.known_domains = known_domains
        self.metrics = metrics
        self.clock = clock
        self.events = events
        self.book = EvacuationBook()
        # Addresses of the neighbours' processes, by name.
        self.neighbours: dict[str, str] = {}
        self.turns = 0

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case ItemsListed(items, epoch, revision):
                position = StorePosition(epoch, revision)
                self.read(self.decode(items, epoch), position, now, complete=True)
            case ItemsChanged(changes, epoch, revision):
                position = StorePosition(epoch, revision)
                self.read(self.decode(changes, epoch), position, now, complete=False)
            case Ask(message=EvacuationsAnnounced(records), reply_to=reply_to):
                self.apply(self.book.hear(records, now), "router", now)
                reply_to.put(EvacuationsAnnounced(self.book.answer(records, now)))
            case EvacuationsAnnounced(records):
                self.apply(self.book.hear(records, now), "router", now)
            case CheckEvacuations():
                self.apply(self.book.end_lapsed(now), "lapsed", now)
                self.tell_next(now)
            case KnownRouters(urls):
                self.update_neighbours(urls, now)

    def update_neighbours(self, urls: Mapping[str, str], now: float) -> None:
        """Replace the neighbours, and tell processes that are new among them.

        Earlier builds close a connection that brings an unknown message.
        """
        sharing = {name: urls[name] for name in sharing_routers(urls)}
        before = self.neighbours
        self.neighbours = neighbour_processes(self.node, sharing)
        if not self.book.news(now):
            return
        for node in sorted(changed_processes(before, self.neighbours)):
            self.tell(node, now)

    def decode(
        self, changes: tuple[Item | Removal, ...], epoch: int
    ) -> tuple[EvacuationChange, ...]:
        """Return the evacuations among the operators' keys.

        The key alone counts, whatever its value is; one that names no failure domain
        is logged.
        """
        evacuations = []
        for change in changes:
            if not is_evacuation(change.key):
                continue
            domain = decode_failure_domain(change.key)
            if domain is None:
                self.events.emit(
                    "evacuation_refused", key=change.key, reason="no domain"
                )
                continue
            active = isinstance(change, Item)
            if isinstance(change, Item) and not is_expected_value(change.value):
                self.events.emit("evacuation_value_ignored", key=change.key)
            position = StorePosition(epoch, change.revision)
            evacuations.append(EvacuationChange(domain, active, position))
        return tuple(evacuations)

    def read(
        self,
        changes: tuple[EvacuationChange, ...],
        position: StorePosition,
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Record what the store told.

        Args:
            changes: Evacuations that began or ended.
            position: The state of the store up to which all changes are known now.
            now: Monotonic time in seconds.
            complete: Whether no other evacuation is in the store.
        """
        news = EvacuationsRead(changes, position, complete)
        self.apply(self.book.read(news, now), "store", now)

    def apply(self, changed: list[str], source: str, now: float) -> None:
        """Publish, log and pass on what has changed.

        Args:
            changed: Failure domains that are evacuated now and were not, or the
                reverse.
            source: Where this is known from, for the log.
            now: Monotonic time in seconds.
        """
        evacuations = self.book.in_force()
        if evacuations != self.in_force.value:
            self.in_force.publish(evacuations)
            for subscriber in self.subscribers:
                subscriber.tell(evacuations)
        for domain in changed:
            self.log_change(domain, source, now)
        if changed:
            for node in self.neighbours:
                self.tell(node, now)

    def log_change(self, domain: str, source: str, now: float) -> None:
        """Log and show that an evacuation has begun or ended."""
        known = self.book.known[domain]
        self.metrics.evacuated.labels(domain).set(int(known.active))
        self.events.emit(
            "evacuation_began" if known.active else "evacuation_ended",
            failure_domain=domain,
            source=source,
            epoch=known.position.epoch,
            revision=known.position.revision,
            age_ms=int((now - known.learned_at) * 1000),
            known=domain in self.known_domains(),
        )

    def tell_next(self, now: float) -> None:
        """Tell one neighbour in turn, if there is something to tell."""
        if self.neighbours and self.book.news(now):
            self.turns += 1
            names = list(self.neighbours)
            self.tell(names[self.turns % len(names)], now)

    def tell(self, node: str, now: float) -> None:
        """Tell a router what is known; its reply is what it knows."""
        announced = EvacuationsAnnounced(self.book.news(now))
        reply_to = ReplyCallback(self.actor_ref.tell)
        self.peers.tell(Send(node, announced, reply_to))
