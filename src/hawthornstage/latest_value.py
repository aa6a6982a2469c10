"""A value that one task publishes and other threads read without a message."""

from __future__ import annotations

from typing import Generic, TypeVar

Value = TypeVar("Value")


class LatestValue(Generic[Value]):
    """Holds an immutable value that its owning task replaces and other threads read.

    Args:
        value: The initial value.
    """

    def __init__(self, value: Value) -> None:
        self.value = value

    def publish(self, value: Value) -> None:
        """Replace the value; only the owning task may call this."""
        self.value = value
