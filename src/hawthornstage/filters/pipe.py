"""The pipe: runs filters in order, and undoes what they did if one fails."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hawthornstage.errors import Failure
from hawthornstage.messages.request import Exchange, Reply

Outcome = Exchange | Reply | Failure


class Filter(Protocol):
    """One step of the pipe."""

    def apply(self, exchange: Exchange) -> Outcome:
        """Return the exchange with more known, a reply that ends it, or a failure."""

    def undo(self, exchange: Exchange) -> None:
        """Give back what `apply` took, after a later filter failed."""


def run(filters: Sequence[Filter], exchange: Exchange) -> Outcome:
    """Pass an exchange through filters until one ends it."""
    done: list[Filter] = []
    for each in filters:
        outcome = each.apply(exchange)
        if isinstance(outcome, Failure):
            undo(done, exchange)
            return outcome
        if isinstance(outcome, Reply):
            return outcome
        exchange = outcome
        done.append(each)
    return exchange


def undo(done: Sequence[Filter], exchange: Exchange) -> None:
    """Undo filters, the last first."""
    for each in reversed(done):
        each.undo(exchange)
