"""Comparing the old setup's journal with the ledger and the claims."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from pydantic import BaseModel, Field


class JournalBill(BaseModel):
    """A bill as the old setup recorded it."""

    workspace: str
    request_id: str
    tokens: int = Field(ge=0)


class JournalRun(BaseModel):
    """A booking that the old setup ran."""

    workspace: str
    key: str


class Journal(BaseModel):
    """What the old setup says that it billed and ran."""

    bills: list[JournalBill] = []
    ran: list[JournalRun] = []


class LedgerBill(BaseModel):
    """A bill as the ledger holds it."""

    workspace: str
    request_id: str
    tokens: int


class ClaimRecord(BaseModel):
    """A claim as the key-value service holds it."""

    workspace: str
    key: str
    claimant: str
    finished: bool


@dataclass(frozen=True)
class Difference:
    """One point on which old and new disagree.

    Args:
        kind: What sort of difference it is.
        workspace: Whose money or booking it is about.
        name: The request's id or the booking's key.
        detail: Both sides' view.
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
    prefix: str,
) -> list[Difference]:
    """List every difference between the old setup's journal and this system.

    Args:
        journal: The old setup's own record.
        bills: All bills that the ledger remembers.
        claims: All claims.
        old_owner: Claimant's name of the old setup.
        prefix: What the ledger's ids of the old setup's requests begin with.
    """
    return [
        *_compare_bills(journal, bills, prefix),
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
    found: list[Difference] = []
    times = Counter((bill.workspace, bill.request_id) for bill in journal.bills)
    old = {(bill.workspace, bill.request_id): bill.tokens for bill in journal.bills}
    for (workspace, name), count in times.items():
        if count > 1:
            detail = f"the old setup billed it {count} times"
            found.append(Difference("billed_twice", workspace, name, detail))
    for (workspace, name), tokens in old.items():
        known = new.get((workspace, name))
        if known is None:
            detail = f"old: {tokens} tokens, ledger: no bill"
            found.append(Difference("missing_bill", workspace, name, detail))
        elif known != tokens:
            detail = f"old: {tokens} tokens, ledger: {known}"
            found.append(Difference("different_bill", workspace, name, detail))
    for workspace, name in new.keys() - old.keys():
        detail = f"old: no bill, ledger: {new[(workspace, name)]} tokens"
        found.append(Difference("unknown_bill", workspace, name, detail))
    return found


def _compare_runs(
    journal: Journal, claims: list[ClaimRecord], old_owner: str
) -> list[Difference]:
    claimed = {(claim.workspace, claim.key): claim for claim in claims}
    times = Counter((run.workspace, run.key) for run in journal.ran)
    found: list[Difference] = []
    for (workspace, key), count in times.items():
        if count > 1:
            detail = f"the old setup ran it {count} times"
            found.append(Difference("ran_twice", workspace, key, detail))
        claim = claimed.get((workspace, key))
        if claim is None:
            detail = "the old setup ran it without a claim"
            found.append(Difference("unclaimed_run", workspace, key, detail))
        elif claim.claimant != old_owner:
            detail = f"the old setup ran it, but {claim.claimant} holds the claim"
            found.append(Difference("ran_by_both", workspace, key, detail))
    for (workspace, key), claim in claimed.items():
        ran = (workspace, key) in times
        if claim.claimant == old_owner and claim.finished and not ran:
            detail = "claimed and finished by the old setup, which has no run of it"
            found.append(Difference("unknown_run", workspace, key, detail))
    return found
