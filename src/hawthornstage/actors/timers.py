"""The task that tells others when time has passed."""

from __future__ import annotations

import heapq
import itertools
import threading
from dataclasses import dataclass, field
from typing import Any

import pykka

from hawthornstage.clock import Clock
from hawthornstage.mailbox import Mailbox


@dataclass(order=True)
class ScheduledMessage:
    """A message to be sent at a time, and again every `period` seconds."""

    due_at: float
    sequence_number: int
    task: pykka.ActorRef = field(compare=False)
    message: Any = field(compare=False)
    period: float | None = field(compare=False)


class Timers(threading.Thread):
    """Sends messages at set times.

    Args:
        clock: The clock that the times are read from.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(name="timers", daemon=True)
        self.clock = clock
        self.mailbox = Mailbox(clock)
        self.scheduled: list[ScheduledMessage] = []
        self.sequence_numbers = itertools.count()

    def after(self, delay: float, task: pykka.ActorRef, message: Any) -> None:
        """Send a message once, `delay` seconds from now."""
        self.mailbox.put(self.scheduled_message(delay, task, message, None))

    def every(self, period: float, task: pykka.ActorRef, message: Any) -> None:
        """Send a message every `period` seconds, first after one period."""
        self.mailbox.put(self.scheduled_message(period, task, message, period))

    def scheduled_message(
        self, delay: float, task: pykka.ActorRef, message: Any, period: float | None
    ) -> ScheduledMessage:
        """Make an alarm that is due `delay` seconds from now."""
        due = self.clock.monotonic() + delay
        return ScheduledMessage(due, next(self.sequence_numbers), task, message, period)

    def run(self) -> None:
        """Wait for the next alarm or for a new one."""
        while True:
            scheduled_message = self.mailbox.get(timeout=self.time_to_next())
            if scheduled_message is not None:
                heapq.heappush(self.scheduled, scheduled_message)
            self.send_due()

    def time_to_next(self) -> float:
        """Return the seconds until the next alarm is due."""
        if not self.scheduled:
            return 3600.0
        return max(0.0, self.scheduled[0].due_at - self.clock.monotonic())

    def send_due(self) -> None:
        """Send every message that is due."""
        now = self.clock.monotonic()
        while self.scheduled and self.scheduled[0].due_at <= now:
            scheduled_message = heapq.heappop(self.scheduled)
            try:
                scheduled_message.task.tell(scheduled_message.message)
            except pykka.ActorDeadError:
                continue
            if scheduled_message.period is not None:
                # A late timer skips what it missed instead of sending a burst.
                scheduled_message.due_at = max(
                    scheduled_message.due_at + scheduled_message.period, now
                )
                heapq.heappush(self.scheduled, scheduled_message)
