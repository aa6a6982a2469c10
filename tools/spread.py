"""Measures how tables spread over many routers, and what control costs.

`python -m tools.spread tables --routers 60` applies edits while a tenth of the
routers restart and the key-value service goes down right after each edit;
`python -m tools.spread idle` measures processor time, memory and control bytes of
routers without load.
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

# Settings that keep many routers on one machine small.
SMALL_SETTINGS = {
    "limits": {"max_requests": 4},
    "drain": {"notice_s": 0.0, "limit_s": 5.0},
}
# Pause between two edits, and the outage of the service after each, in seconds.
EDIT_PAUSE_S = 3.0
OUTAGE_S = 2.0
# Time that the routers get to find each other, in seconds.
DISCOVERY_WAIT_S = 5.0
STARTED_PATTERN = re.compile(r"timestamp=(\S+) .*event=router_started")
ADOPTED_PATTERN = re.compile(r"timestamp=(\S+) .*event=tables_adopted .*revision=(\d+)")


def tables(revision: int, edit: int) -> bytes:
    """Return tables that differ from edit to edit."""
    servers = [{"name": f"s{n}", "url": "http://127.0.0.1:9"} for n in range(12)]
    pool = {"name": "engines", "kind": "engine", "model": "m", "servers": servers}
    route = {"name": "all", "workspaces": ["*"], "purposes": ["*"], "pool": "engines"}
    pool["max_tokens"] = 1_000 + edit
    document = {"revision": revision, "routes": [route], "pools": [pool]}
    return yaml.safe_dump(document).encode()


def adoption_times(cluster: Cluster, revision: int) -> dict[str, float]:
    """Return the wall time at which each router adopted a revision or a later one."""
    found: dict[str, float] = {}
    for name in cluster.plans:
        for at, number in ADOPTED_PATTERN.findall(cluster.read_log(name)):
            if int(number) >= revision and name not in found:
                stamp = datetime.fromisoformat(at.replace("Z", "+00:00"))
                found[name] = stamp.timestamp()
    return found


def last_start_time(log: str) -> float:
    """Return the wall time at which a router last started."""
    stamp = datetime.fromisoformat(
        STARTED_PATTERN.findall(log)[-1].replace("Z", "+00:00")
    )
    return stamp.timestamp()


def read_metric_sum(process: Process, name: str) -> float:
    """Return the sum of a router's metric over its labels."""
    text = urllib3.request("GET", process.url + "/metrics", timeout=5.0).data.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def memory_mb(process: Process) -> float:
    """Return a process's resident memory in MB."""
    with open(f"/proc/{process.popen.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def start_cluster(cluster: Cluster, routers: int) -> list[Process]:
    """Start routers, and wait until all of them have tables."""
    cluster.plan_routers(routers, ("a", "b", "c", "d", "e", "f"))
    cluster.start_routers()
    cluster.operator().post("tables", tables(0, 0), edit_id="first")
    cluster.wait_ready()
    time.sleep(DISCOVERY_WAIT_S)
    return [cluster.processes[name] for name in cluster.plans]


class PropagationCommands:
    """Measures many routers on this machine."""

    def tables(
        self, routers: int = 8, edits: int = 5, faults: bool = True, seed: int = 1
    ) -> None:
        """Time edits from being accepted to being in force.

        Args:
            routers: Number of routers.
            edits: Number of edits.
            faults: Restart a tenth of the routers and stop the key-value service
                right after each edit.
            seed: Fixes which routers restart.
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
                    # A restarting router can reach others once it has started.
                    began = max(accepted, last_start_time(cluster.read_log(name)))
                    restarted_times.append(at - began)
        self.line(routers, "running", times)
        self.line(routers, "restarted", restarted_times)

    def edit(
        self, cluster: Cluster, edit: int, draw: random.Random, faults: bool
    ) -> set[str]:
        """Make one edit with its faults; return the routers that restarted."""
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
            description="the edit being in force everywhere",
        )
        time.sleep(OUTAGE_S)
        cluster.set_key_value_faults(down=False)
        time.sleep(EDIT_PAUSE_S)
        return restarted

    def line(self, routers: int, which: str, times: list[float]) -> None:
        """Print one row."""
        if not times:
            return
        ordered = sorted(times)
        middle = ordered[len(ordered) // 2]
        print(
            f"{routers:>4} routers, {which:<9} {len(times):>4} adoptions:"
            f" p50 {middle:6.3f} s, max {ordered[-1]:6.3f} s"
        )

    def idle(self, counts: tuple[int, ...] = (2, 8, 24), seconds: float = 10.0) -> None:
        """Measure routers without load at several sizes of the fleet.

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
        """Measure one size."""
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
        """Return how many calls the key-value service has had."""
        assert cluster.key_value is not None
        url = cluster.key_value.url + "/standin/counts"
        return sum(urllib3.request("GET", url, timeout=5.0).json()["calls"].values())


if __name__ == "__main__":
    fire.Fire(PropagationCommands)
