"""Events: what a process did, stamped so that all processes' events merge."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical time.

    Args:
        millis: Wall time in milliseconds since the Unix epoch, or later.
        counter: Orders events within a millisecond.
        node: Breaks ties.
    """

    millis: int
    counter: int
    node: str


@dataclass(frozen=True)
class Event:
    """One event of the time line.

    Args:
        stamp: When it happened.
        name: What happened, such as `reserved`.
        request_id: The request it belongs to, or empty.
        fields: Further facts; never a secret.
    """

    stamp: Stamp
    name: str
    request_id: str
    fields: dict[str, Any]
