"""The thread that sends messages to tasks after a delay or periodically."""

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
    """A message to be sent at a set time.

    Args:
        due_at: Monotonic time at which it is due, in seconds.
        sequence_number: Orders messages that are due at the same time.
        task: The recipient.
        message: The message.
        period: Interval of sending it again, in seconds, or None to send it once.
    """

    due_at: float
    sequence_number: int
    task: pykka.ActorRef = field(compare=False)
    message: Any = field(compare=False)
    period: float | None = field(compare=False)


class Timers(threading.Thread):
    """Owns the scheduled messages and sends each when it is due.

    Args:
        clock: The runtime's clock.
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
        """Create a message that is due `delay` seconds from now."""
        due = self.clock.monotonic() + delay
        return ScheduledMessage(due, next(self.sequence_numbers), task, message, period)

    def run(self) -> None:
        """Wait until a message is due or a new one is scheduled."""
        while True:
            scheduled_message = self.mailbox.get(timeout=self.time_to_next())
            if scheduled_message is not None:
                heapq.heappush(self.scheduled, scheduled_message)
            self.send_due()

    def time_to_next(self) -> float:
        """Return the seconds until the next message is due."""
        if not self.scheduled:
            return 3600.0
        return max(0.0, self.scheduled[0].due_at - self.clock.monotonic())

    def send_due(self) -> None:
        """Send every message that is due; drop those to stopped tasks."""
        now = self.clock.monotonic()
        while self.scheduled and self.scheduled[0].due_at <= now:
            scheduled_message = heapq.heappop(self.scheduled)
            try:
                scheduled_message.task.tell(scheduled_message.message)
            except pykka.ActorDeadError:
                continue
            if scheduled_message.period is not None:
                # After a delay, missed periods are skipped instead of sent in a burst.
                scheduled_message.due_at = max(
                    scheduled_message.due_at + scheduled_message.period, now
                )
                heapq.heappush(self.scheduled, scheduled_message)
