"""The base class of tasks that wait for an inbox and for many sockets at once."""

from __future__ import annotations

import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import structlog

from hawthornstage.actors.task import Ask
from hawthornstage.clock import Clock
from hawthornstage.mailbox import Mailbox

log = structlog.get_logger()

# Interval of the checks for timeouts unless a task sets its own, in seconds.
CHECK_INTERVAL_S = 0.25


class SelectorTask(threading.Thread):
    """Serves messages and sockets in one thread, which never blocks on a socket.

    Subclasses register sockets with the selector, with their owner as data.

    Args:
        name: The thread's name.
        selector: The selector.
        clock: The runtime's clock.
    """

    def __init__(
        self, name: str, selector: selectors.BaseSelector, clock: Clock
    ) -> None:
        super().__init__(name=name, daemon=True)
        self.selector = selector
        self.clock = clock
        self.inbox: deque[Any] = deque()
        self.woken = False
        self.stopped = False
        self.next_check_at = float("-inf")
        self.wake, self.trigger = socket.socketpair()
        for each in (self.wake, self.trigger):
            each.setblocking(False)
        selector.register(self.wake, selectors.EVENT_READ, self.drain_wake)

    @property
    def check_interval_s(self) -> float:
        """Interval of the checks for timeouts, in seconds."""
        return CHECK_INTERVAL_S

    def tell(self, message: Any) -> None:
        """Pass a message to this task; may be called by any thread."""
        self.inbox.append(message)
        if self.woken:
            return
        self.woken = True
        try:
            self.trigger.send(b"\0")
        except OSError as error:
            log.info("task_stopped", task=type(self).__name__, reason=str(error))

    def run(self) -> None:
        """Serve messages and sockets until the task is stopped."""
        while not self.stopped:
            self.step(self.check_interval_s)
        self.close_all()

    def step(self, timeout: float) -> None:
        """Wait for at most `timeout` seconds, and handle what has arrived."""
        for key, ready in self.selector.select(timeout):
            self.try_step(partial(self.handle_ready, key.data, ready), key.data)
        while self.inbox:
            message = self.inbox.popleft()
            self.try_step(partial(self.handle, message), message)
        now = self.clock.monotonic()
        if now >= self.next_check_at:
            self.next_check_at = now + self.check_interval_s
            self.try_step(partial(self.check_timeouts, now), None)

    def try_step(self, step: Callable[[], None], concerned: Any) -> None:
        """Take a step; after an unforeseen error, end what it was about.

        Args:
            step: The step.
            concerned: The message or the owner of the socket that it handles, or None.
        """
        try:
            step()
        except Exception:
            kind = type(concerned).__name__
            log.exception("task_error", task=type(self).__name__, concerned=kind)
            self.try_end(concerned)

    def try_end(self, concerned: Any) -> None:
        """End what a failed step was about, as far as that is possible."""
        try:
            self.end_failed(concerned)
        except Exception:
            log.exception("task_error", task=type(self).__name__)

    def end_failed(self, concerned: Any) -> None:
        """End a wait for a reply; subclasses close the socket of an owner.

        A socket that stayed ready would be served again at once, and fail again.

        Args:
            concerned: The message or the owner of the socket, or None.
        """
        if isinstance(concerned, Ask) and isinstance(concerned.reply_to, Mailbox):
            concerned.reply_to.put(None)

    def drain_wake(self) -> None:
        """Empty the socket that wakes this task."""
        self.wake.recv(64)
        # Cleared before the inbox is read, so that no message goes unnoticed.
        self.woken = False

    def handle(self, message: Any) -> None:
        """Handle one message."""
        raise NotImplementedError

    def handle_ready(self, owner: Any, ready: int) -> None:
        """Serve a socket that is ready, on behalf of what owns it."""
        raise NotImplementedError

    def check_timeouts(self, now: float) -> None:
        """Act on what is overdue.

        Args:
            now: Monotonic time, in seconds.
        """
        raise NotImplementedError

    def close_all(self) -> None:
        """Close all sockets."""
        self.selector.close()
        self.trigger.close()
        self.wake.close()
