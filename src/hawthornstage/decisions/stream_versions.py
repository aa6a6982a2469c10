"""Decides at which software version a stream goes on.

Servers of several versions may serve side by side, and only the version that began a
stream can continue it. The router that passes on a stream's first event tells a few
others (`stream_holders`), as long as a service has or recently had servers of several
versions, or these others started not long ago. A router that continues a stream asks
them. It may also conclude the version if there has been only one; otherwise it does not
guess.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.stream_holders import STREAM_LIFETIME_S
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.stream_versions import (
    UNKNOWN_VERSION,
    StreamVersionReply,
)

# Time for which the version of a stream is remembered, in seconds.
NOTE_LIFETIME_S = 60.0
# Most streams whose versions are remembered.
MAX_NOTES = 20_000


@dataclass
class VersionHistory:
    """The versions that each service's servers have and recently had.

    Args:
        known_since: Time of the first list of servers, or None before it.
        last_seen: Last time that a version was registered, by service and version;
            infinite while it is.
        recorded: Versions that other routers had seen before, by service.
    """

    known_since: float | None = None
    last_seen: dict[str, dict[str, float]] = field(default_factory=dict)
    recorded: Mapping[str, frozenset[str]] = field(default_factory=dict)

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
        seen = recent_versions(self.last_seen.get(service, {}), now).keys()
        if not self.is_old(now):
            seen |= self.recorded.get(service, frozenset())
        return tuple(sorted(seen))

    def is_old(self, now: float) -> bool:
        """Whether this router has known the servers for the time of a stream."""
        since = self.known_since
        return since is not None and now - since >= STREAM_LIFETIME_S

    def is_complete(self, service: str, now: float) -> bool:
        """Whether all versions are known that a stream may have begun at."""
        is_known = self.known_since is not None
        return self.is_old(now) or (is_known and service in self.recorded)

    def is_uniform(self, service: str, now: float) -> bool:
        """Whether a service is known to have recently had only one version."""
        return self.is_complete(service, now) and len(self.recent(service, now)) == 1


# A stream: its service, and the bounded id of the call that brought its first event.
StreamKey = tuple[str, str]


@dataclass(frozen=True)
class StreamNote:
    """What is known of one stream.

    Args:
        versions: The versions that it was said to have begun at.
        own: Whether this router passed on its first event.
        noted_at: Time of the latest note.
        holders: Other routers that are to know it.
        substitutes: Routers that were told in place of holders.
    """

    versions: frozenset[str]
    own: bool
    noted_at: float
    holders: tuple[str, ...] = ()
    substitutes: tuple[str, ...] = ()


@dataclass
class StreamNotes:
    """Versions of streams, by service and id of the call that brought the first event.

    Args:
        notes: The notes, oldest first. Long ids stand by their hash.
    """

    notes: dict[StreamKey, StreamNote] = field(default_factory=dict)

    def add(
        self,
        service: str,
        call_id: str,
        version: str,
        now: float,
        *,
        own: bool,
        holders: tuple[str, ...] = (),
    ) -> None:
        """Record the version of a stream, beside one that contradicts it.

        Args:
            service: The service.
            call_id: Id of the call that brought the first event.
            version: The version.
            now: Monotonic time.
            own: Whether this router passed on the first event.
            holders: Other routers that are to know it.
        """
        key = (service, bounded_id(call_id))
        known = self.notes.pop(key, StreamNote(frozenset(), False, now))
        versions = certain_versions(known.versions | {version})
        self.notes[key] = StreamNote(versions, own or known.own, now, holders)
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

    def own_streams(self, service: str) -> list[StreamKey]:
        """Return the streams of a service that began at this router."""
        return [
            key for key, note in self.notes.items() if key[0] == service and note.own
        ]

    def running_streams(self, now: float) -> list[StreamKey]:
        """Return the streams that callers may still continue."""
        return [
            key
            for key, note in self.notes.items()
            if now - note.noted_at < STREAM_LIFETIME_S
        ]


@dataclass(frozen=True)
class VersionFound:
    """The stream goes on at servers of this version."""

    version: str


@dataclass(frozen=True)
class VersionUnknown:
    """No router that replied knows the version of the stream."""


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
    noted = certain_versions({version for each in known for version in each.noted})
    recent = {version for each in known for version in each.recent}
    if UNKNOWN_VERSION in noted:
        return VersionUnknown()
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


def certain_versions(versions: Iterable[str]) -> frozenset[str]:
    """Return versions without the unknown one, unless that is all there is."""
    found = frozenset(versions)
    return found - {UNKNOWN_VERSION} or found


def recent_versions(versions: Mapping[str, float], now: float) -> dict[str, float]:
    """Return the versions that were registered within the life of a stream."""
    return {
        version: at for version, at in versions.items() if now - at < STREAM_LIFETIME_S
    }
