"""The task that changes documents in the key-value service by compare-and-swap.

All mutations of one document that arrive while a write is under way go into the
next write together. Mutations are idempotent, so that a write whose answer was
lost is simply made again on the document as it then stands.
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
from hawthornstage.decisions.pacing import Pace, take
from hawthornstage.decisions.retries import backoff
from hawthornstage.mailbox import DISCARD, ReplyTo
from hawthornstage.platform.key_value import (
    KeyValueClient,
    KeyValueError,
    Swapped,
    Versioned,
)

# Mutations that wait for the service at most; further ones are refused.
MAX_PENDING = 50_000
# Tries of one write against other writers before the task looks at its inbox.
MAX_CAS_ATTEMPTS = 5


@dataclass(frozen=True)
class Apply:
    """Applies a mutation to a document.

    Args:
        key: The document's key.
        mutation: What to do; must be idempotent.
        reply_to: Gets `Applied` or `StoreUnavailable`.
        deadline: Monotonic time after which the sender no longer waits, or None
            to keep the mutation until it is applied.
        urgent: Whether it goes before the interval between writes is over.
    """

    key: str
    mutation: Any
    reply_to: ReplyTo = DISCARD
    deadline: float | None = None
    urgent: bool = False


@dataclass(frozen=True)
class Read:
    """Asks for a document as the service holds it now."""

    key: str
    reply_to: ReplyTo


@dataclass(frozen=True)
class Flush:
    """Writes what has gathered for a document."""

    key: str


@dataclass(frozen=True)
class Applied:
    """The mutation is durable."""

    mutation: Any
    result: Any


@dataclass(frozen=True)
class StoreUnavailable:
    """The service did not answer in time.

    Args:
        mutation: What was asked for, or the key for a read.
        maybe_applied: Whether it may still have taken effect.
    """

    mutation: Any
    maybe_applied: bool


@dataclass(frozen=True)
class ReadDone:
    """A document as the service held it."""

    key: str
    document: Any


@dataclass(frozen=True)
class DocumentKind:
    """How one kind of document is applied and encoded.

    Args:
        empty: The document that an absent key stands for.
        apply: Returns the new document, the same object if unchanged, and a result.
        encode: Turns a document into bytes.
        decode: Turns bytes into a document.
    """

    empty: Any
    apply: Callable[[Any, Any], tuple[Any, Any]]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


@dataclass
class DocumentState:
    """What is known of one document.

    Args:
        cached: The document and its version, or None if it must be read.
        pending: Mutations not yet durable.
        attempted: How many of them, from the first, a failed write included.
        scheduled: Whether a flush is on its way.
        flushed_at: Time of the last write.
        failures: Failed writes in a row.
    """

    cached: tuple[Any, int] | None = None
    pending: list[Apply] = field(default_factory=list)
    attempted: int = 0
    scheduled: bool = False
    flushed_at: float = float("-inf")
    failures: int = 0


class Documents(Task):
    """Owns a connection to the key-value service and the documents under it.

    Args:
        store: The connection.
        kind: How the documents are applied and encoded.
        clock: The runtime's clock.
        timers: Wakes this task.
        interval: Shortest time between two writes of a document, in seconds.
        fleet_rate: Writes a second that all routers together may make.
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
        self.pace = Pace(fleet_rate)
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
                # Silent routers keep their share, as they may only be cut off.
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
            # The service is down: look again when the sender stops waiting.
            wait = max(0.0, message.deadline - self.clock.monotonic())
            self.timers.after(wait, self.actor_ref, Flush(message.key))
        if message.urgent and not state.failures:
            # Behind what is in the inbox already, so that it joins this write.
            self.actor_ref.tell(Flush(message.key))
            return
        self.schedule(message.key, state, 0.0)

    def schedule(self, key: str, state: DocumentState, delay: float) -> None:
        """Arrange one flush, not sooner than the interval allows."""
        if state.scheduled:
            return
        state.scheduled = True
        since = self.clock.monotonic() - state.flushed_at
        delay = max(delay, self.interval - since)
        if delay <= 0:
            # Behind what is in the inbox already, so that it joins this write.
            self.actor_ref.tell(Flush(key))
        else:
            self.timers.after(delay, self.actor_ref, Flush(key))

    def flush(self, key: str, state: DocumentState) -> None:
        """Write the document once, with all that is pending for it."""
        state.scheduled = False
        self.expire(state)
        if not state.pending:
            return
        self.pace, pause = take(self.pace, self.clock.monotonic())
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
        """Tell senders that no longer wait, and drop their mutations."""
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
        """Compare and swap until it succeeds.

        Returns:
            One result for each pending mutation, or None if other writers were
            always faster.

        Raises:
            KeyValueError: The service did not answer; the write may have happened.
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
                # Nothing to change by a copy that may be old: look at the real one.
                state.cached, fresh = self.load(key), True
                continue
            state.attempted = len(state.pending)
            answer = self.store.swap(key, self.kind.encode(new), version)
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
        """Answer with the document as the service holds it."""
        try:
            document, _version = self.load(key)
        except KeyValueError:
            reply_to.put(StoreUnavailable(key, False))
            return
        reply_to.put(ReadDone(key, document))

    def load(self, key: str) -> tuple[Any, int]:
        """Read a document and its version from the service."""
        return self.decode(self.store.get(key))

    def decode(self, stored: Versioned | None) -> tuple[Any, int]:
        """Decode what the service holds; version 0 stands for an absent key."""
        if stored is None:
            return self.kind.empty, 0
        return self.kind.decode(stored.value), stored.version


def document_task(
    store: KeyValueClient, kind: DocumentKind, **options: Any
) -> pykka.ActorRef:
    """Start a task for one kind of document; options as for `Documents`."""
    return Documents.start(store, kind, **options)
