"""The pipe: runs filters in order and undoes the applied ones if one fails."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hawthornstage.errors import Failure
from hawthornstage.messages.request import Exchange, Reply

FilterOutcome = Exchange | Reply | Failure


class Filter(Protocol):
    """One step of the request pipe."""

    def apply(self, exchange: Exchange) -> FilterOutcome:
        """Return the updated exchange, a reply that ends it, or a failure."""

    def undo(self, exchange: Exchange) -> None:
        """Release what `apply` acquired, after a later filter failed."""


def run_pipe(filters: Sequence[Filter], exchange: Exchange) -> FilterOutcome:
    """Run an exchange through the filters until one replies or fails.

    A failure undoes the filters that were applied before; a reply does not.

    Raises:
        Exception: A filter raised it; the filters before are undone.
    """
    applied: list[Filter] = []
    for each in filters:
        try:
            outcome = each.apply(exchange)
        except Exception:
            undo(applied, exchange)
            raise
        if isinstance(outcome, Failure):
            undo(applied, exchange)
            return outcome
        if isinstance(outcome, Reply):
            return outcome
        exchange = outcome
        applied.append(each)
    return exchange


def undo(applied: Sequence[Filter], exchange: Exchange) -> None:
    """Undo the applied filters in reverse order."""
    for each in reversed(applied):
        each.undo(exchange)
