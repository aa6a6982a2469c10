"""Load generator for routers, with direct calls to the engine as the baseline.

`python -m tools.load streams` measures the time that a router adds to the first
token and between tokens, at several numbers of open streams; `python -m
tools.load requests` measures the throughput of short calls and the processor time
per call.
"""

from __future__ import annotations

import random
import resource
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import fire
import yaml
from hdrh.histogram import HdrHistogram

from tools.caller import Caller, CallResult
from tools.cluster import Cluster, Process

# Largest time that the histograms can record, and their resolution.
MAX_RECORDED_US = 120_000_000
SIGNIFICANT_DIGITS = 3
WORKSPACE = "load"


@dataclass
class Recorder:
    """Results of one run; thread-safe.

    Args:
        first_token: Histogram of times to the first token, in microseconds.
        token_gaps: Histogram of times between tokens, in microseconds.
        answered: Number of complete responses.
        failed: Error type, or else HTTP status, of each failed call.
        lock: Guards the other fields.
    """

    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    )
    token_gaps: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    )
    answered: int = 0
    failed: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, result: CallResult) -> None:
        """Record the result of one call."""
        with self.lock:
            if not result.complete:
                self.failed.append(result.error_type or str(result.status))
                return
            self.answered += 1
            self.first_token.record_value(max(1, int(result.first_token_s * 1e6)))
            for gap in result.token_gaps_s:
                self.token_gaps.record_value(max(1, int(gap * 1e6)))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000


def open_loop(
    call: Callable[[int], CallResult], *, rate: float, seconds: float, seed: int
) -> Recorder:
    """Start calls at a given mean rate, independent of when earlier calls end.

    The intervals between calls are exponentially distributed.

    Args:
        call: Makes the call with a given number.
        rate: Mean rate, in calls per second.
        seconds: Time after which no call is started.
        seed: Seed of the start times.

    Returns:
        The results of all calls.
    """
    rng, recorder = random.Random(seed), Recorder()
    workers = min(400, int(rate * 30) + 8)
    with ThreadPoolExecutor(workers) as pool:
        started, start_offset_s, number = time.monotonic(), 0.0, 0
        while True:
            start_offset_s += rng.expovariate(rate)
            if start_offset_s >= seconds:
                break
            delay_s = started + start_offset_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            pool.submit(lambda n=number: recorder.record(call(n)))
            number += 1
    return recorder


def load_tables(engine: Process, service: Process) -> str:
    """Return tables as YAML, with one engine and one plain service."""
    everyone = {"workspaces": ["*"]}
    document = {
        "revision": 0,
        "routes": [
            {"name": "chat", "purposes": ["chat"], "pool": "engines", **everyone},
            {"name": "reads", "purposes": ["reads"], "pool": "services", **everyone},
        ],
        "pools": [
            {
                "name": "engines",
                "kind": "engine",
                "model": "m",
                "max_tokens": 4_000,
                "slots": 400,
                "timeout_s": 60,
                "servers": [{"name": engine.name, "url": engine.url}],
            },
            {
                "name": "services",
                "kind": "service",
                "slots": 400,
                "servers": [{"name": service.name, "url": service.url}],
            },
        ],
    }
    return yaml.safe_dump(document)


def start_cluster(cluster: Cluster, routers: int) -> tuple[Process, Process]:
    """Start an engine, a plain service and routers, and top up the budget.

    Args:
        cluster: Cluster that is filled.
        routers: Number of routers.

    Returns:
        The engine and the service.
    """
    engine = cluster.add_stand_in(
        "engine", "engine", "--slots", "280", "--tokens-per-s", "25"
    )
    service = cluster.add_stand_in("service", "service", "--delay-s", "0.0")
    cluster.plan_routers(routers, ("a", "b", "c"))
    cluster.start_routers()
    operator = cluster.operator()
    operator.post("tables", load_tables(engine, service).encode(), edit_id="load")
    body = b'{"id": "load", "tokens": 1000000000}'
    operator.post(f"budgets/{WORKSPACE}/top-up", body)
    cluster.wait_ready()
    return engine, service


def cpu_seconds(process: Process) -> float:
    """Return the processor time used by a process, in seconds.

    Assumes the usual 100 clock ticks per second in `/proc`.
    """
    with open(f"/proc/{process.popen.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / 100.0


def run_streamed_load(
    caller: Caller,
    url: str,
    router: Process,
    rate: float,
    seconds: float,
    tokens: int,
    seed: int,
) -> tuple[Recorder, float]:
    """Send streamed calls to one URL at a given mean rate.

    Args:
        caller: Sends the calls.
        url: Base URL of the router or the engine.
        router: Router whose processor time is measured.
        rate: Mean rate, in calls per second.
        seconds: Time after which no call is started.
        tokens: Tokens of each response.
        seed: Seed of the start times.

    Returns:
        The results, and the processor time used by the router, in seconds.
    """
    before = cpu_seconds(router)
    recorder = open_loop(
        lambda n: caller.chat(url, f"call {n} tokens={tokens}", max_tokens=tokens),
        rate=rate,
        seconds=seconds,
        seed=seed,
    )
    return recorder, cpu_seconds(router) - before


class LoadCommands:
    """Commands that measure latency and throughput of routers on this machine."""

    def streams(
        self,
        counts: Sequence[int] = (10, 50, 200),
        seconds: float = 20.0,
        tokens: int = 40,
        seed: int = 1,
    ) -> None:
        """Measure the latency added by one router at several numbers of open streams.

        Args:
            counts: Average numbers of concurrently open streams.
            seconds: Length of each run.
            tokens: Tokens of each response; the engine sends 25 per second.
            seed: Seed of the start times.
        """
        print(
            "streams  where    answered  first p50  p95  p99   gap p50  p95  p99 (ms)"
        )
        caller = Caller(WORKSPACE)
        with Cluster((WORKSPACE,)) as cluster:
            engine, _ = start_cluster(cluster, 3)
            router = cluster.processes["r1"]
            for count in counts:
                rate = count / (tokens / 25.0)
                for where, url in (("engine", engine.url), ("router", router.url)):
                    recorder, used = run_streamed_load(
                        caller, url, router, rate, seconds, tokens, seed
                    )
                    self.line(count, where, recorder, used)

    def line(self, count: int, where: str, recorder: Recorder, used: float) -> None:
        """Print the results of one run."""
        first_token = [
            f"{percentile_ms(recorder.first_token, p):7.1f}" for p in (50, 95, 99)
        ]
        token_gaps = [
            f"{percentile_ms(recorder.token_gaps, p):6.1f}" for p in (50, 95, 99)
        ]
        per_call = 1000 * used / max(1, recorder.answered)
        print(
            f"{count:>7}  {where:<7} {recorder.answered:>8}  {' '.join(first_token)}"
            f"  {' '.join(token_gaps)}  cpu {per_call:.1f} ms/call"
            f"  failed {len(recorder.failed)} {recorder.failed[:2]}",
            flush=True,
        )

    def rate(
        self, rate: float = 10.0, seconds: float = 20.0, tokens: int = 20, seed: int = 1
    ) -> None:
        """Measure the latency added by one router at a rate of streamed calls.

        Args:
            rate: Mean rate, in calls per second.
            seconds: Length of each run.
            tokens: Tokens of each response; the engine sends 25 per second.
            seed: Seed of the start times.
        """
        caller = Caller(WORKSPACE)
        with Cluster((WORKSPACE,)) as cluster:
            engine, _ = start_cluster(cluster, 3)
            router = cluster.processes["r1"]
            for where, url in (("engine", engine.url), ("router", router.url)):
                recorder, used = run_streamed_load(
                    caller, url, router, rate, seconds, tokens, seed
                )
                self.line(int(rate), where, recorder, used)

    def requests(
        self, callers: int = 16, seconds: float = 10.0, routers: int = 1
    ) -> None:
        """Measure the throughput of short plain-service calls through one router.

        Args:
            callers: Concurrent callers; each sends its calls one after the other.
            seconds: Length of the run.
            routers: Routers in the cluster, of which one is called.
        """
        with Cluster((WORKSPACE,)) as cluster:
            start_cluster(cluster, routers)
            router = cluster.processes["r1"]
            before = cpu_seconds(router)
            done = closed_loop(router.url, callers, seconds)
            used = cpu_seconds(router) - before
            print(
                f"{done / seconds:.0f} calls/s, {1000 * used / done:.2f} ms of"
                f" processor time a call, {callers} callers, {routers} router(s);"
                f" the load tool used"
                f" {resource.getrusage(resource.RUSAGE_SELF).ru_utime:.1f} s"
            )


def closed_loop(url: str, callers: int, seconds: float) -> int:
    """Run concurrent callers that each send their calls one after the other.

    Args:
        url: Base URL of a router.
        callers: Number of callers.
        seconds: Time after which no call is started.

    Returns:
        The number of complete responses.
    """
    caller, deadline = Caller(WORKSPACE), time.monotonic() + seconds

    def run(_: int) -> int:
        completed = 0
        while time.monotonic() < deadline:
            completed += caller.service(url, "reads", path="1").complete
        return completed

    with ThreadPoolExecutor(callers) as pool:
        return sum(pool.map(run, range(callers)))


if __name__ == "__main__":
    fire.Fire(LoadCommands)
