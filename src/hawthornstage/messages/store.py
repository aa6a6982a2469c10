"""Writes to the platform's key-value store and the outcomes of calls to it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Item:
    """A stored value.

    Args:
        key: The item's key.
        value: The stored bytes.
        revision: The store's revision at the item's last change.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Removal:
    """A key and the revision at which it was removed."""

    key: str
    revision: int


@dataclass(frozen=True)
class Listing:
    """All items below a prefix; a watch continues at `revision`."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """The changes below a prefix since the requested revision."""

    events: tuple[Item | Removal, ...]
    revision: int


@dataclass(frozen=True)
class ItemsListed:
    """All items that a watch covers, for a task that follows some of them.

    Args:
        items: The items.
        epoch: The store's epoch.
        revision: Revision up to which all changes are known now.
    """

    items: tuple[Item, ...]
    epoch: int
    revision: int


@dataclass(frozen=True)
class ItemsChanged:
    """Changes in order that a watch has read, for a task that follows some of them.

    Args:
        changes: The changes; none if only the revision went on.
        epoch: The store's epoch.
        revision: Revision up to which all changes are known now.
    """

    changes: tuple[Item | Removal, ...]
    epoch: int
    revision: int


@dataclass(frozen=True)
class HistoryCompacted:
    """The store has discarded the changes since the requested revision."""


@dataclass(frozen=True)
class Put:
    """A value to write; with `lease` 0 it does not expire."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class Committed:
    """The transaction was committed at this revision."""

    revision: int


@dataclass(frozen=True)
class Conflict:
    """The transaction had no effect; `items` are the current values of its keys."""

    items: tuple[Item, ...]


@dataclass(frozen=True)
class LeaseGranted:
    """A lease and its time to live in seconds."""

    lease: int
    ttl_s: float


@dataclass(frozen=True)
class LeaseLost:
    """The lease does not exist or has expired."""


@dataclass(frozen=True)
class StoreRefused:
    """The call had no effect, for example because the store is unreachable."""

    reason: str


@dataclass(frozen=True)
class StoreNoResponse:
    """No valid response arrived: a write may have taken effect or may do so later."""

    reason: str


StoreFailure = StoreRefused | StoreNoResponse


@dataclass(frozen=True)
class StoreRestored:
    """The store came back from a copy: its latest writes and all leases are lost."""

    epoch: int
