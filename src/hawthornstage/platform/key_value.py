"""Compare-and-swap on single keys of the platform's store, with errors raised."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import urlsplit

from hawthornstage.messages import store
from hawthornstage.messages.store import Changes, Committed, Item, Listing, Put
from hawthornstage.platform.store import StoreClient

# Longest wait of one watch, in seconds.
WATCH_WAIT_S = 1.0


class KeyValueError(Exception):
    """The store did not answer, or not as its protocol says.

    A write that raises this may still have taken effect.
    """


@dataclass(frozen=True)
class VersionedValue:
    """A stored value and the revision of its last change."""

    value: bytes
    version: int


@dataclass(frozen=True)
class Swapped:
    """The swap took effect and made this version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The key was at another version; `current` is None if it is absent."""

    current: VersionedValue | None


class KeyValueClient:
    """Single keys of the store; used by one task only.

    Args:
        url: Base address of the store.
        timeout: Longest wait for an answer, in seconds.
    """

    def __init__(self, url: str, *, timeout: float = 1.0) -> None:
        address = urlsplit(url).netloc
        self.store = StoreClient(lambda: address, timeout_s=timeout)

    def get(self, key: str) -> VersionedValue | None:
        """Read a key.

        Raises:
            KeyValueError: The store did not answer.
        """
        match self.store.get(key):
            case Item(value=value, revision=revision):
                return VersionedValue(value, revision)
            case None:
                return None
            case failure:
                raise KeyValueError(failure.reason)

    def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> Swapped | Conflict:
        """Write a key if it is still at a version; 0 means that it is absent.

        Raises:
            KeyValueError: The store did not answer; the write may have happened.
        """
        match self.store.transact({key: version}, puts=(Put(key, value),)):
            case Committed(revision):
                return Swapped(revision)
            case store.Conflict(items):
                found = [VersionedValue(item.value, item.revision) for item in items]
                return Conflict(found[0] if found else None)
            case outcome:
                raise KeyValueError(str(outcome))

    def watch(self, key: str) -> Iterator[VersionedValue | None]:
        """Yield each new value of a key, until the store fails.

        None is yielded where the store only says that it is still there.

        Raises:
            KeyValueError: The store did not answer.
        """
        listing = self.store.list(key)
        if not isinstance(listing, Listing):
            raise KeyValueError(listing.reason)
        yield None
        revision = listing.revision
        while True:
            outcome = self.store.watch(key, revision, WATCH_WAIT_S)
            if not isinstance(outcome, Changes):
                raise KeyValueError(str(outcome))
            revision = outcome.revision
            changes = [each for each in outcome.events if each.key == key]
            if not changes:
                yield None
            for change in changes:
                if isinstance(change, Item):
                    yield VersionedValue(change.value, change.revision)
