"""Tasks that place calls on backend servers, and track which servers are leaving."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import pykka
import urllib3
from pydantic import BaseModel, ValidationError
from urllib3.exceptions import HTTPError

from hawthornstage.actors.members import MembershipSnapshot
from hawthornstage.actors.tables import TablesAdopted
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions import placement as policy
from hawthornstage.decisions.membership import live
from hawthornstage.decisions.placement import (
    CallFinished,
    LeavingChanged,
    Placement,
    PlacementRequest,
)
from hawthornstage.messages.tables import EMPTY_TABLES, PoolKind, Server, Tables
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.host_list import HostListClient

# Timeout of a load report, in seconds.
REPORT_TIMEOUT_S = 0.5


@dataclass(frozen=True)
class Poll:
    """Triggers one poll of the host list or of a load report."""


@dataclass(frozen=True)
class DrainingReported:
    """Reports whether a server's own load report says that it is draining."""

    server: str
    draining: bool


@dataclass(frozen=True)
class ChooseServer:
    """Asks for a server; the reply is `Placed` or `PlacementRefused`."""

    place: PlacementRequest


class PlacementTask(Task):
    """Owns the placement of calls on backend servers.

    Args:
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        super().__init__()
        self.clock = clock
        self.events = events
        self.placement = Placement()
        self.listed: frozenset[str] = frozenset()
        self.draining: frozenset[str] = frozenset()
        self.routers = 1

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=ChooseServer(place), reply_to=reply_to):
                place = replace(place, routers=self.routers)
                self.placement, outcome = policy.place(self.placement, place, now)
                reply_to.put(outcome)
            case CallFinished():
                self.placement = policy.finish_call(self.placement, message, now)
            case MembershipSnapshot(members):
                self.routers = len(live(members, now))
            case DrainingReported(server, draining):
                remaining = self.draining - {server}
                self.change_leaving(
                    self.listed, remaining | {server} if draining else remaining
                )
            case LeavingChanged(servers):
                self.change_leaving(servers, self.draining)

    def change_leaving(self, listed: frozenset[str], draining: frozenset[str]) -> None:
        """Update which servers are leaving, and log those for which that changes.

        Args:
            listed: Servers that leave according to the host list.
            draining: Servers that report that they are draining.
        """
        before, after = self.listed | self.draining, listed | draining
        self.listed, self.draining = listed, draining
        if before == after:
            return
        for name in sorted(before ^ after):
            self.events.emit("server", server=name, leaving=name in after)
        self.placement = policy.change_leaving(self.placement, LeavingChanged(after))


class HostListTask(Task):
    """Owns the connection to the host list.

    Args:
        client: The connection.
        servers: Gets `LeavingChanged`.
    """

    def __init__(self, client: HostListClient, servers: pykka.ActorRef) -> None:
        super().__init__()
        self.client = client
        self.servers = servers
        self.seen: frozenset[str] = frozenset()

    def handle(self, message: Any) -> None:
        match message:
            case Poll():
                hosts = self.client.fetch()
                if hosts is None:
                    return
                # A host that is no longer listed has left for good.
                present = hosts.live | hosts.leaving
                self.seen |= present
                gone = self.seen - present
                self.servers.tell(LeavingChanged(hosts.leaving | gone))


class LoadReport(BaseModel):
    """The part of a server's load report that is used."""

    draining: bool = False


class LoadReportTask(Task):
    """Owns the connections over which engines report whether they are draining.

    Args:
        servers: Gets `DrainingReported`.
    """

    def __init__(self, servers: pykka.ActorRef) -> None:
        super().__init__()
        self.servers = servers
        self.pool = urllib3.PoolManager(retries=False)
        self.tables: Tables = EMPTY_TABLES
        self.next_index = 0

    def handle(self, message: Any) -> None:
        match message:
            case TablesAdopted(tables):
                self.tables = tables
            case Poll():
                self.poll()

    def poll(self) -> None:
        """Poll the next engine in round-robin order."""
        engines = [
            server
            for pool in self.tables.pools
            if pool.kind is PoolKind.ENGINE
            for server in pool.servers
        ]
        if not engines:
            return
        self.next_index = (self.next_index + 1) % len(engines)
        server = engines[self.next_index]
        model = self.fetch_load_report(server)
        if model is None:
            return
        self.servers.tell(DrainingReported(server.name, model.draining))

    def fetch_load_report(self, server: Server) -> LoadReport | None:
        """Return an engine's load report, or None if it gives no valid one."""
        try:
            response = self.pool.request(
                "GET", f"{server.url}/load", timeout=REPORT_TIMEOUT_S
            )
            return LoadReport.model_validate_json(response.data)
        except (HTTPError, ValidationError):
            return None
