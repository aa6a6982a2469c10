"""Starts the store's stand-in and routers as processes, and small clients and servers.

Only the standard library is used here; the routers and the project's stand-in of the
store find their libraries where the deploy file's build puts them.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-a"
# Longest wait for a process to start, in seconds.
START_S = 20.0
# Time from SIGTERM to SIGKILL at the end of a script, in seconds.
STOP_S = 1.0


class CannotRunError(Exception):
    """The case could not run; the script exits with 2."""


def loopback_address() -> str:
    """Return a loopback address on which nothing else is likely to listen."""
    numbers = [random.randrange(16, 240) for _ in range(3)]
    return "127." + ".".join(map(str, numbers))


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address, in ascending order."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = sorted(each.getsockname()[1] for each in sockets)
    for each in sockets:
        each.close()
    return ports


def environment(**more: str) -> dict[str, str]:
    """Return the environment of a process, as the platform sets it."""
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    return {**kept, "PYTHONPATH": str(ROOT / "target" / "deps"), **more}


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s: float = START_S
) -> None:
    """Wait until a condition holds.

    Raises:
        CannotRunError: It does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"timed out: {what}")
        time.sleep(0.05)


class Record:
    """What was sent, answered and run, as lines in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


class Deployment:
    """A small deployment: one store and some routers.

    Args:
        record: Where the events are written.
        limits: Limits of each router's machine, as in its settings file.
    """

    def __init__(self, record: Record, limits: dict[str, Any]) -> None:
        self.record = record
        self.limits = limits
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.routers: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, tuple[str, int]] = {}
        self.ready: dict[str, str] = {}
        self.store_port = 0

    def start_store(self) -> None:
        """Start the project's stand-in of the store."""
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.key_value"],
            cwd=ROOT,
            env=environment(),
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        assert process.stdout is not None
        line = process.stdout.readline().split()
        if len(line) != 2:
            raise CannotRunError("the store's stand-in did not start")
        self.store_port = int(line[1])

    def write(self, values: dict[str, Any]) -> None:
        """Write keys as the operator or the servers do."""
        url = f"http://127.0.0.1:{self.store_port}/standin/put"
        body = json.dumps(values).encode()
        headers = {"Content-Type": "application/json"}
        request = urllib.request.Request(url, data=body, headers=headers, method="POST")
        with urllib.request.urlopen(request, timeout=5.0) as response:
            response.read()
        self.record.note(f"store: written and acknowledged: {sorted(values)}")

    def start_router(self, name: str, zone: str = "a") -> None:
        """Start a router with the command of the deploy file."""
        host = loopback_address()
        front, ready, control, peers, tunnels = free_ports(host, 5)
        settings = {
            "node-name": name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": zone,
            "region": "north",
            "zones": {"a": "north", "b": "north"},
            "listen": {
                "front": f"{host}:{front}",
                "ready": f"{host}:{ready}",
                "control": f"{host}:{control}",
            },
            "port-range": [peers, tunnels],
            "limits": self.limits,
            "bounds": {
                "stable-window-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "lost-ms": 200,
                "config-ms": 2000,
                "retry-ratio": 0.2,
                "budget-window-s": 10,
                "retry-slack": 56,
            },
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment(HAWTHORNSTAGE_SETTINGS=str(path)),
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.routers[name] = process
        self.fronts[name] = (host, front)
        self.ready[name] = f"http://{host}:{ready}/-/readiness"

    def is_ready(self, name: str) -> bool:
        """Whether a router says that it is ready."""
        try:
            with urllib.request.urlopen(self.ready[name], timeout=2.0) as response:
                return response.status == 200
        except OSError:
            return False

    def wait_ready(self) -> None:
        """Wait until all routers are ready and have had time to read the servers."""
        for name in self.routers:
            wait_until(lambda n=name: self.is_ready(n), f"{name} is ready")
        time.sleep(2.0)

    def log_of(self, name: str) -> str:
        """Return a router's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all processes that this deployment has started."""
        for process in self.processes:
            process.terminate()
        deadline = time.monotonic() + STOP_S
        while time.monotonic() < deadline and any(
            p.poll() is None for p in self.processes
        ):
            time.sleep(0.05)
        for process in self.processes:
            process.kill()
            process.wait()


def desired_state(version: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state with a route for each kind of call.

    Args:
        version: Its version.
        changes: Top-level fields to add or replace.
    """

    def route(name: str, path: str, kind: str) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "path-prefix": path,
            "kind": kind,
            "timeout-ms": 10_000,
            "target-latency-ms": 500,
            "service": "desk",
            "max-attempts": 2,
            "priority": 2,
        }

    state = {
        "version": version,
        "routes": [
            route("bookings", "/bookings/", "non_idempotent"),
            route("lookups", "/lookups/", "idempotent"),
        ],
        "services": [{"name": "desk", "max-connections": 1000}],
        "tenants": [{"name": "shop-a", "api-keys": [KEY]}],
    }
    return {**state, **changes}


@dataclass
class Request:
    """A request as a client sent it or a server read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("x-request-id", "")


class Channel:
    """An HTTP/1.1 channel that is read one message at a time."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.buffer = b""

    def read_line(self) -> bytes:
        """Return the next line without its end; b'' after the last one.

        Raises:
            EOFError: The channel has ended.
        """
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def read_exactly(self, count: int) -> bytes:
        """Return so many bytes."""
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def fill(self) -> None:
        """Receive some bytes."""
        data = self.socket.recv(65_536)
        if not data:
            raise EOFError("the channel has ended")
        self.buffer += data

    def read_head(self) -> tuple[str, dict[str, str]]:
        """Return the first line and the headers of the next message."""
        first = self.read_line().decode("latin-1")
        headers: dict[str, str] = {}
        while line := self.read_line():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        return first, headers

    def close(self) -> None:
        """Close the channel."""
        self.socket.close()


@dataclass
class Answer:
    """What a client got; status 0 if the channel ended without an answer."""

    status: int
    body: bytes = b""
    reason: str = ""


class Client(Channel):
    """A requester on one kept channel.

    Args:
        address: The router's front address.
        source: Loopback address that it sends from.
    """

    def __init__(self, address: tuple[str, int], source: str = "127.0.0.1") -> None:
        connection = socket.create_connection(
            address, timeout=15.0, source_address=(source, 0)
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(connection)

    def call(
        self,
        path: str,
        request_id: str,
        body: bytes = b"",
        *,
        key: str = KEY,
        headers: str = "",
        pause_in_head_s: float = 0.0,
    ) -> Answer:
        """Send one request and return the answer."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\nX-Time-Budget: 8000\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            if pause_in_head_s:
                middle = len(head) // 2
                self.socket.sendall(head[:middle])
                time.sleep(pause_in_head_s)
                head = head[middle:]
            self.socket.sendall(head + body)
        except OSError as error:
            # What was answered before the channel broke can still be read.
            return self.read_answer(f"{type(error).__name__} on send")
        return self.read_answer("")

    def read_answer(self, trouble: str) -> Answer:
        """Return the answer to the request that was sent."""
        try:
            first, headers = self.read_head()
            length = int(headers.get("content-length", "0"))
            return Answer(int(first.split()[1]), self.read_exactly(length), trouble)
        except (OSError, EOFError) as error:
            return Answer(0, b"", trouble or f"{type(error).__name__}: {error}")


@dataclass
class Server:
    """A sound server of one service.

    Args:
        name: Its id.
        record: Where it notes what it runs.
        work_s: How long it works on a request, in seconds.
        full: Whether it has no room, so that it turns requests away, not run.
    """

    name: str
    record: Record
    work_s: float = 0.0
    full: bool = False
    arrived: dict[str, int] = field(default_factory=dict)
    ran: dict[str, int] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the store."""
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }
        return {**entry, **changes}

    def accept(self) -> None:
        """Accept channels."""
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Serve one channel."""
        channel = Channel(connection)
        try:
            while True:
                first, headers = channel.read_head()
                body = channel.read_exactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split()
                connection.sendall(self.answer(Request(method, target, headers, body)))
        except (OSError, EOFError):
            pass
        finally:
            channel.close()

    def answer(self, request: Request) -> bytes:
        """Run a request, or turn it away; return the answer."""
        named = request.headers.get("x-target-instance", self.name)
        if named != self.name:
            self.record.note(f"{self.name}: 421 to {request.id}, which names {named!r}")
            return message(
                "421 Misdirected Request", request.id, {"X-Not-Executed": "1"}
            )
        with self.lock:
            self.arrived[request.id] = self.arrived.get(request.id, 0) + 1
        if self.full:
            self.record.note(f"{self.name}: no room for {request.id}: 503, not run")
            return message(
                "503 Service Unavailable", request.id, {"X-Not-Executed": "1"}
            )
        with self.lock:
            self.ran[request.id] = self.ran.get(request.id, 0) + 1
        self.record.note(f"{self.name}: runs {request.id}, {len(request.body)} bytes")
        time.sleep(self.work_s)
        seal = {"X-Response-Seal": f"s-{request.id}"}
        return message("200 OK", request.id, seal, b"done " + request.id.encode())


def message(
    status: str, request_id: str, more: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an answer's bytes."""
    headers = {"X-Request-Id": request_id, "Content-Length": str(len(body)), **more}
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_case(folder: Path, case: Callable[[Record, bool], bool]) -> int:
    """Run a case and return the exit code.

    Args:
        folder: The case's folder.
        case: Takes the record and whether there is a disruption; returns whether the
            rule held.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if trouble else 'no'}")
    try:
        held = case(record, trouble)
    except (CannotRunError, OSError) as error:
        record.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record.note("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
