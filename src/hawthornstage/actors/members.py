"""The task that sends and receives heartbeats."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import PeersChanged, Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import (
    Members,
    heartbeat_targets,
    live,
    make_heartbeat,
    merge_heartbeat,
    newest_revision,
)
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.members import Heartbeat
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Routers that get each periodic heartbeat, and those that get an extra one at once when
# this router adopts new tables.
FANOUT = 3
REVISION_FANOUT = 6


@dataclass(frozen=True)
class SendHeartbeat:
    """Triggers a periodic heartbeat."""


@dataclass(frozen=True)
class RevisionInUse:
    """Reports the revision of the tables that this router uses now."""

    revision: int


@dataclass(frozen=True)
class StartDraining:
    """Announces to all routers that this one is shutting down."""


@dataclass(frozen=True)
class MembershipSnapshot:
    """This router's current view of all routers.

    Sent to subscribers after each heartbeat, and as the reply to `GetMembers`.
    """

    members: Members


@dataclass(frozen=True)
class GetMembers:
    """Asks for this router's view; the reply is `MembershipSnapshot`."""


class Membership(Task):
    """Owns this router's view of the others.

    Args:
        members: The initial view.
        urls: Addresses of the routers, by name.
        peers: Sends heartbeats.
        subscribers: Get `MembershipSnapshot`.
        clock: The runtime's clock.
        events: The event log.
        metrics: Gauge of the live routers.
    """

    def __init__(
        self,
        members: Members,
        urls: dict[str, str],
        *,
        peers: Recipient,
        subscribers: tuple[pykka.ActorRef, ...],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.members = members
        self.urls = urls
        self.peers = peers
        self.subscribers = subscribers
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.live: frozenset[str] = frozenset()
        self.round_number = 0

    def on_start(self) -> None:
        """Pass the addresses from the settings to the peers task."""
        self.peers.tell(PeersChanged(dict(self.urls)))

    def handle(self, message: Any) -> None:
        match message:
            case SendHeartbeat():
                self.send_heartbeat()
            case RevisionInUse(revision):
                me = replace(self.members.me, revision=revision)
                self.members = replace(self.members, me=me)
                self.send_heartbeat(REVISION_FANOUT)
            case StartDraining():
                me = replace(self.members.me, draining=True)
                self.members = replace(self.members, me=me)
                self.send_heartbeat(len(self.urls))
            case Ask(message=Heartbeat() as heartbeat, reply_to=reply_to):
                self.handle_heartbeat(heartbeat)
                # Without gossip about other routers, to save bytes: a reply only shows
                # that this router is alive.
                reply_to.put(replace(self.heartbeat(), rumours=()))
            case Heartbeat():
                self.handle_heartbeat(message)
            case Ask(message=GetMembers(), reply_to=reply_to):
                reply_to.put(MembershipSnapshot(self.members))

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat: this router's state, and gossip about others."""
        self.round_number += 1
        return make_heartbeat(self.members, self.clock.monotonic(), self.round_number)

    def send_heartbeat(self, count: int = FANOUT) -> None:
        """Send a heartbeat to some routers and notify the subscribers.

        Args:
            count: Number of routers to send it to.
        """
        now = self.clock.monotonic()
        me = replace(self.members.me, last_seen_at=now)
        self.members = replace(self.members, me=me)
        message = self.heartbeat()
        reply_to = ReplyCallback(self.actor_ref.tell)
        for node in heartbeat_targets(
            self.urls, me.node, self.round_number, count=count
        ):
            self.peers.tell(Send(node, message, reply_to))
        self.publish(now)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the view from another router's heartbeat and its gossip."""
        now = self.clock.monotonic()
        before = newest_revision(self.members)
        self.members = merge_heartbeat(self.members, heartbeat, now)
        if newest_revision(self.members) > before:
            # Subscribers learn of newer tables at once, not at the next heartbeat.
            self.publish(now)

    def publish(self, now: float) -> None:
        """Notify the subscribers, and log routers that appeared or fell silent."""
        names = frozenset(member.node for member in live(self.members, now))
        for node in sorted(names - self.live):
            self.events.emit("router_seen", peer=node)
        for node in sorted(self.live - names):
            self.events.emit("router_silent", peer=node)
        self.live = names
        self.metrics.live_routers.set(len(names))
        for subscriber in self.subscribers:
            subscriber.tell(MembershipSnapshot(self.members))
