"""The task that holds the tables in use, and the task that watches for new ones."""

from __future__ import annotations

import threading
from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.documents import Applied, Apply, Read, ReadDone
from hawthornstage.actors.members import MembershipSnapshot, RevisionInUse
from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.border.documents import TABLES_CODEC
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import Members, live, rank
from hawthornstage.decisions.routes import find_faults
from hawthornstage.decisions.tables import Edit, EditAccepted, TablesDocument, adopt
from hawthornstage.mailbox import Forward, ReplyTo
from hawthornstage.messages.members import TablesOffered, TablesWanted
from hawthornstage.messages.tables import EMPTY_TABLES, Tables
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.key_value import KeyValueClient, KeyValueError

TABLES_KEY = "hawthornstage/tables"
# Pause before a broken watch is made again, in seconds.
WATCH_PAUSE_S = 1.0
# Routers that watch the key-value service; the others hear from neighbours.
WATCHER_COUNT = 3


@dataclass(frozen=True)
class GetTables:
    """Asks for the tables in use."""


@dataclass(frozen=True)
class TablesInUse:
    """The tables in use and when they were last known to be the newest.

    Args:
        tables: The tables.
        confirmed_at: Wall time, in seconds, or None if never.
    """

    tables: Tables
    confirmed_at: float | None


@dataclass(frozen=True)
class ApplyEdit:
    """Makes an edit durable; the reply is as for `documents.Apply`."""

    edit: Edit
    deadline: float


@dataclass(frozen=True)
class Refresh:
    """It is time to compare with the key-value service."""


@dataclass(frozen=True)
class TablesReceived:
    """The watch showed a new value."""

    document: TablesDocument


@dataclass(frozen=True)
class SetMembershipTask:
    """Names the task that tells other routers the revision in use."""

    membership: pykka.ActorRef


@dataclass(frozen=True)
class TablesAdopted:
    """Sent to subscribers: these tables are in use from now on."""

    tables: Tables


class TablesTask(Task):
    """Owns the tables in use; the revision never falls.

    Args:
        documents: The tables' document in the key-value service.
        peers: Sends messages to other routers.
        subscribers: Get `TablesAdopted`.
        watching: Set while this router is one of those that watch.
        clock: The runtime's clock.
        events: Takes events.
        metrics: Takes the revision and its age.
    """

    def __init__(
        self,
        *,
        documents: pykka.ActorRef,
        peers: pykka.ActorRef,
        subscribers: tuple[pykka.ActorRef, ...],
        watching: threading.Event,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.documents = documents
        self.peers = peers
        self.subscribers = subscribers
        self.watching = watching
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.tables = EMPTY_TABLES
        self.confirmed_at: float | None = None
        self.members: Members | None = None
        self.membership: pykka.ActorRef | None = None

    def on_start(self) -> None:
        """Read the tables once."""
        self.documents.tell(Read(TABLES_KEY, Forward(self.actor_ref.tell)))

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=GetTables(), reply_to=reply_to):
                reply_to.put(TablesInUse(self.tables, self.confirmed_at))
            case Ask(message=TablesWanted(newer_than), reply_to=reply_to):
                if self.tables.revision > newer_than:
                    reply_to.put(TablesOffered(self.tables))
            case Ask(message=TablesOffered(tables)) | TablesOffered(tables):
                self.adopt_if_newer(tables, "neighbour")
            case Ask(message=ApplyEdit(edit, deadline), reply_to=reply_to):
                self.edit(edit, deadline, reply_to)
            case ReadDone(document=document) | TablesReceived(document=document):
                self.confirm()
                self.adopt_if_newer(document.current, "store")
            case Applied(result=EditAccepted(tables)):
                self.confirm()
                self.adopt_if_newer(tables, "edit")
            case Refresh():
                self.refresh()
            case MembershipSnapshot(members):
                self.update_members(members)
            case SetMembershipTask(membership):
                self.membership = membership

    def adopt_if_newer(self, tables: Tables, source: str) -> None:
        """Use offered tables if they are newer and sound."""
        chosen = adopt(self.tables, tables)
        if chosen is self.tables:
            return
        faults = find_faults(chosen)
        if faults:
            self.events.emit(
                "tables_refused", revision=chosen.revision, reason=faults[0].expected
            )
            return
        self.tables = chosen
        self.metrics.revision.set(chosen.revision)
        self.events.emit("tables_adopted", revision=chosen.revision, source=source)
        for subscriber in self.subscribers:
            subscriber.tell(TablesAdopted(chosen))
        if self.membership is not None:
            # The heartbeat that follows tells neighbours, who then ask for them.
            self.membership.tell(RevisionInUse(chosen.revision))

    def edit(self, edit: Edit, deadline: float, reply_to: ReplyTo) -> None:
        """Write an edit, and adopt it at once if it was accepted."""

        def done(reply: Any) -> None:
            reply_to.put(reply)
            self.actor_ref.tell(reply)

        self.documents.tell(Apply(TABLES_KEY, edit, Forward(done), deadline))

    def refresh(self) -> None:
        """Compare with the key-value service if this router is one that watches."""
        if self.watching.is_set():
            self.documents.tell(Read(TABLES_KEY, Forward(self.actor_ref.tell)))

    def update_members(self, members: Members) -> None:
        """Ask a neighbour for newer tables; decide whether to watch."""
        self.members = members
        nodes = [m.node for m in live(members, self.clock.monotonic())]
        if members.me.node in rank(TABLES_KEY, nodes)[:WATCHER_COUNT]:
            self.watching.set()
        else:
            self.watching.clear()
        ahead = [
            member
            for member in live(members, self.clock.monotonic())
            if member.revision > self.tables.revision
        ]
        if ahead:
            wanted = TablesWanted(self.tables.revision)
            reply_to = Forward(self.actor_ref.tell)
            self.peers.tell(Send(ahead[-1].node, wanted, reply_to))

    def confirm(self) -> None:
        """Note that the key-value service was heard."""
        self.confirmed_at = self.clock.wall()
        self.metrics.tables_confirmed.set(self.confirmed_at)


class TablesWatch(threading.Thread):
    """Owns the connection that waits for new tables.

    Args:
        store: A connection of its own to the key-value service.
        tables: Gets `TablesReceived`.
        watching: Set while this router is one of those that watch.
        stopping: Set when the router stops.
    """

    def __init__(
        self,
        store: KeyValueClient,
        tables: pykka.ActorRef,
        watching: threading.Event,
        stopping: threading.Event,
    ) -> None:
        super().__init__(name="tables-watch", daemon=True)
        self.store = store
        self.tables = tables
        self.watching = watching
        self.stopping = stopping

    def run(self) -> None:
        """Watch while that is this router's part, anew after each broken watch."""
        while not self.stopping.is_set():
            self.watching.wait()
            try:
                self.watch()
            except (KeyValueError, ValueError, pykka.ActorDeadError):
                pass
            self.stopping.wait(WATCH_PAUSE_S)

    def watch(self) -> None:
        """Pass new values on until this router is no longer one that watches."""
        for stored in self.store.watch(TABLES_KEY):
            if not self.watching.is_set():
                return
            if stored is not None:
                self.tables.tell(TablesReceived(TABLES_CODEC.decode(stored.value)))


def with_edit(
    tables: Tables, *, edit_id: str, author: str, at: float, reason: str
) -> Tables:
    """Return tables that carry who edited them, when and why."""
    return replace(tables, edit_id=edit_id, author=author, edited_at=at, reason=reason)
