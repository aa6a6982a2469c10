"""A stand-in for the platform's key-value store, in one process.

`POST /standin/faults` injects faults: `down` refuses every call, `silent` delays every
response beyond the timeout, `slow_s` delays every response, `lose_answers` fails that
many write calls after their write took effect, `drop_writes` fails that many write
calls without the write, `forget` drops the history. `GET /standin/counts` returns the
number of calls by path.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from standins._http import StartResponse, option_parser, read_json, send_json, serve

# Items in one page of a range read.
PAGE_SIZE = 50
# Time after which a silent store responds with an error, in seconds.
SILENT_DELAY_S = 3.0


@dataclass
class Entry:
    """A stored value, its revisions and the lease that it is bound to, or 0."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclass
class Lease:
    """A lease; `expires_at` is monotonic time, in seconds."""

    ttl_ms: int
    expires_at: float


@dataclass
class Faults:
    """The injected faults."""

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0


@dataclass
class KeyValueStore:
    """The store's state; every method is called with the lock of `changed` held."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    revision: int = 1
    changed: threading.Condition = field(default_factory=threading.Condition)

    def expire(self) -> None:
        """Remove expired leases and the keys bound to them."""
        now = time.monotonic()
        expired_leases = {
            key for key, lease in self.leases.items() if lease.expires_at <= now
        }
        for lease in expired_leases:
            del self.leases[lease]
        expired_keys = [
            key for key, entry in self.entries.items() if entry.lease in expired_leases
        ]
        if expired_keys:
            self.revision += 1
        for key in expired_keys:
            self.remove(key)

    def remove(self, key: str) -> None:
        """Remove one key at the current revision."""
        if self.entries.pop(key, None) is not None:
            self.record_event({"key": key, "revision": self.revision, "removed": True})

    def put(self, put: dict[str, Any]) -> None:
        """Write one key at the current revision."""
        existing = self.entries.get(put["key"])
        created = existing.created if existing else self.revision
        lease = int(put.get("lease", 0))
        entry = Entry(put["value"], self.revision, created, lease)
        self.entries[put["key"]] = entry
        self.record_event(self.item(put["key"]))

    def record_event(self, event: dict[str, Any]) -> None:
        """Add an event to the history and wake the watches."""
        self.history.append(event)
        self.changed.notify_all()

    def item(self, key: str) -> dict[str, Any]:
        """Return an item in the protocol's form; revision 0 if the key is missing."""
        entry = self.entries.get(key)
        if entry is None:
            return {"key": key, "revision": 0}
        return {
            "key": key,
            "value": entry.value,
            "revision": entry.revision,
            "created": entry.created,
            "lease": entry.lease,
        }

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items whose keys have a prefix and follow `after`."""
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        items = [self.item(key) for key in keys[:PAGE_SIZE]]
        return {
            "entries": items,
            "has-more": len(keys) > PAGE_SIZE,
            "at": self.revision,
        }

    def transact(self, request: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        """Write atomically if every expected revision matches.

        Returns:
            The HTTP status and the response document.
        """
        expected = request.get("if-revision", [])
        if any(self.item(e["key"])["revision"] != e["revision"] for e in expected):
            entries = [self.item(each["key"]) for each in expected]
            return "412 Precondition Failed", {"entries": entries}
        puts = request.get("puts", [])
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return "404 Not Found", {}
        self.revision += 1
        for put in puts:
            self.put(put)
        for key in request.get("remove", []):
            self.remove(key)
        return "200 OK", {"revision": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Wait for changes after a revision to keys with a prefix.

        Returns:
            The events, none after `wait_s` seconds, or None if the history does not
            reach back to the revision.
        """
        deadline = time.monotonic() + wait_s
        while True:
            if after < self.compacted_revision:
                return None
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return {"events": events, "at": self.revision}
            self.changed.wait(remaining)

    def open_lease(self, ttl_ms: int) -> dict[str, Any]:
        """Open a lease."""
        self.revision += 1
        self.leases[self.revision] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return {"lease": self.revision, "ttl-ms": ttl_ms}

    def renew_lease(self, lease: int) -> dict[str, Any] | None:
        """Renew a lease; return None if it has expired."""
        existing = self.leases.get(lease)
        if existing is None:
            return None
        existing.expires_at = time.monotonic() + existing.ttl_ms / 1000
        return {"ttl-ms": existing.ttl_ms}

    def revoke_lease(self, lease: int) -> dict[str, Any]:
        """Revoke a lease and remove its keys."""
        if lease in self.leases:
            self.leases[lease].expires_at = 0.0
            self.expire()
        return {}


class KeyValueService:
    """The key-value store over HTTP."""

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        path = environ["PATH_INFO"]
        request = read_json(environ)
        if path.startswith("/standin/"):
            return self.control(path, request, start)
        with self.store.changed:
            self.calls[path] += 1
        if self.faults.down:
            return send_json(start, {"error": "down"}, "503 Service Unavailable")
        if self.faults.silent:
            time.sleep(SILENT_DELAY_S)
            return send_json(start, {"error": "silent"}, "504 Gateway Timeout")
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        with self.store.changed:
            self.store.expire()
            if path == "/-/kv-txn" and self.faults.drop_writes > 0:
                self.faults.drop_writes -= 1
                return send_json(start, {"error": "lost"}, "504 Gateway Timeout")
            status, answer = self.execute(path, query, request)
            if path == "/-/kv-txn" and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return send_json(start, {"error": "lost"}, "504 Gateway Timeout")
        return send_json(start, answer, status)

    def execute(
        self, path: str, query: dict[str, str], request: Any
    ) -> tuple[str, dict[str, Any]]:
        """Execute one operation; return the HTTP status and the response document."""
        store = self.store
        name, _, argument = path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                found = store.item(query["key"])
                status = "200 OK" if found["revision"] else "404 Not Found"
                return status, {**found, "at": store.revision}
            case "kv-range":
                return "200 OK", store.page(
                    query["path-prefix"], query.get("after", "")
                )
            case "kv-watch":
                wait_s = int(query["wait-ms"]) / 1000
                answer = store.watch(query["path-prefix"], int(query["after"]), wait_s)
                return ("410 Gone", {}) if answer is None else ("200 OK", answer)
            case "kv-txn":
                return store.transact(request)
            case "kv-lease":
                return "200 OK", store.open_lease(int(request["ttl-ms"]))
            case "kv-keep":
                answer = store.renew_lease(int(argument))
                return ("404 Not Found", {}) if answer is None else ("200 OK", answer)
            case "kv-lease-end":
                return "200 OK", store.revoke_lease(int(argument))
        return "404 Not Found", {}

    def control(self, path: str, request: Any, start: StartResponse) -> Any:
        """Set faults or change values; return the call counts and the stored values."""
        with self.store.changed:
            if path == "/standin/faults":
                for name, value in request.items():
                    if name == "forget":
                        self.store.history.clear()
                        self.store.compacted_revision = self.store.revision
                    else:
                        setattr(self.faults, name, value)
            if path == "/standin/put":
                self.store.revision += 1
                for key, document in request.items():
                    data = json.dumps(document).encode()
                    value = base64.b64encode(data).decode()
                    self.store.put({"key": key, "value": value})
            if path == "/standin/remove":
                self.store.revision += 1
                for key in request:
                    self.store.remove(key)
            values = {key: entry.value for key, entry in self.store.entries.items()}
            return send_json(start, {"calls": dict(self.calls), "values": values})


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for the platform's key-value store.").parse_args()
    serve(KeyValueService(), options.port)


if __name__ == "__main__":
    main()
