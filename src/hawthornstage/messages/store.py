"""Calls to the platform's key-value store and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Item:
    """A stored value.

    Args:
        key: Its key.
        value: Its bytes.
        revision: The store's revision at its last change.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Removal:
    """A key that was removed at a revision."""

    key: str
    revision: int


@dataclass(frozen=True)
class Listing:
    """All items below a prefix; `revision` is where a watch goes on."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """What changed below a prefix since the revision that was asked for."""

    events: tuple[Item | Removal, ...]
    revision: int


@dataclass(frozen=True)
class HistoryCompacted:
    """The store no longer knows the changes since that revision."""


@dataclass(frozen=True)
class Put:
    """A value to be written; `lease` 0 keeps it for good."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Committed:
    """A transaction took effect at this revision."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """A transaction did nothing; `items` are the expected keys as they are now."""

    items: tuple[Item, ...]


@dataclass(frozen=True)
class LeaseGranted:
    """A lease and its time to live in seconds."""

    lease: int
    ttl_s: float


@dataclass(frozen=True)
class LeaseLost:
    """The lease has ended."""


@dataclass(frozen=True)
class StoreRefused:
    """The store did nothing, such as when it is overloaded or unreachable."""

    reason: str


@dataclass(frozen=True)
class StoreNoResponse:
    """No answer came: a write may have taken effect, or may still do so."""

    reason: str


StoreFailure = StoreRefused | StoreNoResponse
