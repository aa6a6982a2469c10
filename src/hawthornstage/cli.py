"""The command line: the router daemon, and what operators do."""

from __future__ import annotations

import difflib
import hashlib
import json as json_codec
import os
import secrets
import sys
import time
import uuid
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any, NoReturn

import fire
import urllib3
import yaml
from pydantic import ValidationError

from hawthornstage.border.old_setup_api import REQUEST_PREFIX
from hawthornstage.border.tables_file import parse_tables
from hawthornstage.daemon import run_router
from hawthornstage.faults import EXIT_USAGE, SettingsFault, fault_lines
from hawthornstage.observe import timeline as timeline_module
from hawthornstage.observe.log_reader import read_logs
from hawthornstage.operator_client import OperatorClient, OperatorError
from hawthornstage.reconcile import ClaimRecord, Journal, LedgerBill, compare

# Exit codes: refused by the system, not reachable, raced by another edit, late.
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
EXIT_RACED = 4
EXIT_LATE = 5
# Longest wait for the old setup's journal, in seconds.
JOURNAL_WAIT_S = 30.0
# Pause between two looks at the routers while waiting, in seconds.
WAIT_STEP_S = 0.2


def fail(message: str, code: int) -> NoReturn:
    """Print why a command failed and end with an exit code."""
    print(f"hawthornstage: {message}", file=sys.stderr)
    raise SystemExit(code)


def guarded(action: Callable[[], Any]) -> Any:
    """Run a call to the routers; its errors become exit codes."""
    try:
        return action()
    except OperatorError as error:
        if error.status == 409 and isinstance(error.document, dict):
            return error
        fail(str(error), EXIT_REFUSED if error.status else EXIT_UNREACHABLE)


def logged_events(logs: str, request: str) -> list[dict[str, Any]]:
    """Return the events of a request, or all, that captured logs hold."""
    try:
        events = read_logs(str(logs).split(","))
    except OSError as error:
        fail(f"a log cannot be read: {error}", EXIT_USAGE)
    return [event for event in events if not request or event["request_id"] == request]


def show(document: Any, as_json: bool, text: str) -> None:
    """Print a document for programs, or text for people."""
    print(json_codec.dumps(document, indent=2) if as_json else text)


def table(rows: list[list[Any]]) -> str:
    """Lay rows out in columns; the first row is the heading."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in texts) for i in range(len(texts[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    )


class Commands:
    """What all operators' commands share: which routers to ask, and the key.

    Args:
        routers: Base addresses, separated by commas.
        key: The operator's key.
    """

    def __init__(self, routers: str, key: str) -> None:
        self.client = OperatorClient(tuple(r for r in routers.split(",") if r), key)


class TableCommands(Commands):
    """Shows and edits the tables of routes and pools."""

    def show(self, json: bool = False) -> None:
        """Show the tables in use, in the form that `apply` takes.

        Args:
            json: Print JSON.
        """
        document = guarded(lambda: self.client.get("tables"))
        plain = {name: document[name] for name in ("revision", "routes", "pools")}
        show(document, json, yaml.safe_dump(plain, sort_keys=False))

    def check(self, file: str) -> None:
        """Check a file without applying it; exit code 2 if it is not acceptable.

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
        """Put the tables of a file in force.

        Exit code 4 if another edit came first, 5 if not all routers followed.

        Args:
            file: YAML or JSON with `routes` and `pools`.
            seen: The revision that was edited; by default the file's own.
            reason: Why, for the history.
            wait: Seconds to wait until every router has the tables in force.
            json: Print JSON.
        """
        text, revision = self.load(file)
        seen = revision if seen is None else seen
        if seen is None:
            fail("name the revision that was edited: --seen or in the file", EXIT_USAGE)
        query = {"seen": seen, "reason": reason, "edit_id": uuid.uuid4().hex}
        answer = guarded(lambda: self.client.post("tables", text.encode(), **query))
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
            raise SystemExit(EXIT_LATE)

    def history(self, json: bool = False) -> None:
        """Show who edited the tables, when and why, the newest first.

        Args:
            json: Print JSON, with each revision's tables.
        """
        document = guarded(lambda: self.client.get("tables/history"))
        rows: list[list[Any]] = [["REVISION", "AUTHOR", "EDITED (UTC)", "REASON"]]
        for each in document["history"]:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(each["edited_at"]))
            rows.append([each["revision"], each["author"], at, each["reason"]])
        show(document, json, table(rows))

    def load(self, file: str) -> tuple[str, int | None]:
        """Read and check a file of tables."""
        try:
            text = Path(file).read_text(encoding="utf-8")
            _, revision = parse_tables(text)
        except OSError as error:
            fail(f"{file}: {error.strerror}", EXIT_USAGE)
        except SettingsFault as fault:
            fail("\n  ".join([f"{file} is not acceptable:", *fault.faults]), EXIT_USAGE)
        return text, revision

    def show_race(self, text: str, error: OperatorError) -> None:
        """Show how the tables in force differ from those that were to be applied."""
        current = {key: error.document[key] for key in ("revision", "routes", "pools")}
        lines = difflib.unified_diff(
            yaml.safe_dump(current, sort_keys=False).splitlines(),
            yaml.safe_dump(yaml.safe_load(text), sort_keys=False).splitlines(),
            f"in force (revision {current['revision']})",
            "yours",
            lineterm="",
        )
        print("\n".join(lines))
        fail("another edit came first; nothing was changed", EXIT_RACED)

    def wait_for(self, revision: int, seconds: float) -> list[str]:
        """Wait until all routers use a revision; return those that do not."""
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
            time.sleep(WAIT_STEP_S)


class BudgetCommands(Commands):
    """Shows and tops up prepaid budgets; all amounts are tokens."""

    def show(self, workspace: str = "", json: bool = False) -> None:
        """Show all budgets, or one with its grants.

        Args:
            workspace: The budget to show; all by default.
            json: Print JSON.
        """
        if workspace:
            document = guarded(lambda: self.client.get(f"budgets/{workspace}"))
            show(document, json, self.one(workspace, document))
            return
        document = guarded(lambda: self.client.get("budgets"))
        rows = [["WORKSPACE", "TOPPED UP", "BILLED", "GRANTED", "AVAILABLE"]]
        for name, budget in document["budgets"].items():
            rows.append([name, *self.sums(budget)])
        show(document, json, table(rows))

    def top_up(self, workspace: str, tokens: int, id: str, json: bool = False) -> None:
        """Add tokens to a budget; the same id counts once, however often it is sent.

        Args:
            workspace: The budget.
            tokens: How many tokens to add.
            id: Names the top-up, such as the invoice's number.
            json: Print JSON.
        """
        body = json_codec.dumps({"id": str(id), "tokens": tokens}).encode()
        answer = guarded(lambda: self.client.post(f"budgets/{workspace}/top-up", body))
        repeated = " (this id was counted before)" if answer["repeated"] else ""
        show(answer, json, f"{workspace}: {answer['topped_up']} tokens{repeated}")

    def sums(self, budget: dict[str, Any]) -> list[Any]:
        """Return a budget's sums as a row."""
        names = ("topped_up", "billed", "granted", "available")
        return [budget[name] for name in names]

    def one(self, workspace: str, budget: dict[str, Any]) -> str:
        """Write one budget with its grants."""
        rows: list[list[Any]] = [["GRANT", "HOLDER", "AMOUNT", "BILLED", "WITNESSES"]]
        for grant_id, grant in budget["grants"].items():
            witnesses = ",".join(grant["witnesses"])
            row = [grant_id, grant["holder"], grant["amount"], grant["billed"]]
            rows.append([*row, witnesses])
        heading = ["WORKSPACE", "TOPPED UP", "BILLED", "GRANTED", "AVAILABLE"]
        return table([heading, [workspace, *self.sums(budget)]]) + "\n\n" + table(rows)


class HawthornstageCommands:
    """Runs routers and tells operators what they do.

    Args:
        routers: Base addresses of the routers, separated by commas; by default
            from HAWTHORNSTAGE_ROUTERS.
        key: The operator's key; by default from HAWTHORNSTAGE_KEY.
    """

    def __init__(self, routers: str = "", key: str = "") -> None:
        routers = routers or os.environ.get("HAWTHORNSTAGE_ROUTERS", "")
        key = key or os.environ.get("HAWTHORNSTAGE_KEY", "")
        self.tables = TableCommands(routers, key)
        self.budget = BudgetCommands(routers, key)

    def router(self, settings: str) -> None:
        """Run a router until SIGTERM; exit code 2 if the settings are wrong.

        Args:
            settings: The YAML file with its settings.
        """
        raise SystemExit(run_router(Path(settings)))

    def new_key(self, id: str, owner: str) -> None:
        """Make an API key, and the entry that the settings keep of it.

        Args:
            id: Public part of the key.
            owner: The workspace, operator or setup that it names.
        """
        key = f"{id}.{secrets.token_urlsafe(24)}"
        digest = hashlib.sha256(key.encode()).hexdigest()
        entry = [{"id": id, "owner": owner, "sha256": digest}]
        print(
            f"key: {key}\nsettings:\n{yaml.safe_dump(entry, sort_keys=False)}", end=""
        )

    def status(self, json: bool = False) -> None:
        """Show every router: exit code 3 if one can't be reached.

        Args:
            json: Print JSON.
        """
        client = self.tables.client
        answers = client.get_all("status")
        rows: list[list[Any]] = [
            ["ROUTER", "NODE", "DOMAIN", "REVISION", "TABLES AGE (s)", "SEES", "GRANTS"]
        ]
        for router, answer in answers.items():
            if isinstance(answer, OperatorError):
                rows.append([router, "unreachable", "-", "-", "-", "-", "-"])
                continue
            confirmed = answer["confirmed_at"]
            age = "never" if confirmed is None else f"{time.time() - confirmed:.1f}"
            rows.append(
                [
                    router,
                    answer["node"] + (" (draining)" if answer["draining"] else ""),
                    answer["failure_domain"],
                    answer["revision"],
                    age,
                    len(answer["sees"]),
                    len(answer["grants"]),
                ]
            )
        missing = [r for r, a in answers.items() if isinstance(a, OperatorError)]
        plain = {r: None if r in missing else a for r, a in answers.items()}
        show(plain, json, table(rows))
        if missing:
            raise SystemExit(EXIT_UNREACHABLE)

    def timeline(
        self,
        request: str = "",
        last: float = 60.0,
        logs: str = "",
        json: bool = False,
    ) -> None:
        """Show the events of all routers in one order.

        Args:
            request: Only this request's events, by its X-Request-Id.
            last: Only events of the last so many seconds; without effect on logs.
            logs: Read these captured logs instead of asking routers: paths joined by
                commas; `-` is standard input.
            json: Print JSON.
        """
        if logs:
            events = logged_events(logs, str(request))
        else:
            events = self.events(request, 0 if request else last)
        lines = "\n".join(timeline_module.line(event) for event in events)
        show(events, json, lines or "no events")

    def explain(self, request: str, logs: str = "", json: bool = False) -> None:
        """Say what happened to a request, and why; exit code 1 if it is not known.

        Args:
            request: The request's X-Request-Id.
            logs: Read these captured logs instead of asking routers: paths joined by
                commas; `-` is standard input.
            json: Print JSON.
        """
        request = str(request)
        events = logged_events(logs, request) if logs else self.events(request, 0)
        if not events:
            place = "in the logs" if logs else "at any router"
            fail(f"request {request} is not known {place}", EXIT_REFUSED)
        found = timeline_module.explain(events)
        rows = [f"{name:<10} {value}" for name, value in found.items()]
        show(found, json, "\n".join(rows))

    def reconcile(
        self, journal: str, old_owner: str = "old-setup", json: bool = False
    ) -> None:
        """Compare the old setup's journal with the ledger and the claims.

        Exit code 1 if they differ. Only bills within the ledger's window and claims
        not yet forgotten can be compared.

        Args:
            journal: File or http address of the old setup's journal, in JSON.
            old_owner: Name of the old setup's key in the settings.
            json: Print JSON.
        """
        old = self.load_journal(journal)
        client = self.tables.client
        bills = guarded(lambda: client.get("bills"))["bills"]
        claims = guarded(lambda: client.get("claims"))["claims"]
        found = compare(
            old,
            [LedgerBill.model_validate(bill) for bill in bills],
            [ClaimRecord.model_validate(claim) for claim in claims],
            old_owner=old_owner,
            prefix=REQUEST_PREFIX,
        )
        heading = ["DIFFERENCE", "WORKSPACE", "REQUEST OR KEY", "DETAIL"]
        rows = [[each.kind, each.workspace, each.name, each.detail] for each in found]
        agreed = f"old and new agree on {len(old.bills)} bills and {len(old.ran)} runs"
        text = table([heading, *rows]) if found else agreed
        show([asdict(each) for each in found], json, text)
        if found:
            raise SystemExit(EXIT_REFUSED)

    def load_journal(self, source: str) -> Journal:
        """Read the old setup's journal from a file or an address."""
        try:
            if source.startswith(("http://", "https://")):
                text = urllib3.request("GET", source, timeout=JOURNAL_WAIT_S).data
            else:
                text = Path(source).read_bytes()
            return Journal.model_validate_json(text)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            fail(f"{source}: {error}", EXIT_UNREACHABLE)
        except ValidationError as error:
            fail(f"{source}: " + "; ".join(fault_lines(error)), EXIT_USAGE)

    def events(self, request: str, last: float) -> list[dict[str, Any]]:
        """Collect events from all routers; say which can't be reached."""
        since = int((time.time() - last) * 1000) if last else 0
        client = self.tables.client
        query = {"request_id": str(request), "since_millis": since}
        answers = client.get_all("events", **query)
        for answer in answers.values():
            if isinstance(answer, OperatorError):
                print(f"hawthornstage: not included: {answer}", file=sys.stderr)
        known = {r: a for r, a in answers.items() if not isinstance(a, OperatorError)}
        if not known:
            fail("no router answered", EXIT_UNREACHABLE)
        return timeline_module.merge({r: a["events"] for r, a in known.items()})


def main() -> None:
    """Run the command line."""
    fire.Fire(HawthornstageCommands, name="hawthornstage")


if __name__ == "__main__":
    main()
