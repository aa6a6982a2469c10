"""Isolate: limits how many servers a call that crashes servers can reach."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.servers.crash_guard import (
    RequestRun,
    RunAllowed,
    RunBlocked,
    RunEnded,
)
from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import Exchange

# Timeout of a suspected call for a server on which it may run alone, in seconds.
EXCLUSIVE_RUN_TIMEOUT_S = 4.0
# Timeout until all other routers have acknowledged a crash, in seconds.
CRASH_BROADCAST_TIMEOUT_S = 2.5


@dataclass(frozen=True)
class Isolate:
    """Admits a call to its server.

    A call during which a server crashed is suspected: it waits until no other
    suspected call runs on the chosen server.

    Args:
        crash_guard: Task that tracks suspected and blocked calls.
        clock: Source of time and timeouts.
    """

    crash_guard: pykka.ActorRef
    clock: Clock

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Ask the crash guard whether the call may run on the chosen server."""
        assert exchange.server is not None
        asking = RequestRun(
            exchange.request.fingerprint, exchange.server.name, exchange.attempt
        )
        match ask(
            self.crash_guard, asking, self.clock, timeout=EXCLUSIVE_RUN_TIMEOUT_S
        ):
            case RunAllowed():
                return exchange
            case RunBlocked():
                return Failure(ErrorKind.CRASHES_SERVERS)
            case _:
                self.call_ended(exchange, completed=False)
                detail = (
                    "a server failed during an earlier run of this call; the chosen"
                    f" server could not run it alone within {EXCLUSIVE_RUN_TIMEOUT_S} s"
                )
                return Failure(ErrorKind.NO_SERVER, detail)

    def call_ended(self, exchange: Exchange, *, completed: bool) -> None:
        """Report to the crash guard how the call ended.

        Args:
            exchange: The call; nothing is reported before a server is chosen.
            completed: Whether the call ran to its end.
        """
        if exchange.server is None:
            return
        call_ended = RunEnded(
            exchange.request.fingerprint,
            exchange.server.name,
            exchange.attempt,
            exchange.progress.server_failed,
            completed,
        )
        if exchange.progress.server_failed:
            # The caller may retry at once through another router, which must know
            # of the crash by then.
            ask(
                self.crash_guard,
                call_ended,
                self.clock,
                timeout=CRASH_BROADCAST_TIMEOUT_S,
            )
        else:
            self.crash_guard.tell(Ask(call_ended))

    def undo(self, exchange: Exchange) -> None:
        """Report that the call ended before it completed."""
        self.call_ended(exchange, completed=False)
