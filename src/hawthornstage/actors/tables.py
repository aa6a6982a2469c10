"""The task that owns the tables in use, and the thread that watches for new ones."""

from __future__ import annotations

import threading
from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.documents import Applied, Apply, Read, ReadDone
from hawthornstage.actors.members import MembershipSnapshot, RevisionInUse
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.border.documents import TABLES_CODEC
from hawthornstage.clock import Clock
from hawthornstage.decisions.membership import Members, live, rendezvous_order
from hawthornstage.decisions.routes import find_faults
from hawthornstage.decisions.tables import (
    EditAccepted,
    TablesDocument,
    TablesEdit,
    adopt,
)
from hawthornstage.mailbox import ReplyCallback, ReplyTo
from hawthornstage.messages.members import RequestTables, TablesOffered
from hawthornstage.messages.tables import EMPTY_TABLES, Tables
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.key_value import KeyValueClient, KeyValueError

TABLES_KEY = "hawthornstage/tables"
# Delay before a failed watch is restarted, in seconds.
WATCH_PAUSE_S = 1.0
# Number of routers that watch the key-value service; the others get new tables from
# their peers.
WATCHER_COUNT = 3


@dataclass(frozen=True)
class GetTables:
    """Asks for the tables in use; the reply is `TablesInUse`."""


@dataclass(frozen=True)
class TablesInUse:
    """The tables in use and when they were last confirmed by the key-value service.

    Args:
        tables: The tables.
        confirmed_at: Wall-clock time in seconds, or None if never.
    """

    tables: Tables
    confirmed_at: float | None


@dataclass(frozen=True)
class ApplyEdit:
    """Makes an edit durable; the reply is as for `documents.Apply`.

    Args:
        edit: The edit.
        deadline: Monotonic time after which the sender no longer waits, in seconds.
    """

    edit: TablesEdit
    deadline: float


@dataclass(frozen=True)
class Refresh:
    """Triggers the periodic comparison with the key-value service."""


@dataclass(frozen=True)
class TablesReceived:
    """A tables document that the watch received."""

    document: TablesDocument


@dataclass(frozen=True)
class SetMembershipTask:
    """Sets the task that announces the revision in use to other routers."""

    membership: pykka.ActorRef


@dataclass(frozen=True)
class TablesAdopted:
    """Notifies subscribers of the tables in use from now on."""

    tables: Tables


class TablesTask(Task):
    """Owns the tables in use, whose revision never decreases.

    Args:
        documents: The task that owns the tables' document.
        peers: Sends messages to other routers.
        subscribers: Get `TablesAdopted`.
        watching: Set while this router watches the key-value service.
        clock: The runtime's clock.
        events: The event log.
        metrics: Gauges of the revision and of its last confirmation.
    """

    def __init__(
        self,
        *,
        documents: pykka.ActorRef,
        peers: Recipient,
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
        self.documents.tell(Read(TABLES_KEY, ReplyCallback(self.actor_ref.tell)))

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=GetTables(), reply_to=reply_to):
                reply_to.put(TablesInUse(self.tables, self.confirmed_at))
            case Ask(message=RequestTables(newer_than), reply_to=reply_to):
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
        """Adopt tables if they are newer than those in use and valid."""
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
            # The heartbeat that follows carries the revision; peers that are behind
            # then request the tables.
            self.membership.tell(RevisionInUse(chosen.revision))

    def edit(self, edit: TablesEdit, deadline: float, reply_to: ReplyTo) -> None:
        """Write an edit, and adopt the resulting tables if it was accepted."""

        def done(reply: Any) -> None:
            reply_to.put(reply)
            self.actor_ref.tell(reply)

        self.documents.tell(Apply(TABLES_KEY, edit, ReplyCallback(done), deadline))

    def refresh(self) -> None:
        """Read the tables again if this router watches the key-value service."""
        if self.watching.is_set():
            self.documents.tell(Read(TABLES_KEY, ReplyCallback(self.actor_ref.tell)))

    def update_members(self, members: Members) -> None:
        """Decide whether this router watches, and request newer tables from a peer."""
        self.members = members
        nodes = [m.node for m in live(members, self.clock.monotonic())]
        if members.me.node in rendezvous_order(TABLES_KEY, nodes)[:WATCHER_COUNT]:
            self.watching.set()
        else:
            self.watching.clear()
        ahead = [
            member
            for member in live(members, self.clock.monotonic())
            if member.revision > self.tables.revision
        ]
        if ahead:
            wanted = RequestTables(self.tables.revision)
            reply_to = ReplyCallback(self.actor_ref.tell)
            self.peers.tell(Send(ahead[-1].node, wanted, reply_to))

    def confirm(self) -> None:
        """Record that the key-value service has confirmed the tables just now."""
        self.confirmed_at = self.clock.wall()
        self.metrics.tables_confirmed.set(self.confirmed_at)


class TablesWatch(threading.Thread):
    """Owns the connection that watches for new tables.

    Args:
        store: A connection to the key-value service used by this thread only.
        tables: Gets `TablesReceived`.
        watching: Set while this router watches the key-value service.
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
        """Watch while `watching` is set; restart the watch when it ends or fails."""
        while not self.stopping.is_set():
            self.watching.wait()
            try:
                self.watch()
            except (KeyValueError, ValueError, pykka.ActorDeadError):
                pass
            self.stopping.wait(WATCH_PAUSE_S)

    def watch(self) -> None:
        """Pass new tables to the tables task until `watching` is cleared."""
        for stored in self.store.watch(TABLES_KEY):
            if not self.watching.is_set():
                return
            if stored is not None:
                self.tables.tell(TablesReceived(TABLES_CODEC.decode(stored.value)))


def with_edit(
    tables: Tables, *, edit_id: str, author: str, at: float, reason: str
) -> Tables:
    """Return the tables with the metadata of an edit.

    Args:
        tables: The edited tables.
        edit_id: Unique id of the edit.
        author: Who made it.
        at: Wall-clock time of the edit, in seconds.
        reason: Why it was made.
    """
    return replace(tables, edit_id=edit_id, author=author, edited_at=at, reason=reason)
