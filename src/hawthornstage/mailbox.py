"""Reply addresses: a queue on which the sender of a message waits, and others."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hawthornstage.clock import Clock


class ReplyTo(Protocol):
    """A reply address: receives the reply to a message."""

    def put(self, reply: Any) -> None:
        """Deliver the reply; must not block."""


class Mailbox:
    """A queue of replies on which one task waits with a timeout.

    Args:
        clock: The clock that measures the timeout.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.replies: deque[Any] = deque()
        self.condition = threading.Condition()

    def put(self, reply: Any) -> None:
        """Add a reply and wake the waiting task."""
        with self.condition:
            self.replies.append(reply)
            self.condition.notify()

    def get(self, *, timeout: float) -> Any | None:
        """Return the next reply, or None if there is none within `timeout` seconds.

        None at once stands for a task that failed to handle the request.
        """
        deadline = self.clock.monotonic() + timeout
        with self.condition:
            while not self.replies:
                remaining = deadline - self.clock.monotonic()
                if remaining <= 0:
                    return None
                self.clock.wait(self.condition, remaining)
            return self.replies.popleft()


@dataclass(frozen=True)
class ReplyCallback:
    """A reply address that passes each reply to a function, such as `tell`.

    Args:
        deliver: Called once for each reply; must not block.
    """

    deliver: Callable[[Any], Any]

    def put(self, reply: Any) -> None:
        """Pass the reply on."""
        self.deliver(reply)


class DiscardReply:
    """A reply address that drops every reply."""

    def put(self, reply: Any) -> None:
        """Drop the reply."""


DISCARD_REPLY = DiscardReply()
