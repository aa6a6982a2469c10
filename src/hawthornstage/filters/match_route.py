"""Match route: finds the route and the pool for a request."""

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

# Longest wait for the tables task, in seconds.
WAIT_S = 2.0


@dataclass(frozen=True)
class MatchRoute:
    """Sets route and pool.

    Args:
        tables: The task that holds the tables.
        clock: The runtime's clock.
        events: Takes events.
    """

    tables: pykka.ActorRef
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Look the request up in the tables in use."""
        mailbox = Mailbox(self.clock)
        self.tables.tell(Ask(GetTables(), mailbox))
        reply = mailbox.get(timeout=WAIT_S)
        if not isinstance(reply, TablesInUse):
            return Failure(ErrorKind.OVERLOADED, "the tables were not read in time")
        return self.match(exchange, reply.tables)

    def match(self, exchange: Exchange, tables: Tables) -> Exchange | Failure:
        """Find route and pool, and check that the call suits them."""
        request = exchange.request
        route = match_route(tables, exchange.workspace, request.purpose)
        pool = tables.pool(route.pool) if route else None
        if route is None or pool is None:
            detail = f"workspace {exchange.workspace!r}, purpose {request.purpose!r}"
            return Failure(ErrorKind.NO_ROUTE, detail)
        fault = unsuited(exchange, route, pool)
        if fault is not None:
            return fault
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
        """Do nothing: nothing was taken."""


def unsuited(exchange: Exchange, route: Route, pool: Pool) -> Failure | None:
    """Say why a call does not suit the pool that its route names, or None."""
    request = exchange.request
    match request.call:
        case ChatCall() if pool.kind is not PoolKind.ENGINE:
            detail = f"purpose {request.purpose!r} is served by a plain service"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case ServiceCall() if pool.kind is not PoolKind.SERVICE:
            detail = f"purpose {request.purpose!r} is served by model engines"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case ChatCall(max_tokens=limit) if (limit or 0) > pool.max_tokens:
            detail = f"max_tokens: at most {pool.max_tokens}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        case _ if not route.idempotent and request.idempotency_key is None:
            return Failure(ErrorKind.KEY_REQUIRED)
        case _:
            return None
