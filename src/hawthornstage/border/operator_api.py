"""A router's HTTP interface for operators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

import pykka
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from hawthornstage.actors.ask import ask
from hawthornstage.actors.budgets import GetHeldGrants, HeldGrants, ledger_key
from hawthornstage.actors.documents import (
    Applied,
    Apply,
    Read,
    ReadDone,
    StoreUnavailable,
)
from hawthornstage.actors.members import GetMembers, MembershipSnapshot
from hawthornstage.actors.tables import (
    TABLES_KEY,
    ApplyEdit,
    GetTables,
    TablesInUse,
    with_edit,
)
from hawthornstage.border.json_api import (
    NOT_FOUND,
    STORE_UNAVAILABLE,
    ApiResponse,
    serve_json,
)
from hawthornstage.border.tables_file import parse_tables, tables_document
from hawthornstage.border.wsgi import StartResponse
from hawthornstage.clock import Clock
from hawthornstage.decisions.claims import ClaimEntry, ClaimState
from hawthornstage.decisions.ledger import Budget, Ledger, ToppedUp, TopUp
from hawthornstage.decisions.membership import live
from hawthornstage.decisions.tables import EditAccepted, EditConflict, TablesEdit
from hawthornstage.filters.authenticate import KeyRing
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.events import Event
from hawthornstage.observe.events import EventLog
from hawthornstage.settings_errors import SettingsError, format_validation_errors

PREFIX = "/operator/v1/"
# Timeout of calls to the key-value service, in seconds.
STORE_WAIT_S = 5.0
# Timeout of replies from other tasks, in seconds.
TASK_WAIT_S = 2.0
# Largest body of an operator's request, in bytes.
MAX_BODY_BYTES = 1024 * 1024
# Largest top-up, in tokens.
MAX_TOP_UP = 10**15

EVENTS_ADAPTER = TypeAdapter(list[Event])


@dataclass(frozen=True)
class OperatorCall:
    """An operator's request.

    Args:
        operator: Name of the operator whose key was used.
        method: HTTP method.
        path: Segments of the path after `PREFIX`.
        query: Query parameters; the last value of each name.
        body: The whole body.
    """

    operator: str
    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes


class TopUpModel(BaseModel):
    """The body of a top-up.

    Args:
        id: Identifies the top-up, so that a retry counts once.
        tokens: Tokens to add to the budget.
    """

    model_config = ConfigDict(extra="forbid")
    id: str = Field(min_length=1, max_length=128)
    tokens: int = Field(gt=0, le=MAX_TOP_UP)


@dataclass(frozen=True)
class OperatorApi:
    """Serves operators over WSGI.

    Args:
        keys: The operators' API keys.
        tables: Task that holds the tables in use.
        tables_documents: Task that owns the tables' document.
        ledger: Task that owns the ledger's documents.
        shards: Number of ledger documents.
        claims: Task that owns the claims' documents.
        claim_shards: Number of claim documents.
        budgets: Task that holds this router's grants.
        membership: Task that tracks the routers.
        events: This router's event log.
        clock: The runtime's clock.
    """

    keys: KeyRing
    tables: pykka.ActorRef
    tables_documents: pykka.ActorRef
    ledger: pykka.ActorRef
    shards: int
    claims: pykka.ActorRef
    claim_shards: int
    budgets: pykka.ActorRef
    membership: pykka.ActorRef
    events: EventLog
    clock: Clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        return serve_json(
            environ,
            start_response,
            keys=self.keys,
            unauthorized_message="an operator's key is required",
            max_body_bytes=MAX_BODY_BYTES,
            handler=self.handle_request,
        )

    def handle_request(
        self, environ: dict[str, Any], operator: str, body: bytes
    ) -> ApiResponse:
        """Parse an operator's request and handle it.

        Args:
            environ: The WSGI environment.
            operator: Owner of the API key.
            body: The whole body.
        """
        query = parse_qs(environ.get("QUERY_STRING", ""))
        path = environ["PATH_INFO"].removeprefix(PREFIX).strip("/").split("/")
        return self.dispatch(
            OperatorCall(
                operator,
                environ["REQUEST_METHOD"],
                tuple(path),
                {name: values[-1] for name, values in query.items()},
                body,
            )
        )

    def dispatch(self, call: OperatorCall) -> ApiResponse:
        """Call the operation for a method and path."""
        match (call.method, *call.path):
            case ("GET", "tables"):
                return self.show_tables()
            case ("POST", "tables"):
                return self.apply_tables(call)
            case ("GET", "tables", "history"):
                return self.show_tables_history()
            case ("GET", "budgets"):
                return self.show_budgets()
            case ("GET", "budgets", name):
                return self.show_budget(name)
            case ("POST", "budgets", name, "top-up"):
                return self.top_up(name, call.body, call.operator)
            case ("GET", "bills"):
                return self.show_bills()
            case ("GET", "claims"):
                return self.show_claims()
            case ("GET", "status"):
                return self.show_status()
            case ("GET", "events"):
                return self.show_events(call)
            case _:
                return NOT_FOUND

    def show_tables(self) -> ApiResponse:
        """Return the tables that this router uses."""
        reply = ask(self.tables, GetTables(), self.clock, timeout=TASK_WAIT_S)
        if not isinstance(reply, TablesInUse):
            return ApiResponse(503, {"error": "the tables task did not reply in time"})
        document = tables_document(reply.tables)
        return ApiResponse(200, {**document, "confirmed_at": reply.confirmed_at})

    def apply_tables(self, call: OperatorCall) -> ApiResponse:
        """Replace the tables.

        The request names the revision that the operator edited: a later edit in between
        causes a conflict.
        """
        try:
            tables, revision = parse_tables(call.body.decode())
        except (SettingsError, UnicodeDecodeError) as fault:
            return ApiResponse(400, {"error": str(fault)})
        base_revision = call.query.get(
            "seen", "" if revision is None else str(revision)
        )
        if not base_revision.isdigit():
            return ApiResponse(
                400, {"error": f"revision: expected a number, got {base_revision!r}"}
            )
        edited = with_edit(
            tables,
            edit_id=call.query.get("edit_id", ""),
            author=call.operator,
            at=self.clock.wall(),
            reason=call.query.get("reason", ""),
        )
        expires = self.clock.monotonic() + STORE_WAIT_S
        message = ApplyEdit(TablesEdit(edited, int(base_revision)), expires)
        reply = ask(self.tables, message, self.clock, timeout=STORE_WAIT_S + 3.0)
        return self.edit_response(reply)

    def edit_response(self, reply: Any) -> ApiResponse:
        """Return the response to an edit of the tables.

        Args:
            reply: Reply of the tables task, or None if there was none in time.
        """
        match reply:
            case Applied(result=EditAccepted(tables)):
                self.events.emit(
                    "tables_edited", revision=tables.revision, author=tables.author
                )
                return ApiResponse(200, {"revision": tables.revision})
            case Applied(result=EditConflict(current)):
                document = tables_document(current)
                return ApiResponse(
                    409, {"error": "another edit was applied first", **document}
                )
            case StoreUnavailable(maybe_applied=True):
                error = (
                    "the key-value service did not respond; the edit may be in effect"
                )
                return ApiResponse(504, {"error": error})
            case _:
                return STORE_UNAVAILABLE

    def show_tables_history(self) -> ApiResponse:
        """Return the edits of the tables with author, time and reason, newest first."""
        document = self.read_document(self.tables_documents, TABLES_KEY)
        if document is None:
            return STORE_UNAVAILABLE
        versions = [
            each for each in (document.current, *document.history) if each.revision
        ]
        return ApiResponse(
            200,
            {
                "history": [
                    {
                        "revision": each.revision,
                        "author": each.author,
                        "edited_at": each.edited_at,
                        "reason": each.reason,
                        "tables": tables_document(each),
                    }
                    for each in versions
                ]
            },
        )

    def show_budgets(self) -> ApiResponse:
        """Return the totals of every budget in the ledger."""
        budgets: dict[str, Any] = {}
        for shard in range(self.shards):
            ledger = self.read_document(self.ledger, f"hawthornstage/ledger/{shard}")
            if ledger is None:
                return STORE_UNAVAILABLE
            for name, budget in ledger.budgets.items():
                budgets[name] = budget_document(budget)
        return ApiResponse(200, {"budgets": dict(sorted(budgets.items()))})

    def show_budget(self, name: str) -> ApiResponse:
        """Return one budget with its grants and top-ups."""
        ledger: Ledger | None = self.read_document(
            self.ledger, ledger_key(name, self.shards)
        )
        if ledger is None:
            return STORE_UNAVAILABLE
        budget = ledger.budgets.get(name)
        if budget is None:
            return ApiResponse(
                404, {"error": f"no budget {name!r}: a top-up creates it"}
            )
        document = budget_document(budget)
        document["top_ups"] = budget.top_ups
        document["grants"] = {
            grant_id: {
                "holder": grant.holder,
                "amount": grant.amount,
                "billed": grant.billed,
                "witnesses": [witness.node for witness in grant.witnesses],
            }
            for grant_id, grant in budget.grants.items()
        }
        return ApiResponse(200, document)

    def show_bills(self) -> ApiResponse:
        """Return every bill that the ledger retains."""
        bills: list[dict[str, Any]] = []
        for shard in range(self.shards):
            ledger = self.read_document(self.ledger, f"hawthornstage/ledger/{shard}")
            if ledger is None:
                return STORE_UNAVAILABLE
            for name, budget in ledger.budgets.items():
                bills.extend(bill_documents(name, budget))
        return ApiResponse(200, {"bills": bills})

    def show_claims(self) -> ApiResponse:
        """Return every claim."""
        found: list[dict[str, Any]] = []
        for shard in range(self.claim_shards):
            document = self.read_document(self.claims, f"hawthornstage/claims/{shard}")
            if document is None:
                return STORE_UNAVAILABLE
            for name, entry in document.claims.items():
                found.append(claim_document(name, entry))
        return ApiResponse(200, {"claims": found})

    def top_up(self, name: str, body: bytes, operator: str) -> ApiResponse:
        """Add tokens to a budget.

        Args:
            name: The workspace.
            body: Body of the request, a `TopUpModel`; a repeated id counts once.
            operator: Name of the operator.
        """
        try:
            model = TopUpModel.model_validate_json(body)
        except ValidationError as error:
            return ApiResponse(
                400, {"error": "; ".join(format_validation_errors(error))}
            )
        mailbox = Mailbox(self.clock)
        expires = self.clock.monotonic() + STORE_WAIT_S
        mutation = TopUp(name, model.id, model.tokens)
        key = ledger_key(name, self.shards)
        self.ledger.tell(Apply(key, mutation, mailbox, expires))
        match mailbox.get(timeout=STORE_WAIT_S + 3.0):
            case Applied(result=ToppedUp(topped_up, repeated)):
                self.events.emit(
                    "topped_up", budget=name, id=model.id, operator=operator
                )
                return ApiResponse(200, {"topped_up": topped_up, "repeated": repeated})
            case StoreUnavailable(maybe_applied=True):
                error = (
                    "the key-value service did not respond; the top-up may be applied:"
                    f" retry it with id {model.id!r}"
                )
                return ApiResponse(504, {"error": error})
            case _:
                return STORE_UNAVAILABLE

    def show_status(self) -> ApiResponse:
        """Return this router's state and the other routers that it considers live."""
        seen = ask(self.membership, GetMembers(), self.clock, timeout=TASK_WAIT_S)
        tables = ask(self.tables, GetTables(), self.clock, timeout=TASK_WAIT_S)
        held = ask(self.budgets, GetHeldGrants(), self.clock, timeout=TASK_WAIT_S)
        if not (
            isinstance(seen, MembershipSnapshot)
            and isinstance(tables, TablesInUse)
            and isinstance(held, HeldGrants)
        ):
            return ApiResponse(
                503,
                {"error": "a task did not reply in time"},
            )
        me = replace(seen.members.me, revision=tables.tables.revision)
        others = live(seen.members, self.clock.monotonic())[1:]
        return ApiResponse(
            200,
            {
                "node": me.node,
                "incarnation": me.incarnation,
                "failure_domain": me.failure_domain,
                "draining": me.draining,
                "revision": me.revision,
                "confirmed_at": tables.confirmed_at,
                "sees": {each.node: each.revision for each in others},
                "grants": held.grants,
            },
        )

    def show_events(self, call: OperatorCall) -> ApiResponse:
        """Return retained events, filtered by request id and earliest time."""
        since = call.query.get("since_millis", "0")
        if not since.isdigit():
            return ApiResponse(
                400, {"error": f"since_millis: expected milliseconds, got {since!r}"}
            )
        found = self.events.select(
            request_id=call.query.get("request_id", ""), since_millis=int(since)
        )
        return ApiResponse(
            200, {"events": EVENTS_ADAPTER.dump_python(found, mode="json")}
        )

    def read_document(self, documents: pykka.ActorRef, key: str) -> Any | None:
        """Read a document from the key-value service.

        Args:
            documents: Task that owns the document.
            key: The document's key.

        Returns:
            The document, or None if the service did not respond in time.
        """
        mailbox = Mailbox(self.clock)
        documents.tell(Read(key, mailbox))
        reply = mailbox.get(timeout=STORE_WAIT_S)
        return reply.document if isinstance(reply, ReadDone) else None


def bill_documents(workspace: str, budget: Budget) -> list[dict[str, Any]]:
    """Return the bills that a budget retains, as JSON values."""
    bills = dict(budget.recent)
    for grant in budget.grants.values():
        bills.update(grant.bills)
    return [
        {"workspace": workspace, "request_id": request_id, "tokens": tokens}
        for request_id, tokens in bills.items()
    ]


def claim_document(name: str, entry: ClaimEntry) -> dict[str, Any]:
    """Return a claim as JSON values.

    Args:
        name: Workspace and idempotency key, joined by a newline.
        entry: The claim.
    """
    workspace, _, key = name.partition("\n")
    return {
        "workspace": workspace,
        "key": key,
        "claimant": entry.claimant,
        "finished": entry.state is ClaimState.FINISHED,
    }


def budget_document(budget: Budget) -> dict[str, Any]:
    """Return a budget's totals, in tokens."""
    granted = sum(grant.amount - grant.billed for grant in budget.grants.values())
    return {
        "topped_up": budget.topped_up,
        "billed": budget.total_billed,
        "granted": granted,
        "available": budget.available,
    }
