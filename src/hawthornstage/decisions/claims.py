"""Claims: durable permission to run a non-idempotent call at most once.

A claim document is changed by compare-and-swap only, and every mutation is
idempotent by its attempt. Times are wall time, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

# A claim document with more entries refuses new claims, so that none is forgotten.
MAX_CLAIMS_PER_SHARD = 4_000
# Largest stored answer body, in bytes; a larger one is kept by its digest only.
MAX_STORED_BODY_BYTES = 2_048
# Time after which a finished or abandoned claim is forgotten, in seconds.
CLAIM_WINDOW_S = 24 * 3600.0


class ClaimState(Enum):
    """How far a claimed call has come."""

    CLAIMED = "claimed"
    FINISHED = "finished"


@dataclass(frozen=True)
class Outcome:
    """The stored answer of a finished call."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class ClaimEntry:
    """One claimed call.

    Args:
        attempt: The one attempt that may run it.
        fingerprint: Hash of the call.
        claimed_at: Wall time of the claim.
        claimant: The router or setup that claimed it.
        state: How far it has come.
        outcome: The answer, once finished.
    """

    attempt: str
    fingerprint: str
    claimed_at: float
    claimant: str
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None


@dataclass(frozen=True)
class ClaimShard:
    """One document of claims, by workspace and idempotency key."""

    claims: dict[str, ClaimEntry] = field(default_factory=dict)


@dataclass(frozen=True)
class Claim:
    """Claims a call for one attempt."""

    key: str
    attempt: str
    fingerprint: str
    claimant: str
    at: float


@dataclass(frozen=True)
class FinishClaim:
    """Stores the outcome of the attempt that ran the call."""

    key: str
    attempt: str
    outcome: Outcome


@dataclass(frozen=True)
class AbandonClaim:
    """Gives a claim back; the attempt did not run and never will."""

    key: str
    attempt: str


ClaimMutation = Claim | FinishClaim | AbandonClaim


@dataclass(frozen=True)
class Claimed:
    """The attempt may run the call."""


@dataclass(frozen=True)
class AlreadyClaimed:
    """Another attempt holds the claim; the outcome is there if it finished."""

    outcome: Outcome | None


@dataclass(frozen=True)
class KeyReused:
    """The key was used for a different call."""


@dataclass(frozen=True)
class ShardFull:
    """The shard takes no new claims until old ones leave the window."""


@dataclass(frozen=True)
class ClaimUpdated:
    """The claim was finished or given back, or was no longer there."""


ClaimResult = Claimed | AlreadyClaimed | KeyReused | ShardFull | ClaimUpdated


def apply(shard: ClaimShard, mutation: ClaimMutation) -> tuple[ClaimShard, ClaimResult]:
    """Apply a mutation; the same object is returned if nothing changed."""
    entry = shard.claims.get(mutation.key)
    match mutation:
        case Claim():
            return _claim(shard, entry, mutation)
        case FinishClaim(key, attempt, outcome):
            if entry is None or entry.attempt != attempt:
                return shard, ClaimUpdated()
            done = replace(entry, state=ClaimState.FINISHED, outcome=outcome)
            if done == entry:
                return shard, ClaimUpdated()
            return ClaimShard({**shard.claims, key: done}), ClaimUpdated()
        case AbandonClaim(key, attempt):
            if entry is None or entry.attempt != attempt:
                return shard, ClaimUpdated()
            left = {each: kept for each, kept in shard.claims.items() if each != key}
            return ClaimShard(left), ClaimUpdated()


def _claim(
    shard: ClaimShard, entry: ClaimEntry | None, message: Claim
) -> tuple[ClaimShard, ClaimResult]:
    if entry is not None:
        if entry.attempt == message.attempt:
            return shard, Claimed()
        if entry.fingerprint != message.fingerprint:
            return shard, KeyReused()
        return shard, AlreadyClaimed(entry.outcome)
    claims = shard.claims
    if len(claims) >= MAX_CLAIMS_PER_SHARD:
        claims = _prune_expired(claims, message.at)
    if len(claims) >= MAX_CLAIMS_PER_SHARD:
        return shard, ShardFull()
    entry = ClaimEntry(
        message.attempt, message.fingerprint, message.at, message.claimant
    )
    return ClaimShard({**claims, message.key: entry}), Claimed()


def _prune_expired(claims: dict[str, ClaimEntry], now: float) -> dict[str, ClaimEntry]:
    """Forget finished claims that are older than the window."""
    return {
        key: entry
        for key, entry in claims.items()
        if entry.state is ClaimState.CLAIMED or now - entry.claimed_at < CLAIM_WINDOW_S
    }


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Join a workspace and its caller's key into one name."""
    return f"{workspace}\n{idempotency_key}"
