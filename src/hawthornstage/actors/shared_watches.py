"""The task that tells other routers what this one's watches have read."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pykka

from hawthornstage.actors.ask import ask_router
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.watch_sharing import (
    AVOIDANCE_S,
    REFUSAL_AVOIDANCE_S,
    ChangeHistory,
    WatchReaders,
    complete_until,
    fits_reply,
    reply_timeout,
    sharing_routers,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.shared_watches import (
    ChangesRead,
    ChangesUnavailable,
    RequestChanges,
    SharedChange,
)
from hawthornstage.messages.store import Changes
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class PrefixRead:
    """Tells what a call of this router's own watch has returned.

    Args:
        prefix: The key prefix.
        epoch: The store's epoch.
        after: Revision after which the changes are complete.
        revision: Revision up to which they are.
        changes: The changes, in order.
        at: Monotonic time of the response, in seconds.
    """

    prefix: str
    epoch: int
    after: int
    revision: int
    changes: tuple[SharedChange, ...]
    at: float


@dataclass(frozen=True)
class PrefixLost:
    """Tells that a call of this router's own watch has failed."""

    prefix: str


@dataclass(frozen=True)
class HeldRequest:
    """A request that waits for the store's next response.

    Args:
        request: The request.
        reply_to: Gets the reply.
        received_at: Monotonic time of its arrival, in seconds.
    """

    request: RequestChanges
    reply_to: ReplyTo
    received_at: float


class SharedWatches(Task):
    """Owns the changes that this router has read for others, and their requests.

    A request is held until the store's next response to this router, which comes soon
    as a reader's watches are short; so the task needs no timer.

    Args:
        node: This router's name.
        readers: Where the readers are published.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        readers: LatestValue[WatchReaders],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.readers = readers
        self.clock = clock
        self.events = events
        self.histories: dict[str, ChangeHistory] = {}
        self.held: defaultdict[str, list[HeldRequest]] = defaultdict(list)
        # Prefixes whose last call to the store has failed.
        self.failed: set[str] = set()

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=RequestChanges() as request, reply_to=reply_to):
                received_at = self.clock.monotonic()
                self.answer(HeldRequest(request, reply_to, received_at))
            case PrefixRead():
                self.add(message)
            case PrefixLost(prefix):
                self.failed.add(prefix)
                for each in self.held.pop(prefix, []):
                    each.reply_to.put(ChangesUnavailable(store_failed=True))
            case KnownRouters(urls, settled=True):
                self.update_readers(sharing_routers(urls) | {self.node})

    def update_readers(self, routers: frozenset[str]) -> None:
        """Choose the readers anew; refuse requests that are not for this one now."""
        self.readers.publish(WatchReaders(self.node, routers))
        for prefix in list(self.held):
            if not self.readers.value.is_reader(prefix):
                for each in self.held.pop(prefix):
                    each.reply_to.put(ChangesUnavailable(store_failed=False))

    def answer(self, held: HeldRequest) -> None:
        """Reply with changes that are known already, or hold the request."""
        prefix = held.request.prefix
        history = self.histories.get(prefix)
        store_failed = prefix in self.failed
        if store_failed or history is None or not self.readers.value.is_reader(prefix):
            held.reply_to.put(ChangesUnavailable(store_failed))
            return
        known = history.since(held.request.epoch, held.request.after)
        if known:
            self.reply(held, history)
            return
        self.held[prefix].append(held)

    def add(self, read: PrefixRead) -> None:
        """Add what the store has returned, and answer the requests that wait for it."""
        self.failed.discard(read.prefix)
        history = self.histories.get(read.prefix)
        if (
            history is None
            or history.epoch != read.epoch
            or history.revision != read.after
        ):
            history = ChangeHistory(read.epoch, read.after, read.after, read.at)
            self.histories[read.prefix] = history
        history.add(read.changes, read.revision, read.at)
        for each in self.held.pop(read.prefix, []):
            request = each.request
            if request.epoch == history.epoch and request.after > history.revision:
                # This response is older than what the other router has read.
                self.held[read.prefix].append(each)
            else:
                self.reply(each, history)

    def reply(self, held: HeldRequest, history: ChangeHistory) -> None:
        """Reply to one request with what is known."""
        changes = history.since(held.request.epoch, held.request.after)
        if changes is None or not fits_reply(changes):
            held.reply_to.put(ChangesUnavailable(store_failed=False))
            return
        held_s = history.read_at - held.received_at
        held.reply_to.put(ChangesRead(changes, history.revision, held_s))


@dataclass(frozen=True)
class SharedNews:
    """Changes that a reader has told.

    Args:
        changes: The changes.
        heard_at: Monotonic time up to which they are complete, in seconds.
    """

    changes: Changes
    heard_at: float


@dataclass(frozen=True)
class WatchShare:
    """One watch's part in sharing: asks readers, and tells what it has read itself.

    Args:
        prefix: The key prefix.
        task: Tells other routers what this watch has read.
        readers: The routers that read for others.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
        avoided: Monotonic time until which readers are not asked, in seconds.
    """

    prefix: str
    task: pykka.ActorRef
    readers: LatestValue[WatchReaders]
    peers: Recipient
    clock: Clock
    events: EventLog
    avoided: dict[str, float] = field(default_factory=dict)

    @property
    def fleet_known(self) -> bool:
        """Whether all routers are known."""
        return bool(self.readers.value.routers)

    @property
    def is_reader(self) -> bool:
        """Whether this router reads the prefix for others."""
        return self.readers.value.is_reader(self.prefix)

    def reader(self) -> str | None:
        """Return the reader to ask, or None if the store is to be asked."""
        now = self.clock.monotonic()
        return self.readers.value.reader_to_ask(self.prefix, self.avoided, now)

    def ask(
        self, epoch: int, after: int, *, known_at: float, bound_s: float
    ) -> SharedNews | ChangesUnavailable:
        """Ask readers for changes; wait until the store has responded to one of them.

        Args:
            epoch: The store's epoch.
            after: Revision after which changes are asked for.
            known_at: Monotonic time up to which all changes are known, in seconds.
            bound_s: Time within which a change must take effect, in seconds.
        """
        ends_at = known_at + reply_timeout(bound_s)
        request = RequestChanges(self.prefix, epoch, after)
        store_failed = False
        while True:
            reader = self.reader()
            if reader is None or self.clock.monotonic() >= ends_at:
                return ChangesUnavailable(store_failed)
            outcome = self.ask_one(reader, request, ends_at)
            if isinstance(outcome, SharedNews):
                return outcome
            self.avoid(reader, outcome)
            if isinstance(outcome, ChangesUnavailable):
                store_failed |= outcome.store_failed

    def ask_one(self, reader: str, request: RequestChanges, ends_at: float) -> Any:
        """Ask one reader.

        Returns:
            Its news, or else the reply that was no news; None after the timeout.
        """
        asked_at = self.clock.monotonic()
        timeout = ends_at - asked_at
        reply = ask_router(self.peers, reader, request, self.clock, timeout=timeout)
        match reply:
            case ChangesRead(changes, revision, held_s) if revision >= request.after:
                now = self.clock.monotonic()
                heard_at = complete_until(asked_at, held_s, now, news=bool(changes))
                if heard_at is not None:
                    events = tuple(each.to_change() for each in changes)
                    return SharedNews(Changes(events, revision), heard_at)
        return reply

    def avoid(self, reader: str, reply: Any) -> None:
        """Ask a reader nothing for some time, as it could not tell of changes."""
        refused = isinstance(reply, ChangesUnavailable)
        avoidance_s = REFUSAL_AVOIDANCE_S if refused else AVOIDANCE_S
        self.avoided[reader] = self.clock.monotonic() + avoidance_s
        self.events.emit(
            "watch_reader_avoided",
            prefix=self.prefix,
            reader=reader,
            reply=type(reply).__name__,
            store_failed=getattr(reply, "store_failed", False),
        )

    def tell_read(self, epoch: int, after: int, changes: Changes, *, at: float) -> None:
        """Tell what a call to the store has returned."""
        shared = tuple(SharedChange.of(each) for each in changes.events)
        self.task.tell(
            PrefixRead(self.prefix, epoch, after, changes.revision, shared, at)
        )

    def tell_lost(self) -> None:
        """Tell that a call to the store has failed."""
        self.task.tell(PrefixLost(self.prefix))


MakeWatchShare = Callable[[str], WatchShare]
