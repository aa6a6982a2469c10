"""Backend servers that die, leave, crash or are left by callers."""

from __future__ import annotations

import json
import time
from http.client import HTTPConnection
from urllib.parse import urlsplit

from standins.engine import CRASH_MARK
from tests.conftest import top_up
from tests.failure_steps import (
    LONG,
    StartCluster,
    assert_money,
    in_background,
    wait_running,
)
from tools import audit
from tools.audit import RequestRecord
from tools.caller import Caller, expected_text
from tools.cluster import (
    Cluster,
    Process,
    fetch_counts,
    post,
    wait_until,
)


def test_stream_cut_by_an_engines_death_is_said_and_not_billed(
    start_cluster: StartCluster,
) -> None:
    cluster = start_cluster()
    top_up(cluster, "shop-a", 5_000)
    caller, router = Caller("shop-a"), cluster.processes["r1"].url
    thread, answers = in_background(lambda: caller.chat(router, LONG, max_tokens=700))
    wait_running(cluster)
    time.sleep(0.2)
    cluster.processes["engine-1"].kill()
    thread.join()
    assert (answers[0].complete, answers[0].error_type) == (False, "stream_cut")
    bills = audit.bills_by_request(audit.read_budgets(cluster))
    assert answers[0].request_id not in bills


def test_call_goes_elsewhere_if_an_engine_cannot_be_reached(
    start_cluster: StartCluster,
) -> None:
    cluster = start_cluster(engines=2)
    top_up(cluster, "shop-a", 50_000)
    cluster.processes["engine-1"].kill()
    caller, router = Caller("shop-a"), cluster.processes["r1"].url
    asked = [
        RequestRecord(
            "chat", "shop-a", caller.chat(router, f"q {n}"), expected_text(f"q {n}")
        )
        for n in range(6)
    ]
    assert all(each.succeeded for each in asked), [each.result for each in asked]
    assert_money(cluster, asked)


def test_caller_gone_cancels_the_engine(start_cluster: StartCluster) -> None:
    cluster = start_cluster()
    top_up(cluster, "shop-a", 5_000)
    caller, router = Caller("shop-a"), cluster.processes["r1"].url
    connection = HTTPConnection(urlsplit(router).netloc, timeout=30)
    body = {
        "messages": [{"role": "user", "content": LONG}],
        "max_tokens": 700,
        "stream": True,
    }
    headers = {"X-Purpose": "chat", "Content-Type": "application/json"}
    connection.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body),
        {**headers, **caller.headers(None)},
    )
    # The caller leaves once the engine has begun, however long that takes.
    wait_running(cluster)
    connection.close()
    engine = cluster.processes["engine-1"]
    load = engine.url + "/load"
    wait_until(
        lambda: post(load, {})["running"] == 0, description="the engine being free"
    )
    [run] = fetch_counts(engine)["runs"]
    assert not run["complete"]


def test_leaving_server_gets_nothing_new(start_cluster: StartCluster) -> None:
    cluster = start_cluster(engines=2)
    top_up(cluster, "shop-a", 50_000)
    assert cluster.hosts is not None
    change = {"name": "engine-2", "state": "leaving"}
    post(cluster.hosts.url + "/standin/hosts", change)

    def known() -> bool:
        return all(
            "server=engine-2 leaving=true" in cluster.read_log(r) for r in cluster.plans
        )

    wait_until(known, description="every router knowing")
    before = len(fetch_counts(cluster.processes["engine-2"])["runs"])
    caller = Caller("shop-a")
    for name in cluster.plans:
        for number in range(4):
            assert caller.chat(cluster.processes[name].url, f"q {number}").complete
    assert len(fetch_counts(cluster.processes["engine-2"])["runs"]) == before


def test_request_that_crashes_servers_costs_two_at_most(
    start_cluster: StartCluster,
) -> None:
    cluster = start_cluster(engines=5)
    top_up(cluster, "shop-a", 500_000)
    caller = Caller("shop-a")
    routers = [cluster.processes[name].url for name in cluster.plans]
    innocent = "an innocent question tokens=100"
    bystanders = [
        in_background(lambda url=url: caller.chat(url, innocent, max_tokens=200))
        for url in routers * 4
    ]
    wait_until(
        lambda: sum(len(fetch_counts(p)["runs"]) for p in engines_of(cluster)) >= 8,
        description="the innocent requests running",
    )
    last = [caller.chat(url, f"please {CRASH_MARK}") for url in routers * 3][-1]
    assert last.error_type == "crashes_servers"
    assert len(engines_of(cluster)) >= 3
    for thread, _ in bystanders:
        thread.join()
    for url in routers:
        again = caller.chat(url, innocent, max_tokens=200, timeout=30.0)
        assert again.text == expected_text(innocent, 200), again


def engines_of(cluster: Cluster) -> list[Process]:
    """Return the engines that still run."""
    return [
        process
        for name, process in cluster.processes.items()
        if name.startswith("engine") and process.popen.poll() is None
    ]
