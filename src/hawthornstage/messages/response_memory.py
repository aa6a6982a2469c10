"""Messages between calls and the task that limits the memory of large responses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RequestMemory:
    """Asks for memory for a response; the reply is `MemoryGranted` or `MemoryDenied`.

    Args:
        holder: Identifies the response.
        size: All memory that it needs now, in bytes, with what it holds already.
    """

    holder: str
    size: int


@dataclass(frozen=True)
class MemoryGranted:
    """The response may take the memory until it is released."""


@dataclass(frozen=True)
class MemoryDenied:
    """Other responses hold the memory."""


@dataclass(frozen=True)
class ReleaseMemory:
    """The response needs no memory any more."""

    holder: str
