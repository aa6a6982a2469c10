"""The HTTP interface by which the old routing setup shares budgets and claims.

The old setup is one more user of the same grants and claims: it reserves before it
runs a call, settles the real use, claims a booking before it runs it, and stores
and asks for outcomes.
"""

from __future__ import annotations

import base64
import uuid
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import pykka
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.actors.ask import ask
from hawthornstage.actors.documents import Applied, Apply, StoreUnavailable
from hawthornstage.actors.reservations import (
    AddReservation,
    RemovedReservation,
    RemoveReservation,
)
from hawthornstage.border.json_api import (
    NOT_FOUND,
    UNAVAILABLE,
    ApiAnswer,
    serve_json,
)
from hawthornstage.border.wsgi import StartResponse
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.faults import fault_lines
from hawthornstage.filters.authenticate import KeyRing
from hawthornstage.filters.claim import claims_key
from hawthornstage.filters.reserve import Treasury
from hawthornstage.filters.settle import Cashier
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages import money
from hawthornstage.messages.request import Reservation
from hawthornstage.observe.events import EventLog

PREFIX = "/old/v1/"
# What bills of the old setup's requests begin with in the ledger.
REQUEST_PREFIX = "old-"
# Longest waits, in seconds.
TASK_WAIT_S = 2.0
STORE_WAIT_S = 5.0
MAX_BODY_BYTES = 256 * 1024
MAX_TOKENS = 10**9


class Call(BaseModel):
    """The body of a call; unknown names are faults."""

    model_config = ConfigDict(extra="forbid")


class ReserveCall(Call):
    """Reserves the worst case of a request, in tokens."""

    workspace: str = Field(min_length=1)
    tokens: int = Field(gt=0, le=MAX_TOKENS)


class SettleCall(Call):
    """Bills the real use of a request, in tokens."""

    workspace: str = Field(min_length=1)
    request_id: str = Field(min_length=1, max_length=128)
    reservation: str = Field(min_length=1)
    tokens: int = Field(ge=0, le=MAX_TOKENS)


class ReleaseCall(Call):
    """Gives a reservation back; the request was not run."""

    workspace: str = Field(min_length=1)
    reservation: str = Field(min_length=1)


class ClaimCall(Call):
    """Claims a booking for one attempt."""

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)
    fingerprint: str = Field(min_length=1, max_length=128)


class OutcomeCall(Call):
    """Stores the outcome of a claimed booking; the body is base64."""

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)
    status: int = Field(ge=100, le=599)
    content_type: str = "application/json"
    body: str = ""


class AbandonCall(Call):
    """Gives a claim back; the attempt did not run and never will."""

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)


CALLS: dict[str, type[Call]] = {
    "reserve": ReserveCall,
    "settle": SettleCall,
    "release": ReleaseCall,
    "claim": ClaimCall,
    "outcome": OutcomeCall,
    "abandon": AbandonCall,
}


@dataclass(frozen=True)
class OldSetupApi:
    """Serves the old routing setup over WSGI.

    Args:
        keys: The old setup's keys.
        treasury: Asks holders of grants.
        cashier: Makes bills final.
        reservations: Keeps reservations until they are settled.
        claims: The claims' documents.
        claim_shards: Number of claim documents.
        clock: The runtime's clock.
        events: Takes events.
    """

    keys: KeyRing
    treasury: Treasury
    cashier: Cashier
    reservations: pykka.ActorRef
    claims: pykka.ActorRef
    claim_shards: int
    clock: Clock
    events: EventLog

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call."""
        return serve_json(
            environ,
            start_response,
            keys=self.keys,
            refusal="this takes the old setup's key",
            max_body_bytes=MAX_BODY_BYTES,
            answer=self.read_call,
        )

    def read_call(self, environ: dict[str, Any], owner: str, body: bytes) -> ApiAnswer:
        """Validate a call and answer it."""
        kind = CALLS.get(environ["PATH_INFO"].removeprefix(PREFIX))
        if kind is None or environ["REQUEST_METHOD"] != "POST":
            return NOT_FOUND
        try:
            call = kind.model_validate_json(body)
        except ValidationError as error:
            return ApiAnswer(400, {"error": "; ".join(fault_lines(error))})
        return self.answer(call, owner)

    def answer(self, call: Call, owner: str) -> ApiAnswer:
        """Carry out a call."""
        match call:
            case ReserveCall():
                return self.reserve(call)
            case SettleCall():
                return self.settle(call)
            case ReleaseCall():
                return self.release(call)
            case ClaimCall():
                return self.claim(call, owner)
            case OutcomeCall():
                return self.outcome(call)
            case AbandonCall():
                name = claims.claim_key(call.workspace, call.key)
                return self.update(name, claims.Abandon(name, call.attempt))
            case _:
                return NOT_FOUND

    def reserve(self, call: ReserveCall) -> ApiAnswer:
        """Reserve tokens; the answer names the reservation."""
        attempt = uuid.uuid4().hex
        match self.treasury.reserve(call.workspace, attempt, call.tokens):
            case money.Reserved(grant, holder):
                held = Reservation(call.workspace, grant, holder, call.tokens)
                keep = AddReservation(attempt, held)
                ask(self.reservations, keep, self.clock, timeout=TASK_WAIT_S)
                return ApiAnswer(200, {"reservation": attempt})
            case money.Exhausted(left):
                return ApiAnswer(402, {"error": "the budget is spent", "left": left})
            case money.Unavailable(reason):
                return ApiAnswer(503, {"error": reason})

    def settle(self, call: SettleCall) -> ApiAnswer:
        """Bill the real use under the reservation, or under a new one."""
        held = self.take(call.reservation)
        attempt = call.reservation
        if held is None or held.tokens < call.tokens:
            if held is not None:
                self.give_back(held, attempt)
            attempt = uuid.uuid4().hex
            outcome = self.treasury.reserve(call.workspace, attempt, call.tokens)
            if not isinstance(outcome, money.Reserved):
                error = "the reservation is gone and the budget does not cover the use"
                return ApiAnswer(402, {"error": error})
            grant, holder = outcome.grant, outcome.holder
            held = Reservation(call.workspace, grant, holder, call.tokens)
        request_id = REQUEST_PREFIX + call.request_id
        final = self.cashier.finalise(
            held, request_id=request_id, attempt=attempt, tokens=call.tokens
        )
        if not final:
            return ApiAnswer(503, {"error": "no answer: settle again, it counts once"})
        self.events.emit("billed", request_id=request_id, tokens=call.tokens)
        return ApiAnswer(200, {"billed": call.tokens})

    def release(self, call: ReleaseCall) -> ApiAnswer:
        """Give a reservation back."""
        held = self.take(call.reservation)
        if held is not None:
            self.give_back(held, call.reservation)
        return ApiAnswer(200, {"released": held is not None})

    def take(self, attempt: str) -> Reservation | None:
        """Take a reservation out of those kept here."""
        message = RemoveReservation(attempt)
        reply = ask(self.reservations, message, self.clock, timeout=TASK_WAIT_S)
        return reply.reservation if isinstance(reply, RemovedReservation) else None

    def give_back(self, held: Reservation, attempt: str) -> None:
        """Tell the holder that nothing will be billed for a reservation."""
        release = money.Release(held.budget, held.grant.id, attempt)
        self.treasury.release(held.holder, release)

    def claim(self, call: ClaimCall, owner: str) -> ApiAnswer:
        """Claim a booking; 409 says that it must not be run."""
        name = claims.claim_key(call.workspace, call.key)
        claim = claims.Claim(
            name, call.attempt, call.fingerprint, owner, self.clock.wall()
        )
        match self.apply(name, claim):
            case claims.Claimed():
                return ApiAnswer(200, {"claimed": True})
            case claims.AlreadyClaimed(outcome):
                document = outcome_document(outcome)
                return ApiAnswer(409, {"claimed": False, "outcome": document})
            case claims.KeyReused():
                return ApiAnswer(422, {"error": "the key belongs to another call"})
            case claims.ShardFull():
                return ApiAnswer(503, {"error": "too many open claims"})
            case _:
                # A claim that still comes to hold is this attempt's own: it may
                # ask again with the same attempt.
                return UNAVAILABLE

    def outcome(self, call: OutcomeCall) -> ApiAnswer:
        """Store the outcome of a booking."""
        try:
            body = base64.b64decode(call.body, validate=True)
        except ValueError:
            return ApiAnswer(400, {"error": "body: expected base64"})
        body = body if len(body) <= claims.MAX_STORED_BODY_BYTES else b""
        outcome = claims.Outcome(call.status, call.content_type, body)
        name = claims.claim_key(call.workspace, call.key)
        return self.update(name, claims.Finish(name, call.attempt, outcome))

    def update(self, name: str, mutation: claims.ClaimMutation) -> ApiAnswer:
        """Change a claim and wait until it is durable."""
        result = self.apply(name, mutation)
        if isinstance(result, claims.ClaimUpdated):
            return ApiAnswer(200, {"stored": True})
        return UNAVAILABLE

    def apply(self, name: str, mutation: claims.ClaimMutation) -> Any | None:
        """Apply a mutation of claims; None if the service does not answer."""
        mailbox = Mailbox(self.clock)
        expires = self.clock.monotonic() + STORE_WAIT_S
        key = claims_key(name, self.claim_shards)
        self.claims.tell(Apply(key, mutation, mailbox, expires))
        match mailbox.get(timeout=STORE_WAIT_S + 2.0):
            case Applied(result=result):
                return result
            case StoreUnavailable() | None:
                return None
            case _:
                return None


def outcome_document(outcome: claims.Outcome | None) -> dict[str, Any] | None:
    """Return an outcome as plain values, the body as base64."""
    if outcome is None:
        return None
    return {
        "status": outcome.status,
        "content_type": outcome.content_type,
        "body": base64.b64encode(outcome.body).decode(),
    }
