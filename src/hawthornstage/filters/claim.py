"""Claim: makes sure that a non-idempotent call runs at most once."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.documents import Applied, Apply, StoreUnavailable
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.decisions.promises import is_false_promise
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.request import Exchange, Reply, Request
from hawthornstage.observe.events import EventLog


def claim_document_key(claim: str, shards: int) -> str:
    """Return the store key of the document that holds a claim."""
    return f"hawthornstage/claims/{zlib.crc32(claim.encode()) % shards}"


@dataclass(frozen=True)
class Claim:
    """Claims the call in the key-value service before it is sent to a server.

    Args:
        node: Name of this router.
        documents: Task that writes the claim documents.
        shards: Number of claim documents.
        timeout_s: Timeout for the key-value service, in seconds.
        clock: Source of time and timeouts.
        events: Structured event log.
    """

    node: str
    documents: pykka.ActorRef
    shards: int
    timeout_s: float
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Reply | Failure:
        """Claim a non-idempotent call; pass idempotent calls on unchanged."""
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
        expires = self.clock.monotonic() + self.timeout_s
        key = claim_document_key(name, self.shards)
        self.documents.tell(Apply(key, claim, mailbox, expires))
        # The task replies at the deadline; 5 s more covers its own processing.
        reply = mailbox.get(timeout=self.timeout_s + 5.0)
        return self.handle_reply(exchange, reply)

    def handle_reply(
        self, exchange: Exchange, reply: object
    ) -> Exchange | Reply | Failure:
        """Map the reply of the claims task to an outcome of the pipe."""
        request = exchange.request
        match reply:
            case Applied(result=claims.Claimed()):
                self.events.emit(
                    "claimed", request_id=request.id, attempt=exchange.attempt
                )
                return replace(exchange, claimed=True)
            case Applied(result=claims.AlreadyClaimed(outcome)) if is_told(outcome):
                self.events.emit("replayed", request_id=request.id)
                return stored_reply(request, outcome)
            case Applied(result=claims.AlreadyClaimed()):
                return Failure(ErrorKind.OUTCOME_UNKNOWN)
            case Applied(result=claims.KeyReused()):
                return Failure(ErrorKind.KEY_REUSED)
            case Applied(result=claims.ShardFull()):
                return Failure(
                    ErrorKind.CLAIM_UNAVAILABLE,
                    "the claim document is full: too many open claims",
                )
            case StoreUnavailable(maybe_applied=False):
                return Failure(ErrorKind.CLAIM_UNAVAILABLE)
            case _:
                # The claim may still be written, so this attempt abandons it.
                self.undo(replace(exchange, claimed=True))
                return Failure(ErrorKind.CLAIM_UNAVAILABLE)

    def undo(self, exchange: Exchange) -> None:
        """Abandon the claim unless a server may have executed the call."""
        if not exchange.claimed or exchange.progress.sent:
            return
        name = claim_name(exchange)
        abandon = claims.AbandonClaim(name, exchange.attempt)
        self.documents.tell(Apply(claim_document_key(name, self.shards), abandon))
        self.events.emit("claim_returned", request_id=exchange.request.id)


def claim_name(exchange: Exchange) -> str:
    """Return the name under which a call is claimed."""
    key = exchange.request.idempotency_key or exchange.request.id
    return claims.claim_key(exchange.workspace, key)


def is_told(outcome: claims.Outcome | None) -> bool:
    """Whether the stored outcome of a call may be told.

    Older builds stored responses that would now promise that the call has not run.
    """
    return outcome is not None and not is_false_promise(
        outcome.status, ExecutionState.UNKNOWN
    )


def stored_reply(request: Request, outcome: claims.Outcome) -> Reply:
    """Return the stored response of an earlier attempt."""
    headers = (("X-Request-Id", request.id), ("Idempotent-Replayed", "true"))
    return Reply(outcome.status, outcome.content_type, iter([outcome.body]), headers)
