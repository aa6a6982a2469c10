"""Choose server: chooses a backend server of the pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.servers.placement import ChooseServer as Choose
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.placement import (
    CallFinished,
    Placed,
    PlacementRefused,
    PlacementRequest,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.request import ChatCall, Exchange
from hawthornstage.observe.events import EventLog

# Timeout for the servers task, in seconds.
CHOICE_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ChooseServer:
    """Sets the server of an exchange.

    Args:
        servers: Task that tracks the servers and their load.
        draw: Returns a random number in [0, 1).
        clock: Source of time and timeouts.
        events: Structured event log.
    """

    servers: pykka.ActorRef
    draw: Callable[[], float]
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Ask for a server that the call has not been sent to yet."""
        assert exchange.pool is not None
        assert exchange.route is not None
        call = exchange.request.call
        place = PlacementRequest(
            pool=exchange.pool,
            priority=exchange.route.priority,
            prefix=call.prefix if isinstance(call, ChatCall) else "",
            excluded=frozenset(exchange.progress.attempts),
            # Placeholder: the servers task sets the number of routers.
            routers=1,
            draw=self.draw(),
        )
        mailbox = Mailbox(self.clock)
        self.servers.tell(Ask(Choose(place), mailbox))
        match mailbox.get(timeout=CHOICE_TIMEOUT_S):
            case Placed(server):
                exchange.progress.attempts.append(server.name)
                self.events.emit(
                    "placed", request_id=exchange.request.id, server=server.name
                )
                return replace(exchange, server=server)
            case PlacementRefused(reason):
                return Failure(ErrorKind.NO_SERVER, reason)
            case _:
                return Failure(
                    ErrorKind.OVERLOADED,
                    f"no server was chosen within {CHOICE_TIMEOUT_S} s",
                )

    def undo(self, exchange: Exchange) -> None:
        """Report that the call ended, without counting a failure of the server."""
        self.report_finished(exchange, failed=False)

    def report_finished(
        self, exchange: Exchange, *, failed: bool, seconds: float | None = None
    ) -> None:
        """Report to the servers task that the call has ended.

        Args:
            exchange: The call; nothing is reported before a server is chosen.
            failed: Whether the failure counts against the server.
            seconds: Time since the request arrived, in seconds; None if not measured.
        """
        if exchange.server is None:
            return
        self.servers.tell(CallFinished(exchange.server.name, seconds, failed))
