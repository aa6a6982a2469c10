"""Messages between calls and the task that owns the memory of connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class GiveWay:
    """The connection has to close, as others need what it holds."""


class Interruptible(Protocol):
    """A connection's task that waits for the rest of a request."""

    def put(self, message: GiveWay) -> None:
        """Wake the task; must not block."""


@dataclass(frozen=True)
class RequestMemory:
    """Asks for memory; the reply is `MemoryGranted` or `MemoryDenied`.

    Args:
        holder: Identifies the body or the response.
        size: All memory that it needs now, in bytes, with what it holds already.
        caller: Address of the caller whose body is being read; None for a response.
        interrupt: Gets `GiveWay` if the body is to give its memory to others.
    """

    holder: str
    size: int
    caller: str | None = None
    interrupt: Interruptible | None = None


@dataclass(frozen=True)
class CheckProcessMemory:
    """Triggers the periodic check of the memory that the process really has."""


@dataclass(frozen=True)
class MemoryGranted:
    """The holder may take the memory until it is released."""


@dataclass(frozen=True)
class MemoryDenied:
    """Others hold the memory."""


@dataclass(frozen=True)
class BodyRead:
    """The body is complete; it gives no way any more, as its call may run."""

    holder: str


@dataclass(frozen=True)
class ReleaseMemory:
    """The holder needs no memory any more."""

    holder: str
