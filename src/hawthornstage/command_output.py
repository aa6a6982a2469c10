"""Shared parts of the operators' commands: client, exit codes and output format."""

from __future__ import annotations

import json as json_codec
import sys
from collections.abc import Callable
from typing import Any, NoReturn

from hawthornstage.operator_client import OperatorClient, OperatorError

# Exit codes: refused by the routers, no router reachable, conflict with another edit,
# and not all routers updated within the wait.
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_TIMEOUT = 5


def fail(message: str, code: int) -> NoReturn:
    """Print an error message and end the process with an exit code."""
    print(f"hawthornstage: {message}", file=sys.stderr)
    raise SystemExit(code)


def call_or_exit(action: Callable[[], Any]) -> Any:
    """Run a call to the routers; on an error, print it and exit.

    Returns:
        The result, or the `OperatorError` of a conflict (status 409), which the
        caller handles.
    """
    try:
        return action()
    except OperatorError as error:
        if error.status == 409 and isinstance(error.document, dict):
            return error
        fail(str(error), EXIT_REFUSED if error.status else EXIT_UNREACHABLE)


def show(document: Any, as_json: bool, text: str) -> None:
    """Print a document as JSON, or its text form."""
    print(json_codec.dumps(document, indent=2) if as_json else text)


def format_table(rows: list[list[Any]]) -> str:
    """Format rows as aligned columns; the first row is the heading."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in texts) for i in range(len(texts[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )


class Commands:
    """Base class of the operators' commands, with a client of the routers.

    Args:
        routers: Base URLs, separated by commas.
        key: The operator's key.
    """

    def __init__(self, routers: str, key: str) -> None:
        self.client = OperatorClient(tuple(r for r in routers.split(",") if r), key)
