"""The task that sends and hears heartbeats."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.peers import PeersKnown, Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import Member, Members, hear, live
from hawthornstage.mailbox import Forward
from hawthornstage.messages.members import Heartbeat
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class Beat:
    """It is time for a heartbeat."""


@dataclass(frozen=True)
class RevisionInUse:
    """The tables task uses this revision now."""

    revision: int


@dataclass(frozen=True)
class StartDraining:
    """This router is shutting down."""


@dataclass(frozen=True)
class MembersSeen:
    """The routers as seen now; sent to subscribers after each heartbeat."""

    members: Members


@dataclass(frozen=True)
class WantMembers:
    """Asks for the routers as seen now."""


class Membership(Task):
    """Owns this router's view of the others.

    Args:
        me: This router.
        urls: Addresses of the routers, by name.
        peers: Sends heartbeats.
        subscribers: Get `MembersSeen`.
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

    def on_start(self) -> None:
        """Tell the peers task the addresses from the settings."""
        self.peers.tell(PeersKnown(dict(self.urls)))

    def handle(self, message: Any) -> None:
        match message:
            case Beat():
                self.beat()
            case RevisionInUse(revision):
                me = replace(self.members.me, revision=revision)
                self.members = replace(self.members, me=me)
            case StartDraining():
                me = replace(self.members.me, draining=True)
                self.members = replace(self.members, me=me)
                self.beat()
            case Ask(message=Heartbeat() as heartbeat, reply_to=reply_to):
                self.hear(heartbeat)
                reply_to.put(self.heartbeat())
            case Heartbeat():
                self.hear(message)
            case Ask(message=WantMembers(), reply_to=reply_to):
                reply_to.put(MembersSeen(self.members))

    def heartbeat(self) -> Heartbeat:
        """Return what this router says of itself."""
        me = self.members.me
        return Heartbeat(
            me.node, me.incarnation, me.failure_domain, me.draining, me.revision
        )

    def beat(self) -> None:
        """Send a heartbeat to each other router and tell the subscribers."""
        now = self.clock.monotonic()
        me = replace(self.members.me, heard_at=now)
        self.members = replace(self.members, me=me)
        message = self.heartbeat()
        answer = Forward(self.actor_ref.tell)
        for node in self.urls:
            if node != me.node:
                self.peers.tell(Send(node, message, answer))
        self.publish(now)

    def hear(self, heartbeat: Heartbeat) -> None:
        """Note that another router is there."""
        member = Member(
            heartbeat.node,
            heartbeat.incarnation,
            heartbeat.failure_domain,
            self.clock.monotonic(),
            heartbeat.draining,
            heartbeat.revision,
        )
        self.members = hear(self.members, member)

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
            subscriber.tell(MembersSeen(self.members))
