"""Accept: turns what the front end received into a request."""

from __future__ import annotations

import hashlib
import threading
import uuid
from dataclasses import dataclass

from hawthornstage.border.chat import CallFault, parse_chat
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import (
    Call,
    Exchange,
    IncomingCall,
    Request,
    ServiceCall,
)

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"
# The purpose of chat calls that name none.
DEFAULT_PURPOSE = "chat"
MAX_KEY_CHARACTERS = 255
SERVICE_METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


class Gate:
    """Counts the requests in the pipe, and turns new ones away at the limit.

    Args:
        limit: Most requests at a time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.inside = 0
        self.closed = False
        self.condition = threading.Condition()

    def enter(self) -> ErrorKind | None:
        """Count one request in, or say why not."""
        with self.condition:
            if self.closed:
                return ErrorKind.DRAINING
            if self.inside >= self.limit:
                return ErrorKind.OVERLOADED
            self.inside += 1
            return None

    def leave(self) -> None:
        """Count one request out."""
        with self.condition:
            self.inside -= 1
            self.condition.notify_all()

    def close(self) -> None:
        """Turn away everything from now on."""
        with self.condition:
            self.closed = True

    def wait_empty(self, clock: Clock, timeout: float) -> bool:
        """Wait until no request is in the pipe; False after `timeout` seconds."""
        deadline = clock.monotonic() + timeout
        with self.condition:
            while self.inside:
                remaining = deadline - clock.monotonic()
                if remaining <= 0:
                    return False
                clock.wait(self.condition, remaining)
        return True


@dataclass(frozen=True)
class Accept:
    """Parses and checks a call.

    Args:
        clock: The runtime's clock.
    """

    clock: Clock

    def open(self, raw: IncomingCall) -> Exchange | Failure:
        """Return a new exchange, or why the call is malformed."""
        key = raw.headers.get("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
            detail = f"Idempotency-Key: 1 to {MAX_KEY_CHARACTERS} characters"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        parsed = self.parse(raw)
        if isinstance(parsed, Failure):
            return parsed
        purpose, call = parsed
        fingerprint = fingerprint_of(raw, purpose)
        request = Request(
            id=request_id(key, fingerprint),
            credentials=raw.headers.get("authorization", "").removeprefix("Bearer "),
            purpose=purpose,
            call=call,
            idempotency_key=key,
            fingerprint=fingerprint,
            arrived=self.clock.monotonic(),
        )
        return Exchange(request, attempt=uuid.uuid4().hex)

    def parse(self, raw: IncomingCall) -> tuple[str, Call] | Failure:
        """Return the purpose and the call."""
        if raw.path == CHAT_PATH:
            if raw.method != "POST":
                return Failure(ErrorKind.BAD_REQUEST, f"{CHAT_PATH} takes POST only")
            try:
                call = parse_chat(raw.body)
            except CallFault as fault:
                return Failure(ErrorKind.BAD_REQUEST, str(fault))
            return raw.headers.get("x-purpose", DEFAULT_PURPOSE), call
        return self.parse_service(raw)

    def parse_service(self, raw: IncomingCall) -> tuple[str, Call] | Failure:
        """Return the purpose and the call of a plain service."""
        if not raw.path.startswith(SERVICES_PATH):
            return Failure(ErrorKind.NO_ROUTE, f"nothing is served at {raw.path}")
        if raw.method not in SERVICE_METHODS:
            return Failure(
                ErrorKind.BAD_REQUEST, f"method {raw.method} is not passed on"
            )
        purpose, _, rest = raw.path.removeprefix(SERVICES_PATH).partition("/")
        if not purpose:
            detail = f"a purpose must follow {SERVICES_PATH}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        path = "/" + rest + (f"?{raw.query}" if raw.query else "")
        content_type = raw.headers.get("content-type", "application/octet-stream")
        return purpose, ServiceCall(raw.method, path, raw.body, content_type)


def fingerprint_of(raw: IncomingCall, purpose: str) -> str:
    """Hash what makes two calls the same call."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (raw.method, raw.path, raw.query, purpose):
        digest.update(part.encode() + b"\n")
    digest.update(raw.body)
    return digest.hexdigest()


def request_id(key: str | None, fingerprint: str) -> str:
    """Name a request: the same for each retry with the same key and call."""
    if key is None:
        return uuid.uuid4().hex[:24]
    joined = f"{key}\n{fingerprint}".encode()
    return "k" + hashlib.blake2b(joined, digest_size=12).hexdigest()
