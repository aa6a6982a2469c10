"""The task that counts server crashes during calls, together with other routers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.peer_links import neighbour_processes
from hawthornstage.decisions.router_processes import changed_processes
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
        # Addresses of the neighbours' processes, by name.
        self.neighbours: dict[str, str] = {}

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
            case Ask(message=CallBlocked() as blocked, reply_to=reply_to):
                self.hear_block(blocked, now)
                reply_to.put(Acknowledged())
            case CallAnswered(fingerprint):
                if self.failures.record_answer(fingerprint, now):
                    self.blocked.publish(self.failures.blocked_calls(now))
            case KnownRouters(urls):
                self.routers = (self.node, *urls)
                self.update_neighbours(urls, now)

    def record_failure(self, failure: ServerFailedDuringCall, now: float) -> None:
        """Count a server failure, and tell the others if it blocks the call."""
        before = self.failures.is_blocked(failure.fingerprint, now)
        self.failures.record_failure(failure.fingerprint, now)
        if not before and self.failures.is_blocked(failure.fingerprint, now):
            self.events.emit(
                "call_blocked", fingerprint=failure.fingerprint, server=failure.server
            )
            self.announce_block(failure.fingerprint, now)

    def hear_block(self, blocked: CallBlocked, now: float) -> None:
        """Block a call that another router told of, unless it is known here."""
        fingerprint = blocked.fingerprint
        if self.failures.is_blocked(fingerprint, now):
            return
        self.failures.block(fingerprint, now, max(0.0, blocked.age_s or 0.0))
        if self.failures.is_blocked(fingerprint, now):
            self.announce_block(fingerprint, now)

    def announce_block(self, fingerprint: str, now: float) -> None:
        """Publish a blocked call and tell the neighbours, which tell theirs."""
        self.blocked.publish(self.failures.blocked_calls(now))
        self.tell_blocked(self.neighbours, fingerprint, now)

    def update_neighbours(self, urls: Mapping[str, str], now: float) -> None:
        """Replace the neighbours; processes that are new are told the blocked calls."""
        before = self.neighbours
        self.neighbours = neighbour_processes(self.node, urls)
        started = sorted(changed_processes(before, self.neighbours))
        if not started:
            return
        for fingerprint in self.failures.blocked_calls(now).blocked_until:
            self.tell_blocked(started, fingerprint, now)

    def tell_blocked(self, nodes: Iterable[str], fingerprint: str, now: float) -> None:
        """Tell routers of a blocked call."""
        age_s = now - self.failures.last_failure(fingerprint)
        for node in nodes:
            self.peers.tell(Send(node, CallBlocked(fingerprint, age_s or None)))
