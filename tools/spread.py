"""Measures the propagation of tables to many routers and the control overhead.

`python -m tools.spread tables --routers 60` applies edits, restarts a tenth of
the routers and takes the key-value service down right after each edit; `python -m
tools.spread idle` measures processor time, memory and control traffic of routers
without load.
"""

from __future__ import annotations

import random
import re
import time
from datetime import datetime

import fire
import urllib3
import yaml

from tools.cluster import Cluster, Process, wait_until
from tools.load import cpu_seconds

# Settings that let many routers run on one machine.
SMALL_SETTINGS = {
    "limits": {"max_requests": 4},
    "drain": {"notice_s": 0.0, "limit_s": 5.0},
}
# Pause between two edits, and outage of the key-value service after each.
EDIT_PAUSE_S = 3.0
OUTAGE_S = 2.0
# Time for the routers to discover each other before a measurement.
DISCOVERY_WAIT_S = 5.0
STARTED_PATTERN = re.compile(r"timestamp=(\S+) .*event=router_started")
ADOPTED_PATTERN = re.compile(r"timestamp=(\S+) .*event=tables_adopted .*revision=(\d+)")


def tables(revision: int, edit: int) -> bytes:
    """Return tables as YAML that differ for each edit.

    Args:
        revision: Revision that the edit is based on.
        edit: Number of the edit, which changes a token limit.
    """
    servers = [{"name": f"s{n}", "url": "http://127.0.0.1:9"} for n in range(12)]
    pool = {"name": "engines", "kind": "engine", "model": "m", "servers": servers}
    route = {"name": "all", "workspaces": ["*"], "purposes": ["*"], "pool": "engines"}
    pool["max_tokens"] = 1_000 + edit
    document = {"revision": revision, "routes": [route], "pools": [pool]}
    return yaml.safe_dump(document).encode()


def adoption_times(cluster: Cluster, revision: int) -> dict[str, float]:
    """Return the wall-clock time at which each router adopted a minimum revision.

    Routers that have not adopted it are left out. The times come from the logs.
    """
    found: dict[str, float] = {}
    for name in cluster.plans:
        for at, number in ADOPTED_PATTERN.findall(cluster.read_log(name)):
            if int(number) >= revision and name not in found:
                stamp = datetime.fromisoformat(at.replace("Z", "+00:00"))
                found[name] = stamp.timestamp()
    return found


def last_start_time(log: str) -> float:
    """Return the wall-clock time of the last start in a router's log."""
    stamp = datetime.fromisoformat(
        STARTED_PATTERN.findall(log)[-1].replace("Z", "+00:00")
    )
    return stamp.timestamp()


def read_metric_sum(process: Process, name: str) -> float:
    """Return the sum of the samples whose names begin with `name`."""
    text = urllib3.request("GET", process.url + "/metrics", timeout=5.0).data.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def memory_mb(process: Process) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{process.popen.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def start_cluster(cluster: Cluster, routers: int) -> list[Process]:
    """Start routers, wait until all of them have tables, and return them."""
    cluster.plan_routers(routers, ("a", "b", "c", "d", "e", "f"))
    cluster.start_routers()
    cluster.operator().post("tables", tables(0, 0), edit_id="first")
    cluster.wait_ready()
    time.sleep(DISCOVERY_WAIT_S)
    return [cluster.processes[name] for name in cluster.plans]


class PropagationCommands:
    """Commands that measure the control plane of many routers on this machine."""

    def tables(
        self, routers: int = 8, edits: int = 5, faults: bool = True, seed: int = 1
    ) -> None:
        """Measure the time from the acceptance of an edit to its adoption.

        Args:
            routers: Number of routers.
            edits: Number of edits.
            faults: Restart a tenth of the routers and stop the key-value service
                right after each edit.
            seed: Seed of the choice of routers that restart.
        """
        draw = random.Random(seed)
        times: list[float] = []
        restarted_times: list[float] = []
        with Cluster((), SMALL_SETTINGS) as cluster:
            start_cluster(cluster, routers)
            for edit in range(1, edits + 1):
                restarted = self.edit(cluster, edit, draw, faults)
                accepted = self.accepted_at
                for name, at in adoption_times(cluster, edit + 1).items():
                    if name not in restarted:
                        times.append(at - accepted)
                        continue
                    # Before its start a router cannot learn of the edit from others.
                    began = max(accepted, last_start_time(cluster.read_log(name)))
                    restarted_times.append(at - began)
        self.line(routers, "running", times)
        self.line(routers, "restarted", restarted_times)

    def edit(
        self, cluster: Cluster, edit: int, draw: random.Random, faults: bool
    ) -> set[str]:
        """Apply one edit with its faults and wait until every router adopted it.

        Sets `accepted_at` to the wall-clock time at which the edit was accepted.

        Args:
            cluster: Cluster that is edited.
            edit: Number of the edit.
            draw: Chooses the routers that restart.
            faults: Whether to restart routers and take the key-value service down.

        Returns:
            The names of the routers that restarted.
        """
        names = sorted(cluster.plans)
        restarted = set(draw.sample(names, max(1, len(names) // 10)) if faults else ())
        for name in restarted:
            cluster.processes[name].kill()
        operator = cluster.operator()
        operator.post("tables", tables(edit, edit), edit_id=f"edit-{edit}")
        self.accepted_at = time.time()
        if faults:
            cluster.set_key_value_faults(down=True)
        for name in restarted:
            cluster.start_router(name)
        wait_until(
            lambda: len(adoption_times(cluster, edit + 1)) == len(names),
            timeout=60.0,
            description=f"all routers to adopt edit {edit}",
        )
        time.sleep(OUTAGE_S)
        cluster.set_key_value_faults(down=False)
        time.sleep(EDIT_PAUSE_S)
        return restarted

    def line(self, routers: int, which: str, times: list[float]) -> None:
        """Print the percentiles of one group of adoption times."""
        if not times:
            return
        ordered = sorted(times)
        middle = ordered[len(ordered) // 2]
        print(
            f"{routers:>4} routers, {which:<9} {len(times):>4} adoptions:"
            f" p50 {middle:6.3f} s, max {ordered[-1]:6.3f} s"
        )

    def idle(self, counts: tuple[int, ...] = (2, 8, 24), seconds: float = 10.0) -> None:
        """Measure routers without load at several fleet sizes.

        Args:
            counts: Numbers of routers.
            seconds: Length of each measurement.
        """
        print("routers  cpu %  memory MB  peer bytes/s  store calls/s (fleet)")
        for count in counts:
            with Cluster((), SMALL_SETTINGS) as cluster:
                routers = start_cluster(cluster, count)
                self.idle_line(cluster, routers, seconds)

    def idle_line(
        self, cluster: Cluster, routers: list[Process], seconds: float
    ) -> None:
        """Measure one fleet size and print its row."""
        sent = "hawthornstage_peer_bytes_total"
        before_cpu = [cpu_seconds(router) for router in routers]
        before_bytes = [read_metric_sum(router, sent) for router in routers]
        before_calls = self.store_calls(cluster)
        time.sleep(seconds)
        used = [cpu_seconds(r) - b for r, b in zip(routers, before_cpu, strict=True)]
        calls = self.store_calls(cluster) - before_calls
        moved = [
            read_metric_sum(r, sent) - b
            for r, b in zip(routers, before_bytes, strict=True)
        ]
        count = len(routers)
        print(
            f"{count:>7}  {100 * sum(used) / count / seconds:>5.2f}"
            f"  {sum(map(memory_mb, routers)) / count:>9.1f}"
            f"  {sum(moved) / count / seconds:>12.0f}  {calls / seconds:>13.1f}",
            flush=True,
        )

    def store_calls(self, cluster: Cluster) -> int:
        """Return the number of calls that the key-value service has received."""
        assert cluster.key_value is not None
        url = cluster.key_value.url + "/standin/counts"
        return sum(urllib3.request("GET", url, timeout=5.0).json()["calls"].values())


if __name__ == "__main__":
    fire.Fire(PropagationCommands)
