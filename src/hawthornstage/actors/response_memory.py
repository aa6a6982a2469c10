"""The task that limits the memory of large responses."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.decisions.response_memory import MemoryQuota
from hawthornstage.messages.response_memory import (
    MemoryDenied,
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)
from hawthornstage.observe.events import EventLog


class ResponseMemoryTask(Task):
    """Owns the memory that this router's calls hold for large responses.

    Args:
        events: The event log.
    """

    def __init__(self, events: EventLog) -> None:
        super().__init__()
        self.events = events
        self.quota = MemoryQuota()

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=RequestMemory(holder, size), reply_to=reply_to):
                granted = self.quota.request(holder, size)
                if not granted:
                    self.events.emit("memory_denied", holder=holder, size=size)
                reply_to.put(MemoryGranted() if granted else MemoryDenied())
            case ReleaseMemory(holder):
                self.quota.release(holder)
