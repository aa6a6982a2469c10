"""Asking a task for one thing and waiting for the answer."""

from __future__ import annotations

from typing import Any

import pykka

from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.mailbox import Mailbox


def ask(task: pykka.ActorRef, message: Any, clock: Clock, *, timeout: float) -> Any:
    """Send a message wrapped in `Ask` and return the reply, or None in time."""
    mailbox = Mailbox(clock)
    task.tell(Ask(message, mailbox))
    return mailbox.get(timeout=timeout)
