"""The operators' HTTP interface of a router."""

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
    UNAVAILABLE,
    ApiAnswer,
    serve_json,
)
from hawthornstage.border.tables_file import parse_tables, tables_document
from hawthornstage.border.wsgi import StartResponse
from hawthornstage.clock import Clock
from hawthornstage.decisions.claims import ClaimEntry, ClaimState
from hawthornstage.decisions.ledger import Budget, Ledger, ToppedUp, TopUp
from hawthornstage.decisions.membership import live
from hawthornstage.decisions.tables import Edit, EditAccepted, EditRaced
from hawthornstage.faults import SettingsFault, fault_lines
from hawthornstage.filters.authenticate import KeyRing
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.events import Event
from hawthornstage.observe.events import EventLog

PREFIX = "/operator/v1/"
# Longest wait for the key-value service, in seconds.
STORE_WAIT_S = 5.0
# Longest wait for another task, in seconds.
TASK_WAIT_S = 2.0
# Largest body of an operator's call, in bytes.
MAX_BODY_BYTES = 1024 * 1024
# Largest top-up, in tokens.
MAX_TOP_UP = 10**15

EVENTS_ADAPTER = TypeAdapter(list[Event])


@dataclass(frozen=True)
class ApiCall:
    """An operator's call.

    Args:
        operator: Who calls.
        method: HTTP method.
        path: Parts of the path below the prefix.
        query: Query values by name.
        body: The body.
    """

    operator: str
    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes


class TopUpModel(BaseModel):
    """The body of a top-up."""

    model_config = ConfigDict(extra="forbid")
    id: str = Field(min_length=1, max_length=128)
    tokens: int = Field(gt=0, le=MAX_TOP_UP)


@dataclass(frozen=True)
class OperatorApi:
    """Serves operators over WSGI.

    Args:
        keys: The operators' keys.
        tables: The task that holds the tables.
        tables_documents: The tables' document.
        ledger: The ledger's documents.
        shards: Number of ledger documents.
        claims: The claims' documents.
        claim_shards: Number of claim documents.
        budgets: The task that holds this router's grants.
        membership: The task that knows the routers.
        events: This router's events.
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
        """Serve one call."""
        return serve_json(
            environ,
            start_response,
            keys=self.keys,
            refusal="this takes an operator's key",
            max_body_bytes=MAX_BODY_BYTES,
            answer=self.read_call,
        )

    def read_call(
        self, environ: dict[str, Any], operator: str, body: bytes
    ) -> ApiAnswer:
        """Read an operator's call and answer it."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        path = environ["PATH_INFO"].removeprefix(PREFIX).strip("/").split("/")
        return self.answer(
            ApiCall(
                operator,
                environ["REQUEST_METHOD"],
                tuple(path),
                {name: values[-1] for name, values in query.items()},
                body,
            )
        )

    def answer(self, call: ApiCall) -> ApiAnswer:
        """Find the operation for a call."""
        match (call.method, *call.path):
            case ("GET", "tables"):
                return self.show_tables()
            case ("POST", "tables"):
                return self.apply_tables(call)
            case ("GET", "tables", "history"):
                return self.tables_history()
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
                return self.status()
            case ("GET", "events"):
                return self.show_events(call)
            case _:
                return NOT_FOUND

    def show_tables(self) -> ApiAnswer:
        """Return the tables in use on this router."""
        reply = ask(self.tables, GetTables(), self.clock, timeout=TASK_WAIT_S)
        if not isinstance(reply, TablesInUse):
            return ApiAnswer(503, {"error": "the tables task did not answer"})
        document = tables_document(reply.tables)
        return ApiAnswer(200, {**document, "confirmed_at": reply.confirmed_at})

    def apply_tables(self, call: ApiCall) -> ApiAnswer:
        """Make an edit of the tables."""
        try:
            tables, revision = parse_tables(call.body.decode())
        except (SettingsFault, UnicodeDecodeError) as fault:
            return ApiAnswer(400, {"error": str(fault)})
        seen = call.query.get("seen", "" if revision is None else str(revision))
        if not seen.isdigit():
            return ApiAnswer(400, {"error": "revision: expected the revision edited"})
        edited = with_edit(
            tables,
            edit_id=call.query.get("edit_id", ""),
            author=call.operator,
            at=self.clock.wall(),
            reason=call.query.get("reason", ""),
        )
        expires = self.clock.monotonic() + STORE_WAIT_S
        message = ApplyEdit(Edit(edited, int(seen)), expires)
        reply = ask(self.tables, message, self.clock, timeout=STORE_WAIT_S + 3.0)
        return self.edit_answer(reply)

    def edit_answer(self, reply: Any) -> ApiAnswer:
        """Turn what came of an edit into an answer."""
        match reply:
            case Applied(result=EditAccepted(tables)):
                self.events.emit(
                    "tables_edited", revision=tables.revision, author=tables.author
                )
                return ApiAnswer(200, {"revision": tables.revision})
            case Applied(result=EditRaced(current)):
                document = tables_document(current)
                return ApiAnswer(409, {"error": "another edit came first", **document})
            case StoreUnavailable(maybe_applied=True):
                error = "the key-value service did not answer; the edit may be in force"
                return ApiAnswer(504, {"error": error})
            case _:
                return UNAVAILABLE

    def tables_history(self) -> ApiAnswer:
        """Return who edited the tables, when and why, newest first."""
        document = self.read(self.tables_documents, TABLES_KEY)
        if document is None:
            return UNAVAILABLE
        kept = [each for each in (document.current, *document.history) if each.revision]
        return ApiAnswer(
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
                    for each in kept
                ]
            },
        )

    def show_budgets(self) -> ApiAnswer:
        """Return every budget of the ledger."""
        budgets: dict[str, Any] = {}
        for shard in range(self.shards):
            ledger = self.read(self.ledger, f"hawthornstage/ledger/{shard}")
            if ledger is None:
                return UNAVAILABLE
            for name, budget in ledger.budgets.items():
                budgets[name] = budget_document(budget)
        return ApiAnswer(200, {"budgets": dict(sorted(budgets.items()))})

    def show_budget(self, name: str) -> ApiAnswer:
        """Return one budget with its grants and top-ups."""
        ledger: Ledger | None = self.read(self.ledger, ledger_key(name, self.shards))
        if ledger is None:
            return UNAVAILABLE
        budget = ledger.budgets.get(name)
        if budget is None:
            return ApiAnswer(404, {"error": f"no budget {name!r}: top it up first"})
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
        return ApiAnswer(200, document)

    def show_bills(self) -> ApiAnswer:
        """Return every bill that the ledger remembers."""
        bills: list[dict[str, Any]] = []
        for shard in range(self.shards):
            ledger = self.read(self.ledger, f"hawthornstage/ledger/{shard}")
            if ledger is None:
                return UNAVAILABLE
            for name, budget in ledger.budgets.items():
                bills.extend(bill_documents(name, budget))
        return ApiAnswer(200, {"bills": bills})

    def show_claims(self) -> ApiAnswer:
        """Return every claim."""
        found: list[dict[str, Any]] = []
        for shard in range(self.claim_shards):
            document = self.read(self.claims, f"hawthornstage/claims/{shard}")
            if document is None:
                return UNAVAILABLE
            for name, entry in document.claims.items():
                found.append(claim_document(name, entry))
        return ApiAnswer(200, {"claims": found})

    def top_up(self, name: str, body: bytes, operator: str) -> ApiAnswer:
        """Add to a budget; a repeated id counts once."""
        try:
            model = TopUpModel.model_validate_json(body)
        except ValidationError as error:
            return ApiAnswer(400, {"error": "; ".join(fault_lines(error))})
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
                return ApiAnswer(200, {"topped_up": topped_up, "repeated": repeated})
            case StoreUnavailable(maybe_applied=True):
                error = "no answer; the top-up may have counted: repeat it with its id"
                return ApiAnswer(504, {"error": error})
            case _:
                return UNAVAILABLE

    def status(self) -> ApiAnswer:
        """Return this router's state and what it sees of the others."""
        seen = ask(self.membership, GetMembers(), self.clock, timeout=TASK_WAIT_S)
        tables = ask(self.tables, GetTables(), self.clock, timeout=TASK_WAIT_S)
        held = ask(self.budgets, GetHeldGrants(), self.clock, timeout=TASK_WAIT_S)
        if not (
            isinstance(seen, MembershipSnapshot)
            and isinstance(tables, TablesInUse)
            and isinstance(held, HeldGrants)
        ):
            return ApiAnswer(503, {"error": "a task did not answer"})
        me = replace(seen.members.me, revision=tables.tables.revision)
        others = live(seen.members, self.clock.monotonic())[1:]
        return ApiAnswer(
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

    def show_events(self, call: ApiCall) -> ApiAnswer:
        """Return kept events."""
        since = call.query.get("since_millis", "0")
        if not since.isdigit():
            return ApiAnswer(400, {"error": "since_millis: expected milliseconds"})
        found = self.events.select(
            request_id=call.query.get("request_id", ""), since_millis=int(since)
        )
        return ApiAnswer(
            200, {"events": EVENTS_ADAPTER.dump_python(found, mode="json")}
        )

    def read(self, documents: pykka.ActorRef, key: str) -> Any | None:
        """Return a document, or None if the service does not answer."""
        mailbox = Mailbox(self.clock)
        documents.tell(Read(key, mailbox))
        reply = mailbox.get(timeout=STORE_WAIT_S)
        return reply.document if isinstance(reply, ReadDone) else None


def bill_documents(workspace: str, budget: Budget) -> list[dict[str, Any]]:
    """Return a budget's remembered bills as plain values."""
    bills = dict(budget.recent)
    for grant in budget.grants.values():
        bills.update(grant.bills)
    return [
        {"workspace": workspace, "request_id": request_id, "tokens": tokens}
        for request_id, tokens in bills.items()
    ]


def claim_document(name: str, entry: ClaimEntry) -> dict[str, Any]:
    """Return a claim as plain values."""
    workspace, _, key = name.partition("\n")
    return {
        "workspace": workspace,
        "key": key,
        "claimant": entry.claimant,
        "finished": entry.state is ClaimState.FINISHED,
    }


def budget_document(budget: Budget) -> dict[str, Any]:
    """Return a budget's sums, in tokens."""
    granted = sum(grant.amount - grant.billed for grant in budget.grants.values())
    return {
        "topped_up": budget.topped_up,
        "billed": budget.total_billed,
        "granted": granted,
        "available": budget.available,
    }
