"""Reserve: holds the request's worst case in tokens."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.members import GetMembers, MembershipSnapshot
from hawthornstage.actors.peers import Send
from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import holder_for
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages import money
from hawthornstage.messages.request import (
    ChatCall,
    Exchange,
    Reservation,
    ServiceCall,
)
from hawthornstage.observe.events import EventLog

# Added to the holder's own patience before the runner stops waiting, in seconds.
MARGIN_S = 1.0


@dataclass(frozen=True)
class Treasury:
    """Asks the holders of grants.

    Args:
        node: This router's name.
        shared: Whether one router holds for its whole failure domain.
        patience_s: Longest wait for a larger grant, in seconds.
        peers: Sends messages to holders.
        membership: Knows the routers.
        settlements: Brings releases to holders.
        clock: The runtime's clock.
    """

    node: str
    shared: bool
    patience_s: float
    peers: pykka.ActorRef
    membership: pykka.ActorRef
    settlements: pykka.ActorRef
    clock: Clock

    def reserve(self, budget: str, attempt: str, tokens: int) -> money.ReserveOutcome:
        """Reserve tokens with the holder for this router."""
        holder = self.holder_of(budget)
        outcome = self.ask(holder, budget, attempt, tokens)
        if isinstance(outcome, money.Unavailable) and holder != self.node:
            # A holder that cannot be reached is replaced by this router itself.
            outcome = self.ask(self.node, budget, attempt, tokens)
        return outcome

    def holder_of(self, budget: str) -> str:
        """Name the router that holds the budget's grant for this one."""
        if not self.shared:
            return self.node
        mailbox = Mailbox(self.clock)
        self.membership.tell(Ask(GetMembers(), mailbox))
        match mailbox.get(timeout=MARGIN_S):
            case MembershipSnapshot(members):
                return holder_for(members, budget, self.clock.monotonic(), shared=True)
            case _:
                return self.node

    def ask(
        self, holder: str, budget: str, attempt: str, tokens: int
    ) -> money.ReserveOutcome:
        """Ask one holder."""
        mailbox = Mailbox(self.clock)
        reserve = money.Reserve(budget, attempt, tokens, self.node, self.patience_s)
        self.peers.tell(Send(holder, reserve, mailbox))
        reply = mailbox.get(timeout=self.patience_s + MARGIN_S)
        match reply:
            case money.Reserved() | money.Exhausted() | money.Unavailable():
                return reply
            case _:
                # The holder may have promised the tokens without our hearing it.
                self.release(holder, money.Release(budget, "", attempt))
                return money.Unavailable(f"holder {holder} did not answer")

    def release(self, holder: str, release: money.Release) -> None:
        """Give a reservation back."""
        self.settlements.tell(DeliverToHolder(holder, release))


@dataclass(frozen=True)
class Reserve:
    """Sets the reservation.

    Args:
        treasury: Asks the holders.
        events: Takes events.
    """

    treasury: Treasury
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Reserve the worst case."""
        tokens = worst_case(exchange)
        budget = exchange.workspace
        match self.treasury.reserve(budget, exchange.attempt, tokens):
            case money.Reserved(grant, holder):
                reservation = Reservation(budget, grant, holder, tokens)
                self.events.emit(
                    "reserved",
                    request_id=exchange.request.id,
                    tokens=tokens,
                    grant=grant.id,
                    holder=holder,
                )
                return replace(exchange, reservation=reservation)
            case money.Exhausted(left):
                detail = f"{tokens} tokens are needed, {left} are left"
                return Failure(ErrorKind.BUDGET_EXHAUSTED, detail)
            case money.Unavailable(reason):
                return Failure(ErrorKind.BUDGET_UNAVAILABLE, reason)

    def undo(self, exchange: Exchange) -> None:
        """Give the reservation back unless a bill may exist for it."""
        held = exchange.reservation
        if held is None or exchange.progress.settling:
            return
        release = money.Release(held.budget, held.grant.id, exchange.attempt)
        self.treasury.release(held.holder, release)


def worst_case(exchange: Exchange) -> int:
    """Return the most tokens that the request can use."""
    pool = exchange.pool
    assert pool is not None
    match exchange.request.call:
        case ChatCall(prompt_bound=prompt, max_tokens=limit):
            return prompt + (limit or pool.max_tokens)
        case ServiceCall():
            return pool.call_tokens
