"""The task that selects backend servers and tracks this router's calls on them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hawthornstage.actors.servers.connection_pool import ConnectionPool
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.connection_share import start_limit
from hawthornstage.decisions.retry_share import RetryShare
from hawthornstage.decisions.server_selection import ServerSelector
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import (
    CallEnded,
    FirstByteReceived,
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerAtLimit,
    ServerChosen,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Most idle connections pooled for each server, and the same as a fraction of an equal
# part of the connections that the server accepts.
MAX_POOLED_PER_SERVER = 4
POOLED_FRACTION = 0.25


class ServerSelectionTask(Task):
    """Owns the state of the backend servers and the pool of idle connections to them.

    Args:
        serving: The servers and this router's calls on them.
        share: This router's share of the fleet's retries.
        routers: Number of routers that share retries and connections.
        metrics: Metrics by server, removed with the server.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        serving: ServerSelector,
        share: RetryShare,
        routers: LatestValue[int],
        *,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.serving = serving
        self.share = share
        self.routers = routers
        self.pooled = ConnectionPool()
        self.max_pooled: dict[str, int] = {}
        self.metrics = metrics
        self.clock = clock
        self.events = events

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=RequestServer() as request, reply_to=reply_to):
                reply_to.put(self.choose(request, now))
            case FirstByteReceived(call_id):
                self.serving.record_first_byte(call_id, now)
            case CallEnded():
                server = self.serving.record_end(message, now)
                self.pool_connection(server, message, now)
            case ServerNotices():
                self.serving.replace_notices(message)
            case Evacuations():
                self.serving.replace_evacuations(message)
            case ServerAtLimit():
                self.serving.record_no_room(message, now)
            case RegisteredServers(servers):
                self.serving.replace_servers(message)
                self.metrics.forget_servers(servers)
                self.max_pooled = {
                    name: most
                    for name, most in self.max_pooled.items()
                    if name in servers
                }

    def choose(self, request: RequestServer, now: float) -> Any:
        """Choose a server for a request; a retry also uses this router's retry share.

        Pooled connections count towards a server's connections, so the limit of the
        calls there is that much lower.
        """
        if not self.may_attempt(request, now):
            return NoServerAvailable(
                "this router's share of the fleet's retries is exhausted"
            )
        routers = self.routers.value
        share = request.max_connections_per_server // routers
        max_pooled = min(MAX_POOLED_PER_SERVER, int(share * POOLED_FRACTION))
        limit = start_limit(request.max_connections_per_server, routers) - max_pooled
        choice = self.serving.choose(request, max(1, limit), now)
        if not isinstance(choice, ServerChosen):
            return choice
        self.count_attempt(request, now)
        self.max_pooled[choice.server.id] = max_pooled
        if not request.repeatable:
            return choice
        return replace(choice, pooled=self.pooled.take(choice.server.id, now))

    def may_attempt(self, request: RequestServer, now: float) -> bool:
        """Return False for a retry beyond this router's share.

        An attempt that was denied a permit is counted already.
        """
        if request.permits_denied or not request.retry:
            return True
        return self.share.allows_retry(request.service, self.routers.value, now)

    def count_attempt(self, request: RequestServer, now: float) -> None:
        """Count an attempt once a server is chosen, as the call may ask again."""
        if request.permits_denied:
            return
        if request.retry:
            self.share.count_retry(request.service, now)
        elif not request.excluded:
            # Otherwise it was counted before it failed to reach another server.
            self.share.count_request(request.service, now)

    def pool_connection(self, server: str | None, ended: CallEnded, now: float) -> None:
        """Return the connection of an ended call to the pool, or close it.

        Args:
            server: The server's id, or None if it is no longer registered.
            ended: The call's end, with the connection if it can be reused.
            now: Monotonic time in seconds.
        """
        self.pooled.close_expired(now)
        if ended.pooled is None:
            return
        if server is None:
            ended.pooled.close()
            return
        self.pooled.put(server, ended.pooled, self.max_pooled.get(server, 0), now)
