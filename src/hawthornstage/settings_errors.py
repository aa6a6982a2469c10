"""Validation errors in settings, formatted for display."""

from __future__ import annotations

from pydantic import ValidationError

# Exit code for invalid settings or invalid command-line arguments.
EXIT_USAGE = 2


class SettingsError(Exception):
    """The settings are not valid.

    Args:
        faults: One line for each error: its location and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def format_validation_errors(error: ValidationError) -> list[str]:
    """Return one line for each error: its location and what was expected."""
    return [f"{format_location(each['loc'])}: {each['msg']}" for each in error.errors()]


def format_location(parts: tuple[int | str, ...]) -> str:
    """Format the location of an error, such as `keys.callers[0].id`."""
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "(top level)"
