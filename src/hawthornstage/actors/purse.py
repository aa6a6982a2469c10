"""The task that holds this router's tokens and sets them aside for calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.draws import (
    Purse,
    account_of,
    give,
    plan_draws,
    receive,
    return_free,
    set_aside,
    use,
)
from hawthornstage.latest import Latest
from hawthornstage.mailbox import Forward, ReplyTo
from hawthornstage.messages.draws import (
    Aside,
    Draw,
    DrawFailed,
    DrawMade,
    SetAside,
    Short,
    TokensGiven,
    TokensWanted,
    Used,
)
from hawthornstage.messages.fleet import DesiredStateInUse, RoutersKnown
from hawthornstage.messages.members import Unreachable
from hawthornstage.observe.events import EventLog

# Longest time that a call waits for tokens, in seconds.
WAIT_S = 0.15
# Pause after a failed draw, in seconds.
REDRAW_PAUSE_S = 0.5
# Pause between two requests for another router's tokens, in seconds.
ASK_PAUSE_S = 0.1


@dataclass(frozen=True)
class CheckPurse:
    """It is time to see whether enough is held."""


@dataclass(frozen=True)
class ReturnAll:
    """The router stops: what is free goes back to the budgets."""


@dataclass(frozen=True)
class Waiting:
    """A call that waits for tokens until a time."""

    request: SetAside
    reply_to: ReplyTo
    until: float


class PurseTask(Task):
    """Owns the tokens that this router holds.

    Args:
        ledger: Draws from the budgets.
        peers: Reaches the other routers.
        routers: Number of routers that draw.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self,
        *,
        ledger: pykka.ActorRef,
        peers: pykka.ActorRef,
        routers: Latest[int],
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.ledger = ledger
        self.peers = peers
        self.routers = routers
        self.clock = clock
        self.events = events
        self.purse = Purse()
        self.budgets: dict[str, int] = {}
        self.others: tuple[str, ...] = ()
        self.turn = 0
        self.waiting: list[Waiting] = []
        self.drawing = False
        self.draw_after = float("-inf")
        self.ask_after = float("-inf")
        self.store_lost = False

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=SetAside() as request, reply_to=reply_to):
                self.set_aside(request, reply_to)
            case Used(workspace, reserved, used):
                now = self.clock.monotonic()
                self.purse = use(self.purse, workspace, reserved, used, now)
                self.serve_waiting()
            case CheckPurse():
                self.serve_waiting()
                self.draw()
            case DrawMade(granted, drawn):
                self.drawing = False
                self.store_lost = False
                self.purse = receive(self.purse, granted, drawn)
                self.serve_waiting()
            case DrawFailed(reason):
                self.note_failure(reason)
            case TokensGiven(workspace, tokens):
                self.purse = receive(self.purse, {workspace: tokens}, {})
                self.serve_waiting()
            case Ask(message=TokensWanted(workspace, tokens), reply_to=reply_to):
                self.purse, given = give(self.purse, workspace, tokens)
                reply_to.put(TokensGiven(workspace, given))
            case Unreachable():
                pass
            case DesiredStateInUse(state, _):
                self.budgets = {
                    each.name: each.budget
                    for each in state.workspaces
                    if each.budget is not None
                }
                self.draw()
            case RoutersKnown(urls):
                self.others = tuple(sorted(urls))
            case Ask(message=ReturnAll(), reply_to=reply_to):
                self.return_all(reply_to)

    def set_aside(self, request: SetAside, reply_to: ReplyTo) -> None:
        """Set tokens aside, at once or after a draw."""
        if request.workspace not in self.budgets:
            reply_to.put(Aside(0))
            return
        self.purse, done = set_aside(self.purse, request.workspace, request.tokens)
        if done:
            reply_to.put(Aside(request.tokens))
            self.draw()
            return
        until = self.clock.monotonic() + WAIT_S
        self.waiting.append(Waiting(request, reply_to, until))
        self.draw()
        if self.store_lost:
            self.ask_other(request)

    def serve_waiting(self) -> None:
        """Serve those that wait, and refuse those that have waited long enough."""
        now = self.clock.monotonic()
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            request = each.request
            self.purse, done = set_aside(self.purse, request.workspace, request.tokens)
            if done:
                each.reply_to.put(Aside(request.tokens))
            elif now >= each.until or self.spent(request):
                each.reply_to.put(self.short(request))
            else:
                self.waiting.append(each)

    def spent(self, request: SetAside) -> bool:
        """Whether the ledger has nothing left for a call."""
        left = self.budgets[request.workspace] - self.drawn(request.workspace)
        return not self.store_lost and left < request.tokens and not self.drawing

    def drawn(self, workspace: str) -> int:
        """Return the tokens drawn by all routers, as far as it is known."""
        return account_of(self.purse, workspace).drawn

    def short(self, request: SetAside) -> Short:
        """Return why the tokens are not to be had."""
        account = account_of(self.purse, request.workspace)
        left = self.budgets[request.workspace] - account.drawn
        detail = (
            f"{request.tokens} wanted, {account.free} free, {account.open} set aside,"
            f" {left} left in the ledger, store lost: {self.store_lost}"
        )
        return Short(False, detail)

    def draw(self) -> None:
        """Draw what is missing, unless a draw is on its way."""
        now = self.clock.monotonic()
        if self.drawing or now < self.draw_after:
            return
        members = self.routers.value
        amounts = plan_draws(self.purse, self.budgets, members, now)
        if not amounts:
            return
        self.drawing = True
        reply_to = Forward(self.actor_ref.tell)
        self.ledger.tell(Ask(Draw(amounts, dict(self.budgets)), reply_to))

    def note_failure(self, reason: str) -> None:
        """Wait before the next draw, and ask other routers meanwhile."""
        self.drawing = False
        self.draw_after = self.clock.monotonic() + REDRAW_PAUSE_S
        if not self.store_lost:
            self.store_lost = True
            self.events.emit("draws_stopped", reason=reason[:120])
        for each in self.waiting:
            self.ask_other(each.request)

    def ask_other(self, request: SetAside) -> None:
        """Ask the next router for some of its tokens."""
        now = self.clock.monotonic()
        if not self.others or now < self.ask_after:
            return
        self.ask_after = now + ASK_PAUSE_S
        self.turn += 1
        node = self.others[self.turn % len(self.others)]
        wanted = TokensWanted(request.workspace, request.tokens * 3)
        self.peers.tell(Send(node, wanted, Forward(self.actor_ref.tell)))

    def return_all(self, reply_to: ReplyTo) -> None:
        """Give back what is free."""
        self.purse, amounts = return_free(self.purse)
        self.ledger.tell(Ask(Draw(amounts, dict(self.budgets)), reply_to))
