"""A stand-in for the platform's store, as PROTOCOL.md describes it.

Each router has a port of its own, so that the store can turn one away (503) while it
serves the others, the servers and the operator.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from kit.http import Request, json_answer, read_request, reset

ENTRY_BEATS_S = 1.2
PAGE_SIZE = 400


@dataclass
class Item:
    """A stored value."""

    value: str
    revision: int
    created: int
    lease: int


class Store:
    """The store: its items, leases and history."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.turned_away: set[int] = set()
        self.connections: dict[int, set[asyncio.StreamWriter]] = {}
        self.listeners: list[asyncio.Server] = []
        # Loses the answer of one write and does it late: the prefix of a key that it
        # puts, and the delay in seconds.
        self.late_write: tuple[str, float] | None = None
        self.on_late: Callable[[str], None] = lambda line: None
        self.writes = 0
        # Counts how often the store came back from a copy; the copy that it would use.
        self.era = 1
        self.copy: dict[str, Any] = {}
        self.away = False

    async def listen(self) -> int:
        """Open a port for one router and return it."""
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        self.connections[port] = set()
        return port

    def turn_away(self, port: int) -> None:
        """Answer a router 503 from now on, and cut its waiting watches."""
        self.turned_away.add(port)
        for writer in list(self.connections[port]):
            reset(writer)

    def serve_again(self, port: int) -> None:
        """Serve a router again."""
        self.turned_away.discard(port)

    def take_copy(self) -> None:
        """Take the copy from which the store may come back."""
        self.copy = {
            "items": {key: replace(item) for key, item in self.items.items()},
            "leases": dict(self.leases),
            "history": list(self.history),
            "revision": self.revision,
        }

    def go_away(self) -> None:
        """Answer 503 to all, and cut the waiting watches."""
        self.away = True
        for writers in self.connections.values():
            for writer in list(writers):
                reset(writer)

    def come_back_from_copy(self) -> None:
        """Lose what the system wrote since the copy; the rest is written again."""
        rewritten = {
            key: item.value
            for key, item in self.items.items()
            if key.startswith(("op/", "servers/"))
        }
        now = time.monotonic()
        self.items = self.copy["items"]
        self.leases = {
            lease: (now + ttl_s, ttl_s)
            for lease, (_, ttl_s) in self.copy["leases"].items()
        }
        self.history, self.revision = self.copy["history"], self.copy["revision"]
        self.era += 1
        self.away = False
        for key, value in rewritten.items():
            self.revision += 1
            self.put_item(key, value, 0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        port = writer.get_extra_info("sockname")[1]
        self.connections[port].add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.loses(request):
                    await asyncio.Event().wait()
                status, document = 503, {}
                if port not in self.turned_away and not self.away:
                    await self.expire()
                    status, document = await self.execute(request)
                headers = [("Store-Era", str(self.era))]
                writer.write(json_answer(status, document, headers))
                await writer.drain()
        except OSError:
            pass
        finally:
            self.connections[port].discard(writer)
            writer.close()

    def loses(self, request: Request) -> bool:
        """Whether this is the write whose answer is lost; it is done late."""
        if not request.target.startswith("/-/kv-txn"):
            return False
        self.writes += 1
        puts = json.loads(request.body).get("puts", [])
        if self.late_write is None or not any(
            each["key"].startswith(self.late_write[0]) for each in puts
        ):
            return False
        delay_s, self.late_write = self.late_write[1], None
        keys = ", ".join(each["key"] for each in puts)
        self.on_late(f"the answer to a write of {keys} is lost; done {delay_s} s later")
        self.late_task = asyncio.ensure_future(self.do_late(request, delay_s))
        return True

    async def do_late(self, request: Request, delay_s: float) -> None:
        """Do a write late, if its condition still holds."""
        await asyncio.sleep(delay_s)
        status, _ = await self.execute(request)
        self.on_late(f"the late write is done now: {status}")

    async def execute(self, request: Request) -> tuple[int, Any]:
        """Execute one call."""
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        name, _, argument = url.path.removeprefix("/-/").partition("/")
        body = json.loads(request.body) if request.body else {}
        match name:
            case "kv-key":
                item = self.shown(query["key"])
                status = 200 if item["revision"] else 404
                return status, {**item, "at": self.revision}
            case "kv-range":
                return 200, self.page(query["path-prefix"], query.get("after", ""))
            case "kv-watch":
                return await self.watch(
                    query["path-prefix"],
                    int(query["after"]),
                    int(query["wait-ms"]) / 1000,
                )
            case "kv-txn":
                return await self.transact(body)
            case "kv-lease":
                self.revision += 1
                ttl_s = body["ttl-ms"] / 1000
                self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self.revision, "ttl-ms": body["ttl-ms"]}
            case "kv-keep" if int(argument) in self.leases:
                ttl_s = self.leases[int(argument)][1]
                self.leases[int(argument)] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl-ms": int(ttl_s * 1000)}
            case "kv-lease-end":
                self.leases.pop(int(argument), None)
                await self.remove(
                    [k for k, i in self.items.items() if i.lease == int(argument)]
                )
                return 200, {}
        return 404, {}

    def shown(self, key: str) -> dict[str, Any]:
        """Return an item as the store shows it."""
        item = self.items.get(key)
        if item is None:
            return {"key": key, "revision": 0}
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of a range."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "entries": [self.shown(key) for key in keys[:PAGE_SIZE]],
            "has-more": len(keys) > PAGE_SIZE,
            "at": self.revision,
        }

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Wait for changes after a revision."""
        ends_at = time.monotonic() + wait_s
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    pass

    async def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Write all or nothing."""
        expected = body.get("if-revision", [])
        shown = [self.shown(each["key"]) for each in expected]
        if any(
            item["revision"] != each["revision"]
            for item, each in zip(shown, expected, strict=True)
        ):
            return 412, {"entries": shown}
        puts = body.get("puts", [])
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for each in puts:
            self.put_item(each["key"], each["value"], each.get("lease", 0))
        for key in body.get("remove", []):
            self.remove_item(key)
        await self.announce()
        return 200, {"revision": self.revision}

    def put_item(self, key: str, value: str, lease: int) -> None:
        """Write one item at the current revision."""
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append(self.shown(key))

    def remove_item(self, key: str) -> None:
        """Remove one item at the current revision."""
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "removed": True}
            self.history.append(event)

    async def put(self, key: str, document: Any) -> None:
        """Write a document, as the operator and the servers do."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_item(key, value, 0)
        await self.announce()

    async def remove(self, keys: list[str]) -> None:
        """Remove items."""
        if keys:
            self.revision += 1
            for key in keys:
                self.remove_item(key)
            await self.announce()

    async def announce(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        """End the leases that are over."""
        now = time.monotonic()
        over = {lease for lease, (at, _) in self.leases.items() if at <= now}
        for lease in over:
            del self.leases[lease]
        await self.remove([k for k, item in self.items.items() if item.lease in over])

    async def keep_time(self) -> None:
        """End leases in time, for as long as the task lives."""
        while True:
            await self.expire()
            await asyncio.sleep(0.1)
