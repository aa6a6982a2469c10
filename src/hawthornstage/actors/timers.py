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
class Alarm:
    """A message to be sent at a time, and again every `period` seconds."""

    at: float
    number: int
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
        self.alarms: list[Alarm] = []
        self.numbers = itertools.count()

    def after(self, delay: float, task: pykka.ActorRef, message: Any) -> None:
        """Send a message once, `delay` seconds from now."""
        self.mailbox.put(self.alarm(delay, task, message, None))

    def every(self, period: float, task: pykka.ActorRef, message: Any) -> None:
        """Send a message every `period` seconds, first after one period."""
        self.mailbox.put(self.alarm(period, task, message, period))

    def alarm(
        self, delay: float, task: pykka.ActorRef, message: Any, period: float | None
    ) -> Alarm:
        """Make an alarm that is due `delay` seconds from now."""
        due = self.clock.monotonic() + delay
        return Alarm(due, next(self.numbers), task, message, period)

    def run(self) -> None:
        """Wait for the next alarm or for a new one."""
        while True:
            alarm = self.mailbox.get(timeout=self.pause())
            if alarm is not None:
                heapq.heappush(self.alarms, alarm)
            self.ring()

    def pause(self) -> float:
        """Return the seconds until the next alarm is due."""
        if not self.alarms:
            return 3600.0
        return max(0.0, self.alarms[0].at - self.clock.monotonic())

    def ring(self) -> None:
        """Send every message that is due."""
        now = self.clock.monotonic()
        while self.alarms and self.alarms[0].at <= now:
            alarm = heapq.heappop(self.alarms)
            try:
                alarm.task.tell(alarm.message)
            except pykka.ActorDeadError:
                continue
            if alarm.period is not None:
                # A late timer skips what it missed instead of sending a burst.
                alarm.at = max(alarm.at + alarm.period, now)
                heapq.heappush(self.alarms, alarm)
