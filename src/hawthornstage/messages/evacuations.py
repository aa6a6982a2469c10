"""Which failure domains operators evacuate."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Evacuations:
    """The evacuations in force, as far as this router knows.

    Args:
        failure_domains: Failure domains whose servers get nothing new.
        ended_at: Monotonic time at which this router learned that a domain's latest
            evacuation had ended, in seconds, by domain; a domain that is evacuated
            again is not among them.
    """

    failure_domains: frozenset[str] = frozenset()
    ended_at: Mapping[str, float] = field(default_factory=dict)
