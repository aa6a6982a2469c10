"""The task that sends and hears heartbeats."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.peers import PeersChanged, Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import (
    Members,
    live,
    make_heartbeat,
    newest_revision,
    take_heartbeat,
    targets,
)
from hawthornstage.mailbox import Forward
from hawthornstage.messages.members import Heartbeat
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Routers that get each regular heartbeat, and those told at once of new tables.
FANOUT = 3
REVISION_FANOUT = 6


@dataclass(frozen=True)
class SendHeartbeat:
    """It is time for a heartbeat."""


@dataclass(frozen=True)
class RevisionInUse:
    """The tables task uses this revision now."""

    revision: int


@dataclass(frozen=True)
class StartDraining:
    """This router is shutting down."""


@dataclass(frozen=True)
class MembershipSnapshot:
    """The routers as seen now; sent to subscribers after each heartbeat."""

    members: Members


@dataclass(frozen=True)
class GetMembers:
    """Asks for the routers as seen now."""


class Membership(Task):
    """Owns this router's view of the others.

    Args:
        me: This router.
        urls: Addresses of the routers, by name.
        peers: Sends heartbeats.
        subscribers: Get `MembershipSnapshot`.
        clock: The runtime's clock.
        events: Takes events.
        metrics: Takes the number of live routers.
    """

    def __init__(
        self,
        members: Members,
        urls: dict[str, str],
        *,
        peers: pykka.ActorRef,
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
        """Tell the peers task the addresses from the settings."""
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
                # A reply only says that this router is there, to save bytes.
                reply_to.put(replace(self.heartbeat(), rumours=()))
            case Heartbeat():
                self.handle_heartbeat(message)
            case Ask(message=GetMembers(), reply_to=reply_to):
                reply_to.put(MembershipSnapshot(self.members))

    def heartbeat(self) -> Heartbeat:
        """Return what this router says of itself and of some others."""
        self.round_number += 1
        return make_heartbeat(self.members, self.clock.monotonic(), self.round_number)

    def send_heartbeat(self, count: int = FANOUT) -> None:
        """Send a heartbeat to some routers and tell the subscribers."""
        now = self.clock.monotonic()
        me = replace(self.members.me, heard_at=now)
        self.members = replace(self.members, me=me)
        message = self.heartbeat()
        reply_to = Forward(self.actor_ref.tell)
        for node in targets(self.urls, me.node, self.round_number, count=count):
            self.peers.tell(Send(node, message, reply_to))
        self.publish(now)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note that another router is there, and what it has heard."""
        now = self.clock.monotonic()
        before = newest_revision(self.members)
        self.members = take_heartbeat(self.members, heartbeat, now)
        if newest_revision(self.members) > before:
            # News of tables does not wait for the next heartbeat.
            self.publish(now)

    def publish(self, now: float) -> None:
        """Tell the subscribers, and record who came and went."""
        names = frozenset(member.node for member in live(self.members, now))
        for node in sorted(names - self.live):
            self.events.emit("router_seen", peer=node)
        for node in sorted(self.live - names):
            self.events.emit("router_silent", peer=node)
        self.live = names
        self.metrics.live_routers.set(len(names))
        for subscriber in self.subscribers:
            subscriber.tell(MembershipSnapshot(self.members))
