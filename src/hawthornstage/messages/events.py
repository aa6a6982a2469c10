"""Events with hybrid logical timestamps, which order them across processes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical timestamp.

    Args:
        millis: Wall time in milliseconds since the Unix epoch, or the millisecond of
            a later timestamp that the process has observed.
        counter: Orders events within a millisecond.
        node: Name of the process, as the tie-breaker.
    """

    millis: int
    counter: int
    node: str


@dataclass(frozen=True)
class Event:
    """One event of the timeline.

    Args:
        stamp: Time of the event.
        name: Name of the event, such as `reserved`.
        request_id: Id of the request that it belongs to, or empty.
        fields: Additional data; must not contain secrets.
    """

    stamp: Stamp
    name: str
    request_id: str
    fields: dict[str, Any]
