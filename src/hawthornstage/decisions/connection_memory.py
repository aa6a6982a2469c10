"""Shares the memory that the connections of one router hold beyond their free parts.

Many callers may send bodies without end, and servers responses, and a limit for each
alone would add up. None holds more than it leaves free, so that there is room for
others however many are large. A body that is still being read gives way to others, as
its call has not been passed on.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace

# Size up to which a body or a response needs no leave, and the least step by which its
# memory grows, in bytes.
FREE_BYTES = 16 * 1024
STEP_BYTES = 64 * 1024
# Fraction of its size by which a large body or response grows.
STEP_FRACTION = 4


@dataclass(frozen=True)
class Holding:
    """Memory that a body or a response holds.

    Args:
        size: The memory, in bytes.
        grown_at: Monotonic time at which it grew last, in seconds.
        caller: Address of the caller whose body is being read; None if it is complete,
            and for a response.
        asked: Whether it has been asked to give way.
    """

    size: int
    grown_at: float
    caller: str | None = None
    asked: bool = False


@dataclass(frozen=True)
class Granted:
    """The memory is granted."""


@dataclass(frozen=True)
class Denied:
    """The memory is taken, and too little of it can give way."""


@dataclass(frozen=True)
class MustWait:
    """The memory is there once others have given way.

    Args:
        holders: Those that have to be asked now.
    """

    holders: tuple[str, ...]


@dataclass
class MemoryAccount:
    """The memory that bodies and responses hold.

    Args:
        total_bytes: Memory of all together, in bytes.
        holdings: What each holds, by what identifies it.
        excess_bytes: Memory that the process has too much of, whatever takes it, in
            bytes.
    """

    total_bytes: int
    holdings: dict[str, Holding] = field(default_factory=dict)
    excess_bytes: int = 0

    @property
    def available_bytes(self) -> int:
        """What all may hold together now, in bytes."""
        if not self.excess_bytes:
            return self.total_bytes
        held = sum(each.size for each in self.holdings.values())
        return max(0, min(self.total_bytes, held - self.excess_bytes))

    def request(
        self, holder: str, size: int, now: float, *, caller: str | None = None
    ) -> Granted | Denied | MustWait:
        """Decide whether a holder may have `size` bytes in all.

        Args:
            holder: Identifies the body or the response.
            size: Bytes with what it holds already.
            now: Monotonic time, in seconds.
            caller: Address of the caller whose body is being read, or None.
        """
        held = self.holdings.get(holder)
        if held is not None and held.asked:
            return Denied()
        others = {k: v for k, v in self.holdings.items() if k != holder}
        # It must leave as much free as it takes.
        needed = 2 * size + sum(each.size for each in others.values())
        available = self.available_bytes
        if needed <= available:
            self.holdings[holder] = Holding(size, now, caller)
            return Granted()
        chosen = choose_to_give_way(others, needed - available)
        if chosen is None:
            return Denied()
        self.note_asked(chosen)
        return MustWait(chosen)

    def note_excess(self, excess_bytes: int) -> tuple[str, ...]:
        """Note what the process has too much of.

        Args:
            excess_bytes: The memory in bytes, 0 if it has no more than it may.

        Returns:
            The bodies that have to be asked now to give way.
        """
        self.excess_bytes = excess_bytes
        reading = sum(v.size for v in self.holdings.values() if v.caller is not None)
        chosen = choose_to_give_way(self.holdings, min(excess_bytes, reading)) or ()
        self.note_asked(chosen)
        return chosen

    def note_asked(self, holders: tuple[str, ...]) -> None:
        """Note that bodies have been asked to give way."""
        for each in holders:
            self.holdings[each] = replace(self.holdings[each], asked=True)

    def complete(self, holder: str) -> None:
        """Note that a body has been read; it does not give way any more."""
        held = self.holdings.get(holder)
        if held is not None:
            self.holdings[holder] = replace(held, caller=None)

    def release(self, holder: str) -> None:
        """Take back what a body or a response holds."""
        released = self.holdings.pop(holder, None)
        if released is not None:
            self.excess_bytes = max(0, self.excess_bytes - released.size)


def choose_to_give_way(
    holdings: dict[str, Holding], bytes_needed: int
) -> tuple[str, ...] | None:
    """Choose the bodies that give way.

    The callers whose bodies hold the most come first, and of a caller's bodies the one
    that has not grown for longest.

    Args:
        holdings: What all but the one that asks hold.
        bytes_needed: Bytes that must become free, with those already asked for.

    Returns:
        Those that must be asked now, or None if it would not be enough.
    """
    reading = {k: v for k, v in holdings.items() if v.caller is not None}
    missing = bytes_needed - sum(each.size for each in reading.values() if each.asked)
    candidates = {k: v for k, v in reading.items() if not v.asked}
    held_by_caller: Counter[str] = Counter()
    for each in candidates.values():
        held_by_caller[each.caller or ""] += each.size
    chosen: list[str] = []
    while missing > 0:
        if not candidates:
            return None
        first = max(
            candidates,
            key=lambda k: (
                held_by_caller[candidates[k].caller or ""],
                -candidates[k].grown_at,
            ),
        )
        given = candidates.pop(first)
        held_by_caller[given.caller or ""] -= given.size
        missing -= given.size
        chosen.append(first)
    return tuple(chosen)


def size_to_request(needed: int, held: int) -> int | None:
    """Return the size to ask for, in bytes, or None if what is held is enough.

    Args:
        needed: Bytes that a body or a response takes now.
        held: Bytes that it may take.
    """
    if needed <= max(held, FREE_BYTES):
        return None
    step = max(1, needed // (STEP_FRACTION * STEP_BYTES)) * STEP_BYTES
    return -(-needed // step) * step
