"""Isolate: keeps a call that crashes servers from reaching many of them."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.crash_guard import (
    RequestRun,
    RunAllowed,
    RunBlocked,
    RunEnded,
)
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import Exchange

# Longest wait of a suspect for a server on which it may run alone, in seconds.
WAIT_S = 4.0
# Longest wait until the other routers know of a crash, in seconds.
TELL_S = 2.5


@dataclass(frozen=True)
class Isolate:
    """Lets a call go to its server, alone if it is a suspect.

    Args:
        guard: The task that knows the suspects.
        clock: The runtime's clock.
    """

    guard: pykka.ActorRef
    clock: Clock

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Ask whether the call may run on the chosen server."""
        assert exchange.server is not None
        asking = RequestRun(
            exchange.request.fingerprint, exchange.server.name, exchange.attempt
        )
        match ask(self.guard, asking, self.clock, timeout=WAIT_S):
            case RunAllowed():
                return exchange
            case RunBlocked():
                return Failure(ErrorKind.CRASHES_SERVERS)
            case _:
                self.ended(exchange, whole=False)
                detail = "a server broke off under this call; its next run must wait"
                return Failure(ErrorKind.NO_SERVER, detail)

    def ended(self, exchange: Exchange, *, whole: bool) -> None:
        """Tell how the call left its server."""
        if exchange.server is None:
            return
        ended = RunEnded(
            exchange.request.fingerprint,
            exchange.server.name,
            exchange.attempt,
            exchange.progress.crashed,
            whole,
        )
        if exchange.progress.crashed:
            # The caller may send the call again at once, to another router.
            ask(self.guard, ended, self.clock, timeout=TELL_S)
        else:
            self.guard.tell(Ask(ended))

    def undo(self, exchange: Exchange) -> None:
        """Leave the server."""
        self.ended(exchange, whole=False)
