"""Compares the old setup's journal with the ledger and the claims."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from pydantic import BaseModel, Field


class JournalBill(BaseModel):
    """A bill in the old setup's journal."""

    workspace: str
    request_id: str
    tokens: int = Field(ge=0)


class JournalRun(BaseModel):
    """A booking that the old setup executed."""

    workspace: str
    key: str


class Journal(BaseModel):
    """The old setup's journal: what it billed and which bookings it executed."""

    bills: list[JournalBill] = []
    ran: list[JournalRun] = []


class LedgerBill(BaseModel):
    """A bill in the ledger."""

    workspace: str
    request_id: str
    tokens: int


class ClaimRecord(BaseModel):
    """A claim in the key-value service."""

    workspace: str
    key: str
    claimant: str
    finished: bool


@dataclass(frozen=True)
class Difference:
    """A difference between the old setup's journal and this system.

    Args:
        kind: Type of the difference, such as `missing_bill`.
        workspace: The workspace of the bill or the booking.
        name: The id of the request or the key of the booking.
        detail: What each side recorded.
    """

    kind: str
    workspace: str
    name: str
    detail: str


def compare(
    journal: Journal,
    bills: list[LedgerBill],
    claims: list[ClaimRecord],
    *,
    old_owner: str,
    request_id_prefix: str,
) -> list[Difference]:
    """List every difference between the old setup's journal and this system.

    Args:
        journal: The old setup's journal.
        bills: All bills within the ledger's window.
        claims: All claims in the key-value service.
        old_owner: The claimant's name that the old setup uses.
        request_id_prefix: Prefix of the old setup's request ids in the ledger.
    """
    return [
        *_compare_bills(journal, bills, request_id_prefix),
        *_compare_runs(journal, claims, old_owner),
    ]


def _compare_bills(
    journal: Journal, bills: list[LedgerBill], prefix: str
) -> list[Difference]:
    new = {
        (bill.workspace, bill.request_id.removeprefix(prefix)): bill.tokens
        for bill in bills
        if bill.request_id.startswith(prefix)
    }
    differences: list[Difference] = []
    counts = Counter((bill.workspace, bill.request_id) for bill in journal.bills)
    old = {(bill.workspace, bill.request_id): bill.tokens for bill in journal.bills}
    for (workspace, name), count in counts.items():
        if count > 1:
            detail = f"the old setup billed the request {count} times"
            differences.append(Difference("billed_twice", workspace, name, detail))
    for (workspace, name), tokens in old.items():
        billed = new.get((workspace, name))
        if billed is None:
            detail = f"old: {tokens} tokens, ledger: no bill"
            differences.append(Difference("missing_bill", workspace, name, detail))
        elif billed != tokens:
            detail = f"old: {tokens} tokens, ledger: {billed}"
            differences.append(Difference("different_bill", workspace, name, detail))
    for workspace, name in new.keys() - old.keys():
        detail = f"old: no bill, ledger: {new[(workspace, name)]} tokens"
        differences.append(Difference("unknown_bill", workspace, name, detail))
    return differences


def _compare_runs(
    journal: Journal, claims: list[ClaimRecord], old_owner: str
) -> list[Difference]:
    claimed = {(claim.workspace, claim.key): claim for claim in claims}
    counts = Counter((run.workspace, run.key) for run in journal.ran)
    differences: list[Difference] = []
    for (workspace, key), count in counts.items():
        if count > 1:
            detail = f"the old setup ran the booking {count} times"
            differences.append(Difference("ran_twice", workspace, key, detail))
        claim = claimed.get((workspace, key))
        if claim is None:
            detail = "the old setup ran the booking without a claim"
            differences.append(Difference("unclaimed_run", workspace, key, detail))
        elif claim.claimant != old_owner:
            detail = (
                f"the old setup ran the booking, but {claim.claimant} holds the claim"
            )
            differences.append(Difference("ran_by_both", workspace, key, detail))
    for (workspace, key), claim in claimed.items():
        ran = (workspace, key) in counts
        if claim.claimant == old_owner and claim.finished and not ran:
            detail = "finished claim of the old setup, but no run in its journal"
            differences.append(Difference("unknown_run", workspace, key, detail))
    return differences
