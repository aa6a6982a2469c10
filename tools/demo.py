"""`make demo`: both users' main jobs, end to end, while a router is killed.

For each user the stand-ins and three routers are started as separate processes.
Callers send that user's requests; one router is killed, one backend server is
drained, the tables change, and one router shuts down gracefully under load. The
report is computed from the counters of the stand-ins.
"""

from __future__ import annotations

import random
import sys
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from tools import audit
from tools.audit import CheckResult, RequestRecord
from tools.caller import Caller, CallResult, expected_text
from tools.cluster import ROOT, Cluster, Process, fetch_counts, post, wait_until

# Load before the router is killed, and load after the drain limit.
LOAD_PHASE_S = 3.0
# Concurrent callers, and the pause of each between two requests.
CALLERS = 8
REQUEST_PAUSE_S = 0.05
# Attempts of one request, over all routers.
MAX_ATTEMPTS = 5
# A draining server must get no new calls after this time.
DRAIN_LIMIT_S = 3.0
# All live routers must have adopted a table change within this time.
PROPAGATION_LIMIT_S = 3.0


@dataclass(frozen=True)
class Job:
    """One kind of request that a user's callers send.

    Args:
        name: Name in the report.
        workspace: Workspace that sends it.
        purpose: Purpose that routes match.
        non_idempotent: Whether it must not be executed twice.
        chat: Whether it is a chat completion.
    """

    name: str
    workspace: str
    purpose: str
    non_idempotent: bool = False
    chat: bool = False


@dataclass(frozen=True)
class User:
    """A user's example configuration and load.

    Args:
        name: Name in the report.
        tables: File with the example tables.
        jobs: Kinds of request that the callers send.
        budgets: Tokens prepaid by each workspace.
        domains: Failure domains of the routers.
    """

    name: str
    tables: Path
    jobs: tuple[Job, ...]
    budgets: dict[str, int]
    domains: tuple[str, ...]


NORDSPYD = User(
    "Nordspyd Franchise A/S",
    ROOT / "examples/nordspyd/tables.yaml",
    (
        Job("drafts", "shop-aarhus", "draft", chat=True),
        Job("counter questions", "shop-odense", "counter", chat=True),
        Job("order reads", "shop-aalborg", "orders"),
        Job("refunds", "shop-aarhus", "refunds", non_idempotent=True),
    ),
    {"shop-aarhus": 60_000, "shop-odense": 4_000, "shop-aalborg": 20_000},
    ("dk-a", "dk-b", "dk-c"),
)
TYWI = User(
    "Cyngor Dŵr a Signal Dyffryn Tywi",
    ROOT / "examples/tywi/tables.yaml",
    (
        Job("coverage queries", "desk", "coverage", chat=True),
        Job("survey summaries", "survey-crews", "survey", chat=True),
        Job("dead-spot reports", "desk", "tickets", non_idempotent=True),
        Job("map reads", "planners", "maps"),
    ),
    {"desk": 60_000, "survey-crews": 6_000, "planners": 20_000},
    ("cy-a", "cy-b", "cy-c"),
)


@dataclass
class LoadGenerator:
    """Sends a user's requests from several callers until `stop` is set.

    Args:
        user: User whose jobs are sent.
        cluster: Cluster whose routers are called.
        seed: Determines the order of jobs, prompts and routers of each caller.
        requests: Records of the requests sent.
        stop: Ends the callers when set.
    """

    user: User
    cluster: Cluster
    seed: int
    requests: list[RequestRecord] = field(default_factory=list)
    stop: threading.Event = field(default_factory=threading.Event)

    def run(self, number: int) -> None:
        """Send the requests of one caller one after the other.

        Args:
            number: Number of the caller, part of its seed.
        """
        rng = random.Random(self.seed * 1000 + number)
        callers = {w: Caller(w) for w in self.user.budgets}
        while not self.stop.wait(REQUEST_PAUSE_S):
            job = rng.choice(self.user.jobs)
            self.requests.append(self.send_request(job, callers[job.workspace], rng))

    def send_request(
        self, job: Job, caller: Caller, rng: random.Random
    ) -> RequestRecord:
        """Send one request, with further attempts while the response is incomplete.

        An exhausted budget is not attempted again.
        """
        key = f"{job.name}-{uuid.uuid4().hex}"
        prompt = f"{job.name} number {rng.randrange(10**6)} tokens={rng.randint(5, 40)}"
        expected = expected_text(prompt) if job.chat else None
        attempts: list[CallResult] = []
        for _ in range(MAX_ATTEMPTS):
            attempts.append(self.send_attempt(job, caller, rng, key, prompt))
            if attempts[-1].complete or attempts[-1].error_type == "budget_exhausted":
                break
        return RequestRecord(
            job.name, job.workspace, attempts[-1], expected, key, attempts
        )

    def send_attempt(
        self, job: Job, caller: Caller, rng: random.Random, key: str, prompt: str
    ) -> CallResult:
        """Send one attempt to a random running router, as a load balancer would."""
        router = rng.choice(self.routers())
        if job.chat:
            return caller.chat(router, prompt, purpose=job.purpose, key=key)
        if job.non_idempotent:
            return caller.service(
                router, job.purpose, method="POST", body=prompt.encode(), key=key
            )
        return caller.service(router, job.purpose, path="12", key=key)

    def routers(self) -> list[str]:
        """Return the URLs of the routers whose processes are running."""
        running = [
            self.cluster.processes[name]
            for name in self.cluster.plans
            if self.cluster.processes[name].popen.poll() is None
        ]
        return [process.url for process in running]


def start_servers(cluster: Cluster, tables: dict[str, Any]) -> dict[str, list[Process]]:
    """Start a stand-in for each server in the tables and insert its URL there.

    Returns:
        The stand-ins by the kind of their pool.
    """
    started: dict[str, list[Process]] = {"engine": [], "service": []}
    for pool in tables["pools"]:
        for server in pool["servers"]:
            options = ["--name", server["name"]]
            if pool["kind"] == "engine":
                speed = 300.0 * server.get("speed", 1.0)
                options += ["--tokens-per-s", str(speed)]
            process = cluster.add_stand_in(server["name"], pool["kind"], *options)
            server["url"] = process.url
            started[pool["kind"]].append(process)
    return started


def run_demo(user: User, seed: int) -> bool:
    """Run one user's demonstration and return whether every check passed."""
    tables = yaml.safe_load(user.tables.read_text(encoding="utf-8"))
    with Cluster(tuple(user.budgets), {"drain": {"notice_s": 0.5}}) as cluster:
        servers = start_servers(cluster, tables)
        cluster.plan_routers(3, user.domains)
        cluster.start_routers()
        operator = cluster.operator()
        operator.post("tables", yaml.safe_dump(tables).encode(), edit_id="first")
        for name, tokens in user.budgets.items():
            body = f'{{"id": "invoice-1", "tokens": {tokens}}}'.encode()
            operator.post(f"budgets/{name}/top-up", body)
        cluster.wait_ready()
        load = LoadGenerator(user, cluster, seed)
        with ThreadPoolExecutor(CALLERS) as pool:
            for number in range(CALLERS):
                pool.submit(load.run, number)
            checks = inject_faults(cluster, servers, tables)
            load.stop.set()
        wait_bills_stored(cluster, load.requests)
        checks += run_audit(cluster, servers, load.requests)
        report(user, cluster, load.requests, checks)
    return all(check.passed for check in checks)


def inject_faults(
    cluster: Cluster, servers: dict[str, list[Process]], tables: dict[str, Any]
) -> list[CheckResult]:
    """Kill a router, drain a server, change the tables and stop a router."""
    time.sleep(LOAD_PHASE_S)
    cluster.processes["r2"].kill()
    assert cluster.hosts is not None
    leaving = servers["engine"][-1]
    post(
        cluster.hosts.url + "/standin/hosts", {"name": leaving.name, "state": "leaving"}
    )
    changed = change_tables(cluster, tables)
    time.sleep(DRAIN_LIMIT_S)
    before = len(fetch_counts(leaving)["runs"])
    time.sleep(LOAD_PHASE_S)
    after = len(fetch_counts(leaving)["runs"])
    left = CheckResult(
        "a leaving server gets nothing new after a few seconds",
        after == before,
        f"{after - before} calls later than {DRAIN_LIMIT_S} s after the drain began",
    )
    stopped = stop_gracefully(cluster)
    return [changed, left, stopped]


def change_tables(cluster: Cluster, tables: dict[str, Any]) -> CheckResult:
    """Change the tables and measure the time until every live router uses them."""
    tables["revision"] = 1
    tables["pools"][0]["max_tokens"] += 1
    operator = cluster.operator()
    started = time.monotonic()
    body = yaml.safe_dump(tables).encode()
    revision = operator.post("tables", body, edit_id="second")["revision"]

    def adopted_by_all_routers() -> bool:
        answers = operator.get_all("status").values()
        known = [each for each in answers if isinstance(each, dict)]
        return all(each["revision"] >= revision for each in known)

    wait_until(
        adopted_by_all_routers,
        description=f"every live router to adopt revision {revision}",
    )
    seconds = time.monotonic() - started
    return CheckResult(
        "a table change is in force everywhere within seconds",
        seconds <= PROPAGATION_LIMIT_S,
        f"revision {revision} on all live routers after {seconds:.2f} s",
    )


def stop_gracefully(cluster: Cluster) -> CheckResult:
    """Stop a router while it serves streams and check that all of them finish."""
    process = cluster.processes["r3"]
    caller = Caller(cluster.workspaces[0])
    prompt = "a long answer tokens=64"
    answers: list[CallResult] = []

    def ask() -> None:
        answers.append(caller.chat(process.url, prompt))

    threads = [threading.Thread(target=ask) for _ in range(8)]
    start_threads(threads)
    time.sleep(0.1)
    code = process.terminate()
    for thread in threads:
        thread.join()
    cut = [a for a in answers if not a.complete and a.ran != "no"]
    return CheckResult(
        "a graceful shutdown cuts off no request",
        code == 0 and not cut and len(answers) == len(threads),
        f"{sum(a.complete for a in answers)} streams finished, {len(cut)} cut",
    )


def start_threads(threads: list[threading.Thread]) -> None:
    """Start all threads."""
    for thread in threads:
        thread.start()


def wait_bills_stored(cluster: Cluster, requests: list[RequestRecord]) -> None:
    """Wait until the ledger has a bill for each answered request.

    A timeout is only printed; the audit then reports the missing bills.
    """

    def stored() -> bool:
        bills = audit.bills_by_request(audit.read_budgets(cluster))
        return all(
            each.result.request_id in bills for each in requests if each.succeeded
        )

    try:
        wait_until(
            stored, timeout=15.0, description="a stored bill for every answered request"
        )
    except TimeoutError as error:
        print(error)


def run_audit(
    cluster: Cluster, servers: dict[str, list[Process]], requests: list[RequestRecord]
) -> list[CheckResult]:
    """Check the guarantees that concern the whole run."""
    budgets = audit.read_budgets(cluster)
    return [
        audit.check_no_overspend(budgets),
        audit.check_billed_once(requests, budgets, servers["engine"]),
        audit.check_response_texts(requests),
        audit.check_refusals_not_executed(requests, servers["engine"]),
        audit.check_at_most_once(servers["service"]),
    ]


def report(
    user: User,
    cluster: Cluster,
    requests: list[RequestRecord],
    checks: list[CheckResult],
) -> None:
    """Print the requests, refusals, budgets and checks of a run."""
    print(f"\n{user.name}: {len(requests)} requests, one router killed in the middle")
    for job in user.jobs:
        job_requests = [each for each in requests if each.category == job.name]
        succeeded = sum(each.succeeded for each in job_requests)
        print(f"  {job.name:<20} {succeeded:>4} answered of {len(job_requests)}")
    for reason, number in audit.count_refusals_by_reason(requests).most_common():
        print(f"  not answered: {number} x {reason}")
    for name, budget in sorted(audit.read_budgets(cluster).items()):
        print(f"  {name:<20} billed {budget.total_billed} of {budget.topped_up} tokens")
    for check in checks:
        mark = "held  " if check.passed else "BROKEN"
        print(f"  {mark} {check.guarantee}: {check.details}")


def main(run: Callable[[User, int], bool] = run_demo) -> None:
    """Run both demonstrations and exit with 1 if a check failed."""
    passed = [run(user, seed) for seed, user in enumerate((NORDSPYD, TYWI), 1)]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
