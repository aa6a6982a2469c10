"""The task that checks whether the tasks that serve calls still do."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Any

import pykka

from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.task_health import TaskChecks
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.health import (
    CheckTasks,
    HealthReported,
    ReportHealth,
    TaskHealth,
)
from hawthornstage.observe.events import EventLog


class HealthTask(Task):
    """Owns what is known of the health of other tasks.

    Args:
        watched: The tasks, by name.
        faulty: Published: the names of those that do not serve.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        watched: Mapping[str, pykka.ActorRef],
        faulty: LatestValue[tuple[str, ...]],
        *,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.watched = watched
        self.faulty = faulty
        self.clock = clock
        self.events = events
        self.checks = TaskChecks()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case CheckTasks():
                for name, task in self.watched.items():
                    self.checks.begin_check(name)
                    self.ask_health(name, task)
            case HealthReported(name, health):
                self.checks.record(name, health, now)
        self.publish(now)

    def ask_health(self, name: str, task: pykka.ActorRef) -> None:
        """Ask a task for its health; one that has ended never replies."""
        reply_to = ReplyCallback(partial(self.pass_on, name))
        try:
            task.tell(Ask(ReportHealth(), reply_to))
        except pykka.ActorDeadError:
            self.events.emit("task_ended", task=name)

    def pass_on(self, name: str, health: TaskHealth) -> None:
        """Pass a task's reply to this task; called by that task."""
        self.actor_ref.tell(HealthReported(name, health))

    def publish(self, now: float) -> None:
        """Publish which tasks do not serve, if that has changed.

        Args:
            now: Monotonic time in seconds.
        """
        faulty = self.checks.faulty(now)
        if faulty != self.faulty.value:
            self.faulty.publish(faulty)
            self.events.emit("faulty_tasks", tasks=",".join(faulty))
