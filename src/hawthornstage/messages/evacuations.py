"""Evacuations: which failure domains operators want to get nothing new."""

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


@dataclass(frozen=True, order=True)
class StorePosition:
    """A state of the store; a greater one is later.

    Args:
        epoch: The store's epoch, 0 if it names none.
        revision: Its revision within the epoch.
    """

    epoch: int = 0
    revision: int = 0


@dataclass(frozen=True)
class EvacuationChange:
    """An operator began or ended an evacuation.

    Args:
        failure_domain: The failure domain.
        active: Whether it is evacuated.
        position: The state of the store with this change.
    """

    failure_domain: str
    active: bool
    position: StorePosition


@dataclass(frozen=True)
class EvacuationsRead:
    """Evacuations as read from the store.

    Args:
        changes: Changes since the last message, or all evacuations if it is complete.
        position: The state of the store up to which all changes are known now.
        complete: Whether no other evacuation is in the store.
    """

    changes: tuple[EvacuationChange, ...]
    position: StorePosition
    complete: bool = False


@dataclass(frozen=True)
class EvacuationRecord:
    """What one router tells another of a failure domain.

    Args:
        failure_domain: The failure domain.
        active: Whether it is evacuated.
        epoch: Epoch of the store with this news.
        revision: Revision of the store with this news.
        age_s: Time since the sender learned it, in seconds.
        lapses_in_s: Time after which it ends because a restored store lacks it, in
            seconds, or None.
    """

    failure_domain: str
    active: bool
    epoch: int
    revision: int
    age_s: float
    lapses_in_s: float | None = None

    @property
    def position(self) -> StorePosition:
        """The state of the store with this news."""
        return StorePosition(self.epoch, self.revision)


@dataclass(frozen=True)
class EvacuationsAnnounced:
    """Tells another router of evacuations; the reply is of the same class."""

    records: tuple[EvacuationRecord, ...]
