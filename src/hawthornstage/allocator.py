"""The process's memory, and the C library's allocator of it."""

from __future__ import annotations

import ctypes
import os
from pathlib import Path

# Parameters of `mallopt`.
M_MMAP_THRESHOLD, M_ARENA_MAX = -3, -8
# Size from which a block is mapped by itself, so that its memory goes back to the host
# when it is freed, in bytes. Without it the size grows with the blocks that were freed.
MAPPED_BLOCK_BYTES = 128 * 1024
# Arenas that threads share; each keeps memory that was freed in it.
ARENAS = 2


STATM_PATH = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int | None:
    """Return the resident memory of the process in bytes, or None if it is unknown."""
    try:
        return int(STATM_PATH.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


def return_freed_memory() -> None:
    """Make the allocator return what it keeps of freed blocks to the host."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return


def limit_allocator() -> bool:
    """Make the allocator return freed large blocks to the host.

    Returns:
        False if the C library has no such settings.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    set_option(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    set_option(M_ARENA_MAX, ARENAS)
    return True
