"""The order in which a router on the users' platform stops within its grace period."""

from __future__ import annotations

from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.caller_listener import CallerListener
from hawthornstage.actors.callers import StopSignal
from hawthornstage.actors.fleet_members import Deregister
from hawthornstage.actors.servers.tunnels import TunnelsTask
from hawthornstage.actors.store_watch import sleep
from hawthornstage.actors.token_accounts import ReturnAllTokens, StopDrawingAhead
from hawthornstage.clock import Clock
from hawthornstage.messages.stream_versions import HandOverStreams
from hawthornstage.observe.events import EventLog

# Time after SIGTERM until new connections are refused, in seconds: the load balancer
# needs two responses, one second apart, to see that this router is no longer ready.
DRAIN_NOTICE_S = 2.6
# Time by which shutdown finishes before the end of the grace period, in seconds.
GRACE_MARGIN_S = 0.8
# Timeout for accepting the last connections at shutdown, in seconds.
CLOSE_LISTENER_TIMEOUT_S = 0.5
# Time in which calls on the last connections arrive before further ones are refused, in
# seconds.
LAST_CALLS_S = 0.4
# Timeout for the return of tokens at shutdown, in seconds.
RETURN_TOKENS_TIMEOUT_S = 0.6


@dataclass(frozen=True)
class FleetShutdown:
    """Stops accepting calls, finishes those in progress, and returns the tokens held.

    Args:
        stopping: Signals to callers' connections that the router stops.
        callers: Accepts callers' connections.
        tunnels: Carries calls of other routers.
        token_accounts: Task that owns the token accounts.
        stream_versions: Task that owns the versions that began streams.
        members: Task that owns this router's entry in the store.
        clock: The runtime's clock.
        events: The event log.
    """

    stopping: StopSignal
    callers: CallerListener
    tunnels: TunnelsTask
    token_accounts: pykka.ActorRef
    stream_versions: pykka.ActorRef
    members: pykka.ActorRef
    clock: Clock
    events: EventLog

    def run(self, grace_s: float) -> None:
        """Shut down.

        Args:
            grace_s: Time until the process is killed, in seconds.
        """
        deadline = self.clock.monotonic() + grace_s - GRACE_MARGIN_S
        self.events.emit("stopping", at_work=self.callers.connections.calls)
        self.refuse_more()
        whole = self.wait_for_calls(deadline - RETURN_TOKENS_TIMEOUT_S)
        returned = ask(
            self.token_accounts,
            ReturnAllTokens(),
            self.clock,
            timeout=RETURN_TOKENS_TIMEOUT_S,
        )
        self.members.tell(Deregister())
        self.events.emit("stopped", whole=whole, returned=bool(returned))

    def refuse_more(self) -> None:
        """Accept what has been sent already, then refuse all further calls."""
        self.stopping.close_after_response()
        self.tunnels.refuse_new()
        self.token_accounts.tell(StopDrawingAhead())
        self.stream_versions.tell(HandOverStreams())
        sleep(self.clock, DRAIN_NOTICE_S)
        self.callers.close(CLOSE_LISTENER_TIMEOUT_S)
        self.stopping.close_idle()
        sleep(self.clock, LAST_CALLS_S)
        self.stopping.refuse_calls()

    def wait_for_calls(self, deadline: float) -> bool:
        """Wait for the calls in progress, those of other routers included.

        Args:
            deadline: Monotonic time at which to stop waiting, in seconds.

        Returns:
            Whether all have ended.
        """
        whole = self.callers.wait_ended(deadline - self.clock.monotonic())
        return self.tunnels.wait_ended(deadline - self.clock.monotonic()) and whole
