"""A stand-in for the platform's metadata store, by the users' PROTOCOL page.

It serves in a thread of the process that uses it. `mode` is `up` or `silent`: a silent
store takes calls and does nothing, and no answer follows on their channels. `before`
and `after` are called around each transaction and may make its answer be lost.
"""

from __future__ import annotations

import base64
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

# Items in one page of a range read.
PAGE_ITEMS = 500
# Time for which a channel stays open on which a response was lost, in seconds.
LOST_CHANNEL_S = 8.0


class Store:
    """The store's state and its HTTP server.

    Args:
        host: Loopback address to listen on.
        lease_first: Whether a transaction's leases are checked before its conditions,
            on which the page is silent.
    """

    def __init__(self, host: str, *, lease_first: bool = False) -> None:
        self.changed = threading.Condition()
        self.lease_first = lease_first
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, list[float]] = {}
        self.history: list[dict[str, Any]] = []
        self.mode = "up"
        self.ended = False
        # Called with a transaction that took effect; returns whether its answer is
        # lost.
        self.lose_answer: Callable[[dict[str, Any]], bool] = lambda request: False
        # Called with a transaction that arrives; returns whether it is held back: it is
        # done only later, by `do_late`, if its condition still holds, and its channel
        # returns nothing.
        self.hold_back: Callable[[dict[str, Any]], bool] = lambda request: False
        self.calls: list[tuple[float, str, int]] = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: Any) -> None:
                pass

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                answer = store.call(self.command, self.path, body)
                if answer is None:
                    # The response is lost, and nothing more comes on this channel.
                    ends_at = time.monotonic() + LOST_CHANNEL_S
                    while not store.ended and (
                        store.mode != "up" or time.monotonic() < ends_at
                    ):
                        time.sleep(0.02)
                    self.close_connection = True
                    return
                status, document = answer
                data = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = serve

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_: Any) -> None:
                pass

        self.server = Server((host, 0), Handler)
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self.ended = True
        self.server.shutdown()
        self.server.server_close()

    def set_mode(self, mode: str) -> None:
        """Make the store answer (`up`) or not (`silent`)."""
        with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def expire_leases(self) -> None:
        """Remove the keys of leases that have run out, also while it is silent."""
        while not self.ended:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                over = {each for each, (_, at) in self.leases.items() if at <= now}
                for each in over:
                    del self.leases[each]
                keys = [k for k, item in self.items.items() if item["lease"] in over]
                if keys:
                    self.remove(keys)

    def remove(self, keys: list[str]) -> None:
        """Remove keys with one change."""
        self.revision += 1
        for key in keys:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "removed": True}
                self.history.append(gone)
        self.changed.notify_all()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key at the current revision."""
        before = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.history.append(dict(self.items[key]))
        self.changed.notify_all()

    def write(self, key: str, document: Any) -> bool:
        """Write a document as an operator or a server does; False if it is away."""
        with self.changed:
            if self.mode != "up":
                return False
            self.revision += 1
            self.put(key, json.dumps(document).encode())
            return True

    def delete(self, key: str) -> bool:
        """Remove a key as the platform does; False if the store is away."""
        with self.changed:
            if self.mode != "up":
                return False
            self.remove([key])
            return True

    def value_of(self, key: str) -> bytes | None:
        """Return a stored value."""
        with self.changed:
            item = self.items.get(key)
            return None if item is None else base64.b64decode(item["value"])

    def call(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]] | None:
        """Execute one call; None if no answer is to be sent."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        name, _, argument = parts.path.removeprefix("/-/").partition("/")
        request = json.loads(body) if body else {}
        with self.changed:
            if self.mode != "up":
                return None
            answer = self.execute(method, name, unquote(argument), query, request)
            if self.mode != "up":
                return None
            if answer is not None:
                self.calls.append((time.monotonic(), name, answer[0]))
            return answer

    def execute(
        self,
        method: str,
        name: str,
        argument: str,
        query: dict[str, str],
        request: dict[str, Any],
    ) -> tuple[int, dict[str, Any]] | None:
        """Execute one call with the lock held."""
        match method, name:
            case "GET", "kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"at": self.revision}
                return 200, {**item, "at": self.revision}
            case "GET", "kv-range":
                return 200, self.page(query["path-prefix"], query.get("after", ""))
            case "GET", "kv-watch":
                return self.watch(query)
            case "POST", "kv-txn":
                return self.transact(request)
            case "POST", "kv-lease":
                self.revision += 1
                ttl_s = max(1.0, request["ttl-ms"] / 1000)
                self.leases[self.revision] = [ttl_s, time.monotonic() + ttl_s]
                return 200, {"lease": self.revision, "ttl-ms": int(ttl_s * 1000)}
            case "POST", "kv-keep":
                lease = self.leases.get(int(argument))
                if lease is None:
                    return 404, {"error": "no such lease"}
                lease[1] = time.monotonic() + lease[0]
                return 200, {"ttl-ms": int(lease[0] * 1000)}
            case "DELETE", "kv-lease-end":
                if self.leases.pop(int(argument), None) is None:
                    return 404, {"error": "no such lease"}
                held = int(argument)
                keys = [k for k, item in self.items.items() if item["lease"] == held]
                self.remove(keys)
                return 200, {}
        return 404, {"error": "no such call"}

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items below a prefix."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        entries = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"entries": entries, "has-more": more, "at": self.revision}

    def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]] | None:
        """Wait for changes; None if the store falls silent meanwhile."""
        prefix, after = query["path-prefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if self.mode != "up":
                return None
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(left_s)

    def transact(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]] | None:
        """Execute a transaction; None if its answer is lost."""
        if self.hold_back(request):
            return None
        return self.do_transaction(request)

    def do_late(self, request: dict[str, Any]) -> int:
        """Do a transaction that was held back; return the status it would have had."""
        with self.changed:
            answer = self.do_transaction(request)
            return 200 if answer is None else answer[0]

    def do_transaction(
        self, request: dict[str, Any]
    ) -> tuple[int, dict[str, Any]] | None:
        """Do a transaction if its conditions hold; None if its answer is lost."""
        puts = request.get("puts", [])
        lacks_lease = any(
            each.get("lease") and each["lease"] not in self.leases for each in puts
        )
        if lacks_lease and self.lease_first:
            return 404, {"error": "no such lease"}
        expected = request.get("if-revision", [])
        current = [self.items.get(each["key"]) for each in expected]
        if any(
            (item["revision"] if item else 0) != each["revision"]
            for item, each in zip(current, expected, strict=True)
        ):
            entries = [
                item or {"key": each["key"], "revision": 0}
                for item, each in zip(current, expected, strict=True)
            ]
            return 412, {"entries": entries, "at": self.revision}
        if lacks_lease:
            return 404, {"error": "no such lease"}
        self.revision += 1
        for each in puts:
            value = base64.b64decode(each["value"])
            self.put(each["key"], value, int(each.get("lease") or 0))
        removed = [key for key in request.get("remove", []) if key in self.items]
        for key in removed:
            del self.items[key]
            gone = {"key": key, "revision": self.revision, "removed": True}
            self.history.append(gone)
        self.changed.notify_all()
        if self.lose_answer(request):
            return None
        return 200, {"revision": self.revision}


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of a loopback address that are free now.

    They lie below those that the kernel gives to outgoing channels.
    """
    found: list[int] = []
    for port in random.sample(range(10_000, 30_000), 2_000):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("too few free ports")
