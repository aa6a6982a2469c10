"""Starts a fleet of routers on the users' platform as processes on loopback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from tools.cluster import (
    ROOT,
    Process,
    free_ports,
    kill_all,
    post,
    start_stand_in,
    unique_loopback_host,
    wait_until,
)

# API key of the workspace in a test fleet, host of its routes and their path prefixes.
API_KEY = "key-a"
HOST = "shop.example"
STREAM_PATH, RESUMABLE_PATH, NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH = (
    "/letters/",
    "/notes/",
    "/refunds/",
    "/orders/",
)
# Timeout of one call, for connecting and for each read.
RESPONSE_TIMEOUT_S = 15.0
# Characters of a router's log that an error quotes.
LOG_TAIL = 4_000


@dataclass(frozen=True)
class FleetCallResult:
    """The outcome of one call as the caller observed it.

    Args:
        status: HTTP status code, or 0 if no response was received.
        body: Body, as far as it was received.
        complete: Whether the body was received to its end.
    """

    status: int
    body: bytes
    complete: bool


def desired_state(version: int, budget: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state with a route of each kind.

    Args:
        version: Version of the desired state.
        budget: Tokens prepaid by the workspace.
        changes: Top-level fields to add or replace.
    """

    def route(name: str, path: str, kind: str, service: str, **options: Any) -> Any:
        return {
            "name": name,
            "hostname": HOST,
            "path-prefix": path,
            "kind": kind,
            "timeout-ms": 10_000,
            "target-latency-ms": 500,
            "service": service,
            "max-attempts": 2,
            **options,
        }

    state = {
        "version": version,
        "routes": [
            route("letters", STREAM_PATH, "streaming", "models"),
            route("notes", RESUMABLE_PATH, "streaming", "models", resumable=True),
            route("refunds", NON_IDEMPOTENT_PATH, "non_idempotent", "desk"),
            route("orders", IDEMPOTENT_PATH, "idempotent", "desk"),
        ],
        "services": [
            {"name": "models", "engine": {"slots": 8, "stride": 1}},
            {"name": "desk"},
        ],
        "tenants": [{"name": "shop-a", "api-keys": [API_KEY], "prepaid": budget}],
    }
    return {**state, **changes}


class Fleet:
    """Context manager that runs the store, backend servers and routers.

    Args:
        routers: Number of routers.
        servers: Number of backend servers of each service.
        budget: Tokens prepaid by the workspace.
        versions: Versions of the servers' software, which those of a service have in
            turn.
        host_limits: Limits of each router's host, as in its settings file.
        caller_limits: Limits of callers' requests, as in the desired state.
        zones: Failure domains, which the servers of a service have in turn.
        regions: Region of each failure domain.
    """

    def __init__(
        self,
        *,
        routers: int = 2,
        servers: int = 1,
        budget: int = 1_000_000,
        versions: tuple[str, ...] = ("v1",),
        host_limits: dict[str, float] | None = None,
        caller_limits: dict[str, float] | None = None,
        zones: tuple[str, ...] = ("a",),
        regions: dict[str, str] | None = None,
    ) -> None:
        self.names = [f"edge-{number}" for number in range(1, routers + 1)]
        self.server_count = servers
        self.versions = versions
        self.zones = zones
        self.regions = regions or {}
        self.budget = budget
        self.host_limits = host_limits or {}
        self.caller_limits = caller_limits or {}
        self.version = 1
        self.host = unique_loopback_host()
        self.processes: dict[str, Process] = {}
        self.metrics_ports: dict[str, int] = {}
        self.stack = ExitStack()
        self.pool = urllib3.PoolManager(retries=False, maxsize=64)

    def __enter__(self) -> Fleet:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.add_stand_in("store", "key_value")
        for service in ("models", "desk"):
            for number in range(1, self.server_count + 1):
                version = self.versions[number % len(self.versions)]
                zone = self.zones[number % len(self.zones)]
                self.add_server(
                    service, f"{service}-{number}", version=version, zone=zone
                )
        self.publish_desired_state(
            desired_state(self.version, self.budget, limits=self.caller_limits)
        )
        ports = free_ports(self.host, 5 * len(self.names))
        for name in self.names:
            # One that the system chose later might be one of the others.
            self.metrics_ports[name] = ports.pop()
            self.write_settings(name, [ports.pop() for _ in range(4)])
            self.start_router(name)
        for name in self.names:
            self.wait_ready(name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        kill_all(self.processes.values())
        self.stack.close()

    def add_stand_in(self, name: str, module: str, *options: str) -> None:
        """Start a stand-in as part of the fleet; see `start_stand_in`."""
        self.processes[name] = start_stand_in(name, module, *options)

    def add_server(
        self,
        service: str,
        name: str,
        state: str = "ready",
        *,
        version: str = "v1",
        zone: str = "a",
        born: int = 1,
        cold_left_ms: int = 0,
    ) -> None:
        """Register a backend server in the store, and start it if necessary."""
        if name not in self.processes:
            self.add_stand_in(name, "backend", "--name", name, "--born", str(born))
        entry = {
            "service": service,
            "address": f"127.0.0.1:{self.processes[name].port}",
            "zone": zone,
            "slots": 8,
            "state": state,
            "version": version,
            "born": born,
            "cold-left-ms": cold_left_ms,
        }
        self.control("store", "put", {f"servers/{name}": entry})

    def publish_desired_state(self, state: dict[str, Any]) -> None:
        """Write a desired state to the store, as operators do."""
        self.version = state["version"]
        self.control("store", "put", {"op/config": state})

    def control(self, name: str, action: str, body: dict[str, Any]) -> Any:
        """Send a command to a stand-in and return its JSON response.

        Args:
            name: Name of the stand-in.
            action: Last segment of the path, such as `behave` or `faults`.
            body: Options of the command; empty to query the counters only.
        """
        return post(f"{self.processes[name].url}/standin/{action}", body)

    def write_settings(self, name: str, ports: list[int]) -> None:
        """Write a router's settings file, as the platform does.

        Args:
            name: Name of the router.
            ports: Four free ports.
        """
        caller_port, ready_port, peer_port, tunnel_port = sorted(ports)
        document = {
            "node-name": name,
            "ip": self.host,
            "zone": "a",
            "zones": self.regions,
            "listen": {
                "front": f"{self.host}:{caller_port}",
                "ready": f"{self.host}:{ready_port}",
            },
            "port-range": [peer_port, tunnel_port],
            "limits": self.host_limits,
            "bounds": {"grace-s": 8},
            "platform": {"address": f"127.0.0.1:{self.processes['store'].port}"},
        }
        self.settings_path(name).write_text(json.dumps(document))

    def settings_path(self, name: str) -> Path:
        """Return the path of a router's settings file."""
        return self.folder / f"{name}.json"

    def read_log(self, name: str) -> str:
        """Return the text of a router's log."""
        return (self.folder / f"{name}.log").read_text()

    def wait_seen(self, name: str, server: str) -> None:
        """Wait until a router has read a server's entry.

        Args:
            name: The router's name.
            server: The server's id.
        """
        line = f"event=server_seen node={name} server={server} "
        wait_until(lambda: line in self.read_log(name), description=line)

    def metrics_url(self, name: str) -> str:
        """Return the URL of a router's metrics, with the port from its log.

        A router is ready before it logs that it has started.
        """
        wait_until(
            lambda: "metrics_port=" in self.read_log(name),
            description=f"{name} to log its metrics port",
        )
        port = self.read_log(name).rpartition("metrics_port=")[2].split()[0]
        return f"http://{self.host}:{port}/metrics"

    def cut_path(self, name: str) -> Path:
        """Return the path of the file that tells how a router's links fail."""
        return self.folder / f"{name}.cut"

    def cut_from_servers(self, name: str, fault: str) -> None:
        """Make a router unable to connect to any backend server.

        Args:
            name: Name of the router.
            fault: `refused` or `silent`.
        """
        ports = [
            self.processes[f"{service}-{number}"].port
            for service in ("models", "desk")
            for number in range(1, self.server_count + 1)
        ]
        document = json.dumps({"ports": ports, "fault": fault})
        self.cut_path(name).write_text(document)

    def heal_links(self, name: str) -> None:
        """End what `cut_from_servers` began."""
        self.cut_path(name).unlink()

    def start_router(self, name: str) -> None:
        """Start a router whose settings file has been written."""
        settings = self.settings_path(name)
        listen = json.loads(settings.read_text())["listen"]
        log = self.stack.enter_context((self.folder / f"{name}.log").open("a"))
        popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tools.cut_router",
                str(self.cut_path(name)),
                str(self.metrics_ports[name]),
            ],
            cwd=ROOT,
            env={**os.environ, "HAWTHORNSTAGE_SETTINGS": str(settings)},
            stdout=log,
            stderr=log,
        )
        port = int(listen["front"].rpartition(":")[2])
        self.processes[name] = Process(name, popen, port, self.host)

    def restart_router(self, name: str, *, grace_s: float) -> None:
        """Stop a router and start it again when it has ended.

        Args:
            name: Name of the router.
            grace_s: Time from SIGTERM to SIGKILL, in seconds; 0 for SIGKILL at once.
        """
        process = self.processes[name]
        try:
            if grace_s:
                process.terminate(grace_s)
        except subprocess.TimeoutExpired:
            pass
        process.kill()
        self.start_router(name)

    def is_ready(self, name: str) -> bool:
        """Return whether a router's readiness check succeeds."""
        listen = json.loads(self.settings_path(name).read_text())["listen"]
        try:
            url = f"http://{listen['ready']}/-/readiness"
            return self.pool.request("GET", url, timeout=2.0).status == 200
        except HTTPError:
            return False

    def wait_ready(self, name: str) -> None:
        """Wait until a router is ready and its log names all servers.

        Raises:
            TimeoutError: It did not get there; the message ends with its log.
        """
        try:
            wait_until(lambda: self.is_ready(name), description=f"{name} to be ready")
            expected_sightings = self.server_count * 2
            wait_until(
                lambda: (
                    self.read_log(name).count("event=server_seen") >= expected_sightings
                ),
                description=f"{name} to log {expected_sightings} server_seen events",
            )
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.read_log(name)[-LOG_TAIL:]}") from error

    def call(
        self,
        name: str,
        path: str,
        request_id: str,
        *,
        body: bytes = b"",
        tokens: tuple[int, int] | None = None,
        key: str = API_KEY,
        resumes: tuple[str, int] | None = None,
        most_events: int | None = None,
        budget_ms: int = 8_000,
    ) -> FleetCallResult:
        """Send a call to a router on a new connection.

        Args:
            name: Name of the router.
            path: Path of the request.
            request_id: Request id chosen by the caller.
            body: Request body.
            tokens: Prompt and output tokens for `X-Token-Counts`, or None.
            key: API key.
            resumes: Id of the call that began the stream, and the number of its last
                event that was received; None for a new stream.
            most_events: Disconnects after so many events, or None.
            budget_ms: Time that the caller waits, in milliseconds.
        """
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Time-Budget": str(budget_ms),
            "Authorization": f"Bearer {key}",
            "Connection": "close",
        }
        if tokens is not None:
            headers["X-Token-Counts"] = f"{tokens[0]},{tokens[1]}"
        if resumes is not None:
            headers["Resumes"], headers["Last-Event-Id"] = resumes[0], str(resumes[1])
        url = self.processes[name].url + path
        data = b""
        try:
            response = self.pool.request(
                "POST",
                url,
                body=body,
                headers=headers,
                timeout=RESPONSE_TIMEOUT_S,
                preload_content=False,
            )
        except HTTPError:
            return FleetCallResult(0, b"", False)
        try:
            for chunk in response.stream(4096):
                data += chunk
                if most_events is not None and data.count(b"\n\n") >= most_events:
                    response.close()
                    return FleetCallResult(response.status, data, False)
        except HTTPError:
            return FleetCallResult(response.status, data, False)
        return FleetCallResult(response.status, data, True)
