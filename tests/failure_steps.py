"""Steps that tests of failures over real processes share."""

from __future__ import annotations

import threading
from collections.abc import Callable

from tools import audit
from tools.audit import Asked
from tools.caller import Answer
from tools.cluster import (
    Cluster,
    counts,
    wait_until,
)

StartCluster = Callable[..., Cluster]
LONG = "a long answer tokens=600"


def in_background(call: Callable[[], Answer]) -> tuple[threading.Thread, list[Answer]]:
    """Start a call in a thread; its answer comes into the list."""
    answers: list[Answer] = []
    thread = threading.Thread(target=lambda: answers.append(call()))
    thread.start()
    return thread, answers


def wait_running(cluster: Cluster, runs: int = 1) -> None:
    """Wait until the first engine has begun a number of calls."""
    engine = cluster.processes["engine-1"]
    wait_until(lambda: len(counts(engine)["runs"]) >= runs, what="the call running")


def wait_stored(cluster: Cluster, asked: list[Asked]) -> None:
    """Wait until the ledger holds a bill for each answered request."""

    def stored() -> bool:
        bills = audit.bills_of(audit.read_budgets(cluster))
        return all(each.answer.request_id in bills for each in asked if each.answered)

    wait_until(stored, timeout=40.0, what="all bills being stored")


def assert_money(cluster: Cluster, asked: list[Asked]) -> None:
    """Check overspend, bills and texts."""
    wait_stored(cluster, asked)
    budgets = audit.read_budgets(cluster)
    engines = [p for name, p in cluster.processes.items() if name.startswith("engine")]
    alive = [process for process in engines if process.popen.poll() is None]
    for verdict in (
        audit.no_overspend(budgets),
        audit.billed_once(asked, budgets, alive),
        audit.whole_answers(asked),
    ):
        assert verdict.held, verdict
