"""A stand-in for a back-end server, by the users' PROTOCOL page.

It serves in threads of the process that uses it, registers itself in the store every
heartbeat, can crash and start again under its id, and notes what it runs.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from store import Store

HEARTBEAT_S = 1.2
# Silent heartbeats after which the platform removes an entry.
LOST_BEATS = 3


@dataclass
class Run:
    """One request that the server began to work on."""

    at: float
    request_id: str
    version: str
    headers: dict[str, str]
    events: list[int] = field(default_factory=list)


class Server:
    """One server of a service.

    Args:
        name: Its id.
        service: Its service.
        host: Loopback address to listen on.
        store: Where it registers.
        version: Version of its software.
        event_s: Time between two events of a stream, in seconds.
        work_s: Duration of other requests, in seconds.
        slots: Requests that it runs at a time; more are turned away.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: Store,
        *,
        version: str = "v1",
        event_s: float = 0.1,
        work_s: float = 0.0,
        slots: int = 64,
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.store = store
        self.version = version
        self.event_s = event_s
        self.work_s = work_s
        self.slots = slots
        self.lock = threading.Lock()
        self.connections: set[socket.socket] = set()
        self.runs: list[Run] = []
        self.running = 0
        self.sequence = 0
        self.lifetime = 0
        self.up = False
        self.ended = False
        self.beaten_at = time.monotonic()
        self.port = 0
        self.born = 0
        self.start(version)
        threading.Thread(target=self.beat, daemon=True).start()

    def start(self, version: str) -> None:
        """Start a process of the server at its address, and register it."""
        with self.lock:
            self.lifetime += 1
            self.version = version
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.running = 0
            self.listener = socket.create_server((self.host, self.port), backlog=256)
            self.port = self.listener.getsockname()[1]
            self.up = True
        life = self.lifetime, self.listener
        threading.Thread(target=self.accept, args=life, daemon=True).start()
        self.register()

    def crash(self) -> None:
        """End the process: its channels are reset, and it says nothing."""
        with self.lock:
            self.up = False
            self.lifetime += 1
            connections, self.connections = self.connections, set()
        wake = socket.socket()
        try:
            wake.connect((self.host, self.port))
        except OSError:
            pass
        self.listener.close()
        wake.close()
        for each in connections:
            reset(each)

    def end(self) -> None:
        """End the server for good."""
        self.ended = True
        if self.up:
            self.crash()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        if self.store.write(f"servers/{self.name}", self.entry()):
            self.beaten_at = time.monotonic()

    def beat(self) -> None:
        """Register at each heartbeat; after silence the platform drops the entry."""
        while not self.ended:
            time.sleep(HEARTBEAT_S)
            if self.up and not self.ended:
                self.register()
            elif time.monotonic() - self.beaten_at > LOST_BEATS * HEARTBEAT_S:
                self.store.delete(f"servers/{self.name}")

    def accept(self, lifetime: int, listener: socket.socket) -> None:
        """Accept channels until the process ends."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                if lifetime != self.lifetime:
                    connection.close()
                    return
                self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self.serve, args=(connection, lifetime), daemon=True
            ).start()

    def serve(self, connection: socket.socket, lifetime: int) -> None:
        """Serve the requests of one channel in turn."""
        file = connection.makefile("rb")
        try:
            while self.answer(connection, file, lifetime):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            file.close()
            connection.close()

    def answer(self, connection: socket.socket, file: Any, lifetime: int) -> bool:
        """Read one request and answer it; False at the channel's end."""
        first = file.readline()
        if not first:
            return False
        method, target, _ = first.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := file.readline().decode("latin-1").strip()) != "":
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = file.read(int(headers.get("content-length", "0")))
        if lifetime != self.lifetime:
            raise OSError("the process has ended")
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.name) != self.name:
            send(connection, 421, [("X-Instance-Id", self.name)], b"")
            return True
        if target == "/-/report":
            send(connection, 200, [], json.dumps(self.report()).encode())
            return True
        if headers.get("x-token-counts", "").startswith("-"):
            # No such number of tokens can be read.
            said = [("X-Request-Id", request_id)]
            send(connection, 400, said, b"invalid X-Token-Counts")
            return True
        with self.lock:
            full = self.running >= self.slots
            if not full:
                self.running += 1
        if full:
            said = [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]
            send(connection, 503, said, b"")
            return True
        run = Run(time.monotonic(), request_id, self.version, headers)
        self.runs.append(run)
        try:
            self.work(connection, run, body, lifetime)
        finally:
            with self.lock:
                self.running = max(0, self.running - 1)
        return True

    def report(self) -> dict[str, Any]:
        """Return what the server says of itself."""
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 100_000,
            "handles": 0,
            "born": self.born,
        }

    def work(
        self, connection: socket.socket, run: Run, body: bytes, lifetime: int
    ) -> None:
        """Run one request."""
        seal = ("X-Response-Seal", f"seal-{run.request_id}")
        said = [("X-Request-Id", run.request_id), seal]
        counts = run.headers.get("x-token-counts")
        if counts is None:
            time.sleep(self.work_s)
            if lifetime != self.lifetime:
                raise OSError("the process has ended")
            send(connection, 200, said, b"done " + body)
            return
        last = int(counts.split(",")[1])
        after = int(run.headers.get("last-event-id") or 0)
        head = [*said, ("Content-Type", "text/event-stream")]
        head.append(("Transfer-Encoding", "chunked"))
        connection.sendall(head_bytes(200, head))
        for number in range(after + 1, last + 1):
            time.sleep(self.event_s)
            if lifetime != self.lifetime:
                raise OSError("the process has ended")
            event = f"id: {number}\ndata: {self.name} {run.version}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            run.events.append(number)
        connection.sendall(b"0\r\n\r\n")


def reset(connection: socket.socket) -> None:
    """Close a channel with a reset."""
    linger = struct.pack("ii", 1, 0)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


def head_bytes(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(
    connection: socket.socket, status: int, headers: list[tuple[str, str]], body: bytes
) -> None:
    """Send a whole answer."""
    length = ("Content-Length", str(len(body)))
    connection.sendall(head_bytes(status, [*headers, length]) + body)
