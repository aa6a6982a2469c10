"""The base class of all tasks, and the delivery of messages to them by class."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import pykka
import structlog

from hawthornstage.mailbox import DISCARD_REPLY, Mailbox, ReplyTo
from hawthornstage.messages.health import ReportHealth, TaskHealth

log = structlog.get_logger()


@dataclass(frozen=True)
class Ask:
    """A message together with the address for its reply.

    Args:
        message: The message.
        reply_to: Gets the reply; without it, the reply is discarded.
    """

    message: Any
    reply_to: ReplyTo = DISCARD_REPLY


class Recipient(Protocol):
    """A task that accepts messages: an actor, or a thread with an inbox."""

    def tell(self, message: Any) -> None:
        """Queue a message for the task; must not block."""


class Task(pykka.ThreadingActor):
    """An actor with an inbox of typed messages.

    An exception in the handler of a message is logged, and the task goes on. Whoever
    waits for a reply to that message gets none at once, instead of after its timeout.
    """

    use_daemon_thread = True

    def __init__(self) -> None:
        super().__init__()
        self.health = TaskHealth(failures_in_row=0, failures=0)

    def on_receive(self, message: Any) -> None:
        """Handle one message, and log any exception."""
        match message:
            case Ask(message=ReportHealth(), reply_to=reply_to):
                reply_to.put(self.health)
                return
        try:
            self.handle(message)
        except Exception:
            log.exception(
                "task_error", task=type(self).__name__, message=type(message).__name__
            )
            if isinstance(message, Ask):
                self.fail(message)
        else:
            if self.health.failures_in_row and isinstance(message, Ask):
                self.health = replace(self.health, failures_in_row=0)

    def fail(self, request: Ask) -> None:
        """Count a request whose handling failed, and end the wait for its reply."""
        failures = self.health.failures + 1
        self.health = TaskHealth(self.health.failures_in_row + 1, failures)
        if isinstance(request.reply_to, Mailbox):
            request.reply_to.put(None)

    def handle(self, message: Any) -> None:
        """Handle one message; subclasses match on its class."""
        raise NotImplementedError


class MessageDispatcher:
    """Delivers messages to the tasks registered for their class.

    The composition root registers all tasks before the first message is delivered.
    If several tasks are registered for a class, all get the message, and only the one
    registered first replies.
    """

    def __init__(self) -> None:
        self.tasks: dict[type, list[pykka.ActorRef]] = {}

    def register(self, task: pykka.ActorRef, kinds: Iterable[type]) -> None:
        """Register a task for classes of messages."""
        for kind in kinds:
            self.tasks.setdefault(kind, []).append(task)

    def deliver(self, message: Any, reply_to: ReplyTo) -> bool:
        """Deliver a message; return False if no task is registered for its class."""
        tasks = self.tasks.get(type(message))
        if not tasks:
            return False
        first, *others = tasks
        first.tell(Ask(message, reply_to))
        for task in others:
            task.tell(Ask(message))
        return True
