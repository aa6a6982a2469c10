"""The task that owns the memory which connections hold beyond their free parts."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_memory import (
    Denied,
    Granted,
    MemoryAccount,
    MustWait,
)
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.connection_memory import (
    BodyRead,
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
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, total_bytes: int, clock: Clock, events: EventLog) -> None:
        super().__init__()
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
