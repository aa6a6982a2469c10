"""A router's part in agreeing on the drawn tokens after the store was restored."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from hawthornstage.border.stored_values import (
    decode_count,
    decode_epoch_counts,
    encode_count,
    encode_epoch_counts,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.draw_plans import largest
from hawthornstage.decisions.epoch_counts import (
    EpochCounts,
    may_settle,
    missing_tokens,
    with_merged,
)
from hawthornstage.messages.store import Committed, Conflict, Item, Listing, Put
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Key prefix of the drawn tokens by workspace.
COUNTS_PREFIX = "hawthornstage/drawn/"
# Key prefix of the agreements, followed by the store's epoch.
EPOCHS_PREFIX = "hawthornstage/epochs/"
# Most counts in one write: each is a condition and a put, as is the agreement.
MAX_COUNTS_PER_MERGE = 15
# Most older agreements that one write removes.
MAX_REMOVED = 8
# Most steps towards the agreement that are taken at once, and the outcome of one after
# which the next may follow.
MAX_STEPS = 10
STEP_TAKEN = None


class LedgerEpoch:
    """The epoch of the store whose counts a router uses, part of the ledger's state.

    Each write of the ledger names the agreement of its epoch as a condition. The first
    write in a new epoch removes the older agreements, so that a write of an older epoch
    cannot take effect although its revisions were given out again.

    Args:
        node: This router's name.
        store: The ledger's client.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self, node: str, store: StoreClient, clock: Clock, events: EventLog
    ) -> None:
        self.node = node
        self.store = store
        self.clock = clock
        self.events = events
        self.routers: frozenset[str] = frozenset((node,))
        self.awaited = self.routers
        self.number: int | None = None
        self.previous: int | None = None
        self.since = clock.monotonic()
        self.revision = 0
        self.counts = EpochCounts()
        self.known: dict[str, int] = {}
        self.merged = True
        self.ready = False

    @property
    def key(self) -> str:
        """The key of the agreement."""
        return f"{EPOCHS_PREFIX}{self.number}"

    @property
    def condition(self) -> dict[str, int]:
        """The condition of each write of the ledger."""
        return {self.key: self.revision}

    def is_current(self) -> bool:
        """Whether the store is still in the epoch that this router uses."""
        return self.number == self.store.epoch

    def begin(self, drawn: Mapping[str, int]) -> None:
        """Begin the store's present epoch.

        Args:
            drawn: The counts of the epoch before, as this router last knew them.
        """
        unmerged = {} if self.merged else self.known
        self.known = {
            workspace: max(drawn.get(workspace, 0), unmerged.get(workspace, 0))
            for workspace in drawn.keys() | unmerged.keys()
        }
        self.previous, self.number = self.number, self.store.epoch
        self.since = self.clock.monotonic()
        self.awaited = self.routers
        self.revision = 0
        self.merged = self.ready = False

    def learn(self, epoch: int, counts: Mapping[str, int]) -> None:
        """Note counts of the epoch before that another router told late."""
        if epoch != self.previous:
            return
        for workspace, tokens in counts.items():
            if tokens > self.known.get(workspace, 0):
                self.known[workspace] = tokens
                self.merged = self.ready = False

    def agree(self) -> str | None:
        """Merge what this router knows; return why it must not draw yet, if so."""
        for _ in range(MAX_STEPS):
            listing = self.store.list(EPOCHS_PREFIX)
            if not isinstance(listing, Listing):
                return listing.reason
            if not self.is_current():
                return "the store was restored meanwhile"
            outcome = self.take_step(listing.items)
            if outcome is not STEP_TAKEN:
                return outcome
            if self.ready:
                return None
        return "other routers change the agreement"

    def take_step(self, agreements: tuple[Item, ...]) -> str | None:
        """Take the next step towards the agreement.

        Args:
            agreements: The stored agreements of all epochs.

        Returns:
            `STEP_TAKEN` to go on, or why this router has to wait.
        """
        found = {item.key: item for item in agreements}
        agreement = found.pop(self.key, None)
        if agreement is None:
            return self.create(found.values())
        self.revision = agreement.revision
        self.counts = decode_epoch_counts(agreement.value)
        if self.counts.settled and not missing_tokens(self.counts, self.known):
            self.merged = True
        if not self.merged:
            return self.merge()
        if not self.counts.settled:
            return self.settle()
        self.ready = True
        return STEP_TAKEN

    def create(self, older: Iterable[Item]) -> str | None:
        """Create the agreement from the counts of the copy, and remove older ones."""
        listing = self.store.list(COUNTS_PREFIX)
        if not isinstance(listing, Listing):
            return listing.reason
        base = {
            item.key.removeprefix(COUNTS_PREFIX): decode_count(item.value)
            for item in listing.items
        }
        removed = sorted(older, key=lambda item: item.revision)[-MAX_REMOVED:]
        # A store without an agreement was not restored, unless this process saw it.
        first = not removed and not self.previous
        counts = EpochCounts(base, settled=first)
        expected = {self.key: 0, **{item.key: item.revision for item in removed}}
        put = Put(self.key, encode_epoch_counts(counts))
        removes = tuple(item.key for item in removed)
        return self.write(counts, expected, (put,), removes)

    def merge(self) -> str | None:
        """Add the tokens that the agreed counts lack, as many as one write takes."""
        missing = missing_tokens(self.counts, self.known)
        part = largest(missing, MAX_COUNTS_PER_MERGE)
        complete = len(part) == len(missing)
        counts = with_merged(self.counts, part, self.node if complete else None)
        expected = dict(self.condition)
        puts = [Put(self.key, encode_epoch_counts(counts))]
        if part:
            listing = self.store.list(COUNTS_PREFIX)
            if not isinstance(listing, Listing):
                return listing.reason
            stored = {item.key: item for item in listing.items}
            for workspace, tokens in part.items():
                key = COUNTS_PREFIX + workspace
                item = stored.get(key)
                count = decode_count(item.value) if item else 0
                expected[key] = item.revision if item else 0
                puts.append(Put(key, encode_count(count + tokens)))
        outcome = self.write(counts, expected, tuple(puts))
        if self.counts is counts:
            self.merged = complete
            if part:
                self.events.emit("counts_merged", epoch=self.number, added=part)
        return outcome

    def settle(self) -> str | None:
        """Allow draws as soon as the known routers have merged their counts.

        A process that began after the restoration may not know yet who has to.
        """
        waited_s = self.clock.monotonic() - self.since
        saw_restoration = self.previous is not None
        if not may_settle(
            self.counts, self.awaited if saw_restoration else None, waited_s
        ):
            return "routers have yet to merge their counts"
        settled = replace(self.counts, settled=True)
        put = Put(self.key, encode_epoch_counts(settled))
        outcome = self.write(settled, self.condition, (put,))
        if self.counts is not settled:
            return outcome
        absent = sorted(self.awaited - set(settled.merged))
        self.events.emit(
            "epoch_settled",
            epoch=self.number,
            waited_ms=int(waited_s * 1000),
            absent=absent,
        )
        self.ready = True
        return STEP_TAKEN

    def write(
        self,
        counts: EpochCounts,
        expected: Mapping[str, int],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> str | None:
        """Write the agreement, and use it if it is stored.

        Returns:
            `STEP_TAKEN` if it is stored or another router was faster, or the failure.
        """
        match self.store.transact(expected, puts=puts, removes=removes):
            case Committed(revision):
                self.revision, self.counts = revision, counts
                return STEP_TAKEN
            case Conflict():
                return STEP_TAKEN
            case outcome:
                return f"the agreement was not written: {outcome}"
