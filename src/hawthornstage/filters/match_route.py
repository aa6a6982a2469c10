"""Match route: finds the route and the server pool for a request."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.tables import GetTables, TablesInUse
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.routes import match_route
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.request import ChatCall, Exchange, ServiceCall
from hawthornstage.messages.tables import Pool, PoolKind, Route, Tables
from hawthornstage.observe.events import EventLog

# Timeout for the tables task, in seconds.
TABLES_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class MatchRoute:
    """Sets the route and the pool of an exchange.

    Args:
        tables: Task that owns the routing tables.
        clock: Source of time and timeouts.
        events: Structured event log.
    """

    tables: pykka.ActorRef
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Match the request against the current routing tables."""
        mailbox = Mailbox(self.clock)
        self.tables.tell(Ask(GetTables(), mailbox))
        reply = mailbox.get(timeout=TABLES_TIMEOUT_S)
        if not isinstance(reply, TablesInUse):
            return Failure(
                ErrorKind.OVERLOADED,
                f"the tables task sent no reply within {TABLES_TIMEOUT_S} s",
            )
        return self.match(exchange, reply.tables)

    def match(self, exchange: Exchange, tables: Tables) -> Exchange | Failure:
        """Find the route and its pool, and check that they allow the call."""
        request = exchange.request
        route = match_route(tables, exchange.workspace, request.purpose)
        pool = tables.pool(route.pool) if route else None
        if route is None or pool is None:
            detail = f"workspace {exchange.workspace!r}, purpose {request.purpose!r}"
            return Failure(ErrorKind.NO_ROUTE, detail)
        failure = validate_call(exchange, route, pool)
        if failure is not None:
            return failure
        self.events.emit(
            "routed",
            request_id=request.id,
            workspace=exchange.workspace,
            purpose=request.purpose,
            route=route.name,
            pool=pool.name,
            revision=tables.revision,
        )
        return replace(exchange, route=route, pool=pool)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: `apply` acquires nothing."""


def validate_call(exchange: Exchange, route: Route, pool: Pool) -> Failure | None:
    """Return the failure if the route or its pool does not allow the call, or None."""
    request = exchange.request
    match request.call:
        case ChatCall() if pool.kind is not PoolKind.ENGINE:
            detail = f"purpose {request.purpose!r} is a plain service, not a chat model"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case ServiceCall() if pool.kind is not PoolKind.SERVICE:
            detail = f"purpose {request.purpose!r} is a chat model, not a plain service"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case ChatCall(max_tokens=limit) if (limit or 0) > pool.max_tokens:
            detail = f"max_tokens is {limit}, the limit is {pool.max_tokens}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case _ if not route.idempotent and request.idempotency_key is None:
            return Failure(ErrorKind.KEY_REQUIRED)
        case _:
            return None
