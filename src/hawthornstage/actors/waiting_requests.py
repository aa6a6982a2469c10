"""Requests that wait for tokens, and what they need of the next record and draw."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hawthornstage.decisions.draws import TokenAccounts, account_of
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.draws import RequestCallTokens, RequestReservation

TokenRequest = RequestReservation | RequestCallTokens


@dataclass(eq=False)
class PendingRequest:
    """A request that waits for tokens.

    Args:
        request: The request.
        reply_to: Gets the outcome.
        deadline: Monotonic time at which the request is refused, in seconds.
        holder: The holder that is asked for the tokens; without one, this router draws
            them.
        asked: Holders asked so far.
        asked_at: Monotonic time of the last question, in seconds.
    """

    request: TokenRequest
    reply_to: ReplyTo
    deadline: float
    holder: str | None = None
    asked: int = 0
    asked_at: float = float("-inf")


@dataclass(frozen=True)
class HolderReplied:
    """A holder's reply to the question for the tokens of a call.

    Args:
        pending: The request that waits for them.
        holder: The holder.
        reply: `TokensTransferred` or `PeerUnreachable`.
    """

    pending: PendingRequest
    holder: str
    reply: Any


def without_holder(waiting: Iterable[PendingRequest]) -> list[PendingRequest]:
    """Return the requests for which this router draws tokens itself."""
    return [each for each in waiting if each.holder is None]


def is_limited_by_record(
    waiting: Iterable[PendingRequest], token_accounts: TokenAccounts
) -> bool:
    """Whether a request waits only for a record with a higher bound."""
    return any(
        account_of(token_accounts, each.request.workspace).free >= each.request.tokens
        for each in without_holder(waiting)
    )


def wanted_tokens(waiting: Iterable[PendingRequest]) -> dict[str, int]:
    """Return the tokens to draw for waiting requests, by workspace."""
    amounts: dict[str, int] = {}
    for each in without_holder(waiting):
        name = each.request.workspace
        amounts[name] = amounts.get(name, 0) + each.request.tokens
    return amounts


def smallest_shortfalls(
    waiting: Iterable[PendingRequest], token_accounts: TokenAccounts
) -> dict[str, int]:
    """Return the smallest shortfall of a waiting request, by workspace."""
    minimum: dict[str, int] = {}
    for each in without_holder(waiting):
        name = each.request.workspace
        free = account_of(token_accounts, name).free
        shortfall = max(1, each.request.tokens - free)
        minimum[name] = min(shortfall, minimum.get(name, shortfall))
    return minimum
