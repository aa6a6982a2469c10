"""Events of one process, kept in a bounded buffer and written to the log."""

from __future__ import annotations

import threading
from collections import deque
from typing import Any

import structlog

from hawthornstage.clock import Clock
from hawthornstage.messages.events import Event, Stamp
from hawthornstage.observe.quota import LogRateLimiter

log = structlog.get_logger()

# Events that a process keeps for the time line.
MAX_BUFFERED_EVENTS = 20_000


class HybridClock:
    """A hybrid logical clock: wall time that never contradicts cause and effect.

    Args:
        node: Breaks ties between processes.
        clock: The runtime's clock.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.last = Stamp(0, 0, node)
        self.lock = threading.Lock()

    def now(self) -> Stamp:
        """Return a stamp later than all that were made or observed."""
        millis = int(self.clock.wall() * 1000)
        with self.lock:
            if millis > self.last.millis:
                self.last = Stamp(millis, 0, self.node)
            else:
                self.last = Stamp(self.last.millis, self.last.counter + 1, self.node)
            return self.last

    def observe(self, stamp: Stamp) -> None:
        """Take in a stamp of another process."""
        with self.lock:
            if (stamp.millis, stamp.counter) > (self.last.millis, self.last.counter):
                self.last = Stamp(stamp.millis, stamp.counter, self.node)


class EventLog:
    """Takes the events of all tasks of a process.

    Args:
        node: The process's name.
        clock: The runtime's clock.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self.node = node
        self.clock = HybridClock(node, clock)
        self.limiter = LogRateLimiter(clock)
        self.buffer: deque[Event] = deque(maxlen=MAX_BUFFERED_EVENTS)

    def emit(
        self,
        name: str,
        /,
        *,
        request_id: str = "",
        routine: bool = False,
        **fields: Any,
    ) -> None:
        """Record an event and write it to the log as one line.

        Args:
            name: What happened.
            request_id: The request it belongs to, or empty.
            routine: Whether the line may be left out first under load.
            fields: Further facts.
        """
        self.buffer.append(Event(self.clock.now(), name, request_id, fields))
        if not self.limiter.try_acquire(routine=routine):
            return
        omitted = self.limiter.take_omitted_count()
        if omitted:
            log.warning("log_lines_left_out", node=self.node, count=omitted)
        named = {"request_id": request_id} if request_id else {}
        log.info(name, node=self.node, **named, **fields)

    def select(self, *, request_id: str = "", since_millis: int = 0) -> list[Event]:
        """Return kept events of a request, or all, since a wall time."""
        return [
            event
            for event in list(self.buffer)
            if event.stamp.millis >= since_millis
            and (not request_id or event.request_id == request_id)
        ]
