"""Closing the grants of holders that are gone.

A bill is final once one witness of its grant keeps a copy or the ledger holds it.
When every witness has refused further bills, what they kept is therefore all that
can still come, and the rest of the grant goes back to the budget, whether or not
the holder is really dead.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hawthornstage.decisions.ledger import Close, Ledger
from hawthornstage.messages.money import Sealed, Witness


@dataclass(frozen=True)
class GrantClosure:
    """One grant on its way to being closed.

    Args:
        budget: The workspace.
        grant_id: The grant.
        witnesses: All that must seal.
        sealed: Witnesses that have.
        bills: What they kept, tokens by request id.
    """

    budget: str
    grant_id: str
    witnesses: tuple[Witness, ...]
    sealed: frozenset[Witness] = frozenset()
    bills: dict[str, int] = field(default_factory=dict)

    @property
    def missing(self) -> tuple[Witness, ...]:
        """Witnesses that have not sealed."""
        return tuple(each for each in self.witnesses if each not in self.sealed)


def find_orphaned_grants(
    ledger: Ledger, live: Mapping[str, str]
) -> tuple[GrantClosure, ...]:
    """List the grants whose holder is gone.

    Args:
        ledger: A shard as last read.
        live: Incarnation by node of the routers heard of within the grace time.
    """
    return tuple(
        GrantClosure(name, grant_id, grant.witnesses)
        for name, budget in ledger.budgets.items()
        for grant_id, grant in budget.grants.items()
        if live.get(grant.holder) != grant.incarnation
    )


def step(closure: GrantClosure, message: Sealed) -> tuple[GrantClosure, Close | None]:
    """Take one witness's seal; return the closing mutation once all have sealed."""
    if message.witness not in closure.witnesses:
        return closure, None
    bills = {bill.request_id: bill.tokens for bill in message.bills}
    closure = replace(
        closure,
        sealed=closure.sealed | {message.witness},
        bills={**closure.bills, **bills},
    )
    return closure, close_if_sealed(closure)


def close_if_sealed(closure: GrantClosure) -> Close | None:
    """Return the closing mutation if no witness is missing."""
    if closure.missing:
        return None
    return Close(closure.budget, closure.grant_id, closure.bills)
