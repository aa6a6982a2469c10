"""Decides what to do about the memory that the process really has.

What connections hold is reckoned, but an allocator keeps more than is in use, and no
account sees what fragments of freed blocks take.
"""

from __future__ import annotations

from dataclasses import dataclass

# Fraction of the host's memory from which freed memory is given back, and the fraction
# that the process is kept below.
TRIM_FRACTION = 0.75
SHED_FRACTION = 0.85


@dataclass(frozen=True)
class ProcessMemory:
    """The memory of the process, and that of its host.

    Args:
        used_bytes: Resident memory of the process, in bytes.
        host_bytes: Memory that the process may have, in bytes.
    """

    used_bytes: int
    host_bytes: int

    @property
    def should_trim(self) -> bool:
        """Whether freed memory is to be given back to the host."""
        return self.used_bytes > TRIM_FRACTION * self.host_bytes

    @property
    def excess_bytes(self) -> int:
        """Bytes that are too many; 0 if there are none."""
        return max(0, self.used_bytes - int(SHED_FRACTION * self.host_bytes))
