"""Starts routers as the platform does, and runs one case."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from kit.http import Answer, exchange
from kit.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longest duration of a case, in seconds.
CASE_LIMIT_S = 112.0
START_LIMIT_S = 25.0
FRONT, READY, CONTROL, PEERS, METRICS = 8227, 8220, 8229, (7340, 7355), 9464
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# The bounds of the settings that `fleetbench wire` prints.
BOUNDS = {
    "stable-window-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "lost-ms": 200,
    "config-ms": 2000,
    "retry-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 56,
    "recover-s": 12,
}


class CannotRun(Exception):
    """The case could not be run."""


def route(name: str, kind: str, service: str, **options: Any) -> dict[str, Any]:
    """Return a route of the desired state, whose path prefix is its name."""
    return {
        "name": name,
        "hostname": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 15_000,
        "target-latency-ms": 600,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **options,
    }


def free_host() -> str:
    """Return a loopback address on which the ports of a router are free."""
    for _ in range(100):
        host = f"127.{random.randint(70, 120)}.{random.randint(0, 255)}"
        host += f".{random.randint(2, 250)}"
        try:
            with ExitStack() as stack:
                for port in (FRONT, READY, METRICS, *PEERS):
                    probe = stack.enter_context(socket.socket())
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        except OSError:
            continue
        return host
    raise CannotRun("no loopback address with free ports")


class Router:
    """One router process.

    Args:
        name: Its node name.
        folder: Holds its settings and its log.
        store_port: The store's port for this router.
        memory_mb: The limit of memory that its settings name.
    """

    def __init__(
        self, name: str, folder: Path, store_port: int, memory_mb: int
    ) -> None:
        self.name = name
        self.host = free_host()
        self.store_port = store_port
        self.memory_mb = memory_mb
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address that callers connect to."""
        return self.host, FRONT

    def write_settings(self) -> None:
        """Write the settings file."""
        document = {
            "node-name": self.name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"{self.host}:{FRONT}",
                "ready": f"{self.host}:{READY}",
                "control": f"{self.host}:{CONTROL}",
            },
            "port-range": list(PEERS),
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory-mb": self.memory_mb, "max-fds": 4100},
            "data-dir": None,
            "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self.store_port}",
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1_048_576,
                "ttl-min-ms": 1000,
            },
        }
        self.settings.write_text(json.dumps(document))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["HAWTHORNSTAGE_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    async def is_ready(self) -> bool:
        """Return whether its readiness check succeeds."""
        answer = await exchange(
            (self.host, READY), "GET", "/-/readiness", {"Host": "x"}, timeout_s=1.0
        )
        return answer.status == 200


class Deployment:
    """The store, routers and the record of a case.

    Args:
        folder: The case's folder.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.lines = (folder / "record.txt").open("w", buffering=1)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store()
        self.routers: list[Router] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.requests = 0
        self.record(f"trouble: {self.trouble}")

    def record(self, line: str) -> None:
        """Write a line of the record, with the time since the beginning."""
        self.lines.write(f"{time.monotonic() - self.began_at:8.3f} {line}\n")

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something in the background until the case ends."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def start_routers(self, count: int, *, memory_mb: int = 300) -> None:
        """Start further routers and wait until they are ready."""
        if not self.routers:
            self.spawn(self.store.keep_time())
        started = []
        for _ in range(count):
            port = await self.store.listen()
            folder = Path(self.temporary.name)
            name = f"edge-{len(self.routers) + 1}"
            router = Router(name, folder, port, memory_mb)
            self.routers.append(router)
            started.append(router)
            router.start()
        for router in started:
            await self.wait_ready(router)

    async def wait_ready(self, router: Router) -> None:
        """Wait until a router is ready."""
        ends_at = time.monotonic() + START_LIMIT_S
        while not await router.is_ready():
            if time.monotonic() > ends_at or not router.is_running:
                raise CannotRun(f"{router.name} does not start")
            await asyncio.sleep(0.1)
        self.record(f"{router.name} is ready")

    async def call(
        self,
        router: Router,
        target: str,
        *,
        body: bytes = b"",
        tokens: tuple[int, int] | None = None,
        headers: dict[str, str] | None = None,
        limit_s: float = 10.0,
        request_id: str | None = None,
        quiet: bool = False,
    ) -> tuple[str, Answer]:
        """Send a call to a router; return its id and the answer."""
        self.requests += 1
        request_id = request_id or f"c{self.requests}"
        sent = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Time-Budget": str(int(limit_s * 1000)),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if tokens is not None:
            sent["X-Model"] = "m"
            sent["X-Token-Counts"] = f"{tokens[0]},{tokens[1]}"
        note = (lambda line: None) if quiet else self.record
        note(f"sent {request_id} to {router.name}: POST {target}")
        answer = await exchange(
            router.front, "POST", target, sent, body, timeout_s=limit_s
        )
        note(
            f"answered {request_id}: status {answer.status},"
            f" {'complete' if answer.complete else 'not complete'} {answer.error}"
        )
        return request_id, answer

    async def wait_served(self, router: Router, target: str, **options: Any) -> None:
        """Wait until a router serves calls of a route."""
        ends_at = time.monotonic() + START_LIMIT_S
        while True:
            _, answer = await self.call(router, target, **options)
            if answer.status == 200 and answer.complete:
                return
            if time.monotonic() > ends_at:
                raise CannotRun(f"{router.name} does not serve {target}")
            await asyncio.sleep(0.2)

    async def publish(self, version: int, routes: list[Any], **fields: Any) -> None:
        """Write a desired state, as the operator does."""
        services = [
            {"name": "models", "health-path": "/health", "max-connections": 370},
            {"name": "desk", "health-path": "/health", "max-connections": 110},
        ]
        services[0]["engine"] = {"slots": 64, "stride": 1}
        state = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 4_194_304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15_000,
            },
            "tenants": [
                {"name": TENANT, "api-keys": [KEY], "priority": 1, "prepaid": 10**8}
            ],
            **fields,
        }
        await self.store.put("op/config", state)

    def close(self) -> None:
        """End all that was started."""
        for router in self.routers:
            router.end()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for task in self.tasks:
            task.cancel()


async def run_limited(
    deployment: Deployment, case: Callable[[Deployment], Awaitable[int]]
) -> int:
    """Run a case for as long as it may take."""
    async with asyncio.timeout(CASE_LIMIT_S):
        return await case(deployment)


def run_case(folder: Path, case: Callable[[Deployment], Awaitable[int]]) -> None:
    """Run a case and exit with its result."""
    deployment = Deployment(folder)
    result = NOT_RUN
    try:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda loop, context: None)
        result = loop.run_until_complete(run_limited(deployment, case))
    except (CannotRun, TimeoutError) as error:
        deployment.record(f"not run: {error!r}")
    except Exception:
        deployment.record(traceback.format_exc())
    finally:
        deployment.close()
        deployment.record(f"result: {result}")
        if os.environ.get("KEEP_LOGS"):
            for router in deployment.routers:
                target = Path(os.environ["KEEP_LOGS"]) / router.log.name
                target.write_bytes(router.log.read_bytes())
        deployment.temporary.cleanup()
    sys.stdout.flush()
    os._exit(result)
