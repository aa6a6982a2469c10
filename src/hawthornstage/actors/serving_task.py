"""The task that chooses backend servers and counts the calls on them."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.retry_share import RetryShare
from hawthornstage.decisions.serving import Serving
from hawthornstage.latest import Latest
from hawthornstage.messages.serving import (
    CallEnded,
    FirstByte,
    NoServerFit,
    ServersKnown,
    WantServer,
)
from hawthornstage.observe.events import EventLog


class ServingTask(Task):
    """Owns what is known of the backend servers.

    Args:
        serving: The servers and this router's calls on them.
        share: This router's share of the fleet's retries.
        routers: Number of routers that share the retries.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self,
        serving: Serving,
        share: RetryShare,
        routers: Latest[int],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.serving = serving
        self.share = share
        self.routers = routers
        self.clock = clock
        self.events = events

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=WantServer() as want, reply_to=reply_to):
                reply_to.put(self.choose(want, now))
            case FirstByte(call_id):
                self.serving.begin(call_id, now)
            case CallEnded():
                self.serving.end(message, now)
            case ServersKnown(servers):
                self.serving.replace_servers(dict(servers))

    def choose(self, want: WantServer, now: float) -> Any:
        """Choose a server; a retry needs a part of the router's share."""
        if not want.retry:
            self.share.count_request(want.service, now)
        elif not self.share.take(want.service, self.routers.value, now):
            return NoServerFit("this router's share of retries is used up")
        return self.serving.choose(want, now)
