"""Claim: makes sure that a non-idempotent call runs at most once."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.documents import Applied, Apply, StoreUnavailable
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.request import Exchange, Reply, Request
from hawthornstage.observe.events import EventLog


def claims_key(claim: str, shards: int) -> str:
    """Return the key of the document that holds a claim."""
    return f"hawthornstage/claims/{zlib.crc32(claim.encode()) % shards}"


@dataclass(frozen=True)
class Claim:
    """Claims the call in the key-value service before anything is sent.

    Args:
        node: This router's name.
        documents: The claims' documents.
        shards: Number of claim documents.
        patience_s: Longest wait for the key-value service, in seconds.
        clock: The runtime's clock.
        events: Takes events.
    """

    node: str
    documents: pykka.ActorRef
    shards: int
    patience_s: float
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Reply | Failure:
        """Claim a non-idempotent call; let others pass."""
        if exchange.route is None or exchange.route.idempotent:
            return exchange
        name = claim_name(exchange)
        claim = claims.Claim(
            name,
            exchange.attempt,
            exchange.request.fingerprint,
            self.node,
            self.clock.wall(),
        )
        mailbox = Mailbox(self.clock)
        expires = self.clock.monotonic() + self.patience_s
        key = claims_key(name, self.shards)
        self.documents.tell(Apply(key, claim, mailbox, expires))
        # The task answers at the deadline; the rest is for its own work.
        reply = mailbox.get(timeout=self.patience_s + 5.0)
        return self.decide(exchange, reply)

    def decide(self, exchange: Exchange, reply: object) -> Exchange | Reply | Failure:
        """Turn the answer about the claim into an outcome."""
        request = exchange.request
        match reply:
            case Applied(result=claims.Claimed()):
                self.events.emit(
                    "claimed", request_id=request.id, attempt=exchange.attempt
                )
                return replace(exchange, claimed=True)
            case Applied(result=claims.AlreadyClaimed(outcome)) if outcome:
                self.events.emit("replayed", request_id=request.id)
                return replayed(request, outcome)
            case Applied(result=claims.AlreadyClaimed()):
                return Failure(ErrorKind.OUTCOME_UNKNOWN)
            case Applied(result=claims.KeyReused()):
                return Failure(ErrorKind.KEY_REUSED)
            case Applied(result=claims.ShardFull()):
                return Failure(ErrorKind.CLAIM_UNAVAILABLE, "too many open claims")
            case StoreUnavailable(maybe_applied=False):
                return Failure(ErrorKind.CLAIM_UNAVAILABLE)
            case _:
                # The claim may still come to hold; this try gives it back.
                self.undo(replace(exchange, claimed=True))
                return Failure(ErrorKind.CLAIM_UNAVAILABLE)

    def undo(self, exchange: Exchange) -> None:
        """Give the claim back unless a server may have executed the call."""
        if not exchange.claimed or exchange.progress.sent:
            return
        name = claim_name(exchange)
        abandon = claims.AbandonClaim(name, exchange.attempt)
        self.documents.tell(Apply(claims_key(name, self.shards), abandon))
        self.events.emit("claim_returned", request_id=exchange.request.id)


def claim_name(exchange: Exchange) -> str:
    """Return the name under which the exchange's call is claimed."""
    key = exchange.request.idempotency_key or exchange.request.id
    return claims.claim_key(exchange.workspace, key)


def replayed(request: Request, outcome: claims.Outcome) -> Reply:
    """Return the stored answer of an earlier try."""
    headers = (("X-Request-Id", request.id), ("Idempotent-Replayed", "true"))
    return Reply(outcome.status, outcome.content_type, iter([outcome.body]), headers)
