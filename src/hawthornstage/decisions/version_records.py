"""Which versions of services' software the routers keep recorded in the store.

A router that starts knows only the versions that are registered at its start. So that
streams go on although all routers started again at about the same time, a few routers,
chosen by rendezvous hashing, record each version once it is registered, and the first
of them removes the record long after it was. A router that does not know the others
yet records the versions of the services of which it began streams itself.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.stream_versions import ServiceVersion

# Routers that record one version.
RECORDERS = 3
# Time for which a version that is not registered any more stays recorded, in seconds;
# longer than a stream of it may go on.
RECORD_LIFETIME_S = 60.0
# Time after which every router forgets a version that has left, in seconds: the one
# that removes its record has done so, or has failed for long.
MEMORY_S = 300.0
# Services whose versions are recorded, and versions of one of them: a service that has
# more is known to have several.
MAX_SERVICES = 256
MAX_VERSIONS = 8


@dataclass
class VersionRecords:
    """The registered and the recorded versions, as one router knows them.

    Args:
        node: This router.
        routers: All known routers; None while they are not known.
        registered: Versions of the registered servers; None before they are known.
        recorded: Versions that are recorded, as far as this router knows; None before
            it has read the records.
        began: Versions at which this router began streams before they were recorded.
        left_at: Time at which each version was found not to be registered any more.
    """

    node: str
    routers: frozenset[str] | None = None
    registered: frozenset[ServiceVersion] | None = None
    recorded: frozenset[ServiceVersion] | None = None
    began: frozenset[ServiceVersion] = frozenset()
    left_at: dict[ServiceVersion, float] = field(default_factory=dict)

    def update_registered(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Replace the registered versions.

        One that appears is recorded again: its record may have been removed since.
        """
        before = self.registered
        self.registered = frozenset(versions)
        if before is not None:
            self.note_left(before, now)
            if self.recorded is not None:
                self.recorded -= self.registered - before

    def update_recorded(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Replace the recorded versions by those that were read."""
        self.recorded = frozenset(versions)
        self.note_left(self.recorded, now)

    def note_left(self, versions: frozenset[ServiceVersion], now: float) -> None:
        """Note which versions, these ones or earlier, are not registered any more."""
        registered = self.registered or frozenset()
        left = self.left_at | dict.fromkeys(versions - self.left_at.keys(), now)
        self.left_at = {
            version: at
            for version, at in left.items()
            if version not in registered and now - at < MEMORY_S
        }

    def add_recorded(self, version: ServiceVersion) -> None:
        """Note that a version is recorded now."""
        self.recorded = (self.recorded or frozenset()) | {version}

    def drop_recorded(self, version: ServiceVersion) -> None:
        """Note that the record of a version that has left is removed."""
        self.recorded = (self.recorded or frozenset()) - {version}
        self.left_at.pop(version, None)

    def note_began(self, version: ServiceVersion) -> None:
        """Note that this router began a stream at a version."""
        self.began |= {version}

    def forget_recorded(self) -> None:
        """Record again what is registered: a restored store may lack it."""
        if self.recorded is not None:
            self.recorded = frozenset()
            self.left_at.clear()

    def to_record(self) -> tuple[ServiceVersion, ...]:
        """Return the versions that this router has to record now."""
        if self.registered is None or self.recorded is None:
            return ()
        missing = first_versions(self.registered) - self.recorded
        return tuple(each for each in sorted(missing) if self.is_recorder(each))

    def is_recorder(self, version: ServiceVersion) -> bool:
        """Whether this router has to record a version."""
        if self.routers is None:
            # With one of several versions, all streams would seem to be of that one.
            return version.service in {each.service for each in self.began}
        return self.node in self.recorders(version)

    def to_remove(self, now: float) -> tuple[ServiceVersion, ...]:
        """Return the versions whose records this router has to remove now."""
        return tuple(
            version
            for version, left_at in sorted(self.left_at.items())
            if now - left_at >= RECORD_LIFETIME_S
            and self.recorders(version)[:1] == [self.node]
        )

    def recorders(self, version: ServiceVersion) -> list[str]:
        """Return the routers that record a version, the first one first."""
        key = f"{version.service}\n{version.version}"
        return rendezvous_order(key, {*(self.routers or ()), self.node})[:RECORDERS]


def first_versions(versions: Iterable[ServiceVersion]) -> frozenset[ServiceVersion]:
    """Return as many versions as are recorded at most."""
    kept: dict[str, list[ServiceVersion]] = {}
    for each in sorted(versions):
        if each.service in kept or len(kept) < MAX_SERVICES:
            kept.setdefault(each.service, []).append(each)
    return frozenset(v for found in kept.values() for v in found[:MAX_VERSIONS])
