"""Messages about budgets: grants, reservations, bills and seals.

All amounts are tokens.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Witness:
    """A router that stores copies of a grant's bills.

    Args:
        node: The router's name.
        incarnation: The router's process; a restarted router is a different witness.
    """

    node: str
    incarnation: str


@dataclass(frozen=True)
class GrantRef:
    """Identifies a grant and the witnesses of its bills."""

    id: str
    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class Bill:
    """The actual token use of one request under one grant.

    Args:
        budget: The workspace that pays.
        grant: The grant that the tokens come from.
        request_id: Idempotency key: a second bill with the same id has no effect.
        attempt: The reservation that the bill settles.
        tokens: Prompt and completion tokens together.
    """

    budget: str
    grant: GrantRef
    request_id: str
    attempt: str
    tokens: int


@dataclass(frozen=True)
class Reserve:
    """Asks a holder to reserve enough tokens for a request's worst case.

    Args:
        budget: The workspace that pays.
        attempt: Id of the reservation, unique to each attempt of the request.
        tokens: Upper bound of what the request can use.
        runner: The router that will run the request.
        patience_s: Timeout while the holder waits for a larger grant, in seconds.
    """

    budget: str
    attempt: str
    tokens: int
    runner: str
    patience_s: float


@dataclass(frozen=True)
class Reserved:
    """The tokens are reserved under a grant of the holder."""

    grant: GrantRef
    holder: str


@dataclass(frozen=True)
class BudgetExhausted:
    """The budget has only `left` tokens, which does not cover the reservation."""

    left: int


@dataclass(frozen=True)
class HolderUnavailable:
    """The holder got no result before the timeout or is shutting down."""

    reason: str


ReserveOutcome = Reserved | BudgetExhausted | HolderUnavailable


@dataclass(frozen=True)
class Release:
    """Cancels a reservation; the runner will never bill it."""

    budget: str
    grant_id: str
    attempt: str


@dataclass(frozen=True)
class Settle:
    """Sends a final bill to the holder.

    Args:
        bill: The bill.
        runner: The router that keeps the bill until it is in the ledger.
    """

    bill: Bill
    runner: str


@dataclass(frozen=True)
class RecallTokens:
    """Asks a holder to return the tokens of a budget that it does not need."""

    budget: str


@dataclass(frozen=True)
class StoreBillCopy:
    """Asks a witness to store a copy of a bill until the ledger has the bill."""

    bill: Bill
    witness: Witness


@dataclass(frozen=True)
class BillCopyStored:
    """The witness has stored the copy, which makes the bill final."""

    request_id: str


@dataclass(frozen=True)
class BillCopyRefused:
    """The witness rejected the copy.

    The grant is sealed, the message names another process as the witness, or the
    witness holds too many unstored bills.
    """

    request_id: str
    reason: str


@dataclass(frozen=True)
class Seal:
    """Asks a witness to refuse further bills of a grant."""

    budget: str
    grant_id: str
    witness: Witness


@dataclass(frozen=True)
class Sealed:
    """The witness refuses further bills of the grant; `bills` lists its copies."""

    grant_id: str
    witness: Witness
    bills: tuple[Bill, ...]


@dataclass(frozen=True)
class SealRefused:
    """The witness cannot seal: it is another process or holds too many seals."""

    grant_id: str
    reason: str


@dataclass(frozen=True)
class BillsStored:
    """The bills of these requests are in the ledger; copies may be deleted."""

    grant_id: str
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Acknowledged:
    """Confirms a message that has no other reply."""
