"""Counts callers' connections, and makes those that wait give way to new ones."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from hawthornstage.border.read_limits import LimitsChanged
from hawthornstage.border.sockets import Interrupt
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_limits import (
    WaitingConnection,
    choose_to_close,
)
from hawthornstage.decisions.reading_turns import head_cost_s, read_cost_s
from hawthornstage.filters.connection_memory import HeldMemory
from hawthornstage.filters.reading_turns import ReadingPace
from hawthornstage.messages.connection_memory import GiveWay
from hawthornstage.messages.reading_turns import TurnGranted, TurnRecipient
from hawthornstage.observe.events import EventLog


@dataclass
class Waiting:
    """A connection that waits for the rest of a request.

    Args:
        connection: The connection.
        interrupt: Wakes its task.
        served: Whether the request has become complete, and the connection goes on.
    """

    connection: WaitingConnection
    interrupt: Interrupt
    served: bool = False


class CallerConnections:
    """The open connections of callers, and the calls that they serve.

    Args:
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self.clock = clock
        self.events = events
        self.condition = threading.Condition()
        self.connections = 0
        self.calls = 0
        self.waiting: dict[int, Waiting] = {}
        # Whether the listener waits for a connection to end or to begin to wait.
        self.room_wanted = False

    @property
    def count(self) -> int:
        """The number of open connections."""
        with self.condition:
            return self.connections

    def add_connection(self) -> None:
        """Count a connection."""
        with self.condition:
            self.connections += 1

    def remove_connection(self) -> None:
        """Remove a connection that has ended."""
        with self.condition:
            self.connections -= 1
            self.condition.notify_all()

    @contextmanager
    def active_call(self) -> Iterator[None]:
        """Count a call for as long as the context lasts."""
        with self.condition:
            self.calls += 1
        try:
            yield
        finally:
            with self.condition:
                self.calls -= 1

    def wait_until_below(self, limit: int, timeout: float | None) -> bool:
        """Wait until fewer than `limit` connections are open.

        Args:
            limit: Number of connections.
            timeout: Longest wait in seconds, or None to wait without a limit.

        Returns:
            False after the timeout.
        """
        deadline = None if timeout is None else self.clock.monotonic() + timeout
        with self.condition:
            while self.connections >= limit:
                remaining = None
                if deadline is not None:
                    remaining = deadline - self.clock.monotonic()
                    if remaining <= 0:
                        return False
                self.clock.wait(self.condition, remaining)
        return True

    def make_room(self, limit: int) -> None:
        """Wait until fewer than `limit` connections are open, and have others close.

        Args:
            limit: Number of connections.
        """
        with self.condition:
            self.room_wanted = True
            asked: Waiting | None = None
            while self.connections >= limit:
                # One whose request arrived meanwhile is served, and does not end.
                if asked is None or asked.served:
                    asked = self.ask_one()
                self.clock.wait(self.condition, None)
            self.room_wanted = False

    def ask_one(self) -> Waiting | None:
        """Ask one connection to give way; return it, if there is one."""
        number = choose_to_close(each.connection for each in self.waiting.values())
        if number is None:
            return None
        chosen = self.waiting.pop(number)
        chosen.interrupt.put(GiveWay())
        self.events.emit(
            "connection_recalled",
            caller=chosen.connection.caller,
            idle=chosen.connection.idle,
        )
        return chosen

    def tell_limits_changed(self) -> None:
        """Wake the connections that wait for a caller within limits that changed."""
        with self.condition:
            for each in self.waiting.values():
                each.interrupt.put(LimitsChanged())

    def begin_wait(self, waiting: Waiting) -> None:
        """Note that a connection waits for the rest of a request."""
        with self.condition:
            self.waiting[waiting.connection.number] = waiting
            if self.room_wanted:
                self.condition.notify_all()

    def end_wait(self, waiting: Waiting, *, served: bool) -> None:
        """Note that a connection waits no more.

        Args:
            waiting: The connection.
            served: Whether its request is complete; otherwise the connection ends.
        """
        with self.condition:
            waiting.served = served
            self.waiting.pop(waiting.connection.number, None)
            if self.room_wanted:
                self.condition.notify_all()


class RequestWatch:
    """Tells of one connection how the reading of its next request proceeds.

    Args:
        number: Identifies the connection.
        caller: Address of the caller.
        connections: The connections of all callers.
        memory: Memory of the request's body.
        pace: How far the connection may read.
    """

    def __init__(
        self,
        number: int,
        caller: str,
        connections: CallerConnections,
        memory: HeldMemory,
        pace: ReadingPace,
    ) -> None:
        self.number = number
        self.caller = caller
        self.connections = connections
        self.memory = memory
        self.pace = pace
        self.waiting: Waiting | None = None

    def wait(self, *, idle: bool) -> Interrupt:
        """Note that the connection's task waits; see `ReadObserver`."""
        if self.waiting is None:
            now = self.connections.clock.monotonic()
            connection = WaitingConnection(self.number, self.caller, now, idle)
            self.waiting = Waiting(connection, Interrupt())
            self.connections.begin_wait(self.waiting)
        elif self.waiting.connection.idle and not idle:
            now = self.connections.clock.monotonic()
            self.waiting.connection = replace(
                self.waiting.connection, since=now, idle=False
            )
        return self.waiting.interrupt

    def grow(self, size: int) -> bool:
        """Return whether the body may take `size` bytes; see `ReadObserver`."""
        interrupt = self.waiting.interrupt if self.waiting else None
        return self.memory.grow(size, self.caller, interrupt)

    def note_read(self, size: int, lines: int) -> None:
        """Count the processor time of a read; see `ReadObserver`."""
        self.pace.charge(read_cost_s(size, lines))

    def note_head(self, headers: int) -> None:
        """Count the processor time of a head; see `ReadObserver`."""
        self.pace.charge(head_cost_s(headers))

    @property
    def has_turn(self) -> bool:
        """Whether the connection has a turn; see `ReadObserver`."""
        return self.pace.has_turn

    def may_read(self) -> bool:
        """Whether it may read on without a further turn; see `ReadObserver`."""
        return self.pace.may_read()

    def request_turn(self, recipient: TurnRecipient) -> None:
        """Ask for a turn; see `ReadObserver`."""
        self.pace.request_turn(recipient)

    def begin_turn(self, granted: TurnGranted) -> None:
        """Read on with a turn; see `ReadObserver`."""
        self.pace.begin_turn(granted)

    def end_turn(self) -> None:
        """Leave the turn to others; see `ReadObserver`."""
        self.pace.end_turn()

    def end(self, *, served: bool) -> None:
        """Note that the connection's task waits no more.

        Args:
            served: Whether the request is complete; otherwise the connection ends.
        """
        try:
            self.pace.end_reading()
            if served:
                self.memory.note_body_read()
        finally:
            self.end_wait(served=served)

    def end_wait(self, *, served: bool) -> None:
        """Take the connection from those that wait, if it is among them."""
        if self.waiting is not None:
            self.connections.end_wait(self.waiting, served=served)
            self.waiting.interrupt.close()
            self.waiting = None
