"""Server process: finds out whether a connection leads to the process in the list.

A router whose list of servers may be out of date does not know whether a server has
started again, maybe with another version. The server itself does.
"""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.forward import ResponseData, ResponseEnd, ResponseHead
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.server_reports import (
    REPORT_TARGET,
    decode_started_ms,
    report_headers,
)

# Longest wait for a server's report, in seconds.
REPORT_TIMEOUT_S = 0.4
# Largest report that is read, in bytes.
MAX_REPORT_BYTES = 262_144


@dataclass(frozen=True)
class ConfirmProcess:
    """Asks servers which process they are, on the connection that a call will use.

    Args:
        clock: Source of timeouts.
        events: Structured event log.
    """

    clock: Clock
    events: EventLog

    def confirm(
        self,
        connection: ServerConnection,
        caller: CallerConnection,
        server: BackendServer,
    ) -> bool:
        """Whether a connection leads to a server's known process, and stays usable.

        Args:
            connection: The connection.
            caller: Connection of the caller that waits.
            server: The server as the list has it.
        """
        started_ms = self.ask(connection, caller, server)
        confirmed = started_ms == server.started_ms
        self.events.emit(
            "server_process_checked", server=server.incarnation, confirmed=confirmed
        )
        return confirmed and connection.prepare_next_request()

    def ask(
        self,
        connection: ServerConnection,
        caller: CallerConnection | None,
        server: BackendServer,
    ) -> int | None:
        """Return the start of the process that a connection leads to, if it tells.

        Args:
            connection: The connection.
            caller: Connection of the caller that waits, or None if none does.
            server: The server as the list has it.
        """
        deadline = self.clock.monotonic() + REPORT_TIMEOUT_S
        connection.start(caller, "GET", REPORT_TARGET, report_headers(server), b"")
        document = b""
        while len(document) <= MAX_REPORT_BYTES:
            match connection.next_event(deadline):
                case ResponseHead(status=200):
                    continue
                case ResponseData(data):
                    document += data
                case ResponseEnd():
                    return decode_started_ms(document)
                case _:
                    return None
        return None
