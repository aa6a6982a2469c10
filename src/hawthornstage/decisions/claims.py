"""Claims: durable permissions to run a non-idempotent call at most once.

A claim document is changed by compare-and-swap only, and every mutation is
idempotent by its attempt. Times are wall time, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

# Largest number of claims in a document; a full one refuses new claims, so that no
# unexpired claim is dropped.
MAX_CLAIMS_PER_SHARD = 4_000
# Largest stored answer body, in bytes; of a larger one only the digest is stored.
MAX_STORED_BODY_BYTES = 2_048
# Time after its claim until a finished call may be dropped, in seconds.
CLAIM_WINDOW_S = 24 * 3600.0


class ClaimState(Enum):
    """The progress of a claimed call."""

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
        attempt: The only attempt that may run the call.
        fingerprint: Hash of the call.
        claimed_at: Wall time of the claim.
        claimant: The router or setup that claimed it.
        state: Whether the call has finished.
        outcome: The answer of a finished call.
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
    """Claims a call for one attempt, at a wall time in seconds."""

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
    """Releases a claim whose attempt did not run and never will."""

    key: str
    attempt: str


ClaimMutation = Claim | FinishClaim | AbandonClaim


@dataclass(frozen=True)
class Claimed:
    """Result: the attempt may run the call."""


@dataclass(frozen=True)
class AlreadyClaimed:
    """Result: another attempt holds the claim, with its outcome if it finished."""

    outcome: Outcome | None


@dataclass(frozen=True)
class KeyReused:
    """Result: the idempotency key was used for a different call."""


@dataclass(frozen=True)
class ShardFull:
    """Result: the shard accepts no new claims until old ones expire."""


@dataclass(frozen=True)
class ClaimUpdated:
    """Result: the claim is finished or released, or no longer exists."""


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
            remaining = {
                each: value for each, value in shard.claims.items() if each != key
            }
            return ClaimShard(remaining), ClaimUpdated()


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
    """Drop finished claims that are older than `CLAIM_WINDOW_S`."""
    return {
        key: entry
        for key, entry in claims.items()
        if entry.state is ClaimState.CLAIMED or now - entry.claimed_at < CLAIM_WINDOW_S
    }


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of a claim: the workspace and its caller's idempotency key."""
    return f"{workspace}\n{idempotency_key}"
