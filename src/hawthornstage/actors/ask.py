"""Sending a message to a task and waiting for its reply."""

from __future__ import annotations

from typing import Any

import pykka

from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.mailbox import Mailbox


def ask(task: pykka.ActorRef, message: Any, clock: Clock, *, timeout: float) -> Any:
    """Send a message wrapped in `Ask` and wait for the reply.

    Args:
        task: The recipient.
        message: The message.
        clock: The clock that the timeout is measured by.
        timeout: Longest wait, in seconds.

    Returns:
        The reply, or None after the timeout.
    """
    mailbox = Mailbox(clock)
    task.tell(Ask(message, mailbox))
    return mailbox.get(timeout=timeout)
