"""Messages about budgets: grants, reservations, bills and seals.

All amounts are tokens.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Witness:
    """A router that keeps copies of a grant's bills.

    Args:
        node: The router's name.
        incarnation: Its process; a restarted router is another witness.
    """

    node: str
    incarnation: str


@dataclass(frozen=True)
class GrantRef:
    """Names a grant and those who witness its bills."""

    id: str
    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class Bill:
    """The real use of one request under one grant.

    Args:
        budget: The workspace that pays.
        grant: The grant that the tokens come from.
        request_id: A second bill with the same id changes nothing.
        attempt: The reservation that the bill settles.
        tokens: Prompt and completion together.
    """

    budget: str
    grant: GrantRef
    request_id: str
    attempt: str
    tokens: int


@dataclass(frozen=True)
class Reserve:
    """Asks a holder for tokens, enough for the request's worst case.

    Args:
        budget: The workspace that pays.
        attempt: Names the reservation; every try has its own.
        tokens: The worst case.
        runner: The router that will run the request.
        patience_s: Longest wait for a larger grant, in seconds.
    """

    budget: str
    attempt: str
    tokens: int
    runner: str
    patience_s: float


@dataclass(frozen=True)
class Reserved:
    """The reservation stands."""

    grant: GrantRef
    holder: str


@dataclass(frozen=True)
class BudgetExhausted:
    """The budget does not cover the reservation."""

    left: int


@dataclass(frozen=True)
class HolderUnavailable:
    """The holder could not find out in time, or is shutting down."""

    reason: str


ReserveOutcome = Reserved | BudgetExhausted | HolderUnavailable


@dataclass(frozen=True)
class Release:
    """Gives a reservation back; the runner will never bill it."""

    budget: str
    grant_id: str
    attempt: str


@dataclass(frozen=True)
class Settle:
    """Tells the holder of a final bill.

    Args:
        bill: The bill.
        runner: The router that keeps it until it is stored.
    """

    bill: Bill
    runner: str


@dataclass(frozen=True)
class RecallTokens:
    """Asks a holder to return what it does not need of a budget."""

    budget: str


@dataclass(frozen=True)
class StoreBillCopy:
    """Asks a witness to keep a copy of a bill until it is stored."""

    bill: Bill
    witness: Witness


@dataclass(frozen=True)
class BillCopyStored:
    """The witness keeps the copy; the bill is final."""

    request_id: str


@dataclass(frozen=True)
class BillCopyRefused:
    """The witness does not keep the copy: the grant is sealed or not its own."""

    request_id: str
    reason: str


@dataclass(frozen=True)
class Seal:
    """Asks a witness to refuse all further bills of a grant."""

    budget: str
    grant_id: str
    witness: Witness


@dataclass(frozen=True)
class Sealed:
    """The witness refuses further bills and lists those that it keeps."""

    grant_id: str
    witness: Witness
    bills: tuple[Bill, ...]


@dataclass(frozen=True)
class SealRefused:
    """The witness cannot seal: it is another process, or its memory is full."""

    grant_id: str
    reason: str


@dataclass(frozen=True)
class BillsStored:
    """The named requests' bills are in the ledger; copies may go."""

    grant_id: str
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Acknowledged:
    """A message without another answer was taken."""
