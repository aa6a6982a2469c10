"""The task that owns the memory which connections hold beyond their free parts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.allocator import resident_bytes, return_freed_memory
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_memory import (
    Denied,
    Granted,
    MemoryAccount,
    MustWait,
)
from hawthornstage.decisions.process_memory import ProcessMemory
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.connection_memory import (
    BodyRead,
    CheckProcessMemory,
    GiveWay,
    Interruptible,
    MemoryDenied,
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)
from hawthornstage.observe.events import EventLog


class ConnectionMemoryTask(Task):
    """Owns the memory of this router's large request bodies and responses.

    Args:
        total_bytes: Memory of all together, in bytes.
        scarce: Published: whether the process has more than it should.
        host_bytes: Returns the memory that the process may have, in bytes; None if it
            is not limited.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        total_bytes: int,
        *,
        scarce: LatestValue[bool],
        host_bytes: Callable[[], int] | None = None,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.host_bytes = host_bytes
        self.scarce = scarce
        self.clock = clock
        self.events = events
        self.account = MemoryAccount(total_bytes)
        self.interrupts: dict[str, Interruptible] = {}
        # Requests that wait until others have given way, in their order.
        self.waiting: dict[str, tuple[RequestMemory, ReplyTo]] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=RequestMemory() as request, reply_to=reply_to):
                self.decide(request, reply_to)
            case BodyRead(holder):
                self.account.complete(holder)
                self.interrupts.pop(holder, None)
                self.decide_waiting()
            case ReleaseMemory(holder):
                self.account.release(holder)
                self.interrupts.pop(holder, None)
                self.waiting.pop(holder, None)
                self.decide_waiting()
            case CheckProcessMemory():
                self.check_process()

    def check_process(self) -> None:
        """Give freed memory back, and have bodies give way if that is not enough."""
        memory = self.measure()
        if memory is not None and memory.should_trim:
            return_freed_memory()
            memory = self.measure()
        excess = 0 if memory is None else memory.excess_bytes
        if self.scarce.value != (excess > 0):
            self.scarce.publish(excess > 0)
            self.events.emit(
                "memory_scarce" if excess else "memory_enough",
                used=memory.used_bytes if memory else 0,
                holders=len(self.account.holdings),
            )
        for each in self.account.note_excess(excess):
            self.events.emit("memory_recalled", holder=each, excess=excess)
            self.recall(each)

    def measure(self) -> ProcessMemory | None:
        """Return the memory of the process, or None if the system does not tell."""
        used_bytes = resident_bytes()
        if used_bytes is None or self.host_bytes is None:
            return None
        return ProcessMemory(used_bytes, self.host_bytes())

    def decide_waiting(self) -> None:
        """Decide again about the requests that wait."""
        waiting, self.waiting = self.waiting, {}
        for request, reply_to in waiting.values():
            self.decide(request, reply_to)

    def decide(self, request: RequestMemory, reply_to: ReplyTo) -> None:
        """Decide about a request, and ask others to give way if that is needed."""
        holder = request.holder
        decision = self.account.request(
            holder, request.size, self.clock.monotonic(), caller=request.caller
        )
        match decision:
            case Granted():
                if request.interrupt is not None:
                    self.interrupts[holder] = request.interrupt
                reply_to.put(MemoryGranted())
            case Denied():
                self.events.emit("memory_denied", holder=holder, size=request.size)
                reply_to.put(MemoryDenied())
            case MustWait(holders):
                self.waiting[holder] = (request, reply_to)
                for each in holders:
                    self.events.emit("memory_recalled", holder=each, waiting=holder)
                    self.recall(each)

    def recall(self, holder: str) -> None:
        """Ask a body to give way."""
        self.interrupts[holder].put(GiveWay())
        # If it waits for more memory itself, it does not see the interrupt.
        asked = self.waiting.pop(holder, None)
        if asked is not None:
            asked[1].put(MemoryDenied())
