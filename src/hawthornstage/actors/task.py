"""What all tasks share: typed messages in, nothing out but messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import pykka
import structlog

from hawthornstage.mailbox import DISCARD, ReplyTo

log = structlog.get_logger()


@dataclass(frozen=True)
class Ask:
    """A message together with the address for its reply."""

    message: Any
    reply_to: ReplyTo = DISCARD


class Task(pykka.ThreadingActor):
    """A task with an inbox; a message that fails is logged and leaves its state."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        try:
            self.handle(message)
        except Exception:
            log.exception(
                "task_error", task=type(self).__name__, message=type(message).__name__
            )

    def handle(self, message: Any) -> None:
        """Take one message; subclasses match on its class."""
        raise NotImplementedError


class MessageDispatcher:
    """Finds the tasks that handle each class of message.

    The composition root fills it before the first message is delivered. Where
    several tasks take a class, the one registered first replies.
    """

    def __init__(self) -> None:
        self.tasks: dict[type, list[pykka.ActorRef]] = {}

    def register(self, task: pykka.ActorRef, kinds: Iterable[type]) -> None:
        """Route these classes of message to a task."""
        for kind in kinds:
            self.tasks.setdefault(kind, []).append(task)

    def deliver(self, message: Any, reply_to: ReplyTo) -> bool:
        """Pass a message on; False if no task takes its class."""
        tasks = self.tasks.get(type(message))
        if not tasks:
            return False
        first, *others = tasks
        first.tell(Ask(message, reply_to))
        for task in others:
            task.tell(Ask(message))
        return True
