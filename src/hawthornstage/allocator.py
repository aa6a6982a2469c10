"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

# Parameters of `mallopt`.
M_MMAP_THRESHOLD, M_ARENA_MAX = -3, -8
# Size from which a block is mapped by itself, so that its memory goes back to the host
# when it is freed, in bytes. Without it the size grows with the blocks that were freed.
MAPPED_BLOCK_BYTES = 128 * 1024
# Arenas that threads share; each keeps memory that was freed in it.
ARENAS = 2


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
