"""The task that chooses backend servers and counts the calls on them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hawthornstage.actors.kept_connections import KeptConnections
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.retry_share import RetryShare
from hawthornstage.decisions.serving import ServerSelector
from hawthornstage.latest import Latest
from hawthornstage.messages.serving import (
    CallEnded,
    FirstByte,
    NoServerFit,
    ServerChosen,
    ServersKnown,
    WantServer,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Idle connections kept for each server, and as a part of the router's share of those
# that the server accepts.
MAX_KEPT = 4
KEPT_PART = 0.25


class ServingTask(Task):
    """Owns what is known of the backend servers.

    Args:
        serving: The servers and this router's calls on them.
        share: This router's share of the fleet's retries.
        routers: Number of routers that share the retries.
        metrics: Forgets servers that are gone.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self,
        serving: ServerSelector,
        share: RetryShare,
        routers: Latest[int],
        *,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.serving = serving
        self.share = share
        self.routers = routers
        self.kept = KeptConnections()
        self.most_kept: dict[str, int] = {}
        self.metrics = metrics
        self.clock = clock
        self.events = events

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=WantServer() as want, reply_to=reply_to):
                reply_to.put(self.choose(want, now))
            case FirstByte(call_id):
                self.serving.record_first_byte(call_id, now)
            case CallEnded():
                server = self.serving.record_end(message, now)
                self.keep(server, message, now)
            case ServersKnown(servers):
                self.serving.replace_servers(dict(servers))
                self.metrics.forget_servers(servers)
                self.most_kept = {
                    name: most
                    for name, most in self.most_kept.items()
                    if name in servers
                }

    def choose(self, want: WantServer, now: float) -> Any:
        """Choose a server; a retry needs a part of the router's share."""
        if not want.retry:
            self.share.count_request(want.service, now)
        elif not self.share.take(want.service, self.routers.value, now):
            return NoServerFit("this router's share of retries is used up")
        share = want.connections // self.routers.value
        most_kept = min(MAX_KEPT, int(share * KEPT_PART))
        choice = self.serving.choose(want, max(1, share - most_kept), now)
        if not isinstance(choice, ServerChosen):
            return choice
        self.most_kept[choice.server.id] = most_kept
        if not want.repeatable:
            return choice
        return replace(choice, kept=self.kept.take(choice.server.id, now))

    def keep(self, server: str | None, ended: CallEnded, now: float) -> None:
        """Keep a connection whose call has ended, if its server is still of use."""
        self.kept.drop_old(now)
        if ended.kept is None:
            return
        if server is None:
            ended.kept.close()
            return
        self.kept.put(server, ended.kept, self.most_kept.get(server, 0), now)
