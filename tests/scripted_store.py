"""A store that gives prepared outcomes to a watch."""

from __future__ import annotations

from typing import Any


class ScriptedStore:
    """Gives prepared outcomes to a watch."""

    epoch = 1

    def __init__(self, *outcomes: Any) -> None:
        self.outcomes = list(outcomes)

    def list(self, prefix: str) -> Any:
        """Return the next outcome."""
        return self.outcomes.pop(0)

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return the next outcome."""
        return self.outcomes.pop(0)
