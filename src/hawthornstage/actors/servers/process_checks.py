"""The task that asks servers which process they are."""

from __future__ import annotations

from typing import Any

import structlog

from hawthornstage.actors.task import Ask, Task
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.stream_versions import ProcessReported

log = structlog.get_logger()

# Timeout for connecting to a server, in seconds.
CONNECT_TIMEOUT_S = 0.4


class ProcessChecks(Task):
    """Owns the connections on which servers are asked which process they are.

    The reply to a server is `ProcessReported`.

    Args:
        process: Reads the servers' reports.
        clock: The runtime's clock.
    """

    def __init__(self, process: ConfirmProcess, clock: Clock) -> None:
        super().__init__()
        self.process = process
        self.clock = clock

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=BackendServer() as server, reply_to=reply_to):
                asked_at = self.clock.monotonic()
                confirmed = self.is_running(server)
                reply_to.put(ProcessReported(server.incarnation, confirmed, asked_at))

    def is_running(self, server: BackendServer) -> bool:
        """Whether a server says that it is the process in the list."""
        address = SocketAddress(server.host, server.port)
        try:
            connection = ServerConnection(
                address, self.clock, connect_timeout_s=CONNECT_TIMEOUT_S
            )
        except OSError:
            return False
        try:
            return self.process.ask(connection, None, server) == server.started_ms
        except Exception:
            log.exception("process_check_error", server=server.id)
            return False
        finally:
            connection.close()
