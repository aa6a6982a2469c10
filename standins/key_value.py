"""A stand-in for the key-value service: etcd v3's JSON gateway, on one process.

Faults are set by `POST /standin/faults`: `down` refuses every call, `slow_s`
delays every answer, `lose_answers` breaks off that many calls after their write
took effect. `GET /standin/counts` tells how many calls there were.
"""

from __future__ import annotations

import base64
import json
import queue
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from standins._http import StartResponse, parser, read_json, send_json, serve


@dataclass
class Entry:
    """A stored value, its revision and the lease that it hangs on."""

    value: str
    revision: int
    lease: int = 0


@dataclass
class Lease:
    """A lease and when it ends."""

    seconds: int
    ends: float


@dataclass
class Faults:
    """What is wrong with the service."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@dataclass
class KeyValueStore:
    """The service's state; every method holds the lock."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    watches: dict[str, list[queue.SimpleQueue]] = field(default_factory=dict)
    revision: int = 0
    lock: threading.RLock = field(default_factory=threading.RLock)

    def expire(self) -> None:
        """Drop leases that have ended, and their keys."""
        now = time.monotonic()
        ended = {key for key, lease in self.leases.items() if lease.ends <= now}
        for lease in ended:
            del self.leases[lease]
        for key in [k for k, e in self.entries.items() if e.lease in ended]:
            self.delete(key)

    def range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Read one key."""
        entry = self.entries.get(request["key"])
        kvs = [] if entry is None else [self.kv(request["key"], entry)]
        return {"header": self.header(), "kvs": kvs, "count": str(len(kvs))}

    def put(self, request: dict[str, Any]) -> dict[str, Any]:
        """Write one key."""
        self.revision += 1
        lease = int(request.get("lease", 0))
        entry = Entry(request.get("value", ""), self.revision, lease)
        self.entries[request["key"]] = entry
        self.notify(
            request["key"], {"type": "PUT", "kv": self.kv(request["key"], entry)}
        )
        return {"header": self.header()}

    def delete(self, key: str) -> None:
        """Delete one key."""
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self.notify(key, {"type": "DELETE", "kv": {"key": key}})

    def txn(self, request: dict[str, Any]) -> dict[str, Any]:
        """Compare one key's revision, then do one branch."""
        succeeded = all(self.holds(each) for each in request.get("compare", []))
        branch = request.get("success" if succeeded else "failure", [])
        responses = [self.operate(each) for each in branch]
        return {
            "header": self.header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def holds(self, compare: dict[str, Any]) -> bool:
        """Tell whether a comparison of a revision holds."""
        entry = self.entries.get(compare["key"])
        return (entry.revision if entry else 0) == int(compare["mod_revision"])

    def operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Do one operation of a transaction."""
        if "request_put" in operation:
            return {"response_put": self.put(operation["request_put"])}
        return {"response_range": self.range(operation["request_range"])}

    def grant(self, request: dict[str, Any]) -> dict[str, Any]:
        """Open a lease."""
        self.revision += 1
        seconds = int(request["TTL"])
        lease = int(request.get("ID", 0)) or self.revision
        self.leases[lease] = Lease(seconds, time.monotonic() + seconds)
        return {"header": self.header(), "ID": str(lease), "TTL": str(seconds)}

    def keep_alive(self, request: dict[str, Any]) -> dict[str, Any]:
        """Prolong a lease; a TTL of 0 says that it is gone."""
        lease = self.leases.get(int(request["ID"]))
        if lease is None:
            return {"result": {"ID": request["ID"], "TTL": "0"}}
        lease.ends = time.monotonic() + lease.seconds
        return {"result": {"ID": request["ID"], "TTL": str(lease.seconds)}}

    def revoke(self, request: dict[str, Any]) -> dict[str, Any]:
        """End a lease now."""
        lease = self.leases.get(int(request["ID"]))
        if lease is not None:
            lease.ends = 0.0
            self.expire()
        return {"header": self.header()}

    def notify(self, key: str, event: dict[str, Any]) -> None:
        """Tell the watches of a key."""
        for watch in self.watches.get(key, []):
            watch.put(event)

    def kv(self, key: str, entry: Entry) -> dict[str, Any]:
        """Return an entry as the protocol writes it."""
        revision = str(entry.revision)
        return {"key": key, "value": entry.value, "mod_revision": revision}

    def header(self) -> dict[str, Any]:
        """Return the header of an answer."""
        return {"revision": str(self.revision)}


class KeyValueService:
    """The service over HTTP."""

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.operations = {
            "/v3/kv/range": self.store.range,
            "/v3/kv/put": self.store.put,
            "/v3/kv/txn": self.store.txn,
            "/v3/lease/grant": self.store.grant,
            "/v3/lease/keepalive": self.store.keep_alive,
            "/v3/lease/revoke": self.store.revoke,
        }

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Serve one call."""
        path = environ["PATH_INFO"]
        request = read_json(environ)
        if path.startswith("/standin/"):
            return self.control(path, request, start)
        with self.store.lock:
            self.calls[path] += 1
        if self.faults.down:
            return send_json(start, {"error": "down"}, "503 Service Unavailable")
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if path == "/v3/watch":
            start("200 OK", [("Content-Type", "application/json")])
            return self.watch(request["create_request"])
        return self.operate(path, request, start)

    def operate(self, path: str, request: Any, start: StartResponse) -> Any:
        """Do one operation, and lose its answer if that is asked for."""
        with self.store.lock:
            self.store.expire()
            answer = self.operations[path](request)
            written = path in ("/v3/kv/put", "/v3/kv/txn")
            if written and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return send_json(start, {"error": "lost"}, "504 Gateway Timeout")
        return send_json(start, answer)

    def watch(self, request: dict[str, Any]) -> Iterator[bytes]:
        """Send each change of a key as a line."""
        events: queue.SimpleQueue = queue.SimpleQueue()
        with self.store.lock:
            self.store.watches.setdefault(request["key"], []).append(events)
        try:
            yield _line({"header": self.store.header(), "created": True})
            while not self.faults.down:
                try:
                    event = events.get(timeout=1.0)
                except queue.Empty:
                    yield _line({"header": self.store.header()})
                    continue
                yield _line({"header": self.store.header(), "events": [event]})
        finally:
            with self.store.lock:
                self.store.watches[request["key"]].remove(events)

    def control(self, path: str, request: Any, start: StartResponse) -> Any:
        """Set faults, or tell the counts and the stored documents."""
        if path == "/standin/faults":
            for name, value in request.items():
                setattr(self.faults, name, value)
        with self.store.lock:
            values = {
                base64.b64decode(key).decode(): entry.value
                for key, entry in self.store.entries.items()
            }
            return send_json(start, {"calls": dict(self.calls), "values": values})


def _line(result: dict[str, Any]) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


def main() -> None:
    """Run the stand-in."""
    options = parser("Stand-in for the key-value service.").parse_args()
    serve(KeyValueService(), options.port)


if __name__ == "__main__":
    main()
