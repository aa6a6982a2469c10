"""Response memory: asks for the memory of a response before it is read further."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.response_memory import size_to_request
from hawthornstage.filters.forward import TASK_TIMEOUT_S
from hawthornstage.messages.response_memory import (
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)


@dataclass
class HeldMemory:
    """The memory of one response.

    Args:
        task: Task that owns the memory of all responses.
        clock: Source of timeouts.
        holder: Identifies the response.
        size: Bytes that it may take.
    """

    task: pykka.ActorRef
    clock: Clock
    holder: str
    size: int = 0

    def grow(self, needed: int) -> bool:
        """Make sure that the response may take `needed` bytes in all.

        Returns:
            False if there is no memory for it.
        """
        size = size_to_request(needed, self.size)
        if size is None:
            return True
        request = RequestMemory(self.holder, size)
        reply = ask(self.task, request, self.clock, timeout=TASK_TIMEOUT_S)
        if not isinstance(reply, MemoryGranted):
            return False
        self.size = size
        return True


@dataclass(frozen=True)
class ResponseMemory:
    """Gives each response its memory, and takes it back.

    Args:
        task: Task that owns the memory of all responses.
        clock: Source of timeouts.
        numbers: Tell responses apart, as callers may use the same id twice.
    """

    task: pykka.ActorRef
    clock: Clock
    numbers: Iterator[int] = field(default_factory=count)

    @contextmanager
    def hold(self, call_id: str) -> Iterator[HeldMemory]:
        """Return the memory of one response, which is released at the end.

        Args:
            call_id: Id of the call.
        """
        holder = f"{call_id}#{next(self.numbers)}"
        memory = HeldMemory(self.task, self.clock, holder)
        try:
            yield memory
        finally:
            if memory.size:
                self.task.tell(ReleaseMemory(holder))
