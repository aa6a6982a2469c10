"""Client of the platform's key-value store, over HTTP with JSON bodies."""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable, Mapping
from typing import Annotated, Any
from urllib.parse import urlencode

import urllib3
from pydantic import BaseModel, BeforeValidator, Field, ValidationError
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from hawthornstage.border.json_values import load_json
from hawthornstage.clock import Clock
from hawthornstage.decisions.circuit_breaker import CircuitBreaker
from hawthornstage.messages.store import (
    Changes,
    Committed,
    Conflict,
    HistoryCompacted,
    Item,
    LeaseGranted,
    LeaseLost,
    Listing,
    Put,
    Removal,
    StoreFailure,
    StoreNoResponse,
    StoreRefused,
)
from hawthornstage.platform.writable_text import ReplacedText
from hawthornstage.store_epoch import StoreEpoch

# Timeouts for connecting and for the response, in seconds.
CONNECT_TIMEOUT_S = 0.8
RESPONSE_TIMEOUT_S = 1.2
# A connection on which the store acknowledges nothing for this time is closed, in
# milliseconds.
DEAD_CONNECTION_MS = 1_500
# TCP keep-alive: idle time and interval between probes in seconds, and the number of
# unanswered probes after which the connection is closed.
PROBE_PERIOD_S = 1
MAX_LOST_PROBES = 1
# Counts how often the store was restored from a copy; most digits that are read.
EPOCH_HEADER = "Store-Era"
MAX_EPOCH_DIGITS = 18
# Status codes with which the store states that a call had no effect.
REFUSAL_STATUSES = frozenset({429, 503})
# Status codes with which the store rejects a call as invalid, so that it had no effect.
INVALID_STATUSES = frozenset({400, 413})
# Names of the failures in the metrics.
FAILURE_NAMES: dict[type, str] = {
    StoreRefused: "StoreRefused",
    StoreNoResponse: "StoreSilent",
}

Base64Bytes = Annotated[bytes, BeforeValidator(lambda text: base64.b64decode(text))]


class ItemModel(BaseModel):
    """An item as encoded by the store."""

    key: ReplacedText
    value: Base64Bytes = b""
    revision: int
    removed: bool = False

    def to_item(self) -> Item:
        """Convert to the item that the rest of the code uses."""
        return Item(self.key, self.value, self.revision)

    def to_event(self) -> Item | Removal:
        """Convert to an event of a watch."""
        return Removal(self.key, self.revision) if self.removed else self.to_item()


class PageModel(BaseModel):
    """A page of a range read."""

    entries: list[ItemModel]
    more: bool = Field(default=False, alias="has-more")
    at: int


class EventsModel(BaseModel):
    """The response to a watch."""

    events: list[ItemModel]
    at: int


class ConflictModel(BaseModel):
    """The response to a transaction whose conditions do not hold.

    A key that does not exist may be listed without a value or omitted.
    """

    entries: list[dict[str, Any]] = []

    def to_items(self) -> tuple[Item, ...]:
        """Return the items of the keys that exist."""
        found = [e for e in self.entries if e.get("revision") and "value" in e]
        return tuple(ItemModel.model_validate(each).to_item() for each in found)


class CommitModel(BaseModel):
    """The response to a committed transaction."""

    revision: int


class LeaseModel(BaseModel):
    """A lease; the response to a renewal omits its id."""

    lease: int = 0
    ttl_ms: int = Field(alias="ttl-ms")


class StoreClient:
    """HTTP client of the store.

    A task with long calls, such as a watch, needs a client of its own.

    Args:
        address: Returns the store's `IP:PORT`, which may change.
        timeout_s: Response timeout in seconds.
        count: Called after each call with its kind and the status or failure.
        circuit: Shared by all clients of a process, so that an outage is probed by one
            of them at a time.
        clock: The runtime's clock.
        epochs: Shared by all clients of a process; records the store's epoch.
    """

    def __init__(
        self,
        address: Callable[[], str],
        *,
        timeout_s: float = RESPONSE_TIMEOUT_S,
        count: Callable[[str, str], None] | None = None,
        circuit: CircuitBreaker | None = None,
        clock: Clock | None = None,
        epochs: StoreEpoch | None = None,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.count = count or (lambda kind, outcome: None)
        self.circuit = circuit or CircuitBreaker()
        self.clock = clock or Clock()
        self.epochs = epochs
        self.pool_address = address()
        self.pool = self.connect(self.pool_address)

    @property
    def epoch(self) -> int:
        """The latest epoch of the store that this process has seen, 0 if unknown."""
        return self.epochs.number if self.epochs else 0

    def connect(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return a connection pool for an address."""
        host, _, port = address.rpartition(":")
        options = [
            *HTTPConnection.default_socket_options,
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_CONNECTION_MS),
            # Probes detect a dead connection while a watch waits on it.
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PERIOD_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_LOST_PROBES),
        ]
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=2, retries=False, socket_options=options
        )

    def get(self, key: str) -> Item | None | StoreFailure:
        """Read one item, at least as new as any response before."""
        outcome = self.call("GET", "/-/kv-key", {"key": key})
        match outcome:
            case (404, _):
                return None
            case (200, body):
                return self.decode(
                    body, lambda b: ItemModel.model_validate(b).to_item()
                )
            case _:
                return to_failure(outcome)

    def list(self, prefix: str, *, stale: bool = False) -> Listing | StoreFailure:
        """Read all items below a prefix.

        Args:
            prefix: Prefix of the keys.
            stale: Whether to allow a cheaper read that may be seconds out of date.
        """
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"path-prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["stale-ok"] = "1"
            outcome = self.call("GET", "/-/kv-range", query)
            match outcome:
                case (200, body):
                    page = self.decode(body, PageModel.model_validate)
                case _:
                    return to_failure(outcome)
            if not isinstance(page, PageModel):
                return page
            # A watch that continues at the first page's revision misses no change.
            revision = page.at if revision is None else revision
            items += [each.to_item() for each in page.entries]
            if not page.more or not page.entries:
                return Listing(tuple(items), revision)
            after = page.entries[-1].key

    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryCompacted | StoreFailure:
        """Wait for changes below a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are reported.
            wait_s: Longest wait in seconds.
        """
        query = {
            "path-prefix": prefix,
            "after": str(after),
            "wait-ms": str(int(wait_s * 1000)),
        }
        outcome = self.call("GET", "/-/kv-watch", query, wait_s=wait_s)
        match outcome:
            case (410, _):
                return HistoryCompacted()
            case (200, body):
                answer = self.decode(body, EventsModel.model_validate)
            case _:
                return to_failure(outcome)
        if not isinstance(answer, EventsModel):
            return answer
        events = tuple(each.to_event() for each in answer.events)
        return Changes(events, answer.at)

    def transact(
        self,
        expected: Mapping[str, int],
        *,
        puts: tuple[Put, ...] = (),
        removes: tuple[str, ...] = (),
    ) -> Committed | Conflict | LeaseLost | StoreFailure:
        """Write atomically if every expected key is at its revision.

        Args:
            expected: Expected revisions by key; 0 if the key must not exist.
            puts: Values to write.
            removes: Keys to remove.
        """
        body = {
            "if-revision": [{"key": k, "revision": r} for k, r in expected.items()],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(removes),
        }
        outcome = self.call("POST", "/-/kv-txn", body=body)
        match outcome:
            case (200, answer):
                return self.decode(
                    answer, lambda b: Committed(CommitModel.model_validate(b).revision)
                )
            case (412, answer):
                return self.decode(
                    answer,
                    lambda b: Conflict(ConflictModel.model_validate(b).to_items()),
                )
            case (404, _):
                return LeaseLost()
            case _:
                return to_failure(outcome)

    def grant_lease(self, ttl_s: float) -> LeaseGranted | StoreFailure:
        """Request a lease of about `ttl_s` seconds."""
        outcome = self.call("POST", "/-/kv-lease", body={"ttl-ms": int(ttl_s * 1000)})
        match outcome:
            case (200, body):
                return self.decode(body, to_lease)
            case _:
                return to_failure(outcome)

    def renew_lease(self, lease: int) -> LeaseGranted | LeaseLost | StoreFailure:
        """Renew a lease; its time to live restarts when the store gets the call."""
        outcome = self.call("POST", f"/-/kv-keep/{lease}")
        match outcome:
            case (200, body):
                return self.decode(body, to_lease)
            case (404, _):
                return LeaseLost()
            case _:
                return to_failure(outcome)

    def end_lease(self, lease: int) -> StoreFailure | None:
        """Revoke a lease, which removes its keys."""
        outcome = self.call("DELETE", f"/-/kv-lease-end/{lease}")
        match outcome:
            case (200 | 204 | 404, _):
                return None
            case _:
                return to_failure(outcome)

    def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        *,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes] | StoreFailure:
        """Make one call, count it, and return its status and body.

        Connects anew if the store's address has changed. While the circuit is open,
        the call is refused without being made.
        """
        if not self.circuit.allows(self.clock.monotonic()):
            return StoreRefused("the store does not respond at present")
        if self.address() != self.pool_address:
            self.pool_address = self.address()
            self.pool = self.connect(self.pool_address)
        outcome = self.request(method, path, query, body, wait_s)
        kind = path.removeprefix("/-/").partition("/")[0]
        match outcome:
            case (status, _):
                self.circuit.record_success()
                self.count(kind, str(status))
            case failure:
                self.circuit.record_failure(self.clock.monotonic())
                self.count(kind, FAILURE_NAMES[type(failure)])
        return outcome

    def request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: Any,
        wait_s: float,
    ) -> tuple[int, bytes] | StoreFailure:
        """Make one call through the connection pool."""
        url = f"{path}?{urlencode(query)}" if query else path
        try:
            response = self.pool.request(
                method,
                url,
                body=None if body is None else json.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=wait_s + self.timeout_s
                ),
            )
        except (ConnectTimeoutError, NewConnectionError) as error:
            return StoreRefused(f"cannot connect to the store: {error}")
        except HTTPError as error:
            return StoreNoResponse(str(error))
        if self.epochs is not None:
            self.epochs.observe(parse_epoch(response.headers.get(EPOCH_HEADER)))
        if response.status in REFUSAL_STATUSES:
            return StoreRefused(f"the store responded with status {response.status}")
        return response.status, response.data

    def decode(self, body: bytes, convert: Any) -> Any:
        """Decode a response body; an invalid one counts as no response."""
        try:
            return convert(load_json(body))
        except (ValueError, ValidationError) as error:
            return StoreNoResponse(f"invalid response from the store: {error}")


def parse_epoch(value: str | None) -> int:
    """Return the epoch that a response names, or 0 if it names none."""
    if value is None or not value.strip().isascii() or not value.strip().isdigit():
        return 0
    return int(value.strip()[:MAX_EPOCH_DIGITS])


def to_lease(body: Any) -> LeaseGranted:
    """Return the lease described by a response body."""
    model = LeaseModel.model_validate(body)
    return LeaseGranted(model.lease, model.ttl_ms / 1000)


def to_failure(outcome: tuple[int, bytes] | StoreFailure) -> StoreFailure:
    """Return a failure unchanged; an undocumented status counts as no response."""
    match outcome:
        case (status, body) if status in INVALID_STATUSES:
            return StoreRefused(f"invalid call, status {status}: {body[:80]!r}")
        case (status, _):
            return StoreNoResponse(f"the store responded with status {status}")
        case failure:
            return failure
