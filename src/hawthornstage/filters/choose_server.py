"""Choose server: picks a backend server of the pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.servers import ChooseServer as Choose
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

# Longest wait for the servers task, in seconds.
WAIT_S = 2.0


@dataclass(frozen=True)
class ChooseServer:
    """Sets the server.

    Args:
        servers: The task that knows the servers.
        draw: Returns a random number in [0, 1).
        clock: The runtime's clock.
        events: Takes events.
    """

    servers: pykka.ActorRef
    draw: Callable[[], float]
    clock: Clock
    events: EventLog

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Ask for a server that was not tried before."""
        assert exchange.pool is not None
        assert exchange.route is not None
        call = exchange.request.call
        place = PlacementRequest(
            pool=exchange.pool,
            priority=exchange.route.priority,
            prefix=call.prefix if isinstance(call, ChatCall) else "",
            excluded=frozenset(exchange.progress.attempts),
            # The servers task fills in how many routers there are.
            routers=1,
            draw=self.draw(),
        )
        mailbox = Mailbox(self.clock)
        self.servers.tell(Ask(Choose(place), mailbox))
        match mailbox.get(timeout=WAIT_S):
            case Placed(server):
                exchange.progress.attempts.append(server.name)
                self.events.emit(
                    "placed", request_id=exchange.request.id, server=server.name
                )
                return replace(exchange, server=server)
            case PlacementRefused(reason):
                return Failure(ErrorKind.NO_SERVER, reason)
            case _:
                return Failure(ErrorKind.OVERLOADED, "no server was chosen in time")

    def undo(self, exchange: Exchange) -> None:
        """Take the call off the server, which is not to blame."""
        self.finish(exchange, failed=False)

    def finish(
        self, exchange: Exchange, *, failed: bool, seconds: float | None = None
    ) -> None:
        """Tell the servers task that the call has left its server."""
        if exchange.server is None:
            return
        self.servers.tell(CallFinished(exchange.server.name, seconds, failed))
