"""The task that holds this router's token accounts and reserves tokens for calls."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.ledger import MAX_COUNTS_PER_WRITE
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.actors.waiting_requests import (
    HolderReplied,
    PendingRequest,
    TokenRequest,
    is_limited_by_record,
    smallest_shortfalls,
    wanted_tokens,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.draw_plans import (
    DrawTerms,
    is_urgent,
    largest,
    make_record,
    plan_draws,
    tokens_ahead,
)
from hawthornstage.decisions.draws import (
    TokenAccounts,
    account_of,
    add_drawn,
    deduct_returns,
    give_call_tokens,
    record_usage,
    reservable_tokens,
    reserve_tokens,
    restore_returns,
    transfer_all,
    transfer_in,
    transfer_out,
    update_drawn_totals,
)
from hawthornstage.decisions.token_holders import HolderDirectory
from hawthornstage.decisions.token_waits import (
    MAX_WAIT_S,
    TokenSupply,
    longest_wait,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import DISCARD_REPLY, ReplyCallback, ReplyTo
from hawthornstage.messages.desired import WorkspaceSpec
from hawthornstage.messages.draws import (
    CloseAccounts,
    FinalTransfer,
    FinalTransferAccepted,
    NothingDrawn,
    RecordForfeited,
    RecordNotStored,
    RecordOutcome,
    RecordOutcomeUnknown,
    RecordStored,
    RequestCallTokens,
    RequestReservation,
    RequestTransfer,
    TokensReserved,
    TokensTransferred,
    TokensUnavailable,
    TokensUsed,
    WriteRecord,
)
from hawthornstage.messages.fleet import DesiredStateInUse, KnownRouters
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Shortest time that a call may wait on a router that asks others for its tokens, in
# seconds.
HOLDER_WAIT_S = 0.25
# Time without a holder's reply after which the next one is asked, in seconds.
HOLDER_TIMEOUT_S = 0.08
# Delay after a failed write, in seconds.
WRITE_RETRY_DELAY_S = 0.4
# Shortest time between two rounds of transfer requests, in seconds.
TRANSFER_REQUEST_INTERVAL_S = 0.05
# Duration of a write, in seconds, from which other routers are asked for tokens as if
# the store did not respond.
SLOW_WRITE_S = 0.05
# Routers asked for a transfer in one round, and the tokens requested from all of them
# together, as a multiple of the shortfall.
TRANSFER_FANOUT = 7
TRANSFER_REQUEST_FACTOR = 3.0


@dataclass(frozen=True)
class CheckTokenAccounts:
    """Triggers the periodic check for waiting calls, draws and records."""


@dataclass(frozen=True)
class StopDrawingAhead:
    """Stops drawing ahead of demand, because the router is about to stop."""


@dataclass(frozen=True)
class ReturnAllTokens:
    """Returns all free tokens to the ledger, or transfers them to another router.

    The reply tells whether the tokens have certainly arrived.
    """


class TokenAccountsTask(Task):
    """Owns this router's token accounts, one for each workspace with a budget.

    Args:
        node: This router's name.
        ledger: Stores records and draws from the budgets.
        peers: Sends messages to other routers.
        routers: Number of routers that store records.
        clock: The runtime's clock.
        events: The event log.
        metrics: Gauges of the held tokens.
    """

    def __init__(
        self,
        *,
        node: str,
        ledger: pykka.ActorRef,
        peers: Recipient,
        routers: LatestValue[int],
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
        self.token_accounts = TokenAccounts()
        self.budgets: dict[str, int] = {}
        self.unlimited_workspaces: frozenset[str] = frozenset()
        self.holders = HolderDirectory(node)
        self.other_routers: tuple[str, ...] = ()
        self.router_index = 0
        # Whether all routers are known, so that this one knows what it holds.
        self.fleet_known = False
        self.waiting: list[PendingRequest] = []
        self.write_in_progress = False
        self.write_started_at = float("-inf")
        self.amounts_in_flight: dict[str, int] = {}
        self.closed = False
        self.stopping = False
        self.next_write_at = float("-inf")
        self.next_transfer_request_at = float("-inf")
        self.store_unavailable = False

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(
                message=RequestReservation() | RequestCallTokens() as request,
                reply_to=reply_to,
            ):
                self.reserve_tokens(request, reply_to, now)
            case HolderReplied():
                self.handle_holder_reply(message, now)
            case TokensUsed(workspace, reserved, used):
                self.token_accounts = record_usage(
                    self.token_accounts, workspace, reserved, used, now
                )
            case CheckTokenAccounts():
                self.retry_waiting(now)
                self.write_record(now)
            case (
                RecordStored()
                | RecordNotStored()
                | RecordOutcomeUnknown()
                | RecordForfeited()
                | NothingDrawn()
            ):
                self.handle_write_outcome(message, now)
            case TokensTransferred(workspace, tokens):
                self.token_accounts = transfer_in(
                    self.token_accounts, workspace, tokens
                )
                self.retry_waiting(now)
            case Ask(message=RequestTransfer(workspace, tokens), reply_to=reply_to):
                self.token_accounts, given = transfer_out(
                    self.token_accounts, workspace, tokens, now
                )
                reply_to.put(TokensTransferred(workspace, given))
            case PeerUnreachable():
                pass
            case DesiredStateInUse(state, _):
                self.update_budgets(state.workspaces)
                self.retry_waiting(now)
                self.write_record(now)
            case KnownRouters(urls, settled):
                self.fleet_known = settled
                self.other_routers = tuple(sorted(urls))
                self.holders = self.holders.updated(urls)
            case Ask(message=ReturnAllTokens(), reply_to=reply_to):
                self.return_all(reply_to, now)
            case StopDrawingAhead():
                self.stopping = True
                self.write_record(now)
            case Ask(message=FinalTransfer(amounts), reply_to=reply_to):
                for workspace, tokens in amounts.items():
                    self.token_accounts = transfer_in(
                        self.token_accounts, workspace, tokens
                    )
                self.events.emit("tokens_taken_over", amounts=amounts)
                reply_to.put(FinalTransferAccepted())
                self.retry_waiting(now)

    def update_budgets(self, workspaces: Iterable[WorkspaceSpec]) -> None:
        """Replace the budgets by those of a newly adopted desired state."""
        self.budgets = {
            each.name: each.budget for each in workspaces if each.budget is not None
        }
        self.unlimited_workspaces = frozenset(
            each.name for each in workspaces if each.budget is None
        )

    def return_all(self, reply_to: ReplyTo, now: float) -> None:
        """Return the free tokens, or transfer them if the store is unavailable.

        Args:
            reply_to: Gets whether the tokens have certainly arrived.
            now: Monotonic time in seconds.
        """
        self.closed = True
        accounts = self.token_accounts.accounts
        free = {name: each.free for name, each in accounts.items() if each.free > 0}
        if self.store_unavailable and self.other_routers:
            confirm = ReplyCallback(
                lambda reply: reply_to.put(isinstance(reply, FinalTransferAccepted))
            )
            self.hand_over(free, confirm, now)
            return
        # One write ends the record, and it returns a limited number of workspaces.
        returned = largest(free, MAX_COUNTS_PER_WRITE)
        rest = free.keys() - returned.keys()
        if rest and self.other_routers:
            self.hand_over(rest, DISCARD_REPLY, now)
        self.token_accounts = deduct_returns(
            self.token_accounts, {name: -tokens for name, tokens in returned.items()}
        )
        self.ledger.tell(Ask(CloseAccounts(returned), reply_to))

    def hand_over(
        self, workspaces: Iterable[str], confirm: ReplyTo, now: float
    ) -> None:
        """Transfer the free tokens of some workspaces to another router.

        Args:
            workspaces: The workspaces.
            confirm: Gets the other router's reply.
            now: Monotonic time in seconds.
        """
        self.token_accounts, amounts = transfer_all(
            self.token_accounts, workspaces, now
        )
        self.router_index += 1
        node = self.other_routers[self.router_index % len(self.other_routers)]
        self.peers.tell(Send(node, FinalTransfer(amounts), confirm))
        self.events.emit("tokens_handed_over", to=node, amounts=amounts)

    def reserve_tokens(
        self, request: TokenRequest, reply_to: ReplyTo, now: float
    ) -> None:
        """Reserve tokens for a call, at once or as soon as enough are available.

        Workspaces without a budget reserve nothing and are never refused. A call may be
        ahead of the desired state that tells this task of its workspace; it waits.
        """
        if request.workspace in self.unlimited_workspaces:
            reply_to.put(TokensReserved(0))
            return
        if self.grant(request, reply_to, now):
            return
        wait = self.longest_wait(request)
        if not wait:
            reply_to.put(self.refusal(request, now))
            return
        pending = PendingRequest(request, reply_to, now + wait)
        self.waiting.append(pending)
        if isinstance(request, RequestReservation) and self.ask_holder(pending, now):
            pending.deadline = now + max(wait, HOLDER_WAIT_S)
            return
        self.write_record(now)
        self.request_transfers(request, now)

    def longest_wait(self, request: TokenRequest) -> float:
        """Return how long a request may wait, in seconds; 0 if it would be in vain.

        A router that asks this one for tokens soon asks the next one, and at once if
        this one cannot draw any.
        """
        if isinstance(request, RequestCallTokens) and self.store_unavailable:
            return 0.0
        budget = self.budgets.get(request.workspace)
        account = account_of(self.token_accounts, request.workspace)
        undrawn = max(0, (budget or 0) - account.drawn)
        supply = TokenSupply(budget, undrawn + account.free, self.store_unavailable)
        time_left_s = 0.0
        if isinstance(request, RequestReservation):
            time_left_s = request.time_left_s
        return longest_wait(request.tokens, time_left_s, supply)

    def grant(self, request: TokenRequest, reply_to: ReplyTo, now: float) -> bool:
        """Grant a request if enough tokens are free; return whether it is granted."""
        workspace, tokens = request.workspace, request.tokens
        match request:
            case RequestReservation():
                self.token_accounts, granted = reserve_tokens(
                    self.token_accounts, workspace, tokens, now
                )
                reply: Any = TokensReserved(tokens)
            case RequestCallTokens():
                self.token_accounts, granted = give_call_tokens(
                    self.token_accounts, workspace, tokens, now
                )
                reply = TokensTransferred(workspace, tokens)
        if granted:
            reply_to.put(reply)
        return granted

    def ask_holder(self, pending: PendingRequest, now: float) -> bool:
        """Ask the next holder for the tokens of a call.

        Returns:
            False if no holder is left to ask, so that this router draws them.
        """
        workspace = pending.request.workspace
        holder = self.holders.holder_to_ask(
            workspace, pending.asked, can_draw=not self.store_unavailable
        )
        pending.holder = holder
        if holder is None:
            return False
        pending.asked += 1
        pending.asked_at = now
        tokens = self.missing_tokens(pending, now)
        if pending.asked == 1:
            account = account_of(self.token_accounts, workspace)
            tokens += tokens_ahead(account, self.budgets.get(workspace, 0), now)
        request = RequestCallTokens(workspace, tokens)
        reply_to = ReplyCallback(
            lambda reply: self.actor_ref.tell(HolderReplied(pending, holder, reply))
        )
        self.peers.tell(Send(holder, request, reply_to))
        return True

    def missing_tokens(self, pending: PendingRequest, now: float) -> int:
        """Return what a call lacks; free tokens count if no other call waits."""
        request = pending.request
        if any(
            each is not pending and each.request.workspace == request.workspace
            for each in self.waiting
        ):
            return request.tokens
        free = reservable_tokens(self.token_accounts, request.workspace, now)
        return max(1, request.tokens - max(0, int(free)))

    def handle_holder_reply(self, message: HolderReplied, now: float) -> None:
        """Take the tokens of a holder, or ask the next one."""
        match message.reply:
            case TokensTransferred(workspace, tokens) if tokens:
                self.token_accounts = transfer_in(
                    self.token_accounts, workspace, tokens
                )
                self.retry_waiting(now)
                return
        pending = message.pending
        if pending in self.waiting and pending.holder == message.holder:
            self.ask_next_holder(pending, now)

    def ask_next_holder(self, pending: PendingRequest, now: float) -> None:
        """Ask the next holder, or draw the tokens if none is left."""
        if not self.ask_holder(pending, now):
            self.write_record(now)
            self.request_transfers(pending.request, now)

    def retry_waiting(self, now: float) -> None:
        """Retry the waiting requests, and refuse those past their deadline."""
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            if self.grant(each.request, each.reply_to, now):
                continue
            if now >= each.deadline:
                each.reply_to.put(self.refusal(each.request, now))
                continue
            self.waiting.append(each)
            if each.holder is None:
                self.request_transfers(each.request, now)
            elif now - each.asked_at >= HOLDER_TIMEOUT_S:
                self.ask_next_holder(each, now)

    def refusal(
        self, request: TokenRequest, now: float
    ) -> TokensUnavailable | TokensTransferred:
        """Return the refusal of a request, with the amounts that caused it."""
        if isinstance(request, RequestCallTokens):
            return TokensTransferred(request.workspace, 0)
        account = account_of(self.token_accounts, request.workspace)
        undrawn = self.budgets.get(request.workspace, 0) - account.drawn
        available = reservable_tokens(self.token_accounts, request.workspace, now)
        detail = (
            f"{request.tokens} tokens requested, {account.free} free,"
            f" {account.open} reserved, {available:.0f} available,"
            f" {undrawn} undrawn in the ledger,"
            f" store unavailable: {self.store_unavailable}"
        )
        return TokensUnavailable(detail)

    def write_record(self, now: float) -> None:
        """Store a record and draw tokens, if due and no write is in progress."""
        if (
            self.write_in_progress
            or self.closed
            or not self.budgets
            or now < self.next_write_at
        ):
            return
        terms = DrawTerms(self.routers.value, self.holders.holder_count)
        wanted = wanted_tokens(self.waiting)
        amounts: dict[str, int] = {}
        if self.token_accounts.sent is None:
            ahead = self.draws_ahead()
            amounts = plan_draws(
                self.token_accounts,
                self.budgets,
                terms,
                wanted=wanted,
                held=self.held_workspaces() if ahead else (),
                keep_rests=ahead,
                now=now,
            )
        required = self.record_due(terms, now) or (self.stopping and bool(amounts))
        if not required and not is_urgent(
            self.token_accounts, self.budgets, terms, amounts, wanted=wanted, now=now
        ):
            return
        if self.token_accounts.sent is None:
            self.amounts_in_flight = amounts
            self.token_accounts = deduct_returns(self.token_accounts, amounts)
        record = self.token_accounts.sent or make_record(
            self.token_accounts,
            self.budgets,
            terms,
            wanted=wanted,
            mark=secrets.token_hex(8),
            now=now,
            wall=self.clock.wall(),
        )
        self.write_in_progress = True
        self.write_started_at = now
        self.token_accounts = replace(self.token_accounts, sent=record)
        request = WriteRecord(
            record=record,
            amounts=amounts,
            budgets=dict(self.budgets),
            minimum=smallest_shortfalls(self.waiting, self.token_accounts),
            required=required,
        )
        self.ledger.tell(Ask(request, ReplyCallback(self.actor_ref.tell)))

    def draws_ahead(self) -> bool:
        """Return whether tokens are drawn ahead of the calls that need them.

        Not until the first stored record has returned how much of the budgets is left.
        """
        return self.token_accounts.stored is not None and not self.stopping

    def held_workspaces(self) -> frozenset[str]:
        """Return the workspaces of which this router holds spare tokens.

        While it does not know all routers, it may be a holder of any that it has calls
        of, and holds nothing ahead of others' calls.
        """
        if self.fleet_known:
            return frozenset(filter(self.holders.is_holder, self.budgets))
        accounts = self.token_accounts.accounts
        called = {name for name, each in accounts.items() if each.spent or each.open}
        called |= wanted_tokens(self.waiting).keys()
        return frozenset(called & self.budgets.keys())

    def record_due(self, terms: DrawTerms, now: float) -> bool:
        """Return whether a record has to be stored even without a draw.

        A router that holds no spare tokens has nothing that a record would save.
        """
        stored = self.token_accounts.stored
        if (
            stored is None
            or self.token_accounts.sent
            or is_limited_by_record(self.waiting, self.token_accounts)
        ):
            return True
        if now - stored.at < terms.record_interval_s:
            return False
        return any(
            account_of(self.token_accounts, name).free
            for name in self.held_workspaces()
        )

    def handle_write_outcome(
        self,
        outcome: RecordOutcome,
        now: float,
    ) -> None:
        """Update the accounts after a write has ended."""
        self.write_in_progress = False
        match outcome:
            case RecordStored(record, granted, drawn):
                if self.store_unavailable:
                    self.events.emit("draws_resumed")
                self.store_unavailable = False
                self.token_accounts = replace(
                    self.token_accounts, stored=record, sent=None
                )
                not_granted = {
                    k: n for k, n in self.amounts_in_flight.items() if k not in granted
                }
                self.token_accounts = restore_returns(self.token_accounts, not_granted)
                gained = {name: each for name, each in granted.items() if each > 0}
                self.token_accounts = update_drawn_totals(
                    add_drawn(self.token_accounts, gained), drawn
                )
            case NothingDrawn(drawn):
                self.token_accounts = restore_returns(
                    self.token_accounts, self.amounts_in_flight
                )
                self.token_accounts = update_drawn_totals(
                    replace(self.token_accounts, sent=None), drawn
                )
            case RecordNotStored(reason, drawn):
                self.token_accounts = restore_returns(
                    self.token_accounts, self.amounts_in_flight
                )
                self.token_accounts = update_drawn_totals(
                    replace(self.token_accounts, sent=None), drawn
                )
                self.handle_write_failure(reason, now)
            case RecordForfeited(reason, drawn):
                self.token_accounts = update_drawn_totals(
                    replace(self.token_accounts, sent=None), drawn
                )
                self.handle_write_failure(reason, now)
            case RecordOutcomeUnknown(reason):
                self.handle_write_failure(reason, now)
        self.update_metrics()
        self.shorten_waits(now)
        self.retry_waiting(now)
        if self.waiting and isinstance(outcome, RecordStored):
            # Calls that arrived during the write are not covered by it.
            self.write_record(now)

    def shorten_waits(self, now: float) -> None:
        """Let calls wait no longer than what is known of the budgets now allows."""
        for each in self.waiting:
            wait = self.longest_wait(each.request)
            if wait and each.holder is not None:
                wait = max(wait, HOLDER_WAIT_S)
            each.deadline = min(each.deadline, now + wait)

    def update_metrics(self) -> None:
        """Update the gauges of free and undrawn tokens and of the record's age."""
        for name, budget in self.budgets.items():
            account = account_of(self.token_accounts, name)
            self.metrics.free_tokens.labels(name).set(account.free)
            self.metrics.undrawn_tokens.labels(name).set(budget - account.drawn)
        if self.token_accounts.stored is not None:
            age = self.clock.monotonic() - self.token_accounts.stored.at
            self.metrics.record_age.set(age)

    def handle_write_failure(self, reason: str, now: float) -> None:
        """Delay the next write and mark the store as unavailable.

        What waits for a draw that the store was expected to make waits no longer.
        """
        self.next_write_at = now + WRITE_RETRY_DELAY_S
        for each in self.waiting:
            each.deadline = min(each.deadline, now + MAX_WAIT_S)
        if not self.store_unavailable:
            self.store_unavailable = True
            self.events.emit("draws_stopped", reason=reason[:120])

    def request_transfers(self, request: TokenRequest, now: float) -> None:
        """Ask other holders to transfer tokens if a draw cannot cover the request.

        A draw cannot do so while the store is unavailable or slow, or when the free
        tokens and those left in the ledger are fewer than the request needs.
        """
        if request.workspace not in self.budgets:
            return
        account = account_of(self.token_accounts, request.workspace)
        undrawn = self.budgets[request.workspace] - account.drawn
        slow = self.write_in_progress and now - self.write_started_at > SLOW_WRITE_S
        store_unresponsive = self.store_unavailable or slow
        drawable = not store_unresponsive and undrawn + account.free >= request.tokens
        others = self.holders.other_holders(request.workspace)
        if not others or now < self.next_transfer_request_at or drawable:
            return
        self.next_transfer_request_at = now + TRANSFER_REQUEST_INTERVAL_S
        missing = request.tokens - max(
            0.0, reservable_tokens(self.token_accounts, request.workspace, now)
        )
        tokens_per_router = int(missing * TRANSFER_REQUEST_FACTOR / TRANSFER_FANOUT) + 1
        transfer_request = RequestTransfer(request.workspace, tokens_per_router)
        for _ in range(min(TRANSFER_FANOUT, len(others))):
            self.router_index += 1
            node = others[self.router_index % len(others)]
            self.peers.tell(
                Send(node, transfer_request, ReplyCallback(self.actor_ref.tell))
            )
