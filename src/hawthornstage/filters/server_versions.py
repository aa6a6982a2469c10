"""Server versions: keeps a stream at servers of the version that began it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import pykka

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.filters.forward_choice import needed_version
from hawthornstage.filters.permits import Permits
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.forward import Delivery, ForwardExchange
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.stream_versions import (
    ServiceVersion,
    StreamBeganUnconfirmed,
    StreamBeganUnrecorded,
    StreamVersionNoted,
)

# Age up to which the list of servers tells their versions, in seconds: the store may
# have been silent since, and a server may have started again with another version.
FRESH_SERVERS_S = 0.3


@dataclass(frozen=True)
class ServerVersions:
    """Finds out which versions servers have, and notes those that began streams.

    Args:
        stream_versions: Task that owns the versions that began streams.
        version_records: Task that records versions in the store.
        recorded: The versions that are recorded, as far as is known.
        process: Finds out to which process a connection leads.
        permits: Tells whether a server accepts calls.
        registered: The servers that may get calls, read when they are needed.
        servers_heard_at: Monotonic time at which they were last known to be right, in
            seconds.
        processes_confirmed: Monotonic time at which each server last said that it is
            the process in the list, in seconds, by its incarnation.
        clock: Source of time.
    """

    stream_versions: pykka.ActorRef
    version_records: pykka.ActorRef
    recorded: LatestValue[frozenset[ServiceVersion]]
    process: ConfirmProcess
    permits: Permits
    registered: LatestValue[RegisteredServers]
    servers_heard_at: LatestValue[float]
    processes_confirmed: LatestValue[Mapping[str, float]]
    clock: Clock

    def may_go_on_there(
        self,
        exchange: ForwardExchange,
        caller: CallerConnection,
        connection: ServerConnection,
        server: BackendServer,
        delivery: Delivery,
    ) -> bool:
        """Whether the server certainly has the version that a stream needs, if any."""
        registered = self.registered.value
        if needed_version(exchange, delivery) is None:
            return True
        age_s = self.clock.monotonic() - self.servers_heard_at.value
        if registered.current and age_s <= FRESH_SERVERS_S:
            return True
        if self.permits.why_not_accepting(server, registered) is not None:
            return False
        return self.process.confirm(connection, caller, server)

    def is_process_known(
        self, connection: ServerConnection, server: BackendServer
    ) -> bool:
        """Whether a connection certainly leads to the process in the list of servers.

        It does if it had been opened when the server last confirmed that.
        """
        confirmed_at = self.processes_confirmed.value.get(server.incarnation)
        if self.registered.value.current:
            return True
        return confirmed_at is not None and connection.opened_at < confirmed_at

    def note_stream_version(
        self,
        exchange: ForwardExchange,
        connection: ServerConnection,
        server: BackendServer,
        delivery: Delivery,
    ) -> str | None:
        """Keep the version of the server that is about to begin or continue a stream.

        The stream may go on only at servers of this version, in this response or in
        that of another call.

        Returns:
            Why the server's events must not be passed on, or None if they may.
        """
        if not exchange.route.resumable:
            return None
        current = self.registered.value.servers.get(server.id, server)
        if current.version != server.version:
            # The connection may have been opened to either process.
            return f"the server has started again with version {current.version!r}"
        if delivery.stream_version is None:
            call_id = bounded_id(exchange.call.id)
            begins = exchange.stream_version is None
            if begins and not self.is_process_known(connection, server):
                delivery.began_unconfirmed = True
                self.stream_versions.tell(
                    StreamBeganUnconfirmed(call_id, exchange.service, server)
                )
                return None
            delivery.stream_version = server.version
            self.stream_versions.tell(
                StreamVersionNoted(call_id, exchange.service, server.version)
            )
            version = ServiceVersion(exchange.service, server.version)
            if version not in self.recorded.value:
                self.version_records.tell(StreamBeganUnrecorded(version))
        return None
