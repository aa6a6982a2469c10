"""Limits the memory that responses take while they are read, on one router.

A response that is small needs no leave. Servers may send without end on many calls at
once, and a limit for each response alone would add up. A response holds at most as much
as it leaves free, so that there is room for others however many are large.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Size up to which a response needs no leave, and the step by which its memory grows, in
# bytes.
FREE_BYTES = 64 * 1024
STEP_BYTES = 64 * 1024
# Memory of all larger responses together, in bytes.
MAX_TOTAL_BYTES = 16 * 1024 * 1024


@dataclass
class MemoryQuota:
    """The memory that responses hold, in bytes, by what identifies them."""

    held: dict[str, int] = field(default_factory=dict)

    def request(self, holder: str, size: int) -> bool:
        """Let a response hold `size` bytes in all; return False if it may not."""
        others = sum(self.held.values()) - self.held.get(holder, 0)
        if size > (MAX_TOTAL_BYTES - others) // 2:
            return False
        self.held[holder] = size
        return True

    def release(self, holder: str) -> None:
        """Take back what a response holds."""
        self.held.pop(holder, None)


def size_to_request(needed: int, held: int) -> int | None:
    """Return the size to ask for, in bytes, or None if what is held is enough.

    Args:
        needed: Bytes that a response takes now.
        held: Bytes that it may take.
    """
    if needed <= max(held, FREE_BYTES):
        return None
    return -(-needed // STEP_BYTES) * STEP_BYTES
