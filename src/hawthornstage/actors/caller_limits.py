"""The task that makes changed limits known to connections which wait for callers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hawthornstage.actors.caller_connections import CallerConnections
from hawthornstage.actors.task import Task
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.messages.fleet import DesiredStateInUse


class CallerLimitsTask(Task):
    """Owns the limits that waiting connections were last told of.

    A connection reads the limits whenever it uses them; one that sleeps until an old
    limit ends has to be woken.

    Args:
        limits: Returns the limits on reading one request that are in force.
        connections: The connections of all callers.
    """

    def __init__(
        self, limits: Callable[[], ReadLimits], connections: CallerConnections
    ) -> None:
        super().__init__()
        self.limits = limits
        self.connections = connections
        self.told = limits()

    def handle(self, message: Any) -> None:
        match message:
            case DesiredStateInUse():
                self.tell_if_changed()

    def tell_if_changed(self) -> None:
        """Wake the waiting connections if the limits are others than before."""
        limits = self.limits()
        if limits != self.told:
            self.told = limits
            self.connections.tell_limits_changed()
