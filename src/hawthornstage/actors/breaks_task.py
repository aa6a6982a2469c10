"""The task that counts servers' breaks under calls, with the other routers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.breaks import ServerFailures
from hawthornstage.messages.fleet import CallBroke, RoutersKnown
from hawthornstage.messages.money import Acknowledged
from hawthornstage.observe.events import EventLog

# Routers that are told of each break.
MAX_TOLD = 16


@dataclass(frozen=True)
class MayRun:
    """Asks whether a call may be sent; the reply is True or False."""

    fingerprint: str


@dataclass(frozen=True)
class CallAnswered:
    """A call got its answer, so it does not crash servers."""

    fingerprint: str


class BreaksTask(Task):
    """Owns the breaks that this router knows of.

    Args:
        peers: Reaches the other routers.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(self, peers: pykka.ActorRef, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.peers = peers
        self.clock = clock
        self.events = events
        self.breaks = ServerFailures()
        self.others: tuple[str, ...] = ()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=MayRun(fingerprint), reply_to=reply_to):
                reply_to.put(not self.breaks.is_blocked(fingerprint, now))
            case CallBroke():
                self.note(message, now)
                for node in self.others[:MAX_TOLD]:
                    self.peers.tell(Send(node, message))
            case Ask(message=CallBroke() as broke, reply_to=reply_to):
                self.note(broke, now)
                reply_to.put(Acknowledged())
            case CallAnswered(fingerprint):
                self.breaks.clear_failures(fingerprint)
            case RoutersKnown(urls):
                self.others = tuple(sorted(urls))

    def note(self, broke: CallBroke, now: float) -> None:
        """Count a break, and say when it blocks the call."""
        before = self.breaks.is_blocked(broke.fingerprint, now)
        self.breaks.record_failure(broke.fingerprint, now)
        if not before and self.breaks.is_blocked(broke.fingerprint, now):
            self.events.emit(
                "call_blocked", fingerprint=broke.fingerprint, server=broke.server
            )
