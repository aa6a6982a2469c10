"""The task that finds prompt parts which crash servers, together with other routers."""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.crashing_parts import (
    BLOCK_TTL_S,
    BlockedParts,
    CrashingParts,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.crashing_parts import (
    AnswerBegan,
    CrashConfirmed,
    CrashDuringCall,
    CrashLog,
    CrashLogEntry,
    CrashLogRead,
    CrashLogWritten,
    CrashNews,
    PartBlocked,
    WriteCrashLog,
)
from hawthornstage.messages.store import StoreRestored
from hawthornstage.observe.events import EventLog

# Most entries of a log; the oldest are dropped first.
MAX_LOG_ENTRIES = 64
# Most entries for one incarnation of a server, which may break connections without end.
MAX_ENTRIES_PER_SERVER = 8
# Most parts of one crash that are told, and the longest id of a part, in characters:
# callers choose both, and the store limits the size of a log.
MAX_PARTS_PER_ENTRY = 32
MAX_PART_ID_LENGTH = 64
# Interval between two writes of the log for each router of the fleet, in seconds: all
# routers that have calls on a server that crashes write at that moment.
WRITE_INTERVAL_PER_ROUTER_S = 0.01


@dataclass(frozen=True)
class CheckCrashLog:
    """Triggers the check whether the log has to be written.

    All calls on a server fail together when it crashes, so one write tells of many.
    """


@dataclass(frozen=True)
class OwnEntry:
    """An entry of this router's log.

    Args:
        number: Counts the entries from 1.
        news: What happened.
        at: Monotonic time at which it happened, in seconds.
    """

    number: int
    news: CrashNews
    at: float


class CrashingPartsTask(Task):
    """Owns what this router knows of crashes by prompt part, and its log of them.

    The routers tell each other through the store, since a router may reach none of the
    others. A router that starts reads all logs.

    Args:
        node: This router's name.
        blocked: Where the blocked parts are published for the request pipe.
        writer: Task that stores the log.
        routers: Number of routers that write logs.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        blocked: LatestValue[BlockedParts],
        writer: Recipient,
        routers: LatestValue[int],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.blocked = blocked
        self.writer = writer
        self.routers = routers
        self.clock = clock
        self.events = events
        self.parts = CrashingParts()
        self.process = secrets.token_hex(4)
        self.entries: deque[OwnEntry] = deque(maxlen=MAX_LOG_ENTRIES)
        self.next_number = 1
        self.written_number = 0
        self.writing_number: int | None = None
        self.write_at = float("-inf")
        # Process and number of the last entry read from each router.
        self.read_until: dict[str, tuple[str, int]] = {}

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case CrashConfirmed(CrashDuringCall(server, parts), at):
                crash = CrashDuringCall(server, limit_parts(parts))
                self.add_crash(crash, at)
                self.record_crash(crash, at)
            case AnswerBegan(parts):
                self.record_answer(AnswerBegan(limit_parts(parts)), now)
            case CrashLogRead(node, log):
                if log.process != self.process:
                    self.apply_log(node, log, now)
            case CrashLogWritten(stored):
                self.end_write(stored)
            case CheckCrashLog():
                self.write_if_due(now)
            case StoreRestored():
                # The copy may lack what was stored last.
                self.written_number = 0
                self.writing_number = None

    def record_crash(self, crash: CrashDuringCall, at: float) -> None:
        """Record a crash, and tell the others of answers that speak for its parts."""
        self.parts.record_crash(crash.server, crash.parts, at)
        for part, answered_at in self.parts.untold_answers(crash.parts, at).items():
            self.tell_answer(AnswerBegan((part,)), answered_at)
        self.publish_blocked()

    def record_answer(self, answer: AnswerBegan, now: float) -> None:
        """Record an answer, and tell the others if it refutes a crash."""
        refuted = self.parts.record_answer(answer.answered, now)
        if refuted:
            self.tell_answer(AnswerBegan(tuple(refuted)), now)
            self.publish_blocked()

    def tell_answer(self, answer: AnswerBegan, at: float) -> None:
        """Add an answer to this router's log."""
        self.parts.record_told_answer(answer.answered, at)
        self.add_entry(answer, at)

    def publish_blocked(self) -> None:
        """Publish the blocked parts if they have changed."""
        now = self.clock.monotonic()
        before = self.blocked.value.blocked_until
        blocked = self.parts.blocked_parts(now)
        if blocked.blocked_until == before:
            return
        self.blocked.publish(blocked)
        for part in blocked.blocked_until.keys() - before.keys():
            self.events.emit("part_blocked", part=part)
            if self.has_told_crash(part):
                self.add_entry(PartBlocked(part), now)
        for part in before.keys() - blocked.blocked_until.keys():
            self.events.emit("part_unblocked", part=part)

    def has_told_crash(self, part: str) -> bool:
        """Whether this router's log tells of a crash with a part."""
        return any(part in crash.parts for crash in self.told_crashes())

    def told_crashes(self) -> Iterator[CrashDuringCall]:
        """Return the crashes in this router's log."""
        for own in self.entries:
            if isinstance(own.news, CrashDuringCall):
                yield own.news

    def apply_log(self, node: str, log: CrashLog, now: float) -> None:
        """Apply the entries of another process that were not read before.

        Those of this router's own predecessor go on in this router's log.
        """
        process, number = self.read_until.get(node, (log.process, 0))
        if process != log.process:
            number = 0
        for entry in log.entries:
            if entry.number <= number:
                continue
            number = entry.number
            if node == self.node:
                self.add_entry(entry.news, now - entry.age_s)
            self.apply_news(entry.news, now - entry.age_s)
        self.read_until[node] = (log.process, number)

    def apply_news(self, news: CrashNews, at: float) -> None:
        """Apply what another process tells."""
        match news:
            case CrashDuringCall():
                self.record_crash(news, at)
            case AnswerBegan(answered):
                self.parts.record_told_answer(answered, at)
                self.publish_blocked()
            case PartBlocked(part):
                if self.parts.adopt_block(part, at):
                    self.publish_blocked()
                else:
                    answered_at = self.parts.history(part).answered_at
                    self.tell_answer(AnswerBegan((part,)), answered_at)

    def add_crash(self, crash: CrashDuringCall, at: float) -> None:
        """Add a crash to this router's log, up to the limit for one server."""
        told = sum(other.server == crash.server for other in self.told_crashes())
        if told < MAX_ENTRIES_PER_SERVER:
            self.add_entry(crash, at)

    def add_entry(self, news: CrashNews, at: float) -> None:
        """Add an entry to this router's log; the next check writes it."""
        self.entries.append(OwnEntry(self.next_number, news, at))
        self.next_number += 1

    def write_if_due(self, now: float) -> None:
        """Write the log if it has news, no write is in progress and it is time."""
        last_number = self.next_number - 1
        if last_number == self.written_number or self.writing_number is not None:
            return
        if now < self.write_at:
            return
        self.write_at = now + WRITE_INTERVAL_PER_ROUTER_S * self.routers.value
        self.writing_number = last_number
        entries = tuple(
            CrashLogEntry(own.number, own.news, max(0.0, now - own.at))
            for own in self.entries
            if now - own.at <= BLOCK_TTL_S
        )
        log = CrashLog(self.process, entries)
        reply_to = ReplyCallback(self.actor_ref.tell)
        self.writer.tell(Ask(WriteCrashLog(log), reply_to))

    def end_write(self, stored: bool) -> None:
        """Note the end of a write; one that may have failed is repeated when due."""
        if stored and self.writing_number is not None:
            self.written_number = self.writing_number
        self.writing_number = None


def limit_parts(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts that count: the last ones of a prompt with very many."""
    counted = (part for part in parts if len(part) <= MAX_PART_ID_LENGTH)
    return tuple(counted)[-MAX_PARTS_PER_ENTRY:]
