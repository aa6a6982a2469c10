"""The pipe: runs filters in order, and undoes what they did if one fails."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hawthornstage.errors import Failure
from hawthornstage.messages.request import Exchange, Reply

FilterOutcome = Exchange | Reply | Failure


class Filter(Protocol):
    """One step of the pipe."""

    def apply(self, exchange: Exchange) -> FilterOutcome:
        """Return the exchange with more known, a reply that ends it, or a failure."""

    def undo(self, exchange: Exchange) -> None:
        """Give back what `apply` took, after a later filter failed."""


def run_pipe(filters: Sequence[Filter], exchange: Exchange) -> FilterOutcome:
    """Pass an exchange through filters until one ends it."""
    applied: list[Filter] = []
    for each in filters:
        outcome = each.apply(exchange)
        if isinstance(outcome, Failure):
            undo(applied, exchange)
            return outcome
        if isinstance(outcome, Reply):
            return outcome
        exchange = outcome
        applied.append(each)
    return exchange


def undo(applied: Sequence[Filter], exchange: Exchange) -> None:
    """Undo filters, the last first."""
    for each in reversed(applied):
        each.undo(exchange)
