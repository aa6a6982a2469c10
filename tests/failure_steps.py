"""Steps that tests of failures over real processes share."""

from __future__ import annotations

import threading
from collections.abc import Callable

from tools import audit
from tools.audit import RequestRecord
from tools.caller import CallResult
from tools.cluster import (
    Cluster,
    fetch_counts,
    wait_until,
)

StartCluster = Callable[..., Cluster]
LONG = "a long answer tokens=600"


def in_background(
    call: Callable[[], CallResult],
) -> tuple[threading.Thread, list[CallResult]]:
    """Start a call in a thread; its answer comes into the list."""
    answers: list[CallResult] = []
    thread = threading.Thread(target=lambda: answers.append(call()))
    thread.start()
    return thread, answers


def wait_running(cluster: Cluster, runs: int = 1) -> None:
    """Wait until the first engine has begun a number of calls."""
    engine = cluster.processes["engine-1"]
    wait_until(
        lambda: len(fetch_counts(engine)["runs"]) >= runs,
        description="the call running",
    )


def wait_stored(cluster: Cluster, asked: list[RequestRecord]) -> None:
    """Wait until the ledger holds a bill for each answered request."""

    def stored() -> bool:
        bills = audit.bills_by_request(audit.read_budgets(cluster))
        return all(each.result.request_id in bills for each in asked if each.succeeded)

    wait_until(stored, timeout=40.0, description="all bills being stored")


def assert_money(cluster: Cluster, asked: list[RequestRecord]) -> None:
    """Check overspend, bills and texts."""
    wait_stored(cluster, asked)
    budgets = audit.read_budgets(cluster)
    engines = [p for name, p in cluster.processes.items() if name.startswith("engine")]
    alive = [process for process in engines if process.popen.poll() is None]
    for check in (
        audit.check_no_overspend(budgets),
        audit.check_billed_once(asked, budgets, alive),
        audit.check_response_texts(asked),
    ):
        assert check.passed, check
