"""Commands that show and top up prepaid budgets."""

from __future__ import annotations

import json as json_codec
from typing import Any

from hawthornstage.command_output import (
    Commands,
    call_or_exit,
    format_table,
    show,
)


class BudgetCommands(Commands):
    """Shows and tops up prepaid budgets; all amounts are in tokens."""

    def show(self, workspace: str = "", json: bool = False) -> None:
        """Show all budgets, or one with its grants.

        Args:
            workspace: The workspace whose budget is shown; all by default.
            json: Print JSON.
        """
        if workspace:
            document = call_or_exit(lambda: self.client.get(f"budgets/{workspace}"))
            show(document, json, self.one(workspace, document))
            return
        document = call_or_exit(lambda: self.client.get("budgets"))
        rows = [["WORKSPACE", "TOPPED UP", "BILLED", "GRANTED", "AVAILABLE"]]
        for name, budget in document["budgets"].items():
            rows.append([name, *self.sums(budget)])
        show(document, json, format_table(rows))

    def top_up(self, workspace: str, tokens: int, id: str, json: bool = False) -> None:
        """Add tokens to a budget; a top-up with the same id is applied only once.

        Args:
            workspace: The workspace whose budget is topped up.
            tokens: How many tokens to add.
            id: Unique id of the top-up, such as an invoice number.
            json: Print JSON.
        """
        body = json_codec.dumps({"id": str(id), "tokens": tokens}).encode()
        answer = call_or_exit(
            lambda: self.client.post(f"budgets/{workspace}/top-up", body)
        )
        repeated = (
            " (a top-up with this id was applied before)" if answer["repeated"] else ""
        )
        show(answer, json, f"{workspace}: {answer['topped_up']} tokens{repeated}")

    def sums(self, budget: dict[str, Any]) -> list[Any]:
        """Return a budget's totals as a row."""
        names = ("topped_up", "billed", "granted", "available")
        return [budget[name] for name in names]

    def one(self, workspace: str, budget: dict[str, Any]) -> str:
        """Format one budget with its grants."""
        rows: list[list[Any]] = [["GRANT", "HOLDER", "AMOUNT", "BILLED", "WITNESSES"]]
        for grant_id, grant in budget["grants"].items():
            witnesses = ",".join(grant["witnesses"])
            row = [grant_id, grant["holder"], grant["amount"], grant["billed"]]
            rows.append([*row, witnesses])
        heading = ["WORKSPACE", "TOPPED UP", "BILLED", "GRANTED", "AVAILABLE"]
        return (
            format_table([heading, [workspace, *self.sums(budget)]])
            + "\n\n"
            + format_table(rows)
        )
