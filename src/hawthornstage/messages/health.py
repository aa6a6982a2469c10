"""Messages by which the tasks of a router tell that they work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CheckTasks:
    """Triggers the periodic check of the tasks that serve calls."""


@dataclass(frozen=True)
class ReportHealth:
    """Asks a task for its health; the reply is `TaskHealth`."""


@dataclass(frozen=True)
class TaskHealth:
    """What a task tells of itself.

    Args:
        failures_in_row: Requests whose handling failed since the last that did not.
        failures: All requests whose handling failed.
    """

    failures_in_row: int
    failures: int


@dataclass(frozen=True)
class HealthReported:
    """A task has replied.

    Args:
        task: The task's name.
        health: What it told.
    """

    task: str
    health: TaskHealth
