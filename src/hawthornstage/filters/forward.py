"""Filters for forwarded calls, whose bodies are not parsed.

The order is identify, admit, block crashing calls, reserve tokens; the forwarder
follows.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Protocol

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.crashing_parts import BlockedParts
from hawthornstage.decisions.forwarding import resolve_call
from hawthornstage.decisions.server_failures import BlockedCalls
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.draws import (
    RequestReservation,
    TokensReserved,
    TokensUnavailable,
    TokensUsed,
)
from hawthornstage.messages.forward import Delivery, ForwardCall, ForwardExchange
from hawthornstage.observe.events import EventLog

# Timeout for a reply from a task of this router, in seconds.
TASK_TIMEOUT_S = 1.0


class ForwardFilter(Protocol):
    """One step that runs before a call is sent to a server."""

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Return the updated exchange, or a failure that ends it."""


def run_filters(
    filters: Sequence[ForwardFilter], exchange: ForwardExchange
) -> ForwardExchange | Failure:
    """Run an exchange through the filters until one fails."""
    for each in filters:
        outcome = each.apply(exchange)
        if isinstance(outcome, Failure):
            return outcome
        exchange = outcome
    return exchange


@dataclass(frozen=True)
class Identify:
    """Starts an exchange with its route, workspace and service.

    Args:
        desired: The current desired state, or None before one is known.
        numbers: Numbers of the calls.
    """

    desired: LatestValue[DesiredState | None]
    numbers: Iterator[int] = field(default_factory=count)

    def begin(self, call: ForwardCall) -> ForwardExchange | Failure:
        """Match a call against the current desired state."""
        state = self.desired.value
        if state is None:
            return Failure(ErrorKind.NO_DESIRED_STATE)
        resolved = resolve_call(call, state)
        if isinstance(resolved, Failure):
            return resolved
        return replace(resolved, number=next(self.numbers))


@dataclass(frozen=True)
class BlockCrashingCalls:
    """Rejects calls under which too many servers failed.

    Args:
        blocked: The calls that are blocked now.
        blocked_parts: The prompt parts that are blocked now.
        clock: Source of time.
    """

    blocked: LatestValue[BlockedCalls]
    blocked_parts: LatestValue[BlockedParts]
    clock: Clock

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Check that neither the call nor a part of its prompt is blocked."""
        return self.check(exchange) or exchange

    def check(self, exchange: ForwardExchange) -> Failure | None:
        """Return the failure of a call that is blocked, or None."""
        now = self.clock.monotonic()
        if self.blocked.value.is_blocked(exchange.fingerprint, now):
            return Failure(ErrorKind.CALL_BLOCKED, f"call {exchange.fingerprint}")
        part = self.blocked_parts.value.find(exchange.shared_ids, now)
        if part is not None:
            return Failure(ErrorKind.CALL_BLOCKED, f"prompt part {part!r}")
        return None


@dataclass(frozen=True)
class ReserveTokens:
    """Reserves the most tokens that a call can use, and settles the actual usage.

    Args:
        token_account: Task that owns the token accounts of this router.
        clock: Source of time and timeouts.
        events: Structured event log.
    """

    token_account: pykka.ActorRef
    clock: Clock
    events: EventLog

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Reserve tokens for a call with a prompt in a workspace."""
        prompt = exchange.call.prompt
        if prompt is None or exchange.workspace is None:
            return exchange
        name = exchange.workspace.name
        max_tokens = prompt.tokens + prompt.max_output
        time_left_s = exchange.deadline - self.clock.monotonic()
        reply = ask(
            self.token_account,
            RequestReservation(name, max_tokens, time_left_s),
            self.clock,
            timeout=TASK_TIMEOUT_S,
        )
        match reply:
            case TokensReserved(tokens):
                return replace(exchange, reserved=tokens)
            case TokensUnavailable(detail):
                detail = f"workspace {name!r}: {detail}"
                return Failure(ErrorKind.TOKENS_UNAVAILABLE, detail)
            case _:
                return Failure(
                    ErrorKind.OVERLOADED,
                    f"the token account sent no reply within {TASK_TIMEOUT_S} s",
                )

    def settle(self, exchange: ForwardExchange, delivery: Delivery) -> int:
        """Release the tokens that the call did not use.

        Returns:
            The tokens that the call used; 0 if it was not run.
        """
        prompt = exchange.call.prompt
        if not exchange.reserved or prompt is None or exchange.workspace is None:
            return 0
        used = 0
        if delivery.may_have_run:
            output = delivery.events * exchange.tokens_per_event
            used = prompt.tokens + min(output, prompt.max_output)
        self.token_account.tell(
            TokensUsed(exchange.workspace.name, exchange.reserved, used)
        )
        return used
