"""The task that records the versions of services' software in the store."""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.task import Task
from hawthornstage.border.stored_values import (
    StoredValueError,
    decode_service_version,
    encode_service_version,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.version_records import VersionRecords
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    Item,
    Listing,
    Put,
    StoreRestored,
)
from hawthornstage.messages.stream_versions import (
    RecordedVersions,
    ServiceVersion,
    StreamBeganUnrecorded,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Key prefix of the records, followed by a hash of service and version.
VERSIONS_PREFIX = "hawthornstage/versions/"


@dataclass(frozen=True)
class CheckVersionRecords:
    """Triggers what is due: reading the records at the start, adding and removing."""


class VersionRecordsTask(Task):
    """Owns this router's part in recording the versions of services' software.

    Args:
        node: This router's name.
        store: A client used by this task only.
        streams: Gets `RecordedVersions` once, as they were after this router's start.
        recorded: Published: the versions that are recorded, as far as is known.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        store: StoreClient,
        streams: pykka.ActorRef,
        recorded: LatestValue[frozenset[ServiceVersion]],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.store = store
        self.streams = streams
        self.recorded = recorded
        self.clock = clock
        self.events = events
        self.records = VersionRecords(node)

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case RegisteredServers(servers):
                versions = {
                    ServiceVersion(each.service, each.version)
                    for each in servers.values()
                }
                self.records.update_registered(versions, now)
                self.update_store(now)
            case KnownRouters(urls, settled=True):
                self.records.routers = frozenset(urls)
                self.update_store(now)
            case StoreRestored():
                self.records.forget_recorded()
                self.update_store(now)
            case StreamBeganUnrecorded(version):
                self.records.note_began(version)
                self.update_store(now)
            case CheckVersionRecords():
                self.update_store(now)
        self.recorded.publish(self.records.recorded or frozenset())

    def update_store(self, now: float) -> None:
        """Read the records if that is still to do, then add and remove what is due.

        They are read after the servers are known: a version that appears later is seen
        by this router itself. What fails is due again at the next check.
        """
        if self.records.registered is None:
            return
        if self.records.recorded is None and not self.read(now):
            return
        missing = self.records.to_record()
        if missing:
            self.record(missing)
        for version in self.records.to_remove(now):
            self.remove(version)

    def read(self, now: float) -> bool:
        """Read the records; return whether the store has told them."""
        listing = self.store.list(VERSIONS_PREFIX)
        if not isinstance(listing, Listing):
            return False
        versions = self.decode(listing.items)
        self.records.update_recorded(versions, now)
        by_service: defaultdict[str, set[str]] = defaultdict(set)
        for each in versions:
            by_service[each.service].add(each.version)
        recorded = {name: frozenset(found) for name, found in by_service.items()}
        self.events.emit("service_versions_read", count=len(versions))
        self.streams.tell(RecordedVersions(recorded))
        return True

    def decode(self, items: Iterable[Item]) -> list[ServiceVersion]:
        """Return the recorded versions; a record that is invalid is logged."""
        versions = []
        for item in items:
            try:
                versions.append(decode_service_version(item.value))
            except StoredValueError as error:
                self.events.emit(
                    "version_record_refused", key=item.key, reason=str(error)[:160]
                )
        return versions

    def record(self, versions: tuple[ServiceVersion, ...]) -> None:
        """Record versions, whether or not another router has."""
        for version in versions:
            put = Put(record_key(version), encode_service_version(version))
            if not isinstance(self.store.transact({}, puts=(put,)), Committed):
                return
            self.records.add_recorded(version)
            self.events.emit(
                "service_version_recorded",
                service=version.service,
                version=version.version,
            )

    def remove(self, version: ServiceVersion) -> None:
        """Remove a record, unless another router has just written it again."""
        key = record_key(version)
        item = self.store.get(key)
        if item is None:
            self.records.drop_recorded(version)
        if not isinstance(item, Item):
            return
        match self.store.transact({key: item.revision}, removes=(key,)):
            case Committed() | Conflict():
                self.records.drop_recorded(version)
                self.events.emit(
                    "service_version_dropped",
                    service=version.service,
                    version=version.version,
                )


def record_key(version: ServiceVersion) -> str:
    """Return the key of a version's record."""
    name = f"{version.service}\0{version.version}".encode()
    return VERSIONS_PREFIX + hashlib.blake2b(name, digest_size=16).hexdigest()
