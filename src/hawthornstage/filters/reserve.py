"""Reserve: reserves the most tokens that a request can use."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.members import GetMembers, MembershipSnapshot
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.actors.task import Ask, Recipient
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import choose_holder
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages import budget_messages
from hawthornstage.messages.request import (
    ChatCall,
    Exchange,
    Reservation,
    ServiceCall,
)
from hawthornstage.observe.events import EventLog

# Time for a reply to arrive, beyond the time that the holder may wait, in seconds.
REPLY_MARGIN_S = 1.0


@dataclass(frozen=True)
class ReservationClient:
    """Reserves tokens with the routers that hold grants.

    Args:
        node: Name of this router.
        shared: Whether one router per failure domain holds a budget's grant.
        patience_s: Longest time that a holder waits for a larger grant, in seconds.
        peers: Task that sends messages to holders.
        membership: Task that knows the live routers.
        settlements: Task that delivers releases to holders and resends them.
        clock: Source of time and timeouts.
    """

    node: str
    shared: bool
    patience_s: float
    peers: Recipient
    membership: pykka.ActorRef
    settlements: pykka.ActorRef
    clock: Clock

    def reserve(
        self, budget: str, attempt: str, tokens: int
    ) -> budget_messages.ReserveOutcome:
        """Reserve tokens with the holder, or with this router if it is unavailable.

        Args:
            budget: Workspace that pays.
            attempt: Name of the reservation.
            tokens: Tokens to reserve.
        """
        holder = self.holder_of(budget)
        outcome = self.ask_holder(holder, budget, attempt, tokens)
        if (
            isinstance(outcome, budget_messages.HolderUnavailable)
            and holder != self.node
        ):
            # This router takes the place of a holder that is unavailable.
            outcome = self.ask_holder(self.node, budget, attempt, tokens)
        return outcome

    def holder_of(self, budget: str) -> str:
        """Return the name of the router that holds the budget's grant."""
        if not self.shared:
            return self.node
        mailbox = Mailbox(self.clock)
        self.membership.tell(Ask(GetMembers(), mailbox))
        match mailbox.get(timeout=REPLY_MARGIN_S):
            case MembershipSnapshot(members):
                return choose_holder(
                    members, budget, self.clock.monotonic(), shared=True
                )
            case _:
                return self.node

    def ask_holder(
        self, holder: str, budget: str, attempt: str, tokens: int
    ) -> budget_messages.ReserveOutcome:
        """Ask one holder for a reservation."""
        mailbox = Mailbox(self.clock)
        reserve = budget_messages.Reserve(
            budget, attempt, tokens, self.node, self.patience_s
        )
        self.peers.tell(Send(holder, reserve, mailbox))
        reply = mailbox.get(timeout=self.patience_s + REPLY_MARGIN_S)
        match reply:
            case (
                budget_messages.Reserved()
                | budget_messages.BudgetExhausted()
                | budget_messages.HolderUnavailable()
            ):
                return reply
            case _:
                # The holder may have reserved the tokens and its reply been lost.
                self.release(holder, budget_messages.Release(budget, "", attempt))
                return budget_messages.HolderUnavailable(
                    f"holder {holder} sent no reply in time"
                )

    def release(self, holder: str, release: budget_messages.Release) -> None:
        """Release a reservation at its holder."""
        self.settlements.tell(DeliverToHolder(holder, release))


@dataclass(frozen=True)
class Reserve:
    """Reserves tokens for a request.

    Args:
        reservation_client: Reserves tokens with the holders of grants.
        events: Structured event log.
    """

    reservation_client: ReservationClient
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Reserve the most tokens that the request can use."""
        tokens = worst_case_tokens(exchange)
        budget = exchange.workspace
        match self.reservation_client.reserve(budget, exchange.attempt, tokens):
            case budget_messages.Reserved(grant, holder):
                reservation = Reservation(budget, grant, holder, tokens)
                self.events.emit(
                    "reserved",
                    request_id=exchange.request.id,
                    tokens=tokens,
                    grant=grant.id,
                    holder=holder,
                )
                return replace(exchange, reservation=reservation)
            case budget_messages.BudgetExhausted(left):
                detail = f"{tokens} tokens are needed, the budget has {left} left"
                return Failure(ErrorKind.BUDGET_EXHAUSTED, detail)
            case budget_messages.HolderUnavailable(reason):
                return Failure(ErrorKind.BUDGET_UNAVAILABLE, reason)

    def undo(self, exchange: Exchange) -> None:
        """Release the reservation unless a bill may exist for it."""
        held = exchange.reservation
        if held is None or exchange.progress.may_be_billed:
            return
        release = budget_messages.Release(held.budget, held.grant.id, exchange.attempt)
        self.reservation_client.release(held.holder, release)


def worst_case_tokens(exchange: Exchange) -> int:
    """Return the most tokens that the request can use."""
    pool = exchange.pool
    assert pool is not None
    match exchange.request.call:
        case ChatCall(max_prompt_tokens=prompt, max_tokens=limit):
            return prompt + (limit or pool.max_tokens)
        case ServiceCall():
            return pool.call_tokens
