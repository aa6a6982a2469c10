"""Connection memory: asks for the memory of bodies and responses as they grow."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_memory import size_to_request
from hawthornstage.filters.forward import TASK_TIMEOUT_S
from hawthornstage.messages.connection_memory import (
    BodyRead,
    Interruptible,
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)


@dataclass
class HeldMemory:
    """The memory of one body or response.

    Args:
        task: Task that owns the memory of all.
        clock: Source of timeouts.
        holder: Identifies the body or the response.
        size: Bytes that it may take.
        asked: Whether the task knows the holder.
    """

    task: pykka.ActorRef
    clock: Clock
    holder: str
    size: int = 0
    asked: bool = False

    def grow(
        self,
        needed: int,
        caller: str | None = None,
        interrupt: Interruptible | None = None,
    ) -> bool:
        """Make sure that the body or the response may take `needed` bytes in all.

        Args:
            needed: Memory in bytes.
            caller: Address of the caller whose body is being read, or None.
            interrupt: Gets `GiveWay` if that body is to give way.

        Returns:
            False if there is no memory for it.
        """
        size = size_to_request(needed, self.size)
        if size is None:
            return True
        request = RequestMemory(self.holder, size, caller, interrupt)
        self.asked = True
        reply = ask(self.task, request, self.clock, timeout=TASK_TIMEOUT_S)
        if not isinstance(reply, MemoryGranted):
            return False
        self.size = size
        return True

    def note_body_read(self) -> None:
        """Tell that the body is complete, and keeps its memory until the release."""
        if self.asked:
            self.task.tell(BodyRead(self.holder))


@dataclass(frozen=True)
class ConnectionMemory:
    """Gives each body and response its memory, and takes it back.

    Args:
        task: Task that owns the memory of all.
        clock: Source of time and timeouts.
        numbers: Tell them apart, as callers may use the same id twice.
    """

    task: pykka.ActorRef
    clock: Clock
    numbers: Iterator[int] = field(default_factory=count)

    @contextmanager
    def hold(self, name: str) -> Iterator[HeldMemory]:
        """Return the memory of one body or response, which is released at the end.

        Args:
            name: Id of the call, or another name for the log.
        """
        holder = f"{name}#{next(self.numbers)}"
        memory = HeldMemory(self.task, self.clock, holder)
        try:
            yield memory
        finally:
            if memory.asked:
                self.task.tell(ReleaseMemory(holder))
