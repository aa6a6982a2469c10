"""A stand-in for a sound server of a service, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from kit.http import (
    Request,
    encode_answer,
    encode_chunk,
    json_answer,
    read_request,
    reset,
)
from kit.store import ENTRY_BEATS_S, Store

# Beats without news after which an entry is removed.
LOST_BEATS = 3


class Server:
    """One server; it may crash and start again under its id and at its address.

    Args:
        store: Where it registers.
        record: Writes a line of the record.
        name: Its id.
        service: Its service.
        version: The version of its software.
        slots: Requests that it runs at once.
        event_s: Interval between the events of a stream, in seconds.
        work_s: Duration of other requests, in seconds.
    """

    def __init__(
        self,
        store: Store,
        record: Callable[[str], None],
        name: str,
        service: str,
        *,
        version: str = "v1",
        slots: int = 64,
        event_s: float = 0.05,
        work_s: float = 0.09,
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.event_s = event_s
        self.work_s = work_s
        self.port = 0
        self.born = 0
        self.listener: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()
        self.running = 0
        self.crashed_at: float | None = None
        self.deadly: bytes | None = None
        # Headers in which the server tells of itself.
        self.says: list[tuple[str, str]] = []
        self.on_run: Callable[[Server, Request], None] = lambda server, request: None
        self.on_crash: Callable[[Server, Request], None] = lambda server, request: None

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self.listener is not None

    async def start(self) -> None:
        """Start its process and register it."""
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, reuse_address=True, limit=2**23
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.running = 0
        self.crashed_at = None
        self.born = int(time.time() * 1000)
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.name}", entry)
        self.record(f"server {self.name} is up, version {self.version}")

    def crash(self) -> None:
        """End its process: all connections are reset and new ones refused."""
        assert self.listener is not None
        self.listener.close()
        self.listener = None
        self.crashed_at = time.monotonic()
        for writer in list(self.open):
            reset(writer)
        self.open.clear()
        self.record(f"server {self.name} is down")

    async def lapse(self) -> None:
        """Have the store remove the entry once the server was silent for too long."""
        while True:
            await asyncio.sleep(0.1)
            if self.crashed_at is None:
                continue
            if time.monotonic() - self.crashed_at >= LOST_BEATS * ENTRY_BEATS_S:
                self.crashed_at = None
                await self.store.remove([f"servers/{self.name}"])

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.open.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if request.target == "/health":
            headers = [("X-Instance-Id", self.name)]
            writer.write(encode_answer(200, headers, b""))
            return
        if request.target == "/-/report":
            writer.write(json_answer(200, self.report()))
            return
        if request.headers.get("x-target-instance", self.name) != self.name:
            headers = [("X-Instance-Id", self.name)]
            writer.write(encode_answer(421, headers, b""))
            return
        request_id = request.headers.get("x-request-id", "")
        if self.running >= self.slots:
            headers = [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]
            headers += self.says
            writer.write(encode_answer(503, headers, b""))
            return
        self.on_run(self, request)
        if self.deadly is not None and request.body == self.deadly:
            self.on_crash(self, request)
            self.crash()
            return
        headers = [
            ("X-Request-Id", request_id),
            ("X-Response-Seal", f"seal-{request_id}"),
            *self.says,
        ]
        self.running += 1
        try:
            if "x-token-counts" in request.headers:
                await self.stream(request, headers, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(encode_answer(200, headers, b"done"))
        finally:
            self.running -= 1

    def report(self) -> dict[str, Any]:
        """Return what the server says of itself."""
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": self.running,
            "born": self.born,
        }

    async def stream(
        self,
        request: Request,
        headers: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a stream, each event of which names the server's version."""
        count = int(request.headers["x-token-counts"].split(",")[1])
        after = int(request.headers.get("last-event-id") or 0)
        version = self.version
        event_headers = [*headers, ("Content-Type", "text/event-stream")]
        writer.write(encode_answer(200, event_headers, None))
        for number in range(after + 1, count + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing():
                return
            event = f"id: {number}\ndata: {version} {self.name} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
        writer.write(encode_chunk(b""))


def versions_of(body: bytes) -> list[str]:
    """Return the versions of the servers of a stream's events, in order."""
    found: list[Any] = []
    for line in body.decode().split("\n"):
        if line.startswith("data: "):
            found.append(line.split()[1])
    return found
