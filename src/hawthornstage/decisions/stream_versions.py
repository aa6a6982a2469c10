"""Decides at which software version a stream goes on.

Servers of several versions may serve side by side, and only the version that began a
stream can continue it. The router that passes on a stream's first event tells a few
others, chosen by rendezvous hashing, as long as a service has or recently had servers
of several versions. A router that continues a stream asks them. It may also conclude
the version if there has been only one; otherwise it does not guess.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.stream_versions import (
    StreamVersionNoted,
    StreamVersionReply,
)

# Longest time from a stream's first event until a caller continues it, in seconds.
STREAM_LIFETIME_S = 20.0
# Time for which the version of a stream is remembered, in seconds.
NOTE_LIFETIME_S = 60.0
# Most streams whose versions are remembered.
MAX_NOTES = 20_000
# Routers that are told the version of a stream, and that are asked for it: one more, as
# the router that told them may have been among the first itself.
HOLDERS_PER_STREAM = 2
HOLDERS_ASKED = 3


@dataclass
class VersionHistory:
    """The versions that each service's servers have and recently had.

    Args:
        known_since: Time of the first list of servers, or None before it.
        last_seen: Last time that a version was registered, by service and version;
            infinite while it is.
    """

    known_since: float | None = None
    last_seen: dict[str, dict[str, float]] = field(default_factory=dict)

    def update(self, servers: Iterable[BackendServer], now: float) -> None:
        """Replace the registered servers."""
        if self.known_since is None:
            self.known_since = now
        for versions in self.last_seen.values():
            for version, at in versions.items():
                versions[version] = min(at, now)
        for server in servers:
            versions = self.last_seen.setdefault(server.service, {})
            versions[server.version] = math.inf
        self.forget_old(now)

    def forget_old(self, now: float) -> None:
        """Drop versions that no stream can have begun at."""
        self.last_seen = {
            service: kept
            for service, versions in self.last_seen.items()
            if (kept := recent_versions(versions, now))
        }

    def recent(self, service: str, now: float) -> tuple[str, ...]:
        """Return the versions that a service's servers have or recently had."""
        return tuple(sorted(recent_versions(self.last_seen.get(service, {}), now)))

    def is_complete(self, now: float) -> bool:
        """Whether all versions are known that a stream may have begun at."""
        since = self.known_since
        return since is not None and now - since >= STREAM_LIFETIME_S

    def is_uniform(self, service: str, now: float) -> bool:
        """Whether a service is known to have recently had only one version."""
        return self.is_complete(now) and len(self.recent(service, now)) == 1


@dataclass(frozen=True)
class StreamNote:
    """What is known of one stream.

    Args:
        versions: The versions that it was said to have begun at.
        own: Whether this router passed on its first event.
        noted_at: Time of the latest note.
    """

    versions: frozenset[str]
    own: bool
    noted_at: float


@dataclass
class StreamNotes:
    """Versions of streams, by service and id of the call that brought the first event.

    Args:
        notes: The notes, oldest first. Long ids stand by their hash.
    """

    notes: dict[tuple[str, str], StreamNote] = field(default_factory=dict)

    def add(
        self, service: str, call_id: str, version: str, now: float, *, own: bool
    ) -> None:
        """Record the version of a stream, beside one that contradicts it."""
        key = (service, bounded_id(call_id))
        known = self.notes.pop(key, StreamNote(frozenset(), False, now))
        versions = known.versions | {version}
        self.notes[key] = StreamNote(versions, own or known.own, now)
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drop the notes that are old, or too many."""
        while self.notes:
            key, note = next(iter(self.notes.items()))
            if len(self.notes) <= MAX_NOTES and now - note.noted_at < NOTE_LIFETIME_S:
                return
            del self.notes[key]

    def find(self, service: str, call_id: str) -> tuple[str, ...]:
        """Return the versions that a stream was said to have begun at."""
        note = self.notes.get((service, bounded_id(call_id)))
        return tuple(sorted(note.versions)) if note else ()

    def own_streams(self, service: str) -> list[StreamVersionNoted]:
        """Return the streams of a service that began at this router."""
        return [
            StreamVersionNoted(call_id, service, version)
            for (name, call_id), note in self.notes.items()
            if name == service and note.own
            for version in note.versions
        ]

    def running_streams(
        self, now: float, *, own_only: bool = False
    ) -> list[StreamVersionNoted]:
        """Return the streams that callers may still continue.

        Args:
            now: Monotonic time.
            own_only: Whether only those that began at this router count.
        """
        return [
            StreamVersionNoted(call_id, service, version)
            for (service, call_id), note in self.notes.items()
            if now - note.noted_at < STREAM_LIFETIME_S and (note.own or not own_only)
            for version in note.versions
        ]


@dataclass(frozen=True)
class VersionFound:
    """The stream goes on at servers of this version."""

    version: str


@dataclass(frozen=True)
class VersionUnknown:
    """No router that replied knows the version of the stream."""


@dataclass
class RouterAges:
    """How long the other routers have been known.

    A router concludes no version in the time of a stream after its start. So while all
    others are young, a stream goes on only if they were told its version.

    Args:
        joined_at: Time at which each of them was first known.
    """

    joined_at: dict[str, float] = field(default_factory=dict)

    def update(self, others: Iterable[str], now: float) -> None:
        """Replace the other routers."""
        self.joined_at = {name: self.joined_at.get(name, now) for name in others}

    def are_all_young(self, now: float) -> bool:
        """Whether none of the others can conclude the version of a stream."""
        return all(now - at < STREAM_LIFETIME_S for at in self.joined_at.values())


def resolve_version(
    own: StreamVersionReply, replies: Iterable[StreamVersionReply], *, alone: bool
) -> VersionFound | VersionUnknown:
    """Decide at which version a stream goes on.

    Args:
        own: What this router knows.
        replies: What other routers know.
        alone: Whether there is no other router to ask.
    """
    others = list(replies)
    known = [own, *others]
    noted = {version for each in known for version in each.noted}
    recent = {version for each in known for version in each.recent}
    if noted:
        return found_version(noted, recent)
    if not others and not alone:
        # This router's list of servers may be out of date.
        return VersionUnknown()
    if any(each.complete for each in known):
        return found_version(recent, recent)
    return VersionUnknown()


def found_version(
    candidates: set[str], recent: set[str]
) -> VersionFound | VersionUnknown:
    """Return the only candidate.

    An unnamed version beside others may be any of them.
    """
    if len(candidates) != 1:
        return VersionUnknown()
    (version,) = candidates
    if not version and len(recent) > 1:
        return VersionUnknown()
    return VersionFound(version)


def holders_to_tell(call_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the other routers that are told the version of a stream."""
    return tuple(rendezvous_order(bounded_id(call_id), others)[:HOLDERS_PER_STREAM])


def holders_to_ask(call_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the other routers that are asked for the version of a stream."""
    return tuple(rendezvous_order(bounded_id(call_id), others)[:HOLDERS_ASKED])


def recent_versions(versions: Mapping[str, float], now: float) -> dict[str, float]:
    """Return the versions that were registered within the life of a stream."""
    return {
        version: at for version, at in versions.items() if now - at < STREAM_LIFETIME_S
    }
