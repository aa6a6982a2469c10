"""The task that stores this router's record and draws tokens from the budgets.

The ledger in the store holds one count of drawn tokens for each workspace. The router's
record states what it may have spent, so that the next process on the same host can
return the rest.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from hawthornstage.actors.held_lease import HeldLease, renew_lease
from hawthornstage.actors.ledger_epoch import COUNTS_PREFIX, LedgerEpoch
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.border.stored_values import (
    decode_count,
    decode_record,
    encode_count,
    encode_record,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.draw_plans import (
    LEASE_MARGIN_S,
    add_draw_to_record,
    cap_to_budgets,
    largest,
    reclaimable_tokens,
)
from hawthornstage.decisions.token_holders import HolderDirectory
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.draws import (
    ClockReading,
    CloseAccounts,
    CountsStored,
    NothingDrawn,
    RecordForfeited,
    RecordNotStored,
    RecordOutcome,
    RecordOutcomeUnknown,
    RecordStored,
    RouterRecord,
    WriteRecord,
)
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    Item,
    LeaseLost,
    Listing,
    Put,
    StoreNoResponse,
    StoreRefused,
    StoreRestored,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Key prefix of the records, followed by the router's name.
RECORDS_PREFIX = "hawthornstage/records/"
# Key prefix of the markers that confirm how recent a record is.
MARKERS_PREFIX = "hawthornstage/markers/"
# Lease of a record, which a host that is gone for good leaves behind, and the age at
# which it is renewed, in seconds.
RECORD_LEASE_S = 600.0
RECORD_LEASE_RENEWAL_AGE_S = 200.0
# Most conditions, puts and removals together that the store accepts in one write.
MAX_WRITE_ENTRIES = 32
# Most counts in one write: each count, like the record, is a condition and a put; the
# epoch's agreement is a condition, and the marker a put or a removal.
MAX_COUNTS_PER_WRITE = (MAX_WRITE_ENTRIES - 4) // 2
# Ages at which the counts are read again, in seconds: normally, and while calls wait
# for tokens.
REFRESH_S = 2.5
URGENT_REFRESH_S = 0.3
# Age at which the marker's lease is renewed, in seconds.
MARKER_LEASE_RENEWAL_AGE_S = 0.9
# Attempts at one write while other routers change the same counts.
MAX_ATTEMPTS = 8


@dataclass(frozen=True)
class CheckEpoch:
    """Triggers the check whether this router's counts have yet to be merged."""


@dataclass(frozen=True)
class Write:
    """A transaction on the store that can be repeated unchanged.

    Args:
        expected: Revision that each key must have.
        puts: Values to write.
        record: The record that it stores.
        granted: Tokens that it draws, by workspace; negative amounts are returned.
        counts: New drawn counts, by workspace.
    """

    expected: dict[str, int]
    puts: tuple[Put, ...]
    record: RouterRecord
    granted: dict[str, int]
    counts: dict[str, int]


class LedgerTask(Task):
    """Draws and returns tokens over its own connection to the store.

    A write without a response is repeated unchanged until it is known whether it took
    effect. The expected revisions let it succeed only once, and the mark in the stored
    record shows whether it did.

    Counts are told to the workspace's other holders before their tokens are used, so
    that a store restored from a copy can be brought up to date even if this process is
    gone, and so that those know the count from which they draw.

    Args:
        node: This router's name.
        store: A client used by this task only.
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        store: StoreClient,
        peers: Recipient,
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.peers = peers
        self.epoch = LedgerEpoch(node, store, clock, events)
        self.holders = HolderDirectory(node)
        self.record_key = RECORDS_PREFIX + node
        self.marker_key = MARKERS_PREFIX + node
        self.store = store
        self.clock = clock
        self.events = events
        self.refreshed_at = float("-inf")
        self.started_at = ClockReading(clock.monotonic(), clock.wall())
        self.record_lease = HeldLease(RECORD_LEASE_S, RECORD_LEASE_RENEWAL_AGE_S)
        self.marker_lease = HeldLease(0.0, MARKER_LEASE_RENEWAL_AGE_S)
        self.loaded = False
        self.revisions: dict[str, int] = {}
        self.drawn: dict[str, int] = {}
        self.predecessor: RouterRecord | None = None
        self.predecessor_marker = ""
        self.mark: str | None = None
        self.mark_in_store: str | None = None
        self.unconfirmed_write: Write | None = None
        # Whether the store was restored before the outcome of a write was known.
        self.write_forfeited = False

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=WriteRecord() as request, reply_to=reply_to):
                reply_to.put(self.store_record(request))
            case Ask(message=CloseAccounts(free), reply_to=reply_to):
                reply_to.put(self.close_accounts(free))
            case Ask(message=CountsStored() as stored, reply_to=reply_to):
                self.learn_counts(stored)
                reply_to.put(Acknowledged())
            case StoreRestored() | CheckEpoch():
                self.merge_counts()
            case KnownRouters(urls):
                self.epoch.routers = frozenset((self.node, *urls))
                self.holders = self.holders.updated(urls)

    def store_record(self, request: WriteRecord) -> RecordOutcome:
        """Store a record together with a draw.

        If the outcome of the previous write is unknown, repeats that write instead.
        """
        if not self.epoch.is_current():
            self.begin_epoch()
        if self.write_forfeited:
            self.write_forfeited = False
            return self.record_forfeited("the store was restored before its answer")
        if self.unconfirmed_write is not None:
            return self.commit(self.unconfirmed_write) or self.record_dropped(
                "the previous write did not take effect"
            )
        for _ in range(MAX_ATTEMPTS):
            failure = self.prepare_write(request)
            if failure is not None:
                return self.record_dropped(failure)
            write = self.plan_write(request)
            if not request.required and not write.granted:
                return NothingDrawn(self.drawn)
            outcome = self.commit(write)
            if outcome is not None:
                return outcome
        return self.record_dropped(f"no success in {MAX_ATTEMPTS} attempts")

    def prepare_write(self, request: WriteRecord) -> str | None:
        """Bring counts, epoch and leases up to date; return the failure, if any."""
        if not self.epoch.is_current():
            self.begin_epoch()
        if not self.epoch.ready:
            failure = self.join_epoch()
            if failure is not None:
                return failure
        if not self.loaded:
            failure = self.load()
            if failure is not None:
                return failure
        max_age = URGENT_REFRESH_S if request.minimum else REFRESH_S
        lease_ttl_s = request.record.late_after_s - LEASE_MARGIN_S
        # Old counts only make a write fail, so a cheaper read serves as long as no
        # call waits for the draw.
        return self.refresh(max_age, stale=not request.minimum) or self.renew_leases(
            lease_ttl_s
        )

    def merge_counts(self) -> None:
        """Merge the counts that this router knows into a restored store.

        Also a router without tokens does so: it may be the only one that knows them.
        One that has not used the store before it was restored knows none.
        """
        if self.epoch.number is None:
            return
        if not self.epoch.is_current():
            self.begin_epoch()
        if self.epoch.merged:
            return
        failure = self.join_epoch()
        if failure is not None:
            self.events.emit(
                "counts_not_agreed", epoch=self.epoch.number, reason=failure[:120]
            )

    def begin_epoch(self) -> None:
        """Forget what holds only in the epoch before.

        The outcome of a write does not matter any more: see `RecordForfeited`.
        """
        self.epoch.begin(self.drawn)
        self.revisions.clear()
        self.mark_in_store = None
        self.record_lease.id = self.marker_lease.id = None
        self.refreshed_at = float("-inf")
        self.write_forfeited |= self.unconfirmed_write is not None
        self.unconfirmed_write = None

    def join_epoch(self) -> str | None:
        """Agree with other routers on the counts, and read them; return the failure."""
        failure = self.epoch.agree()
        if failure is not None or not self.loaded:
            return failure
        match self.store.get(self.record_key):
            case Item() as item:
                self.apply_item(item)
            case StoreRefused(reason) | StoreNoResponse(reason):
                self.epoch.ready = False
                return reason
        failure = self.refresh(0.0, stale=False)
        self.epoch.ready = failure is None
        return failure

    def learn_counts(self, stored: CountsStored) -> None:
        """Note counts that another router has changed."""
        if stored.epoch != self.epoch.number:
            self.epoch.learn(stored.epoch, stored.counts)
            return
        for workspace, tokens in stored.counts.items():
            key = COUNTS_PREFIX + workspace
            if stored.revision > self.revisions.get(key, 0):
                self.revisions[key] = stored.revision
                self.drawn[workspace] = tokens

    def tell_counts(self, revision: int, counts: dict[str, int]) -> None:
        """Tell the other holders of each workspace of the count that this one changed.

        They draw from it as well, and a write with an old count is refused.
        """
        if self.epoch.number is None:
            return
        told: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for workspace, tokens in counts.items():
            for node in self.holders.other_holders(workspace):
                told[node][workspace] = tokens
        for node, node_counts in told.items():
            stored = CountsStored(self.epoch.number, revision, node_counts)
            self.peers.tell(Send(node, stored))

    def refresh(self, max_age: float, *, stale: bool) -> str | None:
        """Reload the counts if older than `max_age`; return the failure, if any.

        Args:
            max_age: Age in seconds.
            stale: Whether to allow a cheaper read that may be seconds out of date.
        """
        now = self.clock.monotonic()
        if now - self.refreshed_at < max_age:
            return None
        match self.store.list(COUNTS_PREFIX, stale=stale):
            case Listing(items, _):
                for item in items:
                    if item.revision > self.revisions.get(item.key, 0):
                        self.apply_item(item)
                self.refreshed_at = now
                return None
            case StoreRefused(reason) | StoreNoResponse(reason):
                return reason

    def renew_leases(self, marker_ttl_s: float) -> str | None:
        """Renew both leases or obtain new ones; return the failure, if any.

        Args:
            marker_ttl_s: Time to live of the marker's lease, in seconds.
        """
        if marker_ttl_s != self.marker_lease.ttl_s:
            # The marker moves to the new lease with its next write.
            self.marker_lease = HeldLease(marker_ttl_s, MARKER_LEASE_RENEWAL_AGE_S)
        for lease in (self.record_lease, self.marker_lease):
            failure = renew_lease(lease, self.store, self.clock, self.events)
            if failure is not None:
                return failure
        return None

    def record_dropped(self, reason: str) -> RecordNotStored:
        """Return the reply for a record that was not stored."""
        return RecordNotStored(reason, self.drawn)

    def record_forfeited(self, reason: str) -> RecordForfeited:
        """Forget a write of an epoch that is over; return the reply for its record."""
        self.unconfirmed_write = None
        return RecordForfeited(reason, self.drawn)

    def load(self) -> str | None:
        """Read the counts and a predecessor's record; return the failure, if any."""
        match self.store.get(self.marker_key):
            case Item(value=value):
                self.predecessor_marker = value.decode("ascii", "replace")
            case StoreRefused(reason) | StoreNoResponse(reason):
                return reason
        match self.store.get(self.record_key):
            case Item() as item:
                self.apply_item(item)
            case StoreRefused(reason) | StoreNoResponse(reason):
                return reason
        failure = self.refresh(REFRESH_S, stale=False)
        self.loaded = failure is None
        return failure

    def apply_items(self, keys: Iterable[str], items: tuple[Item, ...]) -> None:
        """Update the cached revisions and values; keys without an item were removed.

        If the epoch's agreement has changed, it has to be read again.
        """
        self.mark_in_store = None
        agreement = {item.key: item.revision for item in items}.get(self.epoch.key, 0)
        self.epoch.ready = agreement == self.epoch.revision
        for key in keys:
            self.revisions[key] = 0
        for item in items:
            self.apply_item(item)

    def apply_item(self, item: Item) -> None:
        """Update the cached revision and value of one item."""
        if item.key == self.epoch.key:
            return
        self.revisions[item.key] = item.revision
        if item.key != self.record_key:
            workspace = item.key.removeprefix(COUNTS_PREFIX)
            self.drawn[workspace] = decode_count(item.value)
            return
        record = decode_record(item.value)
        if self.mark is None:
            self.predecessor = record
        self.mark_in_store = record.mark

    def plan_write(self, request: WriteRecord) -> Write:
        """Return the write of a record, its draw and a predecessor's unspent tokens."""
        drawn = dict(self.drawn)
        leftover: dict[str, int] = {}
        if self.predecessor is not None:
            leftover = self.leftover(self.predecessor)
            for workspace, tokens in leftover.items():
                drawn[workspace] = max(0, drawn.get(workspace, 0) - tokens)
        # The counts of the predecessor's tokens go into the same write.
        amounts = largest(request.amounts, MAX_COUNTS_PER_WRITE - len(leftover))
        granted = cap_to_budgets(drawn, request, amounts)
        for workspace, tokens in granted.items():
            drawn[workspace] = max(0, drawn.get(workspace, 0) + tokens)
        record = add_draw_to_record(request.record, granted)
        record = replace(record, epoch=self.store.epoch)
        assert self.record_lease.id is not None and self.marker_lease.id is not None
        puts = [Put(self.record_key, encode_record(record), self.record_lease.id)]
        changed = {k: n for k, n in drawn.items() if n != self.drawn.get(k, 0)}
        puts += self.count_puts(changed)
        expected = {put.key: self.revisions.get(put.key, 0) for put in puts}
        expected |= self.epoch.condition
        marker = record.mark.encode("ascii")
        puts.append(Put(self.marker_key, marker, self.marker_lease.id))
        return Write(expected, tuple(puts), record, granted, changed)

    def leftover(self, predecessor: RouterRecord) -> dict[str, int]:
        """Return the tokens of a predecessor that go back to the ledger."""
        if predecessor.epoch != self.store.epoch:
            # The predecessor may have stored later records, which are lost.
            return {}
        confirmed = predecessor.mark == self.predecessor_marker
        tokens = reclaimable_tokens(predecessor, self.started_at, confirmed=confirmed)
        return largest(tokens, MAX_COUNTS_PER_WRITE)

    def count_puts(self, counts: dict[str, int]) -> list[Put]:
        """Return the puts that write drawn counts."""
        return [
            Put(COUNTS_PREFIX + workspace, encode_count(tokens))
            for workspace, tokens in counts.items()
        ]

    def commit(self, write: Write) -> RecordOutcome | None:
        """Execute a write.

        Returns:
            The outcome, or None if the write did not happen and has to be planned anew:
            its lease was lost, or another router changed one of its keys first.
        """
        match self.store.transact(write.expected, puts=write.puts):
            case Committed() | Conflict() if not self.epoch.is_current():
                return self.record_forfeited("the store was restored during the write")
            case Committed(revision):
                return self.confirm_write(write, revision)
            case LeaseLost():
                self.unconfirmed_write = None
                self.record_lease.id = self.marker_lease.id = None
                return None
            case Conflict(items):
                self.unconfirmed_write = None
                self.apply_items(write.expected, items)
                if self.mark_in_store == write.record.mark:
                    return self.confirm_write(write, None)
                return None
            case StoreNoResponse(reason):
                self.unconfirmed_write = write
                return RecordOutcomeUnknown(reason)
            case failure if self.unconfirmed_write is not None:
                return RecordOutcomeUnknown(failure.reason)
            case failure:
                return self.record_dropped(failure.reason)

    def confirm_write(self, write: Write, revision: int | None) -> RecordStored:
        """Update the state after a write took effect.

        Args:
            write: The write.
            revision: The store's revision after it, or None if the write succeeded
                earlier and its response was lost.
        """
        self.unconfirmed_write = None
        if self.predecessor is not None:
            self.log_predecessor_closed(self.predecessor)
        self.mark = write.record.mark
        if revision is not None:
            written = {put.key: revision for put in write.puts}
            self.revisions |= written
            self.drawn |= write.counts
        counts_by_revision: dict[int, dict[str, int]] = {}
        for workspace in write.counts:
            key = COUNTS_PREFIX + workspace
            told = counts_by_revision.setdefault(self.revisions[key], {})
            told[workspace] = self.drawn[workspace]
        for told_revision, told in counts_by_revision.items():
            self.tell_counts(told_revision, told)
        if write.granted:
            self.events.emit("tokens_drawn", granted=write.granted)
        return RecordStored(write.record, write.granted, self.drawn)

    def log_predecessor_closed(self, predecessor: RouterRecord) -> None:
        """Log what a predecessor on this host had not spent, and forget the record."""
        self.predecessor = None
        self.events.emit(
            "predecessor_closed",
            age_s=round(self.started_at.wall - predecessor.wall, 3),
            steady_age_s=round(self.started_at.monotonic - predecessor.at, 3),
            granted=sum(predecessor.granted.values()),
            confirmed=predecessor.mark == self.predecessor_marker,
            returned=sum(self.leftover(predecessor).values()),
        )

    def close_accounts(self, free: dict[str, int]) -> bool:
        """Return the free tokens and remove the record; False if that failed.

        Nothing is returned while the counts of a restored store are agreed on.
        """
        if not self.epoch.is_current() or not self.epoch.ready:
            return False
        if self.unconfirmed_write is not None:
            self.commit(self.unconfirmed_write)
        if self.unconfirmed_write is not None or self.mark is None:
            return False
        for _ in range(MAX_ATTEMPTS):
            drawn = dict(self.drawn)
            for workspace, tokens in free.items():
                drawn[workspace] = max(0, drawn.get(workspace, 0) - tokens)
            puts = tuple(self.count_puts({name: drawn[name] for name in free}))
            keys = (self.record_key, *(put.key for put in puts))
            expected = {key: self.revisions.get(key, 0) for key in keys}
            expected |= self.epoch.condition
            removes = (self.record_key, self.marker_key)
            match self.store.transact(expected, puts=puts, removes=removes):
                case Committed(revision):
                    returned = {name: drawn[name] for name in free}
                    self.tell_counts(revision, returned)
                    self.events.emit("tokens_returned", free=free)
                    return True
                case Conflict(items):
                    self.apply_items(expected, items)
                    if not self.epoch.is_current() or not self.epoch.ready:
                        return False
                case StoreRefused(reason) | StoreNoResponse(reason):
                    self.events.emit("return_failed", reason=reason[:120])
                    return False
        return False
