"""The command line: the router daemon, and what operators do."""

from __future__ import annotations

import hashlib
import os
import secrets
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import fire
import urllib3
import yaml
from pydantic import ValidationError

from hawthornstage.border.old_setup_api import REQUEST_PREFIX
from hawthornstage.budget_commands import BudgetCommands
from hawthornstage.command_output import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    fail,
    guarded,
    show,
    table,
)
from hawthornstage.daemon import run_router
from hawthornstage.faults import EXIT_USAGE, fault_lines
from hawthornstage.observe import timeline as timeline_module
from hawthornstage.observe.log_reader import read_logs
from hawthornstage.operator_client import OperatorError
from hawthornstage.reconcile import ClaimRecord, Journal, LedgerBill, compare
from hawthornstage.table_commands import TableCommands

# Longest wait for the old setup's journal, in seconds.
JOURNAL_WAIT_S = 30.0


def logged_events(logs: str, request: str) -> list[dict[str, Any]]:
    """Return the events of a request, or all, that captured logs hold."""
    try:
        events = read_logs(str(logs).split(","))
    except OSError as error:
        fail(f"a log cannot be read: {error}", EXIT_USAGE)
    return [event for event in events if not request or event["request_id"] == request]


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
        lines = "\n".join(timeline_module.format_event(event) for event in events)
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
