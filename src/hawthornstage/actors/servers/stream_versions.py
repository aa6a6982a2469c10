"""The task that owns the software versions of servers and of callers' streams."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.stream_holders import (
    OtherRouters,
    holders_to_ask,
    holders_to_tell,
)
from hawthornstage.decisions.stream_versions import (
    StreamKey,
    StreamNotes,
    VersionHistory,
)
from hawthornstage.decisions.unconfirmed_streams import UnconfirmedStreams
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.members import PeerUnreachable
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.stream_versions import (
    UNKNOWN_VERSION,
    FindStreamVersion,
    HandOverStreams,
    ProcessReported,
    RecordedVersions,
    RequestStreamVersion,
    StreamBeganUnconfirmed,
    StreamVersionNoted,
    StreamVersionReply,
    StreamVersionSources,
)
from hawthornstage.observe.events import EventLog


@dataclass(frozen=True)
class HolderUnreachable:
    """Tells that a holder of a stream's note cannot be reached."""

    key: StreamKey


class StreamVersionsTask(Task):
    """Owns the versions of each service's servers, and those that began streams.

    Args:
        peers: Sends messages to other routers.
        process_checks: Task that asks servers which process they are.
        confirmed: Where it is published when each server, by its incarnation, last was
            the process in the list.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        peers: Recipient,
        process_checks: Recipient,
        confirmed: LatestValue[Mapping[str, float]],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.process_checks = process_checks
        self.confirmed = confirmed
        self.clock = clock
        self.events = events
        self.history = VersionHistory()
        self.notes = StreamNotes()
        self.unconfirmed = UnconfirmedStreams()
        self.others = OtherRouters()
        self.stopping = False

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case StreamVersionNoted() as note:
                key, holders = self.note(note, now, own=True)
                if not self.can_be_concluded(key, holders, now):
                    self.tell_holders(key, holders)
            case StreamBeganUnconfirmed():
                self.begin_unconfirmed(message, now)
            case ProcessReported():
                self.hear_report(message, now)
            case Ask(message=StreamVersionNoted() as note, reply_to=reply_to):
                self.note(note, now, own=False)
                reply_to.put(Acknowledged())
            case Ask(message=RequestStreamVersion() as request, reply_to=reply_to):
                reply_to.put(self.known(request, now))
            case Ask(message=FindStreamVersion(request), reply_to=reply_to):
                holders = holders_to_ask(request.call_id, self.others.processes)
                reply_to.put(StreamVersionSources(self.known(request, now), holders))
            case RegisteredServers():
                self.update_servers(message, now)
            case RecordedVersions(versions):
                self.history.recorded = versions
            case KnownRouters(urls):
                self.update_others(urls, now)
            case HolderUnreachable(key):
                self.tell_substitute(key)
            case HandOverStreams():
                self.stopping = True
                self.hand_over(now)

    def note(
        self, noted: StreamVersionNoted, now: float, *, own: bool
    ) -> tuple[StreamKey, tuple[str, ...]]:
        """Record the version of a stream; return it and the others that hold it."""
        key = (noted.service, bounded_id(noted.call_id))
        holders = holders_to_tell(noted.call_id, self.others.processes)
        self.notes.add(*key, noted.version, now, own=own, holders=holders)
        return key, holders

    def begin_unconfirmed(self, began: StreamBeganUnconfirmed, now: float) -> None:
        """Note that a stream's version is unknown, and ask its server for its process.

        Others are told once the server has replied that it is another process, or has
        not replied.
        """
        unknown = StreamVersionNoted(began.call_id, began.service, UNKNOWN_VERSION)
        key, _ = self.note(unknown, now, own=True)
        if self.unconfirmed.add(key, began.server, now):
            self.ask_process(began.server)

    def ask_process(self, server: BackendServer) -> None:
        """Ask a server for its process; the reply is a message to this task."""
        self.process_checks.tell(Ask(server, ReplyCallback(self.actor_ref.tell)))

    def hear_report(self, report: ProcessReported, now: float) -> None:
        """Note which versions are certain now, and tell of those that are not."""
        reported = self.unconfirmed.servers.get(report.incarnation)
        if reported is None:
            return
        result = self.unconfirmed.hear(report, now)
        self.confirmed.publish(self.unconfirmed.confirmed())
        self.events.emit(
            "unconfirmed_streams_checked",
            server=report.incarnation,
            certain=len(result.certain),
            uncertain=len(result.uncertain),
        )
        version = reported.server.version
        for service, call_id in result.certain:
            self.handle(StreamVersionNoted(call_id, service, version))
        for key in result.uncertain:
            if key in self.notes.notes:
                self.tell_holders(key, self.notes.notes[key].holders)
        if result.ask_again:
            self.ask_process(reported.server)

    def update_servers(self, registered: RegisteredServers, now: float) -> None:
        """Record the servers' versions; tell of running streams once they differ."""
        services = {server.service for server in registered.servers.values()}
        before = {each for each in services if self.history.is_uniform(each, now)}
        self.history.update(registered.servers.values(), now)
        for service in sorted(before):
            if self.history.is_uniform(service, now):
                continue
            streams = self.notes.own_streams(service)
            self.events.emit(
                "service_versions_differ",
                service=service,
                versions=",".join(self.history.recent(service, now)),
                streams=len(streams),
            )
            for key in streams:
                self.tell_holders(key, self.notes.notes[key].holders)

    def can_be_concluded(
        self, key: StreamKey, holders: tuple[str, ...], now: float
    ) -> bool:
        """Whether a stream's holders can conclude its version without being told."""
        if self.stopping or not self.others.can_conclude(holders, now):
            return False
        if UNKNOWN_VERSION in self.notes.notes[key].versions:
            return False
        return self.history.is_uniform(key[0], now)

    def update_others(self, urls: Mapping[str, str], now: float) -> None:
        """Replace the other routers; tell those of running streams that lack them."""
        streams = self.notes.running_streams(now)
        concluded = {
            key: self.can_be_concluded(key, self.notes.notes[key].holders, now)
            for key in streams
        }
        self.others = self.others.updated(urls, now)
        told = 0
        for key in streams:
            told += self.update_holders(key, now, were_told=not concluded[key])
        if told:
            self.events.emit("streams_told_again", streams=told)

    def update_holders(self, key: StreamKey, now: float, *, were_told: bool) -> bool:
        """Update the holders of a stream, and tell those that lack its version.

        Args:
            key: The stream.
            now: Monotonic time in seconds.
            were_told: Whether the holders until now were told.

        Returns:
            Whether any had to be told.
        """
        note = self.notes.notes[key]
        holders = self.others.holders_after(key[1], note.holders)
        self.notes.notes[key] = replace(note, holders=holders)
        if self.can_be_concluded(key, holders, now):
            return False
        if were_told:
            holders = self.others.lacking(holders, note.holders)
        self.tell_holders(key, holders)
        return bool(holders)

    def hand_over(self, now: float) -> None:
        """Tell other routers of all running streams that this one knows."""
        streams = self.notes.running_streams(now)
        self.events.emit("streams_handed_over", streams=len(streams))
        for key in streams:
            self.tell_holders(key, self.notes.notes[key].holders)

    def tell_holders(self, key: StreamKey, holders: Iterable[str]) -> None:
        """Tell other routers the version of a stream, without waiting for them.

        A stream whose holders do not get this is not continued, rather than continued
        at a wrong version. Others are told in place of those that cannot be reached.
        """
        service, call_id = key
        reply_to = ReplyCallback(partial(self.hear_reply, key))
        for node in holders:
            for version in sorted(self.notes.notes[key].versions):
                note = StreamVersionNoted(call_id, service, version)
                self.peers.tell(Send(node, note, reply_to))

    def hear_reply(self, key: StreamKey, reply: Any) -> None:
        """Pass a holder's reply to this task if it is that it cannot be reached."""
        if isinstance(reply, PeerUnreachable):
            self.actor_ref.tell(HolderUnreachable(key))

    def tell_substitute(self, key: StreamKey) -> None:
        """Tell another router in place of a holder that cannot be reached."""
        note = self.notes.notes.get(key)
        if note is None:
            return
        told = (*note.holders, *note.substitutes)
        node = self.others.substitute(key[1], told)
        if node is not None:
            substitutes = (*note.substitutes, node)
            self.notes.notes[key] = replace(note, substitutes=substitutes)
            self.tell_holders(key, (node,))

    def known(self, request: RequestStreamVersion, now: float) -> StreamVersionReply:
        """Return what this router knows of a stream's version."""
        return StreamVersionReply(
            noted=self.notes.find(request.service, request.call_id),
            recent=self.history.recent(request.service, now),
            complete=self.history.is_complete(request.service, now),
        )
