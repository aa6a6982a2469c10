"""A place for replies: what a task waits on after it has sent a message."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hawthornstage.clock import Clock


class ReplyTo(Protocol):
    """Anything that takes one reply to a message."""

    def put(self, reply: Any) -> None:
        """Take the reply; must not block."""


class Mailbox:
    """A queue of replies that one task waits on with a deadline.

    Args:
        clock: The clock that deadlines are read from.
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
        """Return the next reply, or None after `timeout` seconds."""
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
    """A reply address that passes what it gets to a function, such as `tell`.

    Args:
        deliver: Called once with each reply; must not block.
    """

    deliver: Callable[[Any], Any]

    def put(self, reply: Any) -> None:
        """Pass the reply on."""
        self.deliver(reply)


class DiscardReply:
    """A reply address for messages whose reply nobody needs."""

    def put(self, reply: Any) -> None:
        """Drop the reply."""


DISCARD_REPLY = DiscardReply()
