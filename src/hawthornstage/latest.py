"""The newest value that a task has published, for others to read without asking."""

from __future__ import annotations

from typing import Generic, TypeVar

Value = TypeVar("Value")


class LatestValue(Generic[Value]):
    """Holds an immutable value that one task replaces and others read.

    Args:
        value: The first value.
    """

    def __init__(self, value: Value) -> None:
        self.value = value

    def publish(self, value: Value) -> None:
        """Replace the value; only the task that owns it does so."""
        self.value = value
