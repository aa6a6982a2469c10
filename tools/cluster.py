"""Starts routers and stand-ins as separate processes on loopback."""

from __future__ import annotations

import hashlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3
import yaml

from hawthornstage.operator_client import OperatorClient

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_KEY = "ops.operator-secret"
OLD_SETUP_KEY = "old.old-setup-secret"
# Longest wait for a process to serve, in seconds.
STARTUP_TIMEOUT_S = 20.0
# Pause between two looks at something that is waited for, in seconds.
POLL_INTERVAL_S = 0.05


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that nobody uses now; the system chooses them."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


def unique_loopback_host() -> str:
    """Return a loopback address that no other process of this machine uses.

    Ports chosen ahead on the usual address could be taken by outgoing connections
    before the routers bind them.
    """
    number = os.getpid()
    return f"127.{64 + number % 128}.{number // 128 % 256}.{1 + number // 32768 % 254}"


def workspace_api_key(workspace: str) -> str:
    """Return the API key of a workspace in test clusters."""
    return f"{workspace}.secret-of-{workspace}"


def key_settings_entry(key: str, owner: str) -> dict[str, str]:
    """Return the settings entry for a key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {"id": key.partition(".")[0], "owner": owner, "sha256": digest}


def wait_until(
    condition: Any, *, timeout: float = STARTUP_TIMEOUT_S, description: str = "it"
) -> None:
    """Look until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{description} did not come to hold in {timeout} s")
        time.sleep(POLL_INTERVAL_S)


@dataclass
class Process:
    """A started process and where it serves."""

    name: str
    popen: subprocess.Popen
    port: int
    host: str = "127.0.0.1"

    @property
    def url(self) -> str:
        """Base address."""
        return f"http://{self.host}:{self.port}"

    def kill(self) -> None:
        """End the process without warning."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Freeze the process."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, timeout: float = 30.0) -> int:
        """Ask the process to stop, and return its exit code."""
        self.popen.terminate()
        return self.popen.wait(timeout)


def kill_all(processes: Iterable[Process]) -> None:
    """Kill processes and wait until they are gone."""
    started = list(processes)
    for process in started:
        process.popen.kill()
    for process in started:
        process.popen.wait()


def start_stand_in(name: str, module: str, *options: str) -> Process:
    """Start a stand-in and wait until it serves."""
    popen = subprocess.Popen(
        [sys.executable, "-m", f"standins.{module}", *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert popen.stdout is not None
    return Process(name, popen, int(popen.stdout.readline().split()[1]))


@dataclass
class RouterPlan:
    """Where one router of a cluster will serve."""

    name: str
    failure_domain: str
    port: int
    peer_port: int


@dataclass
class Cluster:
    """Processes on loopback; ends them all when it is left.

    Args:
        workspaces: Workspaces that have an API key.
        settings: Overrides of router settings, section by section.
    """

    workspaces: Sequence[str]
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    processes: dict[str, Process] = field(default_factory=dict)
    plans: dict[str, RouterPlan] = field(default_factory=dict)
    routes: dict[tuple[str, str], str] = field(default_factory=dict)
    host: str = field(default_factory=unique_loopback_host)
    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    key_value: Process | None = None
    hosts: Process | None = None

    def __enter__(self) -> Cluster:
        self.key_value = self.add_stand_in("key-value", "key_value")
        self.hosts = self.add_stand_in("hosts", "host_list", "--lag-s", "0.5")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        kill_all(self.processes.values())

    def add_stand_in(self, name: str, module: str, *options: str) -> Process:
        """Start a stand-in and wait until it serves."""
        self.processes[name] = start_stand_in(name, module, *options)
        return self.processes[name]

    def plan_routers(self, count: int, domains: Sequence[str]) -> None:
        """Choose names, failure domains and ports of routers."""
        ports = free_ports(self.host, 2 * count)
        for number in range(1, count + 1):
            name = f"r{number}"
            domain = domains[(number - 1) % len(domains)]
            self.plans[name] = RouterPlan(name, domain, ports.pop(), ports.pop())

    def route_peers_through_link(self, name: str) -> Process:
        """Lead a planned router's connections with the others over one link."""
        others = [plan for plan in self.plans.values() if plan.name != name]
        targets = [self.plans[name], *others]
        options = [f"--to={self.host}:{plan.peer_port}" for plan in targets]
        link = self.add_stand_in("link", "link", *options)
        ports = post(link.url + "/standin/ports", {})["ports"]
        inward, *outward = [f"ws://127.0.0.1:{port}" for port in ports]
        for plan, url in zip(others, outward, strict=True):
            self.routes[(name, plan.name)] = url
            self.routes[(plan.name, name)] = inward
        return link

    def peer_url(self, source: str, plan: RouterPlan) -> str:
        """Return the address at which one router reaches another."""
        direct = f"ws://{self.host}:{plan.peer_port}"
        return self.routes.get((source, plan.name), direct)

    def start_routers(self) -> None:
        """Start every planned router and wait until each answers."""
        for name in self.plans:
            self.start_router(name)
        for name in self.plans:
            self.wait_healthy(name)

    def start_router(self, name: str) -> Process:
        """Start one planned router."""
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.router_settings(self.plans[name])))
        command = [sys.executable, "-m", "hawthornstage.cli", "router"]
        log = open(self.directory / f"{name}.log", "ab")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        popen = subprocess.Popen(
            [*command, "--settings", str(path)],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        process = Process(name, popen, self.plans[name].port, self.host)
        self.processes[name] = process
        return process

    def wait_healthy(self, name: str) -> None:
        """Wait until a router answers."""
        process = self.processes[name]
        wait_until(
            lambda: responds_ok(process.url + "/healthz"), description=f"{name} serving"
        )

    def wait_ready(self) -> None:
        """Wait until every router has tables."""
        for name in self.plans:
            url = self.processes[name].url + "/readyz"
            wait_until(
                lambda url=url: responds_ok(url), description=f"{name} being ready"
            )

    def router_settings(self, plan: RouterPlan) -> dict[str, Any]:
        """Return one router's settings."""
        assert self.key_value is not None
        assert self.hosts is not None
        document: dict[str, dict[str, Any]] = {
            "node": {"name": plan.name, "failure_domain": plan.failure_domain},
            "listen": {"host": self.host, "port": plan.port},
            "peers": {
                "host": self.host,
                "port": plan.peer_port,
                "secrets": ["peer-secret"],
                "routers": {
                    each.name: self.peer_url(plan.name, each)
                    for each in self.plans.values()
                },
            },
            "platform": {
                "key_value_url": self.key_value.url,
                "host_list_url": self.hosts.url + "/hosts",
            },
            "keys": {
                "callers": [
                    key_settings_entry(workspace_api_key(w), w) for w in self.workspaces
                ],
                "operators": [key_settings_entry(OPERATOR_KEY, "bench")],
                "old_setup": [key_settings_entry(OLD_SETUP_KEY, "old-setup")],
            },
        }
        for section, values in self.settings.items():
            document[section] = {**document.get(section, {}), **values}
        return document

    def operator(self) -> OperatorClient:
        """Return an operator's client for all planned routers."""
        urls = tuple(f"http://{self.host}:{plan.port}" for plan in self.plans.values())
        return OperatorClient(urls, OPERATOR_KEY)

    def set_key_value_faults(self, **faults: Any) -> None:
        """Set faults of the key-value service."""
        assert self.key_value is not None
        post(self.key_value.url + "/standin/faults", faults)

    def read_log(self, name: str) -> str:
        """Return what a router has logged."""
        return (self.directory / f"{name}.log").read_text()


def responds_ok(url: str) -> bool:
    """Tell whether a GET is answered with 200."""
    try:
        return urllib3.request("GET", url, timeout=1.0, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def post(url: str, document: Any) -> Any:
    """Send JSON and return the JSON answer."""
    return urllib3.request("POST", url, json=document, timeout=5.0).json()


def fetch_counts(process: Process) -> Any:
    """Return what a stand-in counted."""
    return urllib3.request("GET", process.url + "/standin/counts", timeout=5.0).json()
