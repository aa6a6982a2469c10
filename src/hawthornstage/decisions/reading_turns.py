"""Decides which connection reads next, and for how long.

A request can cost far more processor time to read than to serve: bodies in tiny chunks
and heads in tiny pieces do. The time is reckoned from what all requests consist of:
reads, bytes and lines. Each request is read freely up to a little of it, which ordinary
ones don't reach. Beyond it, connections take turns, one at a time: first those of the
caller whose connections have used the least, and among these the one that has used the
least. A long body therefore waits for shorter ones, whenever it came, and many
connections of one caller count as one.

After each turn there is a rest, in which everything else runs: at least as long as the
turn took, and longer while the process is busy, which shows in turns that begin late. A
rest is bounded, so that long bodies are read on a busy router too. Times are seconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from hawthornstage.messages.reading_turns import Reader

# Processor time of a read, of each byte and each line of it, and of a request's head
# and each header. Every element of a request ends a line: a header, a chunk, its size.
READ_S = 40e-6
BYTE_S = 2e-9
LINE_S = 1e-6
HEAD_S = 150e-6
HEADER_S = 10e-6
# Processor time of a refusal that costs the caller nothing.
REFUSAL_S = 500e-6
# Processor time in which a request is read without a turn.
FREE_S = 0.002
# Processor time of one turn, and the longest time on the clock that it may take.
TURN_S = 0.002
MAX_TURN_S = 0.01
# Rest after a turn, as a multiple of the time that it took.
REST_FACTOR = 1.0
# Further rest, as a multiple of how late the turn began.
LATE_FACTOR = 4.0
MAX_REST_S = 0.1


def read_cost_s(size: int, lines: int) -> float:
    """Return the processor time to read and decode a part of a request.

    Args:
        size: Bytes that one read returned.
        lines: Line ends among them.
    """
    return READ_S + size * BYTE_S + lines * LINE_S


def head_cost_s(headers: int) -> float:
    """Return the processor time to parse a head with a number of headers."""
    return HEAD_S + headers * HEADER_S


@dataclass(frozen=True)
class WaitingReader:
    """A connection that waits for its turn.

    Args:
        reader: The connection.
        position: Orders those that have used the same time.
        since: Monotonic time since when it waits.
    """

    reader: Reader
    position: int
    since: float


@dataclass
class TurnOrder:
    """The connections that read more than their free part of a request.

    Args:
        waiting: Those that wait for a turn, by number.
        known: All of them as last heard of, by number.
        used_by_caller: Processor time of each caller's connections in `known`.
        running: Number of the one whose turn it is, or None.
        began_at: Monotonic time at which the latest turn began.
        rest_until: Monotonic time at which the next turn may begin.
        late_s: How late the latest turn began.
        positions: Numbers the requests for turns.
    """

    waiting: dict[int, WaitingReader] = field(default_factory=dict)
    known: dict[int, Reader] = field(default_factory=dict)
    used_by_caller: Counter[str] = field(default_factory=Counter)
    running: int | None = None
    began_at: float = float("-inf")
    rest_until: float = float("-inf")
    late_s: float = 0.0
    positions: count[int] = field(default_factory=count)

    def request(self, reader: Reader, outside_s: float, now: float) -> None:
        """Add a connection to those that wait.

        Args:
            reader: The connection.
            outside_s: What it has used outside of turns, which is rested for as well.
            now: Monotonic time.
        """
        self.update(reader)
        self.rest(outside_s * REST_FACTOR, now)
        position = next(self.positions)
        self.waiting[reader.number] = WaitingReader(reader, position, now)

    def next_turn(self, now: float) -> int | None:
        """Begin the next turn; return the connection's number, or None for now.

        Args:
            now: Monotonic time.
        """
        if self.running is not None or not self.waiting or now < self.rest_until:
            return None
        first_since = min(each.since for each in self.waiting.values())
        self.late_s = now - max(self.rest_until, first_since)
        self.began_at = now
        self.running = min(self.waiting.values(), key=self.rank).reader.number
        del self.waiting[self.running]
        return self.running

    def rank(self, waiting: WaitingReader) -> tuple[float, float, int]:
        """Return the place of a connection in the order; the lowest is next."""
        reader = waiting.reader
        by_caller = self.used_by_caller[reader.caller]
        return by_caller, reader.used_s, waiting.position

    def end_turn(self, reader: Reader, now: float) -> None:
        """End a turn, and begin the rest after it.

        Args:
            reader: The connection with the time that it has used.
            now: Monotonic time.
        """
        used_s = self.update(reader)
        if self.running == reader.number:
            self.running = None
            took_s = max(used_s, now - self.began_at)
            self.rest(took_s * REST_FACTOR + self.late_s * LATE_FACTOR, now)

    def end_reading(self, number: int, now: float) -> None:
        """Forget a connection whose request has been read, or has ended.

        Args:
            number: Identifies the connection.
            now: Monotonic time.
        """
        self.waiting.pop(number, None)
        reader = self.known.pop(number, None)
        if reader is not None:
            self.used_by_caller[reader.caller] -= reader.used_s
            if not any(each.caller == reader.caller for each in self.known.values()):
                del self.used_by_caller[reader.caller]
        if self.running == number:
            self.running = None
            self.rest(0.0, now)

    def due_in_s(self, now: float) -> float | None:
        """Return the time until the next turn, or None if it depends on others."""
        if self.running is not None or not self.waiting:
            return None
        return max(0.0, self.rest_until - now)

    def update(self, reader: Reader) -> float:
        """Note what a connection has used; return what is new of it."""
        before = self.known.get(reader.number)
        new_s = reader.used_s - (before.used_s if before else 0.0)
        self.known[reader.number] = reader
        self.used_by_caller[reader.caller] += new_s
        return max(0.0, new_s)

    def rest(self, length_s: float, now: float) -> None:
        """Put the next turn off, by no more than the longest rest from now."""
        begin = max(now, self.rest_until)
        self.rest_until = min(begin + length_s, now + MAX_REST_S)
