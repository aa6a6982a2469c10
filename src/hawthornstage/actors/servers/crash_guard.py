"""The task that limits how many backend servers a crashing call can reach.

A call during which a server fails becomes a suspect on all routers. A suspect runs on a
server only while no other suspect does; if that server fails too, the call is blocked.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.members import MembershipSnapshot
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions import crashes as policy
from hawthornstage.decisions.crashes import CrashSuspects, SuspectSlot
from hawthornstage.decisions.membership import (
    Members,
    live,
    possibly_live_members,
    rendezvous_order,
)
from hawthornstage.mailbox import DISCARD_REPLY, ReplyCallback, ReplyTo
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.crashes import (
    ReleaseSlot,
    RequestBlocked,
    RequestSlot,
    SlotGranted,
    SuspectCleared,
    SuspectReported,
)
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class RequestRun:
    """Asks whether a call may run on a server.

    The reply is `RunAllowed` or `RunBlocked`. A suspect gets it only once no other
    suspect runs on the server.
    """

    fingerprint: str
    server: str
    attempt: str


@dataclass(frozen=True)
class RunAllowed:
    """Allows a call to run on the server."""


@dataclass(frozen=True)
class RunBlocked:
    """Refuses a call that has been blocked because it crashes servers."""


@dataclass(frozen=True)
class RunEnded:
    """Reports how a run on a server ended.

    The reply comes once all reachable routers know of a crash, and otherwise at once.

    Args:
        fingerprint: The call's fingerprint.
        server: The server's name.
        attempt: The attempt that ran there.
        crashed: Whether the server failed during the call.
        completed: Whether the call ran to completion.
    """

    fingerprint: str
    server: str
    attempt: str
    crashed: bool
    completed: bool


@dataclass(frozen=True)
class BroadcastAcknowledged:
    """Reports that a router has acknowledged a broadcast.

    Args:
        number: The broadcast's number.
        node: The router.
    """

    number: int
    node: str


@dataclass
class Broadcast:
    """A notice that not all routers have acknowledged.

    Args:
        notice: The message.
        missing: Routers that have not acknowledged it.
        reply_to: Gets `Acknowledged` once all have.
    """

    notice: Any
    missing: set[str]
    reply_to: ReplyTo


class CrashGuard(Task):
    """Owns the suspected and blocked calls, and the slots of suspects on servers.

    For each server, one router, chosen by rendezvous hashing, grants a slot to one
    suspect at a time. If two routers both consider themselves the owner, two suspects
    run there at once; a harmless call may then be blocked, but no further server is
    lost.

    Args:
        node: This router's name.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self, node: str, peers: Recipient, *, clock: Clock, events: EventLog
    ) -> None:
        super().__init__()
        self.node = node
        self.peers = peers
        self.clock = clock
        self.events = events
        self.crashes = CrashSuspects()
        self.slots: dict[str, SuspectSlot] = {}
        self.slot_waiters: dict[str, ReplyTo] = {}
        self.isolated: dict[str, str] = {}
        self.members: Members | None = None
        self.broadcasts = 0
        self.pending_broadcasts: dict[int, Broadcast] = {}

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=RequestRun() as request, reply_to=reply_to):
                self.ask_to_run(request, reply_to, now)
            case Ask(message=RequestSlot(server, attempt), reply_to=reply_to):
                self.slot_waiters[attempt] = reply_to
                slot = self.slots.get(server, SuspectSlot())
                self.slots[server], first = policy.ask_slot(slot, attempt, now)
                self.grant_slot(server, first)
            case Ask(message=ReleaseSlot(server, attempt), reply_to=reply_to):
                self.slot_waiters.pop(attempt, None)
                slot = self.slots.get(server, SuspectSlot())
                self.slots[server], first = policy.release_slot(slot, attempt, now)
                self.grant_slot(server, first)
                reply_to.put(Acknowledged())
            case Ask(message=RunEnded() as ended, reply_to=reply_to):
                self.handle_run_ended(ended, reply_to, now)
            case Ask(
                message=SuspectReported()
                | SuspectCleared()
                | RequestBlocked() as notice,
                reply_to=reply_to,
            ):
                self.apply_notice(notice, now)
                reply_to.put(Acknowledged())
            case BroadcastAcknowledged(number, node):
                self.record_acknowledgement(number, node)
            case MembershipSnapshot(members):
                self.update_members(members, now)

    def ask_to_run(self, request: RequestRun, reply_to: ReplyTo, now: float) -> None:
        """Allow or refuse a call; request a slot first if the call is a suspect."""
        if policy.is_blocked(self.crashes, request.fingerprint, now):
            reply_to.put(RunBlocked())
            return
        if not policy.is_suspect(self.crashes, request.fingerprint, now):
            reply_to.put(RunAllowed())
            return
        self.isolated[request.attempt] = request.server
        owner = self.owner_of(request.server)

        def answered(reply: Any) -> None:
            if isinstance(reply, SlotGranted):
                reply_to.put(RunAllowed())
            elif owner != self.node:
                # The owner is unreachable, so this router grants the slot itself.
                self.peers.tell(Send(self.node, ask_slot, ReplyCallback(answered)))

        ask_slot = RequestSlot(request.server, request.attempt)
        self.peers.tell(Send(owner, ask_slot, ReplyCallback(answered)))

    def owner_of(self, server: str) -> str:
        """Return the router that grants the slots of a server."""
        if self.members is None:
            return self.node
        nodes = [m.node for m in live(self.members, self.clock.monotonic())]
        return rendezvous_order(server, nodes)[0]

    def grant_slot(self, server: str, attempt: str | None) -> None:
        """Grant a server's slot to a waiting attempt, if there is one."""
        reply_to = self.slot_waiters.pop(attempt or "", None)
        if reply_to is not None and attempt is not None:
            reply_to.put(SlotGranted(server, attempt))

    def apply_notice(
        self, notice: SuspectReported | SuspectCleared | RequestBlocked, now: float
    ) -> None:
        """Apply a notice from this or another router."""
        match notice:
            case SuspectReported(fingerprint):
                self.crashes = policy.add_suspect(self.crashes, fingerprint, now)
            case SuspectCleared(fingerprint):
                self.crashes = policy.clear_suspect(self.crashes, fingerprint)
            case RequestBlocked(fingerprint):
                self.crashes = policy.block_call(self.crashes, fingerprint, now)

    def handle_run_ended(
        self, message: RunEnded, reply_to: ReplyTo, now: float
    ) -> None:
        """Block, suspect or clear a call by how its run ended, and tell all routers.

        A crash blocks a call that ran as the only suspect on its server, and makes any
        other call a suspect.
        """
        fingerprint = message.fingerprint
        isolated = self.isolated.pop(message.attempt, None)
        if isolated is not None:
            release = ReleaseSlot(isolated, message.attempt)
            for node in {self.owner_of(isolated), self.node}:
                self.peers.tell(Send(node, release))
        if message.crashed:
            known = isolated is not None
            self.events.emit(
                "request_blocked" if known else "request_suspected",
                fingerprint=fingerprint,
                server=message.server,
            )
            seen = SuspectReported(fingerprint, message.server)
            notice = RequestBlocked(fingerprint) if known else seen
            self.broadcast(notice, reply_to, now)
            return
        if message.completed and policy.is_suspect(self.crashes, fingerprint, now):
            self.broadcast(SuspectCleared(fingerprint), DISCARD_REPLY, now)
        reply_to.put(Acknowledged())

    def broadcast(self, notice: Any, reply_to: ReplyTo, now: float) -> None:
        """Send a notice to all routers present, and reply once all acknowledged it."""
        self.apply_notice(notice, now)
        self.broadcasts += 1
        number = self.broadcasts
        members = possibly_live_members(self.members, now) if self.members else ()
        missing = {member.node for member in members}
        self.pending_broadcasts[number] = Broadcast(notice, missing, reply_to)
        self.send_broadcast(number)

    def send_broadcast(self, number: int) -> None:
        """Send a broadcast to the routers that have not acknowledged it."""
        broadcast = self.pending_broadcasts[number]
        for node in sorted(broadcast.missing):

            def answered(reply: Any, node: str = node) -> None:
                if not isinstance(reply, PeerUnreachable):
                    self.actor_ref.tell(BroadcastAcknowledged(number, node))

            self.peers.tell(Send(node, broadcast.notice, ReplyCallback(answered)))
        self.end_broadcast(number)

    def record_acknowledgement(self, number: int, node: str) -> None:
        """Record that a router has acknowledged a broadcast."""
        broadcast = self.pending_broadcasts.get(number)
        if broadcast is not None:
            broadcast.missing.discard(node)
            self.end_broadcast(number)

    def end_broadcast(self, number: int) -> None:
        """Reply to the sender of a broadcast once no acknowledgement is missing."""
        broadcast = self.pending_broadcasts[number]
        if not broadcast.missing:
            del self.pending_broadcasts[number]
            broadcast.reply_to.put(Acknowledged())

    def update_members(self, members: Members, now: float) -> None:
        """Resend unacknowledged broadcasts, and stop waiting for absent routers."""
        self.members = members
        present_nodes = {member.node for member in possibly_live_members(members, now)}
        for number, broadcast in list(self.pending_broadcasts.items()):
            broadcast.missing &= present_nodes
            self.send_broadcast(number)
