"""Streams that began at servers which may have started again with another version.

While the store is away, a router does not know whether a server is still the process in
its list. A report of the server tells it later: if it is the process in the list then,
it was so before as well.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hawthornstage.decisions.stream_holders import STREAM_LIFETIME_S
from hawthornstage.decisions.stream_versions import StreamKey
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.stream_versions import ProcessReported

# Most servers that are kept, and most streams of one of them.
MAX_SERVERS = 4_096
MAX_STREAMS = 1_024


@dataclass(frozen=True)
class UnconfirmedStream:
    """A stream whose version is not certain yet.

    Args:
        began_at: Time of its first event.
        told: Whether a report has left it uncertain.
    """

    began_at: float
    told: bool = False


@dataclass
class ReportedServer:
    """A server whose process is asked for.

    Args:
        server: The server as the list had it.
        streams: Its streams that are not certain.
        asked: Whether a report is on its way.
        confirmed_at: Time at which it last was the process in the list.
    """

    server: BackendServer
    streams: dict[StreamKey, UnconfirmedStream] = field(default_factory=dict)
    asked: bool = False
    confirmed_at: float = float("-inf")

    def drop_old(self, now: float) -> None:
        """Drop streams that no caller continues any more, or that are too many."""
        while self.streams:
            key, first = next(iter(self.streams.items()))
            is_old = now - first.began_at >= STREAM_LIFETIME_S
            if not is_old and len(self.streams) <= MAX_STREAMS:
                return
            del self.streams[key]


@dataclass(frozen=True)
class ReportResult:
    """What follows from a report.

    Args:
        certain: Streams that began at the process in the list.
        uncertain: Further streams that may have begun at another one.
        ask_again: Whether streams began since the server was asked.
    """

    certain: tuple[StreamKey, ...] = ()
    uncertain: tuple[StreamKey, ...] = ()
    ask_again: bool = False


@dataclass
class UnconfirmedStreams:
    """The streams whose versions are not certain, by the server's incarnation."""

    servers: dict[str, ReportedServer] = field(default_factory=dict)

    def add(self, key: StreamKey, server: BackendServer, now: float) -> bool:
        """Add a stream that has begun; return whether its server is to be asked."""
        known = self.servers.pop(server.incarnation, ReportedServer(server))
        self.servers[server.incarnation] = known
        if len(self.servers) > MAX_SERVERS:
            del self.servers[next(iter(self.servers))]
        known.streams[key] = UnconfirmedStream(now)
        known.drop_old(now)
        was_asked, known.asked = known.asked, True
        return not was_asked

    def hear(self, report: ProcessReported, now: float) -> ReportResult:
        """Apply a report to the streams that began before the server was asked."""
        known = self.servers.get(report.incarnation)
        if known is None:
            return ReportResult()
        known.drop_old(now)
        covered = {
            k: s for k, s in known.streams.items() if s.began_at <= report.asked_at
        }
        known.asked = len(covered) < len(known.streams)
        if report.confirmed:
            known.confirmed_at = max(known.confirmed_at, report.asked_at)
            for key in covered:
                del known.streams[key]
            return ReportResult(certain=tuple(covered), ask_again=known.asked)
        new = tuple(key for key, stream in covered.items() if not stream.told)
        for key in new:
            known.streams[key] = replace(known.streams[key], told=True)
        return ReportResult(uncertain=new, ask_again=known.asked)

    def confirmed(self) -> dict[str, float]:
        """Return when each server last was the process in the list."""
        return {name: each.confirmed_at for name, each in self.servers.items()}
