"""The task that keeps calls that crash servers from reaching many of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.members import MembersSeen
from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions import crashes as policy
from hawthornstage.decisions.crashes import CrashSuspects, SuspectSlot
from hawthornstage.decisions.membership import (
    Members,
    live,
    possibly_live_members,
    rendezvous_order,
)
from hawthornstage.mailbox import DISCARD, Forward, ReplyTo
from hawthornstage.messages.crashes import (
    AskSlot,
    ReleaseSlot,
    RequestBlocked,
    SlotGranted,
    SuspectCleared,
    SuspectSeen,
)
from hawthornstage.messages.members import Unreachable
from hawthornstage.messages.money import Acknowledged
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class AskToRun:
    """Asks whether a call may go to a server; the reply may take a while."""

    fingerprint: str
    server: str
    attempt: str


@dataclass(frozen=True)
class MayRun:
    """The call may go to the server."""


@dataclass(frozen=True)
class MustNotRun:
    """The call crashed the servers that ran it."""


@dataclass(frozen=True)
class CallEnded:
    """A call has left its server; the reply comes once all routers know of a crash.

    Args:
        fingerprint: The call's.
        server: The server's name.
        attempt: The attempt that ran it.
        crashed: Whether the server broke off.
        whole: Whether the call ran to its end.
    """

    fingerprint: str
    server: str
    attempt: str
    crashed: bool
    whole: bool


@dataclass(frozen=True)
class Heard:
    """One router has answered a broadcast."""

    number: int
    node: str


@dataclass
class Broadcast:
    """News on its way to the other routers.

    Args:
        told: The message.
        missing: Routers that have not answered.
        reply_to: Who waits for all answers.
    """

    told: Any
    missing: set[str]
    reply_to: ReplyTo


class CrashGuard(Task):
    """Owns what is known of calls that may crash servers.

    For each server one router, found by rendezvous hashing, lets one suspect at a
    time run there. Two routers that both take themselves for it let two run; then
    an innocent call may be blocked, but no further server is lost.

    Args:
        node: This router's name.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self, node: str, peers: pykka.ActorRef, *, clock: Clock, events: EventLog
    ) -> None:
        super().__init__()
        self.node = node
        self.peers = peers
        self.clock = clock
        self.events = events
        self.crashes = CrashSuspects()
        self.slots: dict[str, SuspectSlot] = {}
        self.askers: dict[str, ReplyTo] = {}
        self.alone: dict[str, str] = {}
        self.members: Members | None = None
        self.broadcasts = 0
        self.unheard: dict[int, Broadcast] = {}

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=AskToRun() as asking, reply_to=reply_to):
                self.ask_to_run(asking, reply_to, now)
            case Ask(message=AskSlot(server, attempt), reply_to=reply_to):
                self.askers[attempt] = reply_to
                slot = self.slots.get(server, SuspectSlot())
                self.slots[server], first = policy.ask_slot(slot, attempt, now)
                self.let_in(server, first)
            case Ask(message=ReleaseSlot(server, attempt), reply_to=reply_to):
                self.askers.pop(attempt, None)
                slot = self.slots.get(server, SuspectSlot())
                self.slots[server], first = policy.release_slot(slot, attempt, now)
                self.let_in(server, first)
                reply_to.put(Acknowledged())
            case Ask(message=CallEnded() as ended, reply_to=reply_to):
                self.call_ended(ended, reply_to, now)
            case Ask(
                message=SuspectSeen() | SuspectCleared() | RequestBlocked() as told,
                reply_to=reply_to,
            ):
                self.learn(told, now)
                reply_to.put(Acknowledged())
            case Heard(number, node):
                self.heard(number, node)
            case MembersSeen(members):
                self.see(members, now)

    def ask_to_run(self, asking: AskToRun, reply_to: ReplyTo, now: float) -> None:
        """Let a call run, unless it is blocked or must wait to run alone."""
        if policy.is_blocked(self.crashes, asking.fingerprint, now):
            reply_to.put(MustNotRun())
            return
        if not policy.is_suspect(self.crashes, asking.fingerprint, now):
            reply_to.put(MayRun())
            return
        self.alone[asking.attempt] = asking.server
        owner = self.owner_of(asking.server)

        def answered(reply: Any) -> None:
            if isinstance(reply, SlotGranted):
                reply_to.put(MayRun())
            elif owner != self.node:
                # The owner can't be reached: this router lets its own suspects in.
                self.peers.tell(Send(self.node, ask_slot, Forward(answered)))

        ask_slot = AskSlot(asking.server, asking.attempt)
        self.peers.tell(Send(owner, ask_slot, Forward(answered)))

    def owner_of(self, server: str) -> str:
        """Name the router that lets suspects run on a server."""
        if self.members is None:
            return self.node
        nodes = [m.node for m in live(self.members, self.clock.monotonic())]
        return rendezvous_order(server, nodes)[0]

    def let_in(self, server: str, attempt: str | None) -> None:
        """Tell a suspect that it may run."""
        reply_to = self.askers.pop(attempt or "", None)
        if reply_to is not None and attempt is not None:
            reply_to.put(SlotGranted(server, attempt))

    def learn(
        self, told: SuspectSeen | SuspectCleared | RequestBlocked, now: float
    ) -> None:
        """Take in what this or another router found out."""
        match told:
            case SuspectSeen(fingerprint):
                self.crashes = policy.add_suspect(self.crashes, fingerprint, now)
            case SuspectCleared(fingerprint):
                self.crashes = policy.clear_suspect(self.crashes, fingerprint)
            case RequestBlocked(fingerprint):
                self.crashes = policy.block_call(self.crashes, fingerprint, now)

    def call_ended(self, message: CallEnded, reply_to: ReplyTo, now: float) -> None:
        """Draw the conclusions from how a call ended, and tell every router."""
        fingerprint = message.fingerprint
        alone = self.alone.pop(message.attempt, None)
        if alone is not None:
            release = ReleaseSlot(alone, message.attempt)
            for node in {self.owner_of(alone), self.node}:
                self.peers.tell(Send(node, release))
        if message.crashed:
            known = alone is not None
            self.events.emit(
                "request_blocked" if known else "request_suspected",
                fingerprint=fingerprint,
                server=message.server,
            )
            seen = SuspectSeen(fingerprint, message.server)
            told = RequestBlocked(fingerprint) if known else seen
            self.broadcast(told, reply_to, now)
            return
        if message.whole and policy.is_suspect(self.crashes, fingerprint, now):
            self.broadcast(SuspectCleared(fingerprint), DISCARD, now)
        reply_to.put(Acknowledged())

    def broadcast(self, told: Any, reply_to: ReplyTo, now: float) -> None:
        """Tell every router that may be there, and reply once all have answered."""
        self.learn(told, now)
        self.broadcasts += 1
        number = self.broadcasts
        members = possibly_live_members(self.members, now) if self.members else ()
        missing = {member.node for member in members}
        self.unheard[number] = Broadcast(told, missing, reply_to)
        self.spread(number)

    def spread(self, number: int) -> None:
        """Send a broadcast to the routers that have not answered it."""
        broadcast = self.unheard[number]
        for node in sorted(broadcast.missing):

            def answered(reply: Any, node: str = node) -> None:
                if not isinstance(reply, Unreachable):
                    self.actor_ref.tell(Heard(number, node))

            self.peers.tell(Send(node, broadcast.told, Forward(answered)))
        self.end_broadcast(number)

    def heard(self, number: int, node: str) -> None:
        """Note that one router has answered a broadcast."""
        broadcast = self.unheard.get(number)
        if broadcast is not None:
            broadcast.missing.discard(node)
            self.end_broadcast(number)

    def end_broadcast(self, number: int) -> None:
        """Reply to whoever waits, once no answer is missing."""
        broadcast = self.unheard[number]
        if not broadcast.missing:
            del self.unheard[number]
            broadcast.reply_to.put(Acknowledged())

    def see(self, members: Members, now: float) -> None:
        """Send again what did not get through, except to routers that are gone."""
        self.members = members
        there = {member.node for member in possibly_live_members(members, now)}
        for number, broadcast in list(self.unheard.items()):
            broadcast.missing &= there
            self.spread(number)
