"""Checks the promises against the stand-ins' own counts."""

from __future__ import annotations

import base64
from collections import Counter
from dataclasses import dataclass, field

from hawthornstage.border.documents import LEDGER_CODEC
from hawthornstage.decisions.ledger import Budget
from tools.caller import Answer
from tools.cluster import Cluster, Process, counts, post

LEDGER_PREFIX = "hawthornstage/ledger/"


@dataclass
class Asked:
    """One request as its caller saw it.

    Args:
        kind: What it was for.
        workspace: Who asked.
        answer: The last answer.
        expected: The text that a whole answer has, or None if any will do.
        key: The caller's idempotency key, or None.
        tries: All answers, the last included.
    """

    kind: str
    workspace: str
    answer: Answer
    expected: str | None = None
    key: str | None = None
    tries: list[Answer] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Whether the caller got a whole answer."""
        return self.answer.whole and 200 <= self.answer.status < 300


@dataclass(frozen=True)
class Verdict:
    """Whether a promise held, and the numbers behind it."""

    promise: str
    held: bool
    numbers: str


def read_budgets(cluster: Cluster) -> dict[str, Budget]:
    """Read the ledger out of the key-value stand-in."""
    assert cluster.key_value is not None
    stored = post(cluster.key_value.url + "/standin/faults", {})["values"]
    budgets: dict[str, Budget] = {}
    for key, value in stored.items():
        if key.startswith(LEDGER_PREFIX):
            ledger = LEDGER_CODEC.decode(base64.b64decode(value))
            budgets.update(ledger.budgets)
    return budgets


def bills_of(budgets: dict[str, Budget]) -> dict[str, list[int]]:
    """List every bill in the ledger by request id."""
    found: dict[str, list[int]] = {}
    for budget in budgets.values():
        for grant in budget.grants.values():
            for request_id, tokens in grant.bills.items():
                found.setdefault(request_id, []).append(tokens)
        for request_id, tokens in budget.recent.items():
            found.setdefault(request_id, []).append(tokens)
    return found


def no_overspend(budgets: dict[str, Budget]) -> Verdict:
    """Compare bills and open grants with the top-ups of each budget."""
    over = [name for name, budget in budgets.items() if budget.available < 0]
    billed = sum(budget.total_billed for budget in budgets.values())
    topped_up = sum(budget.topped_up for budget in budgets.values())
    numbers = f"{billed} tokens billed of {topped_up} prepaid; over: {over or 'none'}"
    return Verdict("no workspace spends past its budget", not over, numbers)


def billed_once(
    asked: list[Asked], budgets: dict[str, Budget], engines: list[Process]
) -> Verdict:
    """Compare each answered request's bill with what the engines executed."""
    used = engine_use(engines)
    bills = bills_of(budgets)
    wrong: list[str] = []
    answered = [each for each in asked if each.answered]
    for each in answered:
        request_id = each.answer.request_id
        found = bills.get(request_id, [])
        real = used.get(request_id)
        if len(found) != 1 or (real is not None and found[0] not in real):
            wrong.append(f"{request_id}: billed {found}, used {real}")
    numbers = f"{len(answered)} answered; wrong: {wrong[:3] or 'none'}"
    return Verdict("each request is billed exactly once", not wrong, numbers)


def engine_use(engines: list[Process]) -> dict[str, set[int]]:
    """Return the tokens of each executed call, by request id."""
    used: dict[str, set[int]] = {}
    for engine in engines:
        for run in counts(engine)["runs"]:
            tokens = run["prompt_tokens"] + run["completion_tokens"]
            used.setdefault(run["request_id"], set()).add(tokens)
    return used


def whole_answers(asked: list[Asked]) -> Verdict:
    """Compare each whole answer's text with what its prompt leads to."""
    wrong = [
        each.answer.request_id
        for each in asked
        if each.answered
        and each.expected is not None
        and each.answer.text != each.expected
    ]
    checked = sum(1 for each in asked if each.answered and each.expected is not None)
    numbers = f"{checked} texts compared; wrong: {wrong[:3] or 'none'}"
    return Verdict(
        "callers get the whole answer to their own request", not wrong, numbers
    )


def true_refusals(asked: list[Asked], servers: list[Process]) -> Verdict:
    """Look for requests that were said not to have run, but ran."""
    ran = executed(servers)
    refusals = [
        each
        for each in asked
        if each.key is None and not each.answered and each.answer.ran == "no"
    ]
    lies = [
        each.answer.request_id for each in refusals if each.answer.request_id in ran
    ]
    numbers = f"{len(refusals)} refusals; untrue: {lies[:3] or 'none'}"
    return Verdict("what was refused as not run was not run", not lies, numbers)


def executed(servers: list[Process]) -> set[str]:
    """Return the request ids that engines executed."""
    found: set[str] = set()
    for server in servers:
        document = counts(server)
        found.update(run["request_id"] for run in document.get("runs", []))
    return found


def at_most_once(services: list[Process]) -> Verdict:
    """Look for keys that a plain service executed more than once."""
    ran: Counter[str] = Counter()
    for service in services:
        ran.update(counts(service)["ran"])
    twice = [key for key, times in ran.items() if times > 1]
    numbers = f"{len(ran)} keys executed; more than once: {twice[:3] or 'none'}"
    return Verdict("non-idempotent calls run at most once", not twice, numbers)


def refused_by_kind(asked: list[Asked]) -> Counter[str]:
    """Count the requests that got no whole answer, by reason."""
    return Counter(
        f"{each.answer.kind or 'cut off'} (ran: {each.answer.ran or 'unknown'})"
        for each in asked
        if not each.answered
    )
