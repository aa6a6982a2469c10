"""Tasks that know the backend servers: their load, and who is leaving."""

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
    Finished,
    LeavingChanged,
    Place,
    Placement,
)
from hawthornstage.messages.tables import EMPTY_TABLES, PoolKind, Server, Tables
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.host_list import HostListClient

# Longest wait for a load report, in seconds.
REPORT_TIMEOUT_S = 0.5


@dataclass(frozen=True)
class Poll:
    """It is time to ask for news."""


@dataclass(frozen=True)
class DrainingReported:
    """Whether a server says of itself that it is leaving."""

    server: str
    draining: bool


@dataclass(frozen=True)
class ChooseServer:
    """Asks for a server; the reply is `Placed` or `NoServer`."""

    place: Place


class Servers(Task):
    """Owns what is known of the backend servers.

    Args:
        clock: The runtime's clock.
        events: Takes events.
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
            case Finished():
                self.placement = policy.finish(self.placement, message, now)
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
        """Take the leaving servers by the host list and by their own word."""
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
        servers: Gets the servers that are leaving.
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
                # A host that was listed and is no longer has left for good.
                present = hosts.live | hosts.leaving
                self.seen |= present
                gone = self.seen - present
                self.servers.tell(LeavingChanged(hosts.leaving | gone))


class LoadReport(BaseModel):
    """What is read of a server's load report."""

    draining: bool = False


class LoadReportTask(Task):
    """Owns the connections over which engines say whether they are leaving.

    Args:
        servers: Gets what they say.
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
        """Ask the next engine, so that all are asked in turn."""
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
        """Return one engine's report, or None if it has none."""
        try:
            response = self.pool.request(
                "GET", f"{server.url}/load", timeout=REPORT_TIMEOUT_S
            )
            return LoadReport.model_validate_json(response.data)
        except (HTTPError, ValidationError):
            return None
