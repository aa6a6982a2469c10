"""The task that holds this router's tokens and sets them aside for calls."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.draw_plans import make_record, plan_draws
from hawthornstage.decisions.draws import (
    TokenAccounts,
    account_of,
    add_drawn,
    deduct_free_tokens,
    deduct_returns,
    record_usage,
    reservable_tokens,
    reserve_tokens,
    restore_returns,
    transfer_all,
    transfer_in,
    transfer_out,
    update_drawn_totals,
)
from hawthornstage.latest import Latest
from hawthornstage.mailbox import Forward, ReplyTo
from hawthornstage.messages.draws import (
    Aside,
    CloseAccounts,
    NothingLeft,
    RecordDropped,
    RecordStored,
    RecordUnknown,
    SetAside,
    Short,
    StoreRecord,
    TokensGiven,
    TokensHandedOver,
    TokensTakenOver,
    TokensWanted,
    Used,
)
from hawthornstage.messages.fleet import DesiredStateInUse, RoutersKnown
from hawthornstage.messages.members import Unreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Longest time that a call waits for tokens, in seconds.
WAIT_S = 0.07
# Age at which a record is renewed, in seconds.
RECORD_S = 0.9
# Pause after a failed write, in seconds.
FAILURE_PAUSE_S = 0.4
# Pause between two requests for other routers' tokens, in seconds.
ASK_PAUSE_S = 0.05
# A write that takes longer than this counts as one that the store may not answer.
SLOW_S = 0.05
# Routers that are asked at once, and what they are asked for in all, as a multiple of
# what is missing.
ASKED = 7
ASKED_AMOUNT = 3.0


@dataclass(frozen=True)
class CheckPurse:
    """It is time to see whether enough is held."""


@dataclass(frozen=True)
class HoldNothing:
    """The router is about to stop: it holds nothing ahead from now on."""


@dataclass(frozen=True)
class ReturnAll:
    """The router stops: what is free goes back, or else to another router."""


@dataclass(frozen=True)
class Waiting:
    """A call that waits for tokens until a time."""

    request: SetAside
    reply_to: ReplyTo
    until: float


class PurseTask(Task):
    """Owns the tokens that this router holds.

    Args:
        ledger: Stores records and draws from the budgets.
        peers: Reaches the other routers.
        routers: Number of routers that draw.
        clock: The runtime's clock.
        events: Takes events.
        metrics: Takes what is held.
    """

    def __init__(
        self,
        *,
        ledger: pykka.ActorRef,
        peers: pykka.ActorRef,
        routers: Latest[int],
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.metrics = metrics
        self.ledger = ledger
        self.peers = peers
        self.routers = routers
        self.clock = clock
        self.events = events
        self.purse = TokenAccounts()
        self.budgets: dict[str, int] = {}
        self.others: tuple[str, ...] = ()
        self.turn = 0
        self.waiting: list[Waiting] = []
        self.writing = False
        self.write_at = float("-inf")
        self.returning: dict[str, int] = {}
        self.closed = False
        self.leaving = False
        self.write_after = float("-inf")
        self.ask_after = float("-inf")
        self.store_lost = False

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=SetAside() as request, reply_to=reply_to):
                self.reserve_tokens(request, reply_to, now)
            case Used(workspace, reserved, used):
                self.purse = record_usage(self.purse, workspace, reserved, used, now)
            case CheckPurse():
                self.serve_waiting(now)
                self.write(now)
            case RecordStored() | RecordDropped() | RecordUnknown() | NothingLeft():
                self.take_outcome(message, now)
            case TokensGiven(workspace, tokens):
                self.purse = transfer_in(self.purse, workspace, tokens)
                self.serve_waiting(now)
            case Ask(message=TokensWanted(workspace, tokens), reply_to=reply_to):
                self.purse, given = transfer_out(self.purse, workspace, tokens, now)
                reply_to.put(TokensGiven(workspace, given))
            case Unreachable():
                pass
            case DesiredStateInUse(state, _):
                self.budgets = {
                    each.name: each.budget
                    for each in state.workspaces
                    if each.budget is not None
                }
                self.write(now)
            case RoutersKnown(urls):
                self.others = tuple(sorted(urls))
            case Ask(message=ReturnAll(), reply_to=reply_to):
                self.return_all(reply_to, now)
            case HoldNothing():
                self.leaving = True
                self.write(now)
            case Ask(message=TokensHandedOver(amounts), reply_to=reply_to):
                for workspace, tokens in amounts.items():
                    self.purse = transfer_in(self.purse, workspace, tokens)
                self.events.emit("tokens_taken_over", amounts=amounts)
                reply_to.put(TokensTakenOver())
                self.serve_waiting(now)

    def return_all(self, reply_to: ReplyTo, now: float) -> None:
        """Give back what is free; to another router if the store is away.

        Args:
            reply_to: Gets whether the tokens have certainly arrived.
            now: Monotonic time in seconds.
        """
        self.closed = True
        if not self.store_lost or not self.others:
            self.purse, free = deduct_free_tokens(self.purse)
            self.ledger.tell(Ask(CloseAccounts(free), reply_to))
            return
        self.purse, amounts = transfer_all(self.purse, now)
        self.turn += 1
        node = self.others[self.turn % len(self.others)]
        confirm = Forward(
            lambda reply: reply_to.put(isinstance(reply, TokensTakenOver))
        )
        self.peers.tell(Send(node, TokensHandedOver(amounts), confirm))
        self.events.emit("tokens_handed_over", to=node, amounts=amounts)

    def reserve_tokens(self, request: SetAside, reply_to: ReplyTo, now: float) -> None:
        """Set tokens aside, at once or when there is room for them."""
        if request.workspace not in self.budgets:
            reply_to.put(Aside(0))
            return
        self.purse, done = reserve_tokens(
            self.purse, request.workspace, request.tokens, now
        )
        if done:
            reply_to.put(Aside(request.tokens))
            return
        self.waiting.append(Waiting(request, reply_to, now + WAIT_S))
        self.write(now)
        self.ask_others(request, now)

    def serve_waiting(self, now: float) -> None:
        """Serve those that wait, and refuse those that have waited long enough."""
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            request = each.request
            self.purse, done = reserve_tokens(
                self.purse, request.workspace, request.tokens, now
            )
            if done:
                each.reply_to.put(Aside(request.tokens))
            elif now >= each.until:
                each.reply_to.put(self.short(request, now))
            else:
                self.waiting.append(each)
                self.ask_others(request, now)

    def short(self, request: SetAside, now: float) -> Short:
        """Return why the tokens are not to be had."""
        account = account_of(self.purse, request.workspace)
        left = self.budgets[request.workspace] - account.drawn
        detail = (
            f"{request.tokens} wanted, {account.free} free, {account.open} set aside,"
            f" room for {reservable_tokens(self.purse, request.workspace, now):.0f},"
            f" {left} left in the ledger, store lost: {self.store_lost}"
        )
        return Short(detail)

    def write(self, now: float) -> None:
        """Store a record and draw, if it is time to and no write is on its way."""
        if self.writing or self.closed or not self.budgets or now < self.write_after:
            return
        routers = self.routers.value
        wanted = self.wanted()
        amounts: dict[str, int] = {}
        if self.purse.sent is None:
            # The first record tells how much is left; nothing is drawn ahead before.
            ahead = self.purse.stored is not None and not self.leaving
            amounts = plan_draws(
                self.purse,
                self.budgets,
                routers,
                wanted=wanted,
                ahead=ahead,
                now=now,
            )
        due = self.record_due(now) or (self.leaving and bool(amounts))
        # What goes back waits for the next record.
        if not due and not any(amount > 0 for amount in amounts.values()):
            return
        if self.purse.sent is None:
            self.returning = amounts
            self.purse = deduct_returns(self.purse, amounts)
        record = self.purse.sent or make_record(
            self.purse,
            self.budgets,
            routers,
            wanted=wanted,
            mark=secrets.token_hex(8),
            now=now,
            wall=self.clock.wall(),
        )
        self.writing = True
        self.write_at = now
        self.purse = replace(self.purse, sent=record)
        request = StoreRecord(
            record=record,
            amounts=amounts,
            budgets=dict(self.budgets),
            least=self.least_wanted(),
            due=due,
        )
        self.ledger.tell(Ask(request, Forward(self.actor_ref.tell)))

    def record_due(self, now: float) -> bool:
        """Whether a record is to be stored even if nothing is drawn with it."""
        stored = self.purse.stored
        fresh = stored is not None and now - stored.at < RECORD_S
        return not fresh or self.purse.sent is not None or self.bound_binds()

    def bound_binds(self) -> bool:
        """Whether a call waits only because the last record does not allow it."""
        return any(
            account_of(self.purse, each.request.workspace).free >= each.request.tokens
            for each in self.waiting
        )

    def wanted(self) -> dict[str, int]:
        """Return what calls wait for, by workspace."""
        amounts: dict[str, int] = {}
        for each in self.waiting:
            name = each.request.workspace
            amounts[name] = amounts.get(name, 0) + each.request.tokens
        return amounts

    def least_wanted(self) -> dict[str, int]:
        """Return what the smallest waiting call is short of, by workspace."""
        least: dict[str, int] = {}
        for each in self.waiting:
            name = each.request.workspace
            short = max(1, each.request.tokens - account_of(self.purse, name).free)
            least[name] = min(short, least.get(name, short))
        return least

    def take_outcome(
        self,
        outcome: RecordStored | RecordDropped | RecordUnknown | NothingLeft,
        now: float,
    ) -> None:
        """Take in how a write ended."""
        self.writing = False
        match outcome:
            case RecordStored(record, granted, drawn):
                if self.store_lost:
                    self.events.emit("draws_resumed")
                self.store_lost = False
                self.purse = replace(self.purse, stored=record, sent=None)
                kept = {k: n for k, n in self.returning.items() if k not in granted}
                self.purse = restore_returns(self.purse, kept)
                gained = {name: each for name, each in granted.items() if each > 0}
                self.purse = update_drawn_totals(add_drawn(self.purse, gained), drawn)
            case NothingLeft(drawn):
                self.purse = restore_returns(self.purse, self.returning)
                self.purse = update_drawn_totals(replace(self.purse, sent=None), drawn)
            case RecordDropped(reason, drawn):
                self.purse = restore_returns(self.purse, self.returning)
                self.purse = update_drawn_totals(replace(self.purse, sent=None), drawn)
                self.note_failure(reason, now)
            case RecordUnknown(reason):
                self.note_failure(reason, now)
        self.show()
        self.serve_waiting(now)
        if self.waiting and isinstance(outcome, RecordStored):
            # Calls that came while the write was on its way need one of their own.
            self.write(now)

    def show(self) -> None:
        """Show in the metrics what is held."""
        for name, budget in self.budgets.items():
            account = account_of(self.purse, name)
            self.metrics.free_tokens.labels(name).set(account.free)
            self.metrics.undrawn_tokens.labels(name).set(budget - account.drawn)
        if self.purse.stored is not None:
            age = self.clock.monotonic() - self.purse.stored.at
            self.metrics.record_age.set(age)

    def note_failure(self, reason: str, now: float) -> None:
        """Wait before the next write, and ask other routers meanwhile."""
        self.write_after = now + FAILURE_PAUSE_S
        if not self.store_lost:
            self.store_lost = True
            self.events.emit("draws_stopped", reason=reason[:120])

    def ask_others(self, request: SetAside, now: float) -> None:
        """Ask other routers for some of their tokens, if there is no other way."""
        account = account_of(self.purse, request.workspace)
        left = self.budgets[request.workspace] - account.drawn
        slow = self.writing and now - self.write_at > SLOW_S
        away = self.store_lost or slow
        drawable = not away and left + account.free >= request.tokens
        if not self.others or now < self.ask_after or drawable:
            return
        self.ask_after = now + ASK_PAUSE_S
        missing = request.tokens - max(
            0.0, reservable_tokens(self.purse, request.workspace, now)
        )
        part = int(missing * ASKED_AMOUNT / ASKED) + 1
        wanted = TokensWanted(request.workspace, part)
        for _ in range(min(ASKED, len(self.others))):
            self.turn += 1
            node = self.others[self.turn % len(self.others)]
            self.peers.tell(Send(node, wanted, Forward(self.actor_ref.tell)))
