"""The command line and the settings, as operators meet them."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
import yaml

from tests.conftest import example_tables, top_up
from tools.caller import Caller
from tools.cluster import OPERATOR_KEY, ROOT, Cluster

StartCluster = Callable[..., Cluster]


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    return subprocess.run(
        [sys.executable, "-m", "hawthornstage.cli", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def operate(cluster: Cluster, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line as an operator of a cluster."""
    routers = ",".join(cluster.operator().routers)
    return run("--routers", routers, "--key", OPERATOR_KEY, *arguments)


@pytest.fixture
def tables_file(tmp_path: Path) -> Callable[..., str]:
    """Return a function that writes changed tables of a cluster to a file."""

    def write(cluster: Cluster, revision: int, name: str) -> str:
        processes = cluster.processes
        document = example_tables([processes["engine-1"]], [processes["service-1"]])
        document["revision"] = revision
        document["routes"][0]["name"] = name
        path = tmp_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        return str(path)

    return write


def test_raced_edits_leave_one_in_force(
    start_cluster: StartCluster, tables_file: Callable[..., str]
) -> None:
    cluster = start_cluster()
    first = tables_file(cluster, 1, "first-wins")
    second = tables_file(cluster, 1, "second-loses")
    won = operate(
        cluster, "tables", "apply", first, "--reason", "trial", "--wait", "20"
    )
    assert (won.returncode, "in force on 3 of 3" in won.stdout) == (0, True)
    lost = operate(cluster, "tables", "apply", second)
    assert lost.returncode == 4
    assert "-- name: first-wins" in lost.stdout.replace("-  name", "-- name") or (
        "first-wins" in lost.stdout and "second-loses" in lost.stdout
    )
    shown = operate(cluster, "tables", "show", "--json")
    assert json.loads(shown.stdout)["routes"][0]["name"] == "first-wins"
    history = operate(cluster, "tables", "history").stdout
    assert "trial" in history
    assert "bench" in history


def test_a_request_is_explained(start_cluster: StartCluster) -> None:
    cluster = start_cluster()
    top_up(cluster, "shop-a", 1_000)
    answer = Caller("shop-a").chat(cluster.processes["r2"].url, "why")
    explained = operate(cluster, "explain", answer.request_id, "--json")
    found = json.loads(explained.stdout)
    assert found["outcome"] == "answered"
    assert found["pool"] == "engines"
    assert found["servers"] == ["engine-1"]
    assert "tokens under r" in found["bill"]
    lines = operate(cluster, "timeline", "--request", answer.request_id).stdout
    names = [line.split()[2] for line in lines.splitlines()]
    assert names.index("reserved") < names.index("dispatched") < names.index("billed")
    assert operate(cluster, "explain", "nobody").returncode == 1


def test_budgets_and_status_are_shown(start_cluster: StartCluster) -> None:
    cluster = start_cluster()
    for repeated in (False, True):
        done = operate(
            cluster, "budget", "top-up", "shop-b", "700", "--id", "7", "--json"
        )
        assert json.loads(done.stdout) == {"topped_up": 700, "repeated": repeated}
    assert "shop-b" in operate(cluster, "budget", "show").stdout
    assert operate(cluster, "status").returncode == 0
    cluster.processes["r3"].kill()
    assert operate(cluster, "status").returncode == 3
    wrong = run("--routers", cluster.processes["r1"].url, "--key", "x.y", "status")
    assert wrong.returncode == 3


def test_a_callers_key_does_not_work_for_operators(start_cluster: StartCluster) -> None:
    cluster = start_cluster(routers=1)
    url = cluster.processes["r1"].url
    refused = run(
        "--routers", url, "--key", "shop-a.secret-of-shop-a", "budget", "show"
    )
    assert (refused.returncode, "operator's key" in refused.stderr) == (1, True)


def test_wrong_settings_are_named_by_path(tmp_path: Path) -> None:
    path = tmp_path / "router.yaml"
    path.write_text("node: {name: r1}\nlisten: {port: 99999}\ncolour: red\n")
    done = run("router", "--settings", str(path))
    assert done.returncode == 2
    for fault in ("node.failure_domain", "listen.port", "peers", "platform", "colour"):
        assert f"settings: {fault}:" in done.stderr


@pytest.mark.parametrize("user", ["nordspyd", "tywi"])
def test_example_tables_are_acceptable(user: str) -> None:
    path = ROOT / "examples" / user / "tables.yaml"
    assert run("tables", "check", str(path)).returncode == 0


def test_faulty_tables_are_refused_with_every_reason(tmp_path: Path) -> None:
    everyone = {"workspaces": ["*"], "purposes": ["*"]}
    engines = {"name": "engines", "kind": "engine", "model": "m", "servers": []}
    document = {
        "routes": [
            {"name": "all", "pool": "engines", **everyone},
            {"name": "all", "pool": "nowhere", **everyone},
        ],
        "pools": [engines],
    }
    path = tmp_path / "tables.yaml"
    path.write_text(yaml.safe_dump(document))
    done = run("tables", "check", str(path))
    assert done.returncode == 2
    for reason in (
        "routes[1].pool: expected the name of a pool",
        "routes[1]: expected a route that 'all' above does not cover",
        "each name once, but 'all' stands 2 times",
        "pools[0].servers: expected at least one server",
    ):
        assert reason in done.stderr
