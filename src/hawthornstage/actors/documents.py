"""The task that changes documents in the key-value service by compare-and-swap.

Mutations of one document that arrive during a write are batched into the next one.
Mutations are idempotent, so a write whose response was lost is repeated on the
document's current state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pykka

from hawthornstage.actors.members import MembershipSnapshot
from hawthornstage.actors.task import Ask, Task
from hawthornstage.actors.timers import Timers
from hawthornstage.clock import Clock
from hawthornstage.decisions.rate_limit import TokenBucket, acquire
from hawthornstage.decisions.retries import backoff
from hawthornstage.mailbox import DISCARD_REPLY, ReplyTo
from hawthornstage.platform.key_value import (
    KeyValueClient,
    KeyValueError,
    Swapped,
    VersionedValue,
)

# Most pending mutations of all documents together; further ones are refused.
MAX_PENDING = 50_000
# Compare-and-swap attempts of one write before the task returns to its inbox.
MAX_CAS_ATTEMPTS = 5


@dataclass(frozen=True)
class Apply:
    """Applies a mutation to a document.

    Args:
        key: The document's key.
        mutation: The change; must be idempotent.
        reply_to: Gets `Applied` or `StoreUnavailable`.
        deadline: Monotonic time after which the sender no longer waits, in seconds, or
            None to keep the mutation until it is applied.
        urgent: Whether it skips the interval between writes, unless writes are failing.
    """

    key: str
    mutation: Any
    reply_to: ReplyTo = DISCARD_REPLY
    deadline: float | None = None
    urgent: bool = False


@dataclass(frozen=True)
class Read:
    """Reads a document from the service.

    The reply is `ReadDone` or `StoreUnavailable`.
    """

    key: str
    reply_to: ReplyTo


@dataclass(frozen=True)
class Flush:
    """Writes the pending mutations of a document."""

    key: str


@dataclass(frozen=True)
class Applied:
    """Confirms that a mutation is durable.

    Args:
        mutation: The mutation.
        result: What applying it returned.
    """

    mutation: Any
    result: Any


@dataclass(frozen=True)
class StoreUnavailable:
    """Reports that the service did not respond in time.

    Args:
        mutation: The mutation, or the key of a read.
        maybe_applied: Whether the mutation may have taken effect.
    """

    mutation: Any
    maybe_applied: bool


@dataclass(frozen=True)
class ReadDone:
    """A document as just read from the service."""

    key: str
    document: Any


@dataclass(frozen=True)
class DocumentKind:
    """Operations of one kind of document.

    Args:
        empty: The document that an absent key stands for.
        apply: Applies a mutation; returns the new document, which is the same object if
            nothing changed, and a result.
        encode: Encodes a document.
        decode: Decodes a document.
    """

    empty: Any
    apply: Callable[[Any, Any], tuple[Any, Any]]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass
class DocumentState:
    """Cached value and pending mutations of one document.

    Args:
        cached: The document and its version, or None if it must be read.
        pending: Mutations that are not yet durable, oldest first.
        attempted: Number of them, from the first, that a failed write included.
        scheduled: Whether a flush is scheduled.
        flushed_at: Monotonic time of the last write, in seconds.
        failures: Consecutive failed writes.
    """

    cached: tuple[Any, int] | None = None
    pending: list[Apply] = field(default_factory=list)
    attempted: int = 0
    scheduled: bool = False
    flushed_at: float = float("-inf")
    failures: int = 0


class Documents(Task):
    """Owns a connection to the key-value service and the documents behind it.

    Args:
        store: The connection.
        kind: Operations of the documents.
        clock: The runtime's clock.
        timers: Schedules the flushes.
        interval: Shortest time between two writes of a document, in seconds.
        fleet_rate: Writes per second allowed to all routers together.
        random_fraction: Returns a random number in [0, 1).
    """

    def __init__(
        self,
        store: KeyValueClient,
        kind: DocumentKind,
        *,
        clock: Clock,
        timers: Timers,
        interval: float,
        fleet_rate: float,
        random_fraction: Callable[[], float],
    ) -> None:
        super().__init__()
        self.store = store
        self.kind = kind
        self.clock = clock
        self.timers = timers
        self.interval = interval
        self.fleet_rate = fleet_rate
        self.pace = TokenBucket(fleet_rate)
        self.random_fraction = random_fraction
        self.states: dict[str, DocumentState] = {}
        self.pending_total = 0

    def handle(self, message: Any) -> None:
        match message:
            case Apply():
                self.enqueue(message)
            case Flush(key):
                self.flush(key, self.states[key])
            case Read(key, reply_to):
                self.read(key, reply_to)
            case MembershipSnapshot(members):
                # Silent routers keep their share of the write rate: they may only be
                # partitioned from this one and still write.
                routers = 1 + len(members.others)
                self.pace = replace(self.pace, rate=self.fleet_rate / routers)
            case Ask(message=inner, reply_to=reply_to):
                self.handle(Read(inner, reply_to))

    def enqueue(self, message: Apply) -> None:
        """Add a mutation to its document's next write."""
        if self.pending_total >= MAX_PENDING:
            message.reply_to.put(StoreUnavailable(message.mutation, False))
            return
        state = self.states.setdefault(message.key, DocumentState())
        state.pending.append(message)
        self.pending_total += 1
        if state.failures and message.deadline is not None:
            # While writes fail, backoff could outlast the deadline, so a flush at the
            # deadline lets the sender know in time.
            wait = max(0.0, message.deadline - self.clock.monotonic())
            self.timers.after(wait, self.actor_ref, Flush(message.key))
        if message.urgent and not state.failures:
            # Through the inbox, so that mutations queued there join this write.
            self.actor_ref.tell(Flush(message.key))
            return
        self.schedule(message.key, state, 0.0)

    def schedule(self, key: str, state: DocumentState, delay: float) -> None:
        """Schedule one flush, no sooner than the interval between writes allows."""
        if state.scheduled:
            return
        state.scheduled = True
        since = self.clock.monotonic() - state.flushed_at
        delay = max(delay, self.interval - since)
        if delay <= 0:
            # Through the inbox, so that mutations queued there join this write.
            self.actor_ref.tell(Flush(key))
        else:
            self.timers.after(delay, self.actor_ref, Flush(key))

    def flush(self, key: str, state: DocumentState) -> None:
        """Write all pending mutations of a document, subject to the write rate."""
        state.scheduled = False
        self.expire(state)
        if not state.pending:
            return
        self.pace, pause = acquire(self.pace, self.clock.monotonic())
        if pause > 0:
            self.schedule(key, state, pause)
            return
        state.flushed_at = self.clock.monotonic()
        try:
            results = self.write(key, state)
        except KeyValueError:
            state.cached = None
            state.attempted = len(state.pending)
            state.failures += 1
            pause = (
                backoff(min(state.failures, 8), self.random_fraction()) + self.interval
            )
            self.schedule(key, state, pause)
            return
        state.failures = 0
        if results is None:
            self.schedule(key, state, self.interval * self.random_fraction())
            return
        done, state.pending, state.attempted = state.pending, [], 0
        self.pending_total -= len(done)
        for message, result in zip(done, results, strict=True):
            message.reply_to.put(Applied(message.mutation, result))

    def expire(self, state: DocumentState) -> None:
        """Drop mutations past their deadline, and reply to their senders."""
        now = self.clock.monotonic()
        remaining: list[Apply] = []
        attempted = 0
        for index, message in enumerate(state.pending):
            was_attempted = index < state.attempted
            if message.deadline is not None and message.deadline <= now:
                message.reply_to.put(StoreUnavailable(message.mutation, was_attempted))
                self.pending_total -= 1
                continue
            remaining.append(message)
            attempted += was_attempted
        state.pending, state.attempted = remaining, attempted

    def write(self, key: str, state: DocumentState) -> list[Any] | None:
        """Apply the pending mutations by compare-and-swap.

        Returns:
            One result for each pending mutation, or None if every attempt met a
            concurrent write.

        Raises:
            KeyValueError: The service did not respond; the write may have taken effect.
        """
        fresh = state.cached is None
        if state.cached is None:
            state.cached = self.load(key)
        for _ in range(MAX_CAS_ATTEMPTS):
            old, version = state.cached
            new, results = self.apply_all(old, state.pending)
            if new is old and fresh:
                return results
            if new is old:
                # No change relative to the cached document, which may be stale: check
                # against the stored one.
                state.cached, fresh = self.load(key), True
                continue
            state.attempted = len(state.pending)
            answer = self.store.compare_and_swap(key, self.kind.encode(new), version)
            if isinstance(answer, Swapped):
                state.cached = (new, answer.version)
                return results
            state.cached, fresh = self.decode(answer.current), True
        return None

    def apply_all(self, document: Any, pending: list[Apply]) -> tuple[Any, list[Any]]:
        """Apply all pending mutations in order."""
        results: list[Any] = []
        for message in pending:
            document, result = self.kind.apply(document, message.mutation)
            results.append(result)
        return document, results

    def read(self, key: str, reply_to: ReplyTo) -> None:
        """Reply with the document as the service currently holds it."""
        try:
            document, _version = self.load(key)
        except KeyValueError:
            reply_to.put(StoreUnavailable(key, False))
            return
        reply_to.put(ReadDone(key, document))

    def load(self, key: str) -> tuple[Any, int]:
        """Read a document and its version from the service."""
        return self.decode(self.store.get(key))

    def decode(self, stored: VersionedValue | None) -> tuple[Any, int]:
        """Return a stored document and its version; version 0 means an absent key."""
        if stored is None:
            return self.kind.empty, 0
        return self.kind.decode(stored.value), stored.version


def document_task(
    store: KeyValueClient, kind: DocumentKind, **options: Any
) -> pykka.ActorRef:
    """Start a `Documents` task for one kind of document.

    Args:
        store: The connection to the key-value service.
        kind: Operations of the documents.
        options: Further arguments of `Documents`.
    """
    return Documents.start(store, kind, **options)
