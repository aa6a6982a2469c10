"""Sending a message to a task or to another router, and waiting for its reply."""

from __future__ import annotations

from typing import Any

import pykka

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient
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


def ask_router(
    peers: Recipient, node: str, message: Any, clock: Clock, *, timeout: float
) -> Any:
    """Send a message to another router and wait for the reply.

    Args:
        peers: The task that owns the connections between routers.
        node: The router's name.
        message: The message.
        clock: The clock that the timeout is measured by.
        timeout: Longest wait, in seconds.

    Returns:
        The reply or `PeerUnreachable`, or None after the timeout.
    """
    mailbox = Mailbox(clock)
    peers.tell(Send(node, message, mailbox))
    return mailbox.get(timeout=timeout)
