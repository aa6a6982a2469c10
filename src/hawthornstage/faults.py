"""Faults of settings, as lines for people."""

from __future__ import annotations

from pydantic import ValidationError

# Exit code for wrong settings or wrong use.
EXIT_USAGE = 2


class SettingsFault(Exception):
    """The settings are not valid.

    Args:
        faults: One line each: the path and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def fault_lines(error: ValidationError) -> list[str]:
    """Return one line for each fault: its path and what was expected."""
    return [f"{fault_path(each['loc'])}: {each['msg']}" for each in error.errors()]


def fault_path(parts: tuple[int | str, ...]) -> str:
    """Write a path as `keys.callers[0].id`."""
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.removeprefix(".") or "(top level)"
