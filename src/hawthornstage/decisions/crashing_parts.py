"""Finds prompt parts that crash the servers which begin to answer them.

Answers calls that differ but share a part: each server that begins to answer one of
them crashes, and takes sound calls with it. Such a part has crashes and no answers,
while the parts of sound calls are answered before, between and after the crashes, by
one router or another.

A part is blocked once enough servers crashed under it without an answer since: fewer if
no answer with it is known from before. Of parts that always come together, one is
blocked: that keeps these calls back, and calls with only one of them tell which it is.
Crashes at the same moment count once, as they have a common cause. Times are seconds of
the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Servers that crash before a part is blocked, and the same for a part that was answered
# not long before: it may only come together with another one.
MAX_CRASHES = 3
MAX_CRASHES_ANSWERED = 6
# Time for which an answer counts as known from before, in seconds.
ANSWER_TTL_S = 60.0
# Time between two crashes below which they count once, in seconds.
MIN_INTERVAL_S = 0.25
# Time for which a part stays blocked after the last crash, in seconds.
BLOCK_TTL_S = 120.0
# Parts that are remembered; those without news for the longest are dropped first.
MAX_TRACKED_PARTS = 4_096


@dataclass(frozen=True)
class BlockedParts:
    """The times until which prompt parts are blocked, by part."""

    blocked_until: Mapping[str, float] = field(default_factory=dict)

    def find(self, parts: Iterable[str], now: float) -> str | None:
        """Return the first of these parts that is blocked, or None."""
        for part in parts:
            if now < self.blocked_until.get(part, now):
                return part
        return None


@dataclass
class PartHistory:
    """Crashes and answers of one part.

    Args:
        crashes: Time of each crash since the last answer, by the server's incarnation.
        answered_at: Time of the last answer of which this router knows.
        told_at: Time of the last answer of which all routers know.
        blocked: Whether it was blocked and not answered since.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    answered_at: float = float("-inf")
    told_at: float = float("-inf")
    blocked: bool = False

    @property
    def blocked_until(self) -> float:
        """Time until which the part is blocked, if it is."""
        last_at = max(self.crashes.values(), default=float("-inf"))
        return last_at + BLOCK_TTL_S if self.blocked else float("-inf")

    def is_answered(self, now: float) -> bool:
        """Whether an answer is known from not long ago."""
        return now - self.answered_at <= ANSWER_TTL_S

    def is_crashing(self, now: float) -> bool:
        """Whether enough servers crashed since the last answer."""
        limit = MAX_CRASHES_ANSWERED if self.is_answered(now) else MAX_CRASHES
        return len(self.crashes) >= limit

    def add_crash(self, server: str, at: float) -> None:
        """Count a crash unless an answer refutes it or it coincides with another."""
        if at <= self.answered_at:
            return
        coincides = any(
            abs(at - other) < MIN_INTERVAL_S for other in self.crashes.values()
        )
        if server in self.crashes or coincides:
            return
        self.crashes[server] = at
        if len(self.crashes) > MAX_CRASHES_ANSWERED:
            del self.crashes[min(self.crashes, key=lambda name: self.crashes[name])]

    def block(self, at: float) -> None:
        """Block the part as if enough servers had crashed, given the time of that."""
        self.crashes = {f"told-{n}": at for n in range(MAX_CRASHES_ANSWERED)}
        self.blocked = True

    def add_answer(self, at: float) -> bool:
        """Note an answer; return whether it refutes a crash."""
        self.answered_at = max(self.answered_at, at)
        later = {name: time for name, time in self.crashes.items() if time > at}
        refuted = len(later) < len(self.crashes)
        self.crashes = later
        self.blocked = self.blocked and self.is_crashing(at)
        return refuted


@dataclass
class CrashingParts:
    """Crashes and answers by prompt part, as far as a router knows of them."""

    histories: OrderedDict[str, PartHistory] = field(default_factory=OrderedDict)

    def history(self, part: str) -> PartHistory:
        """Return the history of a part, which becomes the one with the latest news."""
        history = self.histories.pop(part, None) or PartHistory()
        self.histories[part] = history
        while len(self.histories) > MAX_TRACKED_PARTS:
            self.histories.popitem(last=False)
        return history

    def record_crash(self, server: str, parts: Iterable[str], at: float) -> None:
        """Record a crash, and block a part of the call if it explains many.

        Args:
            server: The incarnation of the server, which had not begun to answer.
            parts: The prompt's shared parts.
            at: Time of the crash.
        """
        histories = [self.history(part) for part in parts]
        for history in histories:
            history.add_crash(server, at)
        if any(at < history.blocked_until for history in histories):
            return
        # Of equal ones the last: fewer calls share the parts at the end of a prompt.
        crashing = [each for each in reversed(histories) if each.is_crashing(at)]
        if crashing:
            max(crashing, key=lambda each: not each.is_answered(at)).blocked = True

    def record_answer(self, parts: Iterable[str], at: float) -> list[str]:
        """Record that a server began to answer a call of this router.

        Returns:
            The parts of whose answer the other routers have to be told.
        """
        return [part for part in parts if self.history(part).add_answer(at)]

    def record_told_answer(self, parts: Iterable[str], at: float) -> None:
        """Record an answer of which all routers know."""
        for part in parts:
            history = self.history(part)
            history.add_answer(at)
            history.told_at = max(history.told_at, at)

    def untold_answers(self, parts: Iterable[str], at: float) -> dict[str, float]:
        """Return the times of answers before a crash of which others may not know."""
        times = {}
        for part in parts:
            history = self.history(part)
            known = at - history.told_at <= ANSWER_TTL_S
            if not known and history.is_answered(at):
                times[part] = history.answered_at
        return times

    def adopt_block(self, part: str, at: float) -> bool:
        """Block a part because another router did, unless it was answered since.

        Args:
            part: The part.
            at: Time of the block.

        Returns:
            False if an answer refutes it.
        """
        history = self.history(part)
        if history.answered_at >= at:
            return False
        if not history.blocked:
            history.block(at)
        return True

    def blocked_parts(self, now: float) -> BlockedParts:
        """Return the parts that are blocked."""
        return BlockedParts(
            {
                part: history.blocked_until
                for part, history in self.histories.items()
                if now < history.blocked_until
            }
        )
