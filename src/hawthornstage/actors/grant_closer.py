"""The task that closes grants whose holders are lost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.documents import Applied, Apply, Read, ReadDone
from hawthornstage.actors.members import MembershipSnapshot
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.grant_closing import (
    GrantClosure,
    close_if_sealed,
    find_orphaned_grants,
    step,
)
from hawthornstage.decisions.ledger import Close, Closed, Ledger
from hawthornstage.decisions.membership import Members, live, rendezvous_order
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.budget_messages import BillsStored, Seal, Sealed
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class Sweep:
    """Triggers a scan for grants whose holders are lost."""


class GrantCloser(Task):
    """Owns the closing rounds that this router runs.

    Each ledger shard is assigned to one live router. Two routers that both consider
    a shard theirs duplicate the work, which is harmless.

    Args:
        keys: Keys of all ledger shards.
        documents: The task that owns the ledger's documents.
        peers: Sends messages to witnesses.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        keys: tuple[str, ...],
        *,
        documents: pykka.ActorRef,
        peers: Recipient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.keys = keys
        self.documents = documents
        self.peers = peers
        self.clock = clock
        self.events = events
        self.started_at = clock.monotonic()
        self.members: Members | None = None
        self.rounds: dict[str, tuple[str, GrantClosure]] = {}

    def handle(self, message: Any) -> None:
        match message:
            case MembershipSnapshot(members):
                self.members = members
            case Sweep():
                self.sweep()
            case ReadDone(key, document):
                self.start_rounds(key, document)
            case Sealed():
                self.handle_seal(message)
            case Applied(mutation, result):
                self.end_round(mutation, result)

    def sweep(self) -> None:
        """Read the shards that are assigned to this router."""
        members = self.members
        now = self.clock.monotonic()
        if members is None or now - self.started_at < members.policy.lost_s:
            # Live routers may not have been seen yet so soon after the start.
            return
        nodes = [member.node for member in live(members, now)]
        reply_to = ReplyCallback(self.actor_ref.tell)
        for key in self.keys:
            if rendezvous_order(key, nodes)[0] == members.me.node:
                self.documents.tell(Read(key, reply_to))

    def start_rounds(self, key: str, ledger: Ledger) -> None:
        """Start or continue a round for each grant whose holder is lost."""
        members = self.members
        if members is None:
            return
        limit = self.clock.monotonic() - members.policy.lost_s
        incarnations = {
            member.node: member.incarnation
            for member in members.others.values()
            if member.last_seen_at >= limit
        }
        incarnations[members.me.node] = members.me.incarnation
        for found in find_orphaned_grants(ledger, incarnations):
            if found.grant_id not in self.rounds:
                self.events.emit(
                    "closing_round", grant=found.grant_id, budget=found.budget
                )
                self.rounds[found.grant_id] = (key, found)
            self.advance(found.grant_id)

    def advance(self, grant_id: str) -> None:
        """Close a grant once all its witnesses have sealed it, or else ask the rest."""
        key, closing = self.rounds[grant_id]
        close = close_if_sealed(closing)
        if close is not None:
            self.documents.tell(Apply(key, close, ReplyCallback(self.actor_ref.tell)))
            return
        for witness in closing.missing:
            seal = Seal(closing.budget, grant_id, witness)
            self.peers.tell(
                Send(witness.node, seal, ReplyCallback(self.actor_ref.tell))
            )

    def handle_seal(self, message: Sealed) -> None:
        """Add a witness's seal, and close the grant if it was the last one missing."""
        if message.grant_id not in self.rounds:
            return
        key, closing = self.rounds[message.grant_id]
        closing, close = step(closing, message)
        self.rounds[message.grant_id] = (key, closing)
        if close is not None:
            self.advance(message.grant_id)

    def end_round(self, mutation: Close, result: Closed) -> None:
        """End a round and notify the witnesses that the grant's bills are stored."""
        found = self.rounds.pop(mutation.grant_id, None)
        if found is None:
            return
        self.events.emit(
            "grant_closed",
            grant=mutation.grant_id,
            budget=mutation.budget,
            returned=result.returned,
            bills=len(mutation.bills),
        )
        stored = BillsStored(mutation.grant_id, tuple(mutation.bills))
        for witness in found[1].witnesses:
            self.peers.tell(Send(witness.node, stored))
