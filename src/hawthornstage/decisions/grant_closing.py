"""Closes the grants of lost holders.

A bill is final once one witness of its grant keeps a copy or the ledger holds it.
Once every witness refuses further bills, the copies that they keep are therefore all
the bills that are still to be counted. The rest of the grant then returns to the
budget, whether or not the holder is really dead.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hawthornstage.decisions.ledger import Close, Ledger
from hawthornstage.messages.budget_messages import Sealed, Witness


@dataclass(frozen=True)
class GrantClosure:
    """The progress of closing one grant.

    Args:
        budget: The workspace.
        grant_id: The grant's id.
        witnesses: Witnesses that must all seal the grant.
        sealed: Witnesses that have sealed it.
        bills: Bills that they kept, tokens by request id.
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
    """List the open grants whose holder's process is not live.

    Args:
        ledger: A shard as last read.
        live: Incarnation by node of the routers seen within the grace time.
    """
    return tuple(
        GrantClosure(name, grant_id, grant.witnesses)
        for name, budget in ledger.budgets.items()
        for grant_id, grant in budget.grants.items()
        if live.get(grant.holder) != grant.incarnation
    )


def step(closure: GrantClosure, message: Sealed) -> tuple[GrantClosure, Close | None]:
    """Add one witness's seal; return the closing mutation once all have sealed."""
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
