"""The task that counts server failures during calls, together with other routers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.server_failures import ServerFailures
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.fleet import KnownRouters, ServerFailedDuringCall
from hawthornstage.observe.events import EventLog

# Most routers that are notified of a server failure.
MAX_NOTIFIED_ROUTERS = 16


@dataclass(frozen=True)
class CheckCallAllowed:
    """Asks whether a call may be sent; the reply is False if it is blocked."""

    fingerprint: str


@dataclass(frozen=True)
class CallAnswered:
    """Reports that a call was answered, so it does not crash servers."""

    fingerprint: str


class ServerFailuresTask(Task):
    """Owns the server failures during calls that this router knows of.

    Args:
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, peers: Recipient, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.peers = peers
        self.clock = clock
        self.events = events
        self.failures = ServerFailures()
        self.other_routers: tuple[str, ...] = ()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=CheckCallAllowed(fingerprint), reply_to=reply_to):
                reply_to.put(not self.failures.is_blocked(fingerprint, now))
            case ServerFailedDuringCall():
                self.record_failure(message, now)
                for node in self.other_routers[:MAX_NOTIFIED_ROUTERS]:
                    self.peers.tell(Send(node, message))
            case Ask(message=ServerFailedDuringCall() as failure, reply_to=reply_to):
                self.record_failure(failure, now)
                reply_to.put(Acknowledged())
            case CallAnswered(fingerprint):
                self.failures.clear_failures(fingerprint)
            case KnownRouters(urls):
                self.other_routers = tuple(sorted(urls))

    def record_failure(self, failure: ServerFailedDuringCall, now: float) -> None:
        """Count a server failure, and log when it blocks the call."""
        before = self.failures.is_blocked(failure.fingerprint, now)
        self.failures.record_failure(failure.fingerprint, now)
        if not before and self.failures.is_blocked(failure.fingerprint, now):
            self.events.emit(
                "call_blocked", fingerprint=failure.fingerprint, server=failure.server
            )
