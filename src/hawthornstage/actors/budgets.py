"""The task that holds this router's grants and reserves tokens from them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.documents import Applied, Apply
from hawthornstage.actors.members import MembershipSnapshot
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions import holder as policy
from hawthornstage.decisions import holder_state as holding
from hawthornstage.decisions.holder_state import GrantPolicy, Holder
from hawthornstage.decisions.ledger import Resize
from hawthornstage.decisions.membership import Members, choose_witnesses, lost_members
from hawthornstage.mailbox import ReplyCallback, ReplyTo
from hawthornstage.messages.budget_messages import (
    Acknowledged,
    BillsStored,
    RecallTokens,
    Release,
    Reserve,
    Seal,
    Sealed,
    Settle,
    Witness,
)
from hawthornstage.observe.events import EventLog


def ledger_key(budget: str, shards: int) -> str:
    """Return the key of the ledger shard that holds a budget."""
    return f"hawthornstage/ledger/{zlib.crc32(budget.encode()) % shards}"


@dataclass(frozen=True)
class FastTick:
    """Triggers the frequent check of budgets with waiting reservations."""


@dataclass(frozen=True)
class SlowTick:
    """Triggers the periodic check of all grants."""


@dataclass(frozen=True)
class DrainBudgets:
    """Returns all grants; the reply is `Drained`, sent once no grant is held."""


@dataclass(frozen=True)
class Drained:
    """Confirms that this router holds no grants."""


@dataclass(frozen=True)
class GetHeldGrants:
    """Asks for the held grants; the reply is `HeldGrants`."""


@dataclass(frozen=True)
class HeldGrants:
    """The tokens of each held grant, by its id."""

    grants: dict[str, int]


@dataclass(frozen=True)
class SealArrived:
    """Passes a witness's seal to the state of the grant's budget."""

    budget: str
    sealed: Sealed


@dataclass(frozen=True)
class HolderOptions:
    """Settings of the grants that this router holds.

    Args:
        policy: Sizes and durations.
        witnesses: Number of witnesses of each grant.
        near_witness: Whether one of them is in this router's failure domain.
        shards: Number of ledger documents.
    """

    policy: GrantPolicy
    witnesses: int
    near_witness: bool
    shards: int


class Budgets(Task):
    """Owns this router's grants, as one holder state for each budget in use.

    Args:
        me: This process, as grants name it.
        options: Settings of the grants.
        documents: The task that owns the ledger's documents.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        me: Witness,
        options: HolderOptions,
        *,
        documents: pykka.ActorRef,
        peers: Recipient,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.me = me
        self.options = options
        self.documents = documents
        self.peers = peers
        self.clock = clock
        self.events = events
        self.holders: dict[str, Holder] = {}
        self.opened_before = 0
        self.witnesses: tuple[Witness, ...] = ()
        self.replies: dict[str, ReplyTo] = {}
        self.runners: dict[tuple[str, str], str] = {}
        self.on_drained: ReplyTo | None = None

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=Reserve() as reserve, reply_to=reply_to):
                self.replies[reserve.attempt] = reply_to
                self.step(reserve.budget, reserve)
            case Ask(message=Release() as release, reply_to=reply_to):
                self.step(release.budget, release)
                reply_to.put(Acknowledged())
            case Ask(message=Settle() as settle, reply_to=reply_to):
                self.settle(settle)
                reply_to.put(Acknowledged())
            case Ask(message=RecallTokens() as recall, reply_to=reply_to):
                self.step(recall.budget, recall)
                reply_to.put(Acknowledged())
            case Ask(message=DrainBudgets(), reply_to=reply_to):
                self.on_drained = reply_to
                self.step_all(holding.Drain())
                self.check_drained()
            case Applied(mutation, result):
                self.step(mutation.budget, holding.MutationApplied(result))
                self.check_drained()
            case SealArrived(budget, sealed):
                self.step(budget, sealed)
            case FastTick():
                for name in [k for k, h in self.holders.items() if h.waiting]:
                    self.step(name, holding.Tick())
            case SlowTick():
                self.step_all(holding.Tick())
                self.forget_idle()
            case MembershipSnapshot(members):
                self.update_members(members)
            case Ask(message=GetHeldGrants(), reply_to=reply_to):
                reply_to.put(HeldGrants(self.held_grants()))

    def held_grants(self) -> dict[str, int]:
        """Return the amount of each held grant, by its id."""
        return {
            grant.id: grant.amount
            for holder in self.holders.values()
            for grant in holder.grants.values()
        }

    def holder(self, budget: str) -> Holder:
        """Return the holder state of a budget, a new one if none is kept."""
        known = self.holders.get(budget)
        if known is not None:
            return known
        return Holder(
            node=self.me.node,
            incarnation=self.me.incarnation,
            budget=budget,
            policy=self.options.policy,
            witnesses=self.witnesses,
            opened=self.opened_before,
            draining=self.on_drained is not None,
        )

    def step(self, budget: str, message: holding.HolderMessage) -> None:
        """Pass a message to a budget's holder state and carry out the effects."""
        now = self.clock.monotonic()
        self.holders[budget], effects = policy.step(self.holder(budget), message, now)
        for effect in effects:
            self.carry_out(budget, effect)

    def step_all(self, message: holding.HolderMessage) -> None:
        """Pass a message to the holder state of every budget."""
        for budget in list(self.holders):
            self.step(budget, message)

    def carry_out(self, budget: str, effect: holding.Effect) -> None:
        """Carry out an effect by sending the messages that it stands for."""
        match effect:
            case holding.ReplyToRunner(attempt, outcome):
                reply_to = self.replies.pop(attempt, None)
                if reply_to is not None:
                    reply_to.put(outcome)
            case holding.SubmitMutation(mutation):
                key = ledger_key(budget, self.options.shards)
                on_applied = ReplyCallback(self.actor_ref.tell)
                urgent = isinstance(mutation, Resize) and mutation.min_amount > 0
                self.documents.tell(Apply(key, mutation, on_applied, urgent=urgent))
            case holding.RecallFrom(nodes):
                for node in nodes:
                    self.peers.tell(Send(node, RecallTokens(budget)))
            case holding.RequestSeals(grant_id, witnesses):
                self.ask_seals(budget, grant_id, witnesses)
            case holding.AnnounceStored(grant, request_ids):
                self.announce_stored(grant.id, grant.witnesses, request_ids)

    def settle(self, message: Settle) -> None:
        """Settle a reservation, and record which runner keeps the bill until stored."""
        bill = message.bill
        holder = self.holder(bill.budget)
        grant = holder.grants.get(bill.grant.id)
        if grant is not None and bill.attempt in grant.reservations:
            self.runners[(bill.grant.id, bill.request_id)] = message.runner
        self.step(bill.budget, message)

    def announce_stored(
        self, grant_id: str, witnesses: tuple[Witness, ...], ids: tuple[str, ...]
    ) -> None:
        """Notify witnesses and runners that bills are stored, so they drop copies."""
        nodes = {witness.node for witness in witnesses}
        for request_id in ids:
            runner = self.runners.pop((grant_id, request_id), None)
            if runner is not None:
                nodes.add(runner)
        for node in nodes:
            self.peers.tell(Send(node, BillsStored(grant_id, ids)))

    def ask_seals(
        self, budget: str, grant_id: str, witnesses: tuple[Witness, ...]
    ) -> None:
        """Ask witnesses to refuse further bills of a grant."""
        self.events.emit("seals_asked", grant=grant_id)

        def sealed(reply: Any) -> None:
            if isinstance(reply, Sealed):
                self.actor_ref.tell(SealArrived(budget, reply))

        for witness in witnesses:
            seal = Seal(budget, grant_id, witness)
            self.peers.tell(Send(witness.node, seal, ReplyCallback(sealed)))

    def update_members(self, members: Members) -> None:
        """Update the choice of witnesses, and report lost runners to the holders."""
        now = self.clock.monotonic()
        chosen = choose_witnesses(
            members,
            self.witnesses,
            now,
            count=self.options.witnesses,
            near=self.options.near_witness,
        )
        if chosen != self.witnesses:
            self.witnesses = chosen
            self.step_all(holding.WitnessesChanged(chosen))
        for member in lost_members(members, now):
            self.step_all(holding.RunnerLost(member.node))

    def forget_idle(self) -> None:
        """Drop the state of budgets without grants, waiting requests or resizes."""
        idle = [
            name
            for name, holder in self.holders.items()
            if not holder.grants and not holder.waiting and holder.resizing is None
        ]
        for name in idle:
            self.opened_before = max(self.opened_before, self.holders.pop(name).opened)

    def check_drained(self) -> None:
        """Reply to a drain request once no budget holds a grant."""
        if self.on_drained is None:
            return
        if all(not holder.grants for holder in self.holders.values()):
            self.on_drained.put(Drained())
