"""The command line: the router daemon and the operators' commands."""

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

from hawthornstage.border.old_setup_api import OLD_SETUP_REQUEST_PREFIX
from hawthornstage.budget_commands import BudgetCommands
from hawthornstage.command_output import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    call_or_exit,
    fail,
    format_table,
    show,
)
from hawthornstage.daemon import run_router
from hawthornstage.desired_state_commands import check_desired_state
from hawthornstage.messages.bounded_text import bounded_text
from hawthornstage.observe import timeline as timeline_module
from hawthornstage.observe.log_reader import read_logs
from hawthornstage.operator_client import OperatorError
from hawthornstage.reconcile import ClaimRecord, Journal, LedgerBill, compare
from hawthornstage.settings_errors import EXIT_USAGE, format_validation_errors
from hawthornstage.table_commands import TableCommands

# Timeout for reading the old setup's journal over HTTP, in seconds.
JOURNAL_TIMEOUT_S = 30.0


def read_logged_events(logs: str, request: str) -> list[dict[str, Any]]:
    """Return the events in captured logs, of one request or of all.

    Args:
        logs: Paths joined by commas; `-` is standard input.
        request: The request's id; empty for all events.
    """
    try:
        events = read_logs(str(logs).split(","))
    except OSError as error:
        fail(f"a log cannot be read: {error}", EXIT_USAGE)
    logged_id = bounded_text(request)
    return [each for each in events if not request or each["request_id"] == logged_id]


class HawthornstageCommands:
    """Runs routers and shows operators their state and events.

    Args:
        routers: Base URLs of the routers, separated by commas; by default
            from HAWTHORNSTAGE_ROUTERS.
        key: The operator's key; by default from HAWTHORNSTAGE_KEY.
    """

    def __init__(self, routers: str = "", key: str = "") -> None:
        routers = routers or os.environ.get("HAWTHORNSTAGE_ROUTERS", "")
        key = key or os.environ.get("HAWTHORNSTAGE_KEY", "")
        self.tables = TableCommands(routers, key)
        self.budget = BudgetCommands(routers, key)

    def router(self, settings: str) -> None:
        """Run a router until SIGTERM; exit code 2 if the settings are not valid.

        Args:
            settings: The YAML file with its settings.
        """
        raise SystemExit(run_router(Path(settings)))

    def new_key(self, id: str, owner: str) -> None:
        """Generate an API key and its entry for the settings.

        Args:
            id: Public part of the key.
            owner: The workspace, operator or setup that the key identifies.
        """
        key = f"{id}.{secrets.token_urlsafe(24)}"
        digest = hashlib.sha256(key.encode()).hexdigest()
        entry = [{"id": id, "owner": owner, "sha256": digest}]
        print(
            f"key: {key}\nsettings:\n{yaml.safe_dump(entry, sort_keys=False)}", end=""
        )

    def status(self, json: bool = False) -> None:
        """Show the state of every router; exit code 3 if one can't be reached.

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
        show(plain, json, format_table(rows))
        if missing:
            raise SystemExit(EXIT_UNREACHABLE)

    def timeline(
        self,
        request: str = "",
        last: float = 60.0,
        logs: str = "",
        json: bool = False,
    ) -> None:
        """Show the events of all routers, merged into one order.

        Args:
            request: Only this request's events, by its X-Request-Id.
            last: Only events of this many last seconds; no effect with logs.
            logs: Read these captured logs instead of asking routers: paths joined by
                commas; `-` is standard input.
            json: Print JSON.
        """
        if logs:
            events = read_logged_events(logs, str(request))
        else:
            events = self.events(request, 0 if request else last)
        lines = "\n".join(timeline_module.format_event(event) for event in events)
        show(events, json, lines or "no events")

    def explain(self, request: str, logs: str = "", json: bool = False) -> None:
        """Explain what happened to a request and why; exit code 1 if it is unknown.

        Args:
            request: The request's X-Request-Id.
            logs: Read these captured logs instead of asking routers: paths joined by
                commas; `-` is standard input.
            json: Print JSON.
        """
        request = str(request)
        events = read_logged_events(logs, request) if logs else self.events(request, 0)
        if not events:
            place = "in the logs" if logs else "at any router"
            fail(f"no events of request {request} were found {place}", EXIT_REFUSED)
        explanation = timeline_module.explain(events)
        rows = [f"{name:<10} {value}" for name, value in explanation.items()]
        show(explanation, json, "\n".join(rows))

    def reconcile(
        self, journal: str, old_owner: str = "old-setup", json: bool = False
    ) -> None:
        """Compare the old setup's journal with the ledger and the claims.

        Exit code 1 if they differ. Only bills within the ledger's window and claims
        that are not yet deleted can be compared.

        Args:
            journal: Path or HTTP URL of the old setup's journal, in JSON.
            old_owner: Name of the old setup's key in the settings.
            json: Print JSON.
        """
        old = self.load_journal(journal)
        client = self.tables.client
        bills = call_or_exit(lambda: client.get("bills"))["bills"]
        claims = call_or_exit(lambda: client.get("claims"))["claims"]
        differences = compare(
            old,
            [LedgerBill.model_validate(bill) for bill in bills],
            [ClaimRecord.model_validate(claim) for claim in claims],
            old_owner=old_owner,
            request_id_prefix=OLD_SETUP_REQUEST_PREFIX,
        )
        heading = ["DIFFERENCE", "WORKSPACE", "REQUEST OR KEY", "DETAIL"]
        rows = [
            [each.kind, each.workspace, each.name, each.detail] for each in differences
        ]
        agreed = f"no differences in {len(old.bills)} bills and {len(old.ran)} runs"
        text = format_table([heading, *rows]) if differences else agreed
        show([asdict(each) for each in differences], json, text)
        if differences:
            raise SystemExit(EXIT_REFUSED)

    def check_desired_state(
        self,
        file: str,
        in_force: str = "",
        settings: str = "",
        call_tokens: int = 1,
        json: bool = False,
    ) -> None:
        """Check a desired state of the users' platform before it is sent.

        Exit code 1 if something was found, 2 if a file can't be read or is not valid.

        Args:
            file: The desired state, in JSON.
            in_force: The version in force, to show what differs.
            settings: A router's settings file, to check home regions.
            call_tokens: Tokens of the smallest call that workspaces make.
            json: Print JSON.
        """
        check_desired_state(str(file), in_force, settings, call_tokens, json)

    def load_journal(self, source: str) -> Journal:
        """Read the old setup's journal from a file or a URL."""
        try:
            if source.startswith(("http://", "https://")):
                text = urllib3.request("GET", source, timeout=JOURNAL_TIMEOUT_S).data
            else:
                text = Path(source).read_bytes()
            return Journal.model_validate_json(text)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            fail(f"{source}: {error}", EXIT_UNREACHABLE)
        except ValidationError as error:
            fail(f"{source}: " + "; ".join(format_validation_errors(error)), EXIT_USAGE)

    def events(self, request: str, last: float) -> list[dict[str, Any]]:
        """Collect events from all routers; print which can't be reached.

        Args:
            request: The request's id; empty for all events.
            last: Only events of this many last seconds; 0 for no limit.
        """
        since = int((time.time() - last) * 1000) if last else 0
        client = self.tables.client
        query = {"request_id": str(request), "since_millis": since}
        answers = client.get_all("events", **query)
        for answer in answers.values():
            if isinstance(answer, OperatorError):
                print(
                    f"hawthornstage: events of a router are missing: {answer}",
                    file=sys.stderr,
                )
        responses = {
            r: a for r, a in answers.items() if not isinstance(a, OperatorError)
        }
        if not responses:
            fail("no router responded, or none is configured", EXIT_UNREACHABLE)
        return timeline_module.merge({r: a["events"] for r, a in responses.items()})


def main() -> None:
    """Run the command line."""
    fire.Fire(HawthornstageCommands, name="hawthornstage")


if __name__ == "__main__":
    main()
