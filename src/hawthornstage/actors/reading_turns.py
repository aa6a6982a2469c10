"""The task that gives connections their turns to read long requests."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.task import Task
from hawthornstage.actors.timers import Timers
from hawthornstage.clock import Clock
from hawthornstage.decisions.reading_turns import MAX_TURN_S, TURN_S, TurnOrder
from hawthornstage.messages.reading_turns import (
    GrantTurn,
    Reader,
    ReadingEnded,
    RequestTurn,
    TurnEnded,
    TurnGranted,
    TurnRecipient,
)
from hawthornstage.observe.events import EventLog


class ReadingTurnsTask(Task):
    """Owns the order in which connections read what exceeds their free parts.

    Args:
        timers: Sends the message that ends a rest.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, timers: Timers, *, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.timers = timers
        self.clock = clock
        self.events = events
        self.order = TurnOrder()
        self.recipients: dict[int, TurnRecipient] = {}
        self.scheduled = False

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case RequestTurn(reader, outside_s, recipient):
                self.log_first(reader)
                self.recipients[reader.number] = recipient
                self.order.request(reader, outside_s, now)
            case TurnEnded(reader):
                self.order.end_turn(reader, now)
            case ReadingEnded(number):
                self.recipients.pop(number, None)
                self.order.end_reading(number, now)
            case GrantTurn():
                self.scheduled = False
        self.grant(now)

    def log_first(self, reader: Reader) -> None:
        """Log that a request exceeds its free part, once for each request."""
        if reader.number not in self.order.known:
            self.events.emit(
                "request_read_in_turns",
                routine=True,
                caller=reader.caller,
                used_ms=int(reader.used_s * 1000),
                waiting=len(self.order.waiting),
            )

    def grant(self, now: float) -> None:
        """Grant the next turn if it is due, or schedule it.

        Args:
            now: Monotonic time in seconds.
        """
        chosen = self.order.next_turn(now)
        if chosen is not None:
            self.recipients.pop(chosen).put(TurnGranted(TURN_S, MAX_TURN_S))
        due_in_s = self.order.due_in_s(now)
        if due_in_s is not None and not self.scheduled:
            self.scheduled = True
            self.timers.after(due_in_s, self.actor_ref, GrantTurn())
