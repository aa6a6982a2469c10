"""Messages between connections that read and the task that gives them turns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Reader:
    """A connection that reads a request.

    Args:
        number: Identifies the connection.
        caller: Address of the caller.
        used_s: Processor time that reading has taken, as it is reckoned, in seconds.
    """

    number: int
    caller: str
    used_s: float


@dataclass(frozen=True)
class TurnGranted:
    """The connection may go on reading.

    Args:
        processor_s: Processor time after which it must ask again, in seconds.
        longest_s: The same on the clock.
    """

    processor_s: float
    longest_s: float


class TurnRecipient(Protocol):
    """A connection's task that waits for its turn."""

    def put(self, message: TurnGranted) -> None:
        """Wake the task; must not block."""


@dataclass(frozen=True)
class RequestTurn:
    """Asks for a turn.

    Args:
        reader: The connection.
        outside_s: Processor time that it has used outside of turns and has not told of
            before, in seconds.
        recipient: Gets `TurnGranted`.
    """

    reader: Reader
    outside_s: float
    recipient: TurnRecipient


@dataclass(frozen=True)
class TurnEnded:
    """The connection has read what there was, or used its turn up.

    Args:
        reader: The connection, with the processor time of the turn.
    """

    reader: Reader


@dataclass(frozen=True)
class ReadingEnded:
    """The connection needs no more turns for its request.

    Args:
        number: Identifies the connection.
    """

    number: int


@dataclass(frozen=True)
class GrantTurn:
    """Triggers the next turn at the end of a rest."""
