"""Decides which failure domains are evacuated, by the store and by other routers.

The store's epoch and revision order all news, so that older news never replaces newer.
What the store itself has told is complete up to a position; other routers only add what
is later. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.messages.evacuations import (
    EvacuationChange,
    EvacuationRecord,
    Evacuations,
    EvacuationsRead,
    StorePosition,
)

# Time in which operators write again what a restored store lacks, in seconds; until
# then an evacuation that the copy lacks stays in force.
REWRITE_S = 15.0
# Time for which the end of an evacuation is repeated to other routers, in seconds.
ENDED_NEWS_S = 30.0
# Time for which the end of an evacuation is remembered, in seconds.
ENDED_MEMORY_S = 120.0
# Most failure domains that are kept because of other routers' news.
MAX_DOMAINS = 1_024


@dataclass(frozen=True)
class KnownEvacuation:
    """The latest news of one failure domain.

    Args:
        active: Whether it is evacuated.
        position: The state of the store with this news.
        learned_at: Time at which a router first learned it.
        lapses_at: Time at which it ends because a restored store lacks it, or None.
    """

    active: bool
    position: StorePosition
    learned_at: float
    lapses_at: float | None = None


@dataclass
class EvacuationBook:
    """The evacuations that a router knows.

    Args:
        known: The latest news, by failure domain.
        position: The state of the store up to which it has told all changes.
    """

    known: dict[str, KnownEvacuation] = field(default_factory=dict)
    position: StorePosition = StorePosition()

    def read(self, news: EvacuationsRead, now: float) -> list[str]:
        """Record what the store told; return the domains whose state has changed."""
        before = self.active()
        for change in news.changes:
            self.record(change, now)
        if news.complete:
            self.end_missing(news, now)
        self.position = max(self.position, news.position)
        return self.changed_since(before)

    def record(self, change: EvacuationChange, now: float) -> None:
        """Record one change, unless later news of its domain is known."""
        known = self.known.get(change.failure_domain)
        if known is not None and change.position <= known.position:
            return
        if known is None and not change.active:
            return
        self.known[change.failure_domain] = KnownEvacuation(
            change.active, change.position, now
        )

    def end_missing(self, news: EvacuationsRead, now: float) -> None:
        """End the evacuations that are not in the store any more.

        One of an earlier epoch may have been lost with the store's latest writes, and
        stays for a time.
        """
        present = {change.failure_domain for change in news.changes}
        for domain in self.active() - present:
            known = self.known[domain]
            if known.position.epoch < news.position.epoch:
                if known.lapses_at is None:
                    self.known[domain] = replace(known, lapses_at=now + REWRITE_S)
            elif known.position <= news.position:
                self.known[domain] = KnownEvacuation(False, news.position, now)

    def hear(self, records: Iterable[EvacuationRecord], now: float) -> list[str]:
        """Record what another router told; return the domains that have changed."""
        before = self.active()
        for record in records:
            if self.is_news(record):
                self.known[record.failure_domain] = KnownEvacuation(
                    record.active,
                    record.position,
                    now - max(0.0, record.age_s),
                    None if record.lapses_in_s is None else now + record.lapses_in_s,
                )
        return self.changed_since(before)

    def is_news(self, record: EvacuationRecord) -> bool:
        """Whether a record is later than all that is known of its domain."""
        known = self.known.get(record.failure_domain)
        if known is not None:
            return record.position > known.position
        if len(self.known) >= MAX_DOMAINS:
            return False
        if record.position > self.position:
            return True
        # A restored store lacks it, as this router knows from others only.
        is_kept = record.lapses_in_s is not None and record.lapses_in_s > 0
        return is_kept and record.position.epoch < self.position.epoch

    def end_lapsed(self, now: float) -> list[str]:
        """End evacuations that nobody wrote again; return the domains."""
        before = self.active()
        for domain, known in list(self.known.items()):
            if known.lapses_at is not None and known.lapses_at <= now:
                ended = KnownEvacuation(False, max(self.position, known.position), now)
                self.known[domain] = ended
            elif self.is_forgotten(known, now):
                del self.known[domain]
        return self.changed_since(before)

    def is_forgotten(self, known: KnownEvacuation, now: float) -> bool:
        """Whether an end is long past, and the store has told of a later state."""
        if known.active or known.position > self.position:
            return False
        return now - known.learned_at >= ENDED_MEMORY_S

    def active(self) -> frozenset[str]:
        """Return the evacuated failure domains."""
        return frozenset(name for name, known in self.known.items() if known.active)

    def changed_since(self, before: frozenset[str]) -> list[str]:
        """Return the domains that are evacuated now and were not, or the reverse."""
        return sorted(before ^ self.active())

    def in_force(self) -> Evacuations:
        """Return the evacuations for the request pipe."""
        ended_at = {
            name: known.learned_at
            for name, known in self.known.items()
            if not known.active
        }
        return Evacuations(self.active(), ended_at)

    def news(self, now: float) -> tuple[EvacuationRecord, ...]:
        """Return what is told to other routers: evacuations, and their recent ends."""
        return tuple(
            to_record(name, known, now)
            for name, known in sorted(self.known.items())
            if known.active or now - known.learned_at < ENDED_NEWS_S
        )

    def answer(
        self, records: Iterable[EvacuationRecord], now: float
    ) -> tuple[EvacuationRecord, ...]:
        """Return the reply to a router, with all evacuations that it takes for active.

        Args:
            records: What it told.
            now: Monotonic time in seconds.
        """
        replies = {each.failure_domain: each for each in self.news(now)}
        for record in records:
            name = record.failure_domain
            if not record.active or name in replies:
                continue
            ended = KnownEvacuation(False, self.position, now - ENDED_NEWS_S)
            replies[name] = to_record(name, self.known.get(name, ended), now)
        return tuple(replies.values())


def to_record(name: str, known: KnownEvacuation, now: float) -> EvacuationRecord:
    """Return what is told to other routers of one failure domain."""
    left_s = None if known.lapses_at is None else max(0.0, known.lapses_at - now)
    return EvacuationRecord(
        name,
        known.active,
        known.position.epoch,
        known.position.revision,
        max(0.0, now - known.learned_at),
        left_s,
    )
