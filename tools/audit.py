"""Checks the guarantees against the counters of the stand-ins."""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field

from hawthornstage.border.documents import LEDGER_CODEC
from hawthornstage.decisions.ledger import Budget
from tools.caller import CallResult
from tools.cluster import Cluster, Process, fetch_counts, post

LEDGER_PREFIX = "hawthornstage/ledger/"


@dataclass
class RequestRecord:
    """One request and its results as the caller observed them.

    Args:
        category: Kind of request, for the report.
        workspace: Workspace that sent it.
        result: Result of the last attempt.
        expected: Text of a complete response, or None to accept any text.
        key: Idempotency key, or None.
        attempts: Results of all attempts, including the last.
    """

    category: str
    workspace: str
    result: CallResult
    expected: str | None = None
    key: str | None = None
    attempts: list[CallResult] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether the caller got a complete response with a 2xx status."""
        return self.result.complete and 200 <= self.result.status < 300


@dataclass(frozen=True)
class CheckResult:
    """The result of checking one guarantee.

    Args:
        guarantee: The guarantee in words.
        passed: Whether it held.
        details: Counts and the first violations.
    """

    guarantee: str
    passed: bool
    details: str


def read_budgets(cluster: Cluster) -> dict[str, Budget]:
    """Return all budgets of the ledger documents in the key-value stand-in."""
    assert cluster.key_value is not None
    stored = post(cluster.key_value.url + "/standin/faults", {})["values"]
    budgets: dict[str, Budget] = {}
    for key, value in stored.items():
        if key.startswith(LEDGER_PREFIX):
            ledger = LEDGER_CODEC.decode(base64.b64decode(value))
            budgets.update(ledger.budgets)
    return budgets


def bills_by_request(budgets: dict[str, Budget]) -> dict[str, list[int]]:
    """Return the tokens of every bill in the ledger, by request id."""
    found: dict[str, list[int]] = {}
    for budget in budgets.values():
        for grant in budget.grants.values():
            for request_id, tokens in grant.bills.items():
                found.setdefault(request_id, []).append(tokens)
        for request_id, tokens in budget.recent.items():
            found.setdefault(request_id, []).append(tokens)
    return found


def check_no_overspend(budgets: dict[str, Budget]) -> CheckResult:
    """Check that bills and open grants do not exceed the top-ups of any budget."""
    overspent = [name for name, budget in budgets.items() if budget.available < 0]
    billed = sum(budget.total_billed for budget in budgets.values())
    topped_up = sum(budget.topped_up for budget in budgets.values())
    details = (
        f"{billed} tokens billed of {topped_up} prepaid; over: {overspent or 'none'}"
    )
    return CheckResult("no workspace spends past its budget", not overspent, details)


def check_billed_once(
    requests: list[RequestRecord], budgets: dict[str, Budget], engines: list[Process]
) -> CheckResult:
    """Check that each answered request has one bill, for tokens an engine used.

    The amount is compared only for requests that one of the engines has executed.
    """
    used = engine_token_usage(engines)
    bills = bills_by_request(budgets)
    wrong: list[str] = []
    succeeded = [each for each in requests if each.succeeded]
    for each in succeeded:
        request_id = each.result.request_id
        found = bills.get(request_id, [])
        real = used.get(request_id)
        if len(found) != 1 or (real is not None and found[0] not in real):
            wrong.append(f"{request_id}: billed {found}, used {real}")
    details = f"{len(succeeded)} answered; wrong: {wrong[:3] or 'none'}"
    return CheckResult("each request is billed exactly once", not wrong, details)


def engine_token_usage(engines: list[Process]) -> dict[str, set[int]]:
    """Return the tokens of each executed call, by request id.

    A request that was executed more than once can have several amounts.
    """
    used: dict[str, set[int]] = {}
    for engine in engines:
        for run in fetch_counts(engine)["runs"]:
            tokens = run["prompt_tokens"] + run["completion_tokens"]
            used.setdefault(run["request_id"], set()).add(tokens)
    return used


def check_response_texts(requests: list[RequestRecord]) -> CheckResult:
    """Check that each complete response has the text expected for its prompt."""
    wrong = [
        each.result.request_id
        for each in requests
        if each.succeeded
        and each.expected is not None
        and each.result.text != each.expected
    ]
    checked = sum(
        1 for each in requests if each.succeeded and each.expected is not None
    )
    details = f"{checked} texts compared; wrong: {wrong[:3] or 'none'}"
    return CheckResult(
        "callers get the whole answer to their own request", not wrong, details
    )


def check_refusals_not_executed(
    requests: list[RequestRecord], servers: list[Process]
) -> CheckResult:
    """Check that no server executed a request refused with `ran: no`.

    Requests with an idempotency key are left out.
    """
    ran = executed_request_ids(servers)
    refusals = [
        each
        for each in requests
        if each.key is None and not each.succeeded and each.result.ran == "no"
    ]
    false_refusals = [
        each.result.request_id for each in refusals if each.result.request_id in ran
    ]
    details = f"{len(refusals)} refusals; executed: {false_refusals[:3] or 'none'}"
    return CheckResult(
        "what was refused as not run was not run", not false_refusals, details
    )


def executed_request_ids(servers: list[Process]) -> set[str]:
    """Return the ids of the requests that servers executed."""
    found: set[str] = set()
    for server in servers:
        document = fetch_counts(server)
        found.update(run["request_id"] for run in document.get("runs", []))
    return found


def check_at_most_once(services: list[Process]) -> CheckResult:
    """Check that services executed no idempotency key more than once."""
    ran: Counter[str] = Counter()
    for service in services:
        ran.update(fetch_counts(service)["ran"])
    twice = [key for key, times in ran.items() if times > 1]
    details = f"{len(ran)} keys executed; more than once: {twice[:3] or 'none'}"
    return CheckResult("non-idempotent calls run at most once", not twice, details)


def count_refusals_by_reason(requests: list[RequestRecord]) -> Counter[str]:
    """Count the requests that were not answered, by error type and `ran`."""
    return Counter(
        f"{each.result.error_type or 'cut off'} (ran: {each.result.ran or 'unknown'})"
        for each in requests
        if not each.succeeded
    )
