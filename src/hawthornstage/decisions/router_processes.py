"""Which process stands behind each router's name.

A router that starts again keeps its name, host and port, but knows nothing of what
others told the process before it. So its address names its process as well, in a part
of the path that earlier builds ignore: equal addresses are of the same process.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hawthornstage.decisions.watch_sharing import SHARING_PATH

# Time after which the store's entries show a process that has connected to this
# router, if it can register at all, in seconds.
ENTRY_DELAY_S = 12.0


def process_address(host: str, port: int, process: str) -> str:
    """Return the address under which other routers reach one process of a router.

    Args:
        host: Its host.
        port: Its port for other routers.
        process: What tells its process apart from those before and after it.
    """
    return f"ws://{host}:{port}/{process}{SHARING_PATH}"


def is_same_endpoint(url: str, other: str) -> bool:
    """Whether two addresses have the same host and port, whatever their processes."""
    return url.split("/")[:3] == other.split("/")[:3]


def changed_processes(before: Mapping[str, str], after: Mapping[str, str]) -> set[str]:
    """Return the routers behind whose names there is another process than before.

    Args:
        before: Addresses by name.
        after: Later addresses by name; those of new routers count as well.
    """
    return {name for name, url in after.items() if before.get(name) != url}


@dataclass(frozen=True)
class RouterEntry:
    """A router's entry in the store.

    Args:
        url: Its address.
        revision: The store's revision at the entry's last change.
    """

    url: str
    revision: int


@dataclass(frozen=True)
class MetProcess:
    """A process that has connected to this router, and that no entry shows yet.

    Args:
        url: Its address.
        met_at: Time of the connection.
        revision: Revision of the router's entry that was known then, 0 for none.
    """

    url: str
    met_at: float
    revision: int


@dataclass
class RouterDirectory:
    """The processes of the other routers, by their entries and their connections.

    Reads of the entries may be seconds old. A process that has connected is newer than
    the entry that was known then, until the entry changes.

    Args:
        entries: The latest entries, by name.
        met: Processes that no entry shows yet, by name.
    """

    entries: dict[str, RouterEntry] = field(default_factory=dict)
    met: dict[str, MetProcess] = field(default_factory=dict)

    def read(self, found: Mapping[str, RouterEntry], *, complete: bool = True) -> None:
        """Replace the entries by those of a read.

        Args:
            found: The entries, by name.
            complete: Whether a router without an entry has left.
        """
        kept = {} if complete else dict(self.entries)
        for name, entry in found.items():
            known = self.entries.get(name, entry)
            kept[name] = max(known, entry, key=lambda each: each.revision)
        self.entries = kept
        self.met = {
            name: each
            for name, each in self.met.items()
            if name not in kept or kept[name].url != each.url
        }

    def meet(self, name: str, url: str, now: float) -> None:
        """Record that a process has connected to this router, or this one to it."""
        entry = self.entries.get(name, RouterEntry("", 0))
        if entry.url == url:
            self.met.pop(name, None)
        else:
            self.met[name] = MetProcess(url, now, entry.revision)

    def forget_revisions(self) -> None:
        """Forget the order of entries, as a restored store gives out revisions anew."""
        self.entries = {
            name: replace(entry, revision=0) for name, entry in self.entries.items()
        }
        self.met = {name: replace(each, revision=0) for name, each in self.met.items()}

    def urls(self, now: float) -> dict[str, str]:
        """Return the addresses of the other routers' processes, by name."""
        current = {
            name: each.url
            for name, each in self.met.items()
            if now - each.met_at < ENTRY_DELAY_S
            and self.revision_of(name) <= each.revision
        }
        return {name: each.url for name, each in self.entries.items()} | current

    def revision_of(self, name: str) -> int:
        """Return the revision of a router's entry, 0 if it has none."""
        entry = self.entries.get(name)
        return entry.revision if entry else 0
