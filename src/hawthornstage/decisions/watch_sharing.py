"""Which routers watch the store for the others, and how long those rely on them.

If every router watched the store, its calls would grow with the routers, although all
of them read the same changes. So a few routers read each prefix; the others ask one of
them, and it replies as soon as the store has responded to it. A router that gets no
reply in time asks the store itself, so that a change takes effect within its bound
whatever becomes of the readers. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.shared_watches import SharedChange

# Routers that read one prefix, and the smallest fleet that shares its watches.
READERS = 3
MIN_ROUTERS = 12
# Path in the address of a router that can share watches; earlier builds cannot.
SHARING_PATH = "/shared-watches"
# Pause between two watches of a reader, in seconds: changes that come together are told
# together.
READER_PAUSE_S = 0.25
# Time in which a router that got no reply reads the store and acts on it, in seconds.
FALLBACK_S = 0.6
# Time that a reader's watch ends before the others stop waiting, beyond its pause.
READER_MARGIN_S = 0.4
# Shortest wait of a reader's watch, in seconds.
MIN_READER_WAIT_S = 0.25
# Longest time that a request and its reply may be under way, in seconds.
MAX_TRANSIT_S = 0.3
# Time for which a reader is not asked that did not reply, and one that said that it
# could not tell, in seconds: a refusal costs only a message.
AVOIDANCE_S = 5.0
REFUSAL_AVOIDANCE_S = 1.0
# Changes that a reader keeps for each prefix, and the bytes of one reply.
MAX_CHANGES = 512
MAX_REPLY_BYTES = 16_384


@dataclass(frozen=True)
class WatchReaders:
    """The readers of each prefix, as one router sees them.

    Args:
        node: This router.
        routers: All routers that can share watches, this one included.
        orders: Cache of the readers by prefix.
    """

    node: str
    routers: frozenset[str] = frozenset()
    orders: dict[str, tuple[str, ...]] = field(default_factory=dict, compare=False)

    @property
    def is_shared(self) -> bool:
        """Whether the fleet is large enough to share its watches."""
        return len(self.routers) >= MIN_ROUTERS

    def readers(self, prefix: str) -> tuple[str, ...]:
        """Return the routers that read a prefix for the others."""
        order = self.orders.get(prefix)
        if order is None:
            ranked = rendezvous_order(prefix, self.routers)
            order = self.orders[prefix] = tuple(ranked[:READERS])
        return order

    def is_reader(self, prefix: str) -> bool:
        """Whether this router reads a prefix for others."""
        return self.is_shared and self.node in self.readers(prefix)

    def reader_to_ask(
        self, prefix: str, avoided: Mapping[str, float], now: float
    ) -> str | None:
        """Return the reader that this router asks, or None if it asks the store.

        Args:
            prefix: The key prefix.
            avoided: Time until which readers are not asked.
            now: The time.
        """
        if not self.is_shared or self.node in self.readers(prefix):
            return None
        name = f"{prefix}\n{self.node}"
        for reader in rendezvous_order(name, self.readers(prefix)):
            if avoided.get(reader, now) <= now:
                return reader
        return None


def sharing_routers(urls: Mapping[str, str]) -> frozenset[str]:
    """Return the routers that can share watches, given all addresses by name."""
    return frozenset(name for name, url in urls.items() if url.endswith(SHARING_PATH))


def reply_timeout(bound_s: float) -> float:
    """Return how long a reader's reply is waited for, in seconds.

    Args:
        bound_s: Time from a change in the store until it must have taken effect.
    """
    return max(MIN_READER_WAIT_S, bound_s - FALLBACK_S)


def reader_wait(bound_s: float) -> float:
    """Return the longest wait of a reader's own watch, in seconds."""
    spare = READER_PAUSE_S + READER_MARGIN_S
    return max(MIN_READER_WAIT_S, reply_timeout(bound_s) - spare)


def complete_until(
    asked_at: float, held_s: float, now: float, *, news: bool
) -> float | None:
    """Return the time up to which a reply tells of all changes, or None if too old.

    Args:
        asked_at: Time of the request.
        held_s: Time from the request's arrival until the store's response.
        now: Time at which the reply arrived.
        news: Whether the reply tells of changes, which are used however old it is.
    """
    age_s = max(0.0, now - asked_at - held_s)
    if age_s > MAX_TRANSIT_S and not news:
        return None
    return now - age_s


@dataclass
class ChangeHistory:
    """The latest changes below a prefix, as a reader has read them.

    Args:
        epoch: The store's epoch.
        base: Revision after which all changes are kept.
        revision: Revision up to which they are complete.
        read_at: Time of the store's last response.
        changes: The changes, in order.
    """

    epoch: int
    base: int
    revision: int
    read_at: float
    changes: deque[SharedChange] = field(default_factory=deque)

    def add(
        self, changes: Iterable[SharedChange], revision: int, read_at: float
    ) -> None:
        """Add the changes that one watch has returned."""
        self.changes.extend(changes)
        self.revision = revision
        self.read_at = read_at
        while len(self.changes) > MAX_CHANGES:
            self.base = self.changes.popleft().revision

    def since(self, epoch: int, after: int) -> tuple[SharedChange, ...] | None:
        """Return the changes after a revision, or None if they are not all known.

        Of several changes of a key only the last is returned.
        """
        if epoch != self.epoch or not self.base <= after <= self.revision:
            return None
        latest: dict[str, SharedChange] = {}
        for each in self.changes:
            if each.revision > after:
                latest.pop(each.key, None)
                latest[each.key] = each
        return tuple(latest.values())


def fits_reply(changes: Iterable[SharedChange]) -> bool:
    """Whether changes are small enough for a reply on a slow link."""
    size = sum(len(each.key) + len(each.value or b"") for each in changes)
    return size <= MAX_REPLY_BYTES
