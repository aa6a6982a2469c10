"""Events of one process, held in a bounded buffer and written to the log."""

from __future__ import annotations

import threading
from collections import deque
from typing import Any

import structlog

from hawthornstage.clock import Clock
from hawthornstage.messages.bounded_text import bounded_text, bounded_value
from hawthornstage.messages.events import Event, Stamp
from hawthornstage.observe.log_rate_limiter import LogRateLimiter

log = structlog.get_logger()

# Most memory of the events that a process buffers for the timeline, in bytes, and what
# one takes besides the text of its fields.
MAX_BUFFERED_BYTES = 16_000_000
EVENT_BYTES = 1_500


class HybridClock:
    """A hybrid logical clock, whose timestamps are consistent with causality.

    Args:
        node: Name of the process, as the tie-breaker between processes.
        clock: Source of wall time.
    """

    def __init__(self, node: str, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.last = Stamp(0, 0, node)
        self.lock = threading.Lock()

    def now(self) -> Stamp:
        """Return a timestamp later than all issued or observed before."""
        millis = int(self.clock.wall() * 1000)
        with self.lock:
            if millis > self.last.millis:
                self.last = Stamp(millis, 0, self.node)
            else:
                self.last = Stamp(self.last.millis, self.last.counter + 1, self.node)
            return self.last

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to at least another process's timestamp."""
        with self.lock:
            if (stamp.millis, stamp.counter) > (self.last.millis, self.last.counter):
                self.last = Stamp(stamp.millis, stamp.counter, self.node)


class EventBuffer:
    """The latest events, in a bounded number of bytes; any thread may use it.

    Args:
        max_bytes: Most memory of the events, in bytes; 0 to keep none.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.kept: deque[Event] = deque()
        self.size = 0
        self.lock = threading.Lock()

    def append(self, event: Event) -> None:
        """Add an event, and drop the oldest ones beyond the limit."""
        size = size_of(event)
        if size > self.max_bytes:
            return
        with self.lock:
            self.kept.append(event)
            self.size += size
            while self.size > self.max_bytes:
                self.size -= size_of(self.kept.popleft())

    def events(self) -> list[Event]:
        """Return the events, oldest first."""
        with self.lock:
            return list(self.kept)


def size_of(event: Event) -> int:
    """Return roughly the memory of an event, in bytes."""
    texts = (each for each in event.fields.values() if isinstance(each, str))
    return EVENT_BYTES + len(event.request_id) + sum(map(len, texts))


class EventLog:
    """Records the events of all tasks of a process.

    Args:
        node: Name of the process.
        clock: Source of wall time and monotonic time.
        buffer_bytes: Most memory of the buffered events, in bytes; 0 to keep none.
    """

    def __init__(
        self, node: str, clock: Clock, *, buffer_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self.node = node
        self.clock = HybridClock(node, clock)
        self.limiter = LogRateLimiter(clock)
        self.buffer = EventBuffer(buffer_bytes)

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

        Long texts are cut off, as callers and servers may have chosen them.

        Args:
            name: Name of the event.
            request_id: Id of the request that it belongs to, or empty.
            routine: Whether the stricter limit of routine lines applies.
            fields: Additional data.
        """
        keeps = self.buffer.max_bytes > 0
        writes = self.limiter.try_acquire(routine=routine)
        if not (keeps or writes):
            return
        request_id = bounded_text(request_id)
        fields = {key: bounded_value(value) for key, value in fields.items()}
        if keeps:
            self.buffer.append(Event(self.clock.now(), name, request_id, fields))
        if not writes:
            return
        omitted = self.limiter.take_omitted_count()
        if omitted:
            log.warning("log_lines_left_out", node=self.node, count=omitted)
        id_field = {"request_id": request_id} if request_id else {}
        log.info(name, node=self.node, **id_field, **fields)

    def select(self, *, request_id: str = "", since_millis: int = 0) -> list[Event]:
        """Return buffered events.

        Args:
            request_id: Selects the events of one request; empty selects all.
            since_millis: Earliest wall time, in milliseconds since the Unix epoch.
        """
        request_id = bounded_text(request_id)
        return [
            event
            for event in self.buffer.events()
            if event.stamp.millis >= since_millis
            and (not request_id or event.request_id == request_id)
        ]
