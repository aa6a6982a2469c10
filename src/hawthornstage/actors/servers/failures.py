"""The task that counts server crashes during calls, together with other routers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.peer_links import neighbours
from hawthornstage.decisions.server_failures import (
    BlockedCalls,
    ServerFailures,
    counting_routers,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.fleet import (
    CallBlocked,
    KnownRouters,
    ServerFailedDuringCall,
)
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class CallAnswered:
    """Reports that a call was answered, so it does not crash servers."""

    fingerprint: str


class ServerFailuresTask(Task):
    """Owns the server failures during calls that this router knows of.

    Args:
        node: This router's name.
        blocked: Where the blocked calls are published for the request pipe.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        blocked: LatestValue[BlockedCalls],
        peers: Recipient,
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.blocked = blocked
        self.peers = peers
        self.clock = clock
        self.events = events
        self.failures = ServerFailures()
        self.routers: tuple[str, ...] = (node,)
        self.neighbours: tuple[str, ...] = ()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case ServerFailedDuringCall(fingerprint):
                if self.failures.is_answered(fingerprint, now):
                    return
                self.record_failure(message, now)
                for node in counting_routers(message.fingerprint, self.routers):
                    if node != self.node:
                        self.peers.tell(Send(node, message))
            case Ask(message=ServerFailedDuringCall() as failure, reply_to=reply_to):
                self.record_failure(failure, now)
                reply_to.put(Acknowledged())
            case Ask(message=CallBlocked(fingerprint), reply_to=reply_to):
                known = self.failures.is_blocked(fingerprint, now)
                if not (known or self.failures.is_answered(fingerprint, now)):
                    self.failures.block(fingerprint, now)
                    self.announce_block(fingerprint, now)
                reply_to.put(Acknowledged())
            case CallAnswered(fingerprint):
                if self.failures.record_answer(fingerprint, now):
                    self.blocked.publish(self.failures.blocked_calls(now))
            case KnownRouters(urls):
                self.routers = (self.node, *urls)
                self.neighbours = neighbours(self.node, urls)

    def record_failure(self, failure: ServerFailedDuringCall, now: float) -> None:
        """Count a server failure, and tell the others if it blocks the call."""
        before = self.failures.is_blocked(failure.fingerprint, now)
        self.failures.record_failure(failure.fingerprint, now)
        if not before and self.failures.is_blocked(failure.fingerprint, now):
            self.events.emit(
                "call_blocked", fingerprint=failure.fingerprint, server=failure.server
            )
            self.announce_block(failure.fingerprint, now)

    def announce_block(self, fingerprint: str, now: float) -> None:
        """Publish a blocked call and tell the neighbours, which tell theirs."""
        self.blocked.publish(self.failures.blocked_calls(now))
        for node in self.neighbours:
            self.peers.tell(Send(node, CallBlocked(fingerprint)))
