"""The task that owns the software versions of servers and of callers' streams."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.stream_versions import (
    RouterAges,
    StreamNotes,
    VersionHistory,
    holders_to_ask,
    holders_to_tell,
)
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.stream_versions import (
    FindStreamVersion,
    HandOverStreams,
    RequestStreamVersion,
    StreamVersionNoted,
    StreamVersionReply,
    StreamVersionSources,
)
from hawthornstage.observe.events import EventLog


class StreamVersionsTask(Task):
    """Owns the versions of each service's servers, and those that began streams.

    Args:
        peers: Sends messages to other routers.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, peers: Recipient, *, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.peers = peers
        self.clock = clock
        self.events = events
        self.history = VersionHistory()
        self.notes = StreamNotes()
        self.others: tuple[str, ...] = ()
        self.ages = RouterAges()
        self.stopping = False

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case StreamVersionNoted() as note:
                self.notes.add(note.service, note.call_id, note.version, now, own=True)
                if not self.can_be_concluded(note.service, now):
                    self.tell_holders(note)
            case Ask(message=StreamVersionNoted() as note, reply_to=reply_to):
                self.notes.add(note.service, note.call_id, note.version, now, own=False)
                reply_to.put(Acknowledged())
            case Ask(message=RequestStreamVersion() as request, reply_to=reply_to):
                reply_to.put(self.known(request, now))
            case Ask(message=FindStreamVersion(request), reply_to=reply_to):
                holders = holders_to_ask(request.call_id, self.others)
                reply_to.put(StreamVersionSources(self.known(request, now), holders))
            case RegisteredServers():
                self.update_servers(message, now)
            case KnownRouters(urls):
                self.update_others(tuple(urls), now)
            case HandOverStreams():
                self.stopping = True
                self.hand_over(now)

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
            for note in streams:
                self.tell_holders(note)

    def can_be_concluded(self, service: str, now: float) -> bool:
        """Whether other routers can conclude the version of a stream that begins."""
        if self.stopping or self.ages.are_all_young(now):
            return False
        return self.history.is_uniform(service, now)

    def update_others(self, others: tuple[str, ...], now: float) -> None:
        """Replace the other routers; tell of running streams if none is old enough."""
        were_young = self.ages.are_all_young(now)
        self.others = others
        self.ages.update(others, now)
        if self.stopping:
            self.hand_over(now)
        elif not were_young and self.ages.are_all_young(now):
            for note in self.notes.running_streams(now, own_only=True):
                self.tell_holders(note)

    def hand_over(self, now: float) -> None:
        """Tell other routers of all running streams that this one knows."""
        streams = self.notes.running_streams(now)
        self.events.emit("streams_handed_over", streams=len(streams))
        for note in streams:
            self.tell_holders(note)

    def tell_holders(self, note: StreamVersionNoted) -> None:
        """Tell other routers the version of a stream, without waiting for them.

        A stream whose holders do not get this is not continued, rather than continued
        at a wrong version.
        """
        for node in holders_to_tell(note.call_id, self.others):
            self.peers.tell(Send(node, note))

    def known(self, request: RequestStreamVersion, now: float) -> StreamVersionReply:
        """Return what this router knows of a stream's version."""
        return StreamVersionReply(
            noted=self.notes.find(request.service, request.call_id),
            recent=self.history.recent(request.service, now),
            complete=self.history.is_complete(now),
        )
