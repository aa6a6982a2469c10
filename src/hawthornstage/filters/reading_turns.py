"""Reading turns: asks for processor time as the reading of a request goes on."""

from __future__ import annotations

import math
from dataclasses import dataclass

from hawthornstage.actors.task import Recipient
from hawthornstage.clock import Clock
from hawthornstage.decisions.reading_turns import FREE_S
from hawthornstage.messages.reading_turns import (
    Reader,
    ReadingEnded,
    RequestTurn,
    TurnEnded,
    TurnGranted,
    TurnRecipient,
)


@dataclass
class ReadingPace:
    """How far one connection may read; used by the connection's own thread only.

    Args:
        task: Task that gives the turns.
        clock: The clock that bounds a turn.
        number: Identifies the connection.
        caller: Address of the caller.
        used_s: Processor time that its request has taken to read, in seconds.
        told_s: What of it the task has been told of, in seconds.
        allowed_s: Processor time up to which the connection may read, in seconds.
        allowed_until: Monotonic time up to which it may read, in seconds.
        has_turn: Whether it has a turn.
        known: Whether the task knows the connection.
    """

    task: Recipient
    clock: Clock
    number: int
    caller: str
    used_s: float = 0.0
    told_s: float = 0.0
    allowed_s: float = FREE_S
    allowed_until: float = math.inf
    has_turn: bool = False
    known: bool = False

    def charge(self, cost_s: float) -> None:
        """Count processor time, in seconds."""
        self.used_s += cost_s

    def may_read(self) -> bool:
        """Whether the connection may read on without a further turn."""
        if self.used_s >= self.allowed_s:
            return False
        return not self.has_turn or self.clock.monotonic() < self.allowed_until

    def request_turn(self, recipient: TurnRecipient) -> None:
        """Ask for a turn, and end the one that the connection may have.

        Args:
            recipient: Gets `TurnGranted`.
        """
        self.end_turn()
        self.known = True
        outside_s, self.told_s = self.used_s - self.told_s, self.used_s
        self.task.tell(RequestTurn(self.as_reader(), outside_s, recipient))

    def begin_turn(self, granted: TurnGranted) -> None:
        """Read on with a turn."""
        self.has_turn = True
        self.allowed_s = self.used_s + granted.processor_s
        self.allowed_until = self.clock.monotonic() + granted.longest_s

    def end_turn(self) -> None:
        """Leave the turn to others; does nothing without one."""
        if self.has_turn:
            self.has_turn = False
            self.allowed_s = 0.0
            self.told_s = self.used_s
            self.task.tell(TurnEnded(self.as_reader()))

    def end_reading(self) -> None:
        """Tell that the request is complete, or has ended."""
        self.end_turn()
        if self.known:
            self.known = False
            self.task.tell(ReadingEnded(self.number))

    def reset(self) -> None:
        """Give the next request a free part of its own."""
        self.used_s = self.told_s = 0.0
        self.allowed_s = FREE_S

    def as_reader(self) -> Reader:
        """Return the connection with what it has used."""
        return Reader(self.number, self.caller, self.used_s)


@dataclass(frozen=True)
class ReadingTurns:
    """Gives each connection its pace.

    Args:
        task: Task that gives the turns.
        clock: The clock that bounds turns.
    """

    task: Recipient
    clock: Clock

    def pace_of(self, number: int, caller: str) -> ReadingPace:
        """Return the pace of a new connection.

        Args:
            number: Identifies the connection.
            caller: Address of the caller.
        """
        return ReadingPace(self.task, self.clock, number, caller)
