"""HTTP interface through which the old routing setup shares budgets and claims.

The old setup uses the same grants and claims as the routers: it reserves tokens before
it runs a request and settles the actual use afterwards, claims a booking before it
runs it, and stores and queries outcomes.
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
    STORE_UNAVAILABLE,
    ApiResponse,
    serve_json,
)
from hawthornstage.border.wsgi import StartResponse
from hawthornstage.clock import Clock
from hawthornstage.decisions import claims
from hawthornstage.filters.authenticate import KeyRing
from hawthornstage.filters.claim import claim_document_key
from hawthornstage.filters.reserve import ReservationClient
from hawthornstage.filters.settle import BillFinaliser
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages import budget_messages
from hawthornstage.messages.request import Reservation
from hawthornstage.observe.events import EventLog
from hawthornstage.settings_errors import format_validation_errors

PREFIX = "/old/v1/"
# Prefix of the old setup's request ids in the ledger.
OLD_SETUP_REQUEST_PREFIX = "old-"
# Timeouts of replies from tasks and of calls to the key-value service, in seconds.
TASK_WAIT_S = 2.0
STORE_WAIT_S = 5.0
# Largest request body, in bytes.
MAX_BODY_BYTES = 256 * 1024
# Most tokens of one request.
MAX_TOKENS = 10**9


class CallModel(BaseModel):
    """Base of the request bodies; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid")


class ReserveCall(CallModel):
    """Reserves the most tokens that a request can use.

    Args:
        workspace: Workspace whose budget pays.
        tokens: Tokens to reserve.
    """

    workspace: str = Field(min_length=1)
    tokens: int = Field(gt=0, le=MAX_TOKENS)


class SettleCall(CallModel):
    """Bills the actual use of a request.

    Args:
        workspace: Workspace whose budget pays.
        request_id: Identifies the request; its bill counts once.
        reservation: Id of its reservation.
        tokens: Tokens used.
    """

    workspace: str = Field(min_length=1)
    request_id: str = Field(min_length=1, max_length=128)
    reservation: str = Field(min_length=1)
    tokens: int = Field(ge=0, le=MAX_TOKENS)


class ReleaseCall(CallModel):
    """Releases the reservation of a request that was not run.

    Args:
        workspace: Workspace whose budget was reserved from.
        reservation: Id of the reservation.
    """

    workspace: str = Field(min_length=1)
    reservation: str = Field(min_length=1)


class ClaimCall(CallModel):
    """Claims a booking for one attempt.

    Args:
        workspace: Workspace of the booking.
        key: Idempotency key of the booking.
        attempt: Id of the attempt that may run it.
        fingerprint: Hash of the call.
    """

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)
    fingerprint: str = Field(min_length=1, max_length=128)


class OutcomeCall(CallModel):
    """Stores the outcome of a claimed booking.

    Args:
        workspace: Workspace of the booking.
        key: Idempotency key of the booking.
        attempt: Id of the attempt that ran it.
        status: HTTP status code of the response.
        content_type: Media type of the response.
        body: Body of the response, as base64.
    """

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)
    status: int = Field(ge=100, le=599)
    content_type: str = "application/json"
    body: str = ""


class AbandonCall(CallModel):
    """Abandons a claim whose attempt did not run and never will.

    Args:
        workspace: Workspace of the booking.
        key: Idempotency key of the booking.
        attempt: Id of the attempt that holds the claim.
    """

    workspace: str = Field(min_length=1)
    key: str = Field(min_length=1, max_length=255)
    attempt: str = Field(min_length=1, max_length=128)


CALL_MODELS: dict[str, type[CallModel]] = {
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
        keys: The old setup's API keys.
        reservation_client: Reserves tokens with the holders of grants.
        bill_finaliser: Makes bills final.
        reservations: Task that stores reservations until they are settled or released.
        claims: Task that owns the claims' documents.
        claim_shards: Number of claim documents.
        clock: The runtime's clock.
        events: Records events.
    """

    keys: KeyRing
    reservation_client: ReservationClient
    bill_finaliser: BillFinaliser
    reservations: pykka.ActorRef
    claims: pykka.ActorRef
    claim_shards: int
    clock: Clock
    events: EventLog

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        return serve_json(
            environ,
            start_response,
            keys=self.keys,
            unauthorized_message="the old setup's API key is required",
            max_body_bytes=MAX_BODY_BYTES,
            handler=self.handle_request,
        )

    def handle_request(
        self, environ: dict[str, Any], owner: str, body: bytes
    ) -> ApiResponse:
        """Validate a request and handle it.

        Args:
            environ: The WSGI environment.
            owner: Owner of the API key.
            body: The whole body.
        """
        call_model = CALL_MODELS.get(environ["PATH_INFO"].removeprefix(PREFIX))
        if call_model is None or environ["REQUEST_METHOD"] != "POST":
            return NOT_FOUND
        try:
            call = call_model.model_validate_json(body)
        except ValidationError as error:
            return ApiResponse(
                400, {"error": "; ".join(format_validation_errors(error))}
            )
        return self.dispatch(call, owner)

    def dispatch(self, call: CallModel, owner: str) -> ApiResponse:
        """Call the operation for a request."""
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
                return self.update_claim(name, claims.AbandonClaim(name, call.attempt))
            case _:
                return NOT_FOUND

    def reserve(self, call: ReserveCall) -> ApiResponse:
        """Reserve tokens and return the id of the reservation."""
        attempt = uuid.uuid4().hex
        match self.reservation_client.reserve(call.workspace, attempt, call.tokens):
            case budget_messages.Reserved(grant, holder):
                held_reservation = Reservation(
                    call.workspace, grant, holder, call.tokens
                )
                message = AddReservation(attempt, held_reservation)
                ask(self.reservations, message, self.clock, timeout=TASK_WAIT_S)
                return ApiResponse(200, {"reservation": attempt})
            case budget_messages.BudgetExhausted(left):
                return ApiResponse(
                    402, {"error": "the budget is exhausted", "left": left}
                )
            case budget_messages.HolderUnavailable(reason):
                return ApiResponse(503, {"error": reason})

    def settle(self, call: SettleCall) -> ApiResponse:
        """Bill the actual use.

        A new reservation is made if the old one has expired or is too small; the old
        one is then released.
        """
        held_reservation = self.take_reservation(call.reservation)
        attempt = call.reservation
        if held_reservation is None or held_reservation.tokens < call.tokens:
            if held_reservation is not None:
                self.release_reservation(held_reservation, attempt)
            attempt = uuid.uuid4().hex
            outcome = self.reservation_client.reserve(
                call.workspace, attempt, call.tokens
            )
            if not isinstance(outcome, budget_messages.Reserved):
                error = f"no reservation for {call.tokens} tokens, and none can be made"
                return ApiResponse(402, {"error": error})
            grant, holder = outcome.grant, outcome.holder
            held_reservation = Reservation(call.workspace, grant, holder, call.tokens)
        request_id = OLD_SETUP_REQUEST_PREFIX + call.request_id
        final = self.bill_finaliser.finalise(
            held_reservation, request_id=request_id, attempt=attempt, tokens=call.tokens
        )
        if not final:
            return ApiResponse(
                503,
                {"error": "the bill is not confirmed: settle again, it counts once"},
            )
        self.events.emit("billed", request_id=request_id, tokens=call.tokens)
        return ApiResponse(200, {"billed": call.tokens})

    def release(self, call: ReleaseCall) -> ApiResponse:
        """Release a reservation, if it is still stored."""
        held_reservation = self.take_reservation(call.reservation)
        if held_reservation is not None:
            self.release_reservation(held_reservation, call.reservation)
        return ApiResponse(200, {"released": held_reservation is not None})

    def take_reservation(self, attempt: str) -> Reservation | None:
        """Remove and return a stored reservation.

        Returns:
            The reservation, or None if it is unknown or has expired, or if the task did
            not reply in time.
        """
        message = RemoveReservation(attempt)
        reply = ask(self.reservations, message, self.clock, timeout=TASK_WAIT_S)
        return reply.reservation if isinstance(reply, RemovedReservation) else None

    def release_reservation(self, held_reservation: Reservation, attempt: str) -> None:
        """Tell the grant's holder that nothing will be billed under a reservation."""
        release = budget_messages.Release(
            held_reservation.budget, held_reservation.grant.id, attempt
        )
        self.reservation_client.release(held_reservation.holder, release)

    def claim(self, call: ClaimCall, owner: str) -> ApiResponse:
        """Claim a booking; status 409 means that the caller must not run it."""
        name = claims.claim_key(call.workspace, call.key)
        claim = claims.Claim(
            name, call.attempt, call.fingerprint, owner, self.clock.wall()
        )
        match self.apply_claim_mutation(name, claim):
            case claims.Claimed():
                return ApiResponse(200, {"claimed": True})
            case claims.AlreadyClaimed(outcome):
                document = outcome_document(outcome)
                return ApiResponse(409, {"claimed": False, "outcome": document})
            case claims.KeyReused():
                return ApiResponse(
                    422, {"error": f"key {call.key!r} was used for another call"}
                )
            case claims.ShardFull():
                return ApiResponse(
                    503, {"error": "the claim document of this key is full"}
                )
            case _:
                # The claim may still be stored. It then belongs to this attempt, so
                # the caller may retry with the same attempt id.
                return STORE_UNAVAILABLE

    def outcome(self, call: OutcomeCall) -> ApiResponse:
        """Store the outcome of a booking.

        A body larger than `claims.MAX_STORED_BODY_BYTES` is stored as empty.
        """
        try:
            body = base64.b64decode(call.body, validate=True)
        except ValueError:
            return ApiResponse(400, {"error": "body: expected base64"})
        body = body if len(body) <= claims.MAX_STORED_BODY_BYTES else b""
        outcome = claims.Outcome(call.status, call.content_type, body)
        name = claims.claim_key(call.workspace, call.key)
        return self.update_claim(name, claims.FinishClaim(name, call.attempt, outcome))

    def update_claim(self, name: str, mutation: claims.ClaimMutation) -> ApiResponse:
        """Apply a mutation to a claim and wait until it is durable."""
        result = self.apply_claim_mutation(name, mutation)
        if isinstance(result, claims.ClaimUpdated):
            return ApiResponse(200, {"stored": True})
        return STORE_UNAVAILABLE

    def apply_claim_mutation(
        self, name: str, mutation: claims.ClaimMutation
    ) -> Any | None:
        """Apply a mutation to the document that holds a claim.

        Args:
            name: Name of the claim, from `claims.claim_key`.
            mutation: The mutation.

        Returns:
            The mutation's result, or None if the key-value service did not respond in
            time; the mutation may still take effect.
        """
        mailbox = Mailbox(self.clock)
        expires = self.clock.monotonic() + STORE_WAIT_S
        key = claim_document_key(name, self.claim_shards)
        self.claims.tell(Apply(key, mutation, mailbox, expires))
        match mailbox.get(timeout=STORE_WAIT_S + 2.0):
            case Applied(result=result):
                return result
            case StoreUnavailable() | None:
                return None
            case _:
                return None


def outcome_document(outcome: claims.Outcome | None) -> dict[str, Any] | None:
    """Return an outcome as JSON values, with the body as base64."""
    if outcome is None:
        return None
    return {
        "status": outcome.status,
        "content_type": outcome.content_type,
        "body": base64.b64encode(outcome.body).decode(),
    }
