"""Commands that show, check and change the tables."""

from __future__ import annotations

import difflib
import time
import uuid
from pathlib import Path
from typing import Any

import yaml

from hawthornstage.border.tables_file import parse_tables
from hawthornstage.command_output import (
    EXIT_CONFLICT,
    EXIT_TIMEOUT,
    Commands,
    call_or_exit,
    fail,
    format_table,
    show,
)
from hawthornstage.operator_client import OperatorError
from hawthornstage.settings_errors import EXIT_USAGE, SettingsError

# Interval at which the routers' status is polled while waiting, in seconds.
POLL_INTERVAL_S = 0.2


class TableCommands(Commands):
    """Shows and edits the tables of routes and pools."""

    def show(self, json: bool = False) -> None:
        """Show the tables in use, in the form that `apply` takes.

        Args:
            json: Print JSON.
        """
        document = call_or_exit(lambda: self.client.get("tables"))
        plain = {name: document[name] for name in ("revision", "routes", "pools")}
        show(document, json, yaml.safe_dump(plain, sort_keys=False))

    def check(self, file: str) -> None:
        """Check a file without applying it; exit code 2 if it is not valid.

        Args:
            file: YAML or JSON with `routes` and `pools`.
        """
        self.load(file)
        print("ok")

    def apply(
        self,
        file: str,
        seen: int | None = None,
        reason: str = "",
        wait: float = 0,
        json: bool = False,
    ) -> None:
        """Replace the tables in force by those of a file.

        Exit code 4 if another edit changed the tables meanwhile, 5 if not all routers
        adopted them within the wait.

        Args:
            file: YAML or JSON with `routes` and `pools`.
            seen: The revision on which the edit is based; by default the file's own.
            reason: Reason of the edit, recorded in the history.
            wait: Seconds to wait until the tables are in force on every router.
            json: Print JSON.
        """
        text, revision = self.load(file)
        seen = revision if seen is None else seen
        if seen is None:
            fail(
                "the base revision is missing: use --seen or set it in the file",
                EXIT_USAGE,
            )
        query = {"seen": seen, "reason": reason, "edit_id": uuid.uuid4().hex}
        answer = call_or_exit(
            lambda: self.client.post("tables", text.encode(), **query)
        )
        if isinstance(answer, OperatorError):
            self.show_race(text, answer)
        behind = self.wait_for(answer["revision"], wait) if wait else []
        document = {**answer, "behind": behind}
        in_force = len(self.client.routers) - len(behind)
        text = f"revision {answer['revision']} accepted"
        if wait:
            text += f"; in force on {in_force} of {len(self.client.routers)} routers"
        if behind:
            text += "; not on " + ", ".join(behind)
        show(document, json, text)
        if behind:
            raise SystemExit(EXIT_TIMEOUT)

    def history(self, json: bool = False) -> None:
        """Show the author, time and reason of each edit, the newest first.

        Args:
            json: Print JSON, with each revision's tables.
        """
        document = call_or_exit(lambda: self.client.get("tables/history"))
        rows: list[list[Any]] = [["REVISION", "AUTHOR", "EDITED (UTC)", "REASON"]]
        for each in document["history"]:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(each["edited_at"]))
            rows.append([each["revision"], each["author"], at, each["reason"]])
        show(document, json, format_table(rows))

    def load(self, file: str) -> tuple[str, int | None]:
        """Read and validate a file of tables.

        Returns:
            The file's text, and its revision or None.
        """
        try:
            text = Path(file).read_text(encoding="utf-8")
            _, revision = parse_tables(text)
        except OSError as error:
            fail(f"{file}: {error.strerror}", EXIT_USAGE)
        except SettingsError as settings_error:
            fail(
                "\n  ".join([f"{file} is not valid:", *settings_error.faults]),
                EXIT_USAGE,
            )
        return text, revision

    def show_race(self, text: str, error: OperatorError) -> None:
        """Print the diff from the tables in force to the rejected edit, and exit."""
        current = {key: error.document[key] for key in ("revision", "routes", "pools")}
        lines = difflib.unified_diff(
            yaml.safe_dump(current, sort_keys=False).splitlines(),
            yaml.safe_dump(yaml.safe_load(text), sort_keys=False).splitlines(),
            f"in force (revision {current['revision']})",
            "yours",
            lineterm="",
        )
        print("\n".join(lines))
        fail(
            "another edit was applied first; the tables were not changed",
            EXIT_CONFLICT,
        )

    def wait_for(self, revision: int, seconds: float) -> list[str]:
        """Wait until all routers use a revision; return those that do not in time."""
        deadline = time.monotonic() + seconds
        while True:
            answers = self.client.get_all("status")
            behind = [
                router
                for router, answer in answers.items()
                if isinstance(answer, OperatorError) or answer["revision"] < revision
            ]
            if not behind or time.monotonic() >= deadline:
                return behind
            time.sleep(POLL_INTERVAL_S)
