"""Faults of settings, as lines for people."""

from __future__ import annotations

from pydantic import ValidationError

# Exit code for wrong settings or wrong use.
EXIT_USAGE = 2


class SettingsError(Exception):
    """The settings are not valid.

    Args:
        faults: One line each: the path and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def format_validation_errors(error: ValidationError) -> list[str]:
    """Return one line for each fault: its path and what was expected."""
    return [f"{format_location(each['loc'])}: {each['msg']}" for each in error.errors()]


def format_location(parts: tuple[int | str, ...]) -> str:
    """Write a path as `keys.callers[0].id`."""
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "(top level)"
