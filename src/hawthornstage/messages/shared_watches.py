"""Messages about changes in the store that few routers read and tell the others."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.store import Item, Removal


@dataclass(frozen=True)
class SharedChange:
    """A changed or removed item.

    Args:
        key: The item's key.
        revision: The store's revision at the change.
        value: The stored bytes, or None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None = None

    @classmethod
    def of(cls, change: Item | Removal) -> SharedChange:
        """Convert a change as a watch reads it."""
        match change:
            case Item(key, value, revision):
                return cls(key, revision, value)
            case Removal(key, revision):
                return cls(key, revision)

    def to_change(self) -> Item | Removal:
        """Convert back to the change."""
        if self.value is None:
            return Removal(self.key, self.revision)
        return Item(self.key, self.value, self.revision)


@dataclass(frozen=True)
class RequestChanges:
    """Asks a reader for the changes below a prefix, as soon as it has heard of it.

    The reply is `ChangesRead` or `ChangesUnavailable`.

    Args:
        prefix: The key prefix.
        epoch: The store's epoch, as the sender knows it.
        after: Revision after which changes are asked for.
    """

    prefix: str
    epoch: int
    after: int


@dataclass(frozen=True)
class ChangesRead:
    """What a reader has heard of a prefix.

    Args:
        changes: All changes after the requested revision, in order.
        revision: Revision up to which they are complete.
        held_s: Time from the request until the store's response, in seconds; negative
            if the response came before it.
    """

    changes: tuple[SharedChange, ...]
    revision: int
    held_s: float


@dataclass(frozen=True)
class ChangesUnavailable:
    """The router that was asked cannot tell of changes now.

    Args:
        store_failed: Whether its calls to the store failed lately.
    """

    store_failed: bool
