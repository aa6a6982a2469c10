"""Compare-and-swap on single keys of the platform's store; failures are raised."""

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
    """The store refused the call, did not respond, or sent an invalid response.

    A write that raises this may still have taken effect.
    """


@dataclass(frozen=True)
class VersionedValue:
    """A stored value and the revision of its last change."""

    value: bytes
    version: int


@dataclass(frozen=True)
class Swapped:
    """The write took effect and created this version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The key was at a different version; `current` is None if it does not exist."""

    current: VersionedValue | None


class KeyValueClient:
    """Client for single keys of the store; not safe for use by several tasks.

    Args:
        url: Base URL of the store.
        timeout: Response timeout in seconds.
    """

    def __init__(self, url: str, *, timeout: float = 1.0) -> None:
        address = urlsplit(url).netloc
        self.store = StoreClient(lambda: address, timeout_s=timeout)

    def get(self, key: str) -> VersionedValue | None:
        """Read a key.

        Returns:
            The value and its version, or None if the key does not exist.

        Raises:
            KeyValueError: The store refused the call or did not respond.
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
        """Write a key if it is still at the expected version.

        Args:
            key: The key.
            value: The value to write.
            version: The expected version; 0 if the key must not exist.

        Raises:
            KeyValueError: The store refused the call or did not respond; the write may
                have taken effect.
        """
        match self.store.transact({key: version}, puts=(Put(key, value),)):
            case Committed(revision):
                return Swapped(revision)
            case store.Conflict(items):
                current = [VersionedValue(item.value, item.revision) for item in items]
                return Conflict(current[0] if current else None)
            case outcome:
                raise KeyValueError(str(outcome))

    def watch(self, key: str) -> Iterator[VersionedValue | None]:
        """Yield each new value of a key until the store fails.

        Yields None whenever the store responds without a change, which shows that it
        is still reachable.

        Raises:
            KeyValueError: The store refused the call or did not respond.
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
