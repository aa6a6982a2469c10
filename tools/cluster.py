"""Starts routers and stand-ins as separate processes on loopback addresses."""

from __future__ import annotations

import hashlib
import json
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
# Default limit of `wait_until`, which also covers the start of a process.
STARTUP_TIMEOUT_S = 20.0
# Pause between two evaluations of a condition in `wait_until`.
POLL_INTERVAL_S = 0.05


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that are free now, as assigned by the kernel."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


def unique_loopback_host() -> str:
    """Return a loopback address derived from the process id.

    On 127.0.0.1 an outgoing connection could take a port between its selection by
    `free_ports` and the moment a router binds it.
    """
    number = os.getpid()
    return f"127.{64 + number % 128}.{number // 128 % 256}.{1 + number // 32768 % 254}"


def workspace_api_key(workspace: str) -> str:
    """Return the API key of a workspace in test clusters."""
    return f"{workspace}.secret-of-{workspace}"


def key_settings_entry(key: str, owner: str) -> dict[str, str]:
    """Return the settings entry of an API key, with the key's digest."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {"id": key.partition(".")[0], "owner": owner, "sha256": digest}


def wait_until(
    condition: Any, *, timeout: float = STARTUP_TIMEOUT_S, description: str = "it"
) -> None:
    """Poll a condition until it is true.

    Args:
        condition: Called without arguments; its result is tested for truth.
        timeout: Longest wait, in seconds.
        description: Names the condition in the error.

    Raises:
        TimeoutError: The condition was still false after the timeout.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"timed out after {timeout} s waiting for: {description}"
            )
        time.sleep(POLL_INTERVAL_S)


@dataclass
class Process:
    """A started process and the address it listens on."""

    name: str
    popen: subprocess.Popen
    port: int
    host: str = "127.0.0.1"

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{self.host}:{self.port}"

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self, timeout: float = 30.0) -> int:
        """Stop the process with SIGTERM.

        Args:
            timeout: Longest wait for the exit, in seconds.

        Returns:
            The exit code.

        Raises:
            subprocess.TimeoutExpired: The process still runs after the timeout.
        """
        self.popen.terminate()
        return self.popen.wait(timeout)


def kill_all(processes: Iterable[Process]) -> None:
    """Kill processes with SIGKILL and wait for their exits."""
    started = list(processes)
    for process in started:
        process.popen.kill()
    for process in started:
        process.popen.wait()


def start_stand_in(name: str, module: str, *options: str) -> Process:
    """Start a stand-in and wait until it prints its port.

    Args:
        name: Name of the process in the cluster.
        module: Module of `standins` that is run.
        options: Command-line options of the module.
    """
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
    """Name, failure domain and ports assigned to a router before it starts."""

    name: str
    failure_domain: str
    port: int
    peer_port: int


@dataclass
class Cluster:
    """Context manager that runs routers and stand-ins and kills them on exit.

    Args:
        workspaces: Workspaces that have an API key.
        settings: Overrides of router settings, by section.
        processes: Started processes by name.
        plans: Planned routers by name.
        routes: Addresses that replace a router's peer address, by source and target.
        host: Loopback address that the routers bind.
        directory: Holds the routers' settings files and logs.
        key_value: The key-value service, set on entry.
        hosts: The host list service, set on entry.
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
        """Start a stand-in as part of the cluster; see `start_stand_in`."""
        self.processes[name] = start_stand_in(name, module, *options)
        return self.processes[name]

    def plan_routers(self, count: int, domains: Sequence[str]) -> None:
        """Assign names, failure domains and ports to routers.

        Args:
            count: Number of routers.
            domains: Failure domains, assigned in turn.
        """
        ports = free_ports(self.host, 2 * count)
        for number in range(1, count + 1):
            name = f"r{number}"
            domain = domains[(number - 1) % len(domains)]
            self.plans[name] = RouterPlan(name, domain, ports.pop(), ports.pop())

    def route_peers_through_link(self, name: str) -> Process:
        """Route all peer connections of a planned router through one link stand-in."""
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
        """Return the peer URL that one router uses for another."""
        direct = f"ws://{self.host}:{plan.peer_port}"
        return self.routes.get((source, plan.name), direct)

    def start_routers(self) -> None:
        """Start every planned router and wait until each passes its health check."""
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
        """Wait until a router passes its health check."""
        process = self.processes[name]
        wait_until(
            lambda: responds_ok(process.url + "/healthz"),
            description=f"{name} to pass its health check",
        )

    def wait_ready(self) -> None:
        """Wait until every router reports ready, which requires tables."""
        for name in self.plans:
            url = self.processes[name].url + "/readyz"
            wait_until(
                lambda url=url: responds_ok(url), description=f"{name} to be ready"
            )

    def router_settings(self, plan: RouterPlan) -> dict[str, Any]:
        """Return the settings document of a planned router."""
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
        """Return an operator client that can use any planned router."""
        urls = tuple(f"http://{self.host}:{plan.port}" for plan in self.plans.values())
        return OperatorClient(urls, OPERATOR_KEY)

    def set_key_value_faults(self, **faults: Any) -> None:
        """Set the faults that the key-value service simulates."""
        assert self.key_value is not None
        post(self.key_value.url + "/standin/faults", faults)

    def read_log(self, name: str) -> str:
        """Return the text of a router's log."""
        return (self.directory / f"{name}.log").read_text()


def responds_ok(url: str) -> bool:
    """Return whether a GET request gets status 200 within a second."""
    try:
        return urllib3.request("GET", url, timeout=1.0, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def post(url: str, document: Any) -> Any:
    """POST a JSON document, escaped to ASCII, and return the decoded JSON response."""
    headers = {"Content-Type": "application/json"}
    body = json.dumps(document)
    return urllib3.request("POST", url, body=body, headers=headers, timeout=5.0).json()


def fetch_counts(process: Process) -> Any:
    """Return the counters of a stand-in."""
    return urllib3.request("GET", process.url + "/standin/counts", timeout=5.0).json()
