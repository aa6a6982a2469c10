"""The pipe for calls that are forwarded unread: identify, isolate, reserve, attempt."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.breaks_task import CheckCallAllowed
from hawthornstage.clock import Clock
from hawthornstage.decisions.forwarding import identify
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.latest import Latest
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.draws import Aside, SetAside, Short, Used
from hawthornstage.messages.forward import Delivery, ForwardCall, ForwardExchange
from hawthornstage.observe.events import EventLog

# Longest wait for one of this router's own tasks, in seconds.
TASK_WAIT_S = 1.0


class ForwardFilter(Protocol):
    """One step before a call is sent to a server."""

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Return the exchange with more known, or a failure that ends it."""


def run_filters(
    filters: Sequence[ForwardFilter], exchange: ForwardExchange
) -> ForwardExchange | Failure:
    """Pass an exchange through filters until one fails."""
    for each in filters:
        outcome = each.apply(exchange)
        if isinstance(outcome, Failure):
            return outcome
        exchange = outcome
    return exchange


@dataclass(frozen=True)
class Identify:
    """Begins an exchange: finds route, workspace and service.

    Args:
        desired: The desired state in use.
    """

    desired: Latest[DesiredState | None]

    def begin(self, call: ForwardCall) -> ForwardExchange | Failure:
        """Match a call against the desired state in use."""
        state = self.desired.value
        if state is None:
            return Failure(ErrorKind.NO_DESIRED_STATE)
        return identify(call, state)


@dataclass(frozen=True)
class BlockCrashing:
    """Refuses calls that crash the servers that run them.

    Args:
        breaks: The task that counts breaks.
        clock: The runtime's clock.
    """

    breaks: pykka.ActorRef
    clock: Clock

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Ask whether the call may run."""
        question = CheckCallAllowed(exchange.fingerprint)
        if ask(self.breaks, question, self.clock, timeout=TASK_WAIT_S) is False:
            return Failure(ErrorKind.CALL_BLOCKED, exchange.fingerprint)
        return exchange


@dataclass(frozen=True)
class ReserveTokens:
    """Sets the most that a call can use aside, and settles it at the end.

    Args:
        purse: The task that holds this router's tokens.
        clock: The runtime's clock.
        events: Takes events.
    """

    purse: pykka.ActorRef
    clock: Clock
    events: EventLog

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Set tokens aside for a call with a prompt."""
        prompt = exchange.call.prompt
        if prompt is None or exchange.workspace is None:
            return exchange
        name = exchange.workspace.name
        most = prompt.tokens + prompt.max_output
        reply = ask(self.purse, SetAside(name, most), self.clock, timeout=TASK_WAIT_S)
        match reply:
            case Aside(tokens):
                return replace(exchange, reserved=tokens)
            case Short(detail):
                detail = f"workspace {name!r}: {detail}"
                return Failure(ErrorKind.TOKENS_UNAVAILABLE, detail)
            case _:
                return Failure(ErrorKind.OVERLOADED, "the purse did not reply in time")

    def settle(self, exchange: ForwardExchange, delivery: Delivery) -> int:
        """Free what the call did not use; return what it used, in tokens."""
        prompt = exchange.call.prompt
        if not exchange.reserved or prompt is None or exchange.workspace is None:
            return 0
        used = 0
        if delivery.ran:
            output = delivery.events * exchange.tokens_per_event
            used = prompt.tokens + min(output, prompt.max_output)
        self.purse.tell(Used(exchange.workspace.name, exchange.reserved, used))
        return used
