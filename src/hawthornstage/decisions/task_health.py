"""Decides whether the tasks that serve calls still do, so that readiness is true.

A task serves if it replies when it is asked for its health, and if the requests that it
handles don't all fail. What one request raises does not count while others succeed.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.messages.health import TaskHealth

# Checks in a row without a reply from which a task counts as faulty.
MAX_MISSED_CHECKS = 3
# Failed requests in a row from which a task counts as faulty, and for how long after
# the last of them: without requests nothing shows that it serves again.
MAX_FAILURES_IN_ROW = 8
FAILURE_TTL_S = 5.0


@dataclass
class CheckedTask:
    """What is known of one task.

    Args:
        missed: Checks in a row without a reply.
        health: What it told last.
        failed_at: Time at which its failures were last seen to have grown.
    """

    missed: int = 0
    health: TaskHealth = TaskHealth(0, 0)
    failed_at: float = float("-inf")

    def is_faulty(self, now: float) -> bool:
        """Whether the task does not serve, as far as it is known."""
        if self.missed >= MAX_MISSED_CHECKS:
            return True
        failing = self.health.failures_in_row >= MAX_FAILURES_IN_ROW
        return failing and now - self.failed_at < FAILURE_TTL_S


@dataclass
class TaskChecks:
    """What is known of all checked tasks, by name."""

    tasks: dict[str, CheckedTask] = field(default_factory=dict)

    def begin_check(self, name: str) -> None:
        """Note that a task is asked, whose reply is still to come."""
        self.tasks.setdefault(name, CheckedTask()).missed += 1

    def record(self, name: str, health: TaskHealth, now: float) -> None:
        """Note a task's reply."""
        task = self.tasks.setdefault(name, CheckedTask())
        task.missed = 0
        if health.failures > task.health.failures:
            task.failed_at = now
        task.health = health

    def faulty(self, now: float) -> tuple[str, ...]:
        """Return the names of the tasks that do not serve."""
        return tuple(
            sorted(name for name, each in self.tasks.items() if each.is_faulty(now))
        )
