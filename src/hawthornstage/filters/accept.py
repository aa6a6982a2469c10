"""Accept: parses what the front end received into a request."""

from __future__ import annotations

import hashlib
import threading
import uuid
from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.chat_parser import ParseChat
from hawthornstage.clock import Clock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import (
    Call,
    ChatCall,
    Exchange,
    IncomingCall,
    Request,
    ServiceCall,
)

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"
# Purpose of chat calls without an X-Purpose header.
DEFAULT_PURPOSE = "chat"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
# Longest wait until a chat is parsed, behind others, in seconds.
PARSING_TIMEOUT_S = 10.0
SERVICE_METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


class AdmissionGate:
    """Bounds the number of requests in the pipe.

    Args:
        limit: Maximum number of concurrent requests.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self.closed = False
        self.condition = threading.Condition()

    def enter(self) -> ErrorKind | None:
        """Admit a request; return the error kind if it is rejected, None otherwise."""
        with self.condition:
            if self.closed:
                return ErrorKind.DRAINING
            if self.in_flight >= self.limit:
                return ErrorKind.OVERLOADED
            self.in_flight += 1
            return None

    def leave(self) -> None:
        """Record that an admitted request has left the pipe."""
        with self.condition:
            self.in_flight -= 1
            self.condition.notify_all()

    def close(self) -> None:
        """Reject all further requests."""
        with self.condition:
            self.closed = True

    def wait_until_idle(self, clock: Clock, timeout: float) -> bool:
        """Wait until no request is in the pipe.

        Args:
            clock: Source of time and timeouts.
            timeout: Longest wait, in seconds.

        Returns:
            False if requests are still in the pipe after the timeout.
        """
        deadline = clock.monotonic() + timeout
        with self.condition:
            while self.in_flight:
                remaining = deadline - clock.monotonic()
                if remaining <= 0:
                    return False
                clock.wait(self.condition, remaining)
        return True


@dataclass(frozen=True)
class Accept:
    """Parses and validates a call.

    Args:
        parser: Task that parses chat requests.
        clock: Source of time.
    """

    parser: pykka.ActorRef
    clock: Clock

    def create_exchange(self, raw: IncomingCall) -> Exchange | Failure:
        """Return a new exchange, or the failure if the call is malformed."""
        key = raw.headers.get("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
            detail = (
                f"Idempotency-Key has {len(key)} characters, expected 1 to"
                f" {MAX_IDEMPOTENCY_KEY_LENGTH}"
            )
            return Failure(ErrorKind.BAD_REQUEST, detail)
        parsed = self.parse_call(raw)
        if isinstance(parsed, Failure):
            return parsed
        purpose, call = parsed
        fingerprint = fingerprint_of(raw, purpose)
        request = Request(
            id=derive_request_id(key, fingerprint),
            credentials=raw.headers.get("authorization", "").removeprefix("Bearer "),
            purpose=purpose,
            call=call,
            idempotency_key=key,
            fingerprint=fingerprint,
            arrived=self.clock.monotonic(),
        )
        return Exchange(request, attempt=uuid.uuid4().hex)

    def parse_call(self, raw: IncomingCall) -> tuple[str, Call] | Failure:
        """Return the purpose and the parsed call, or the failure if it is malformed."""
        if raw.path == CHAT_PATH:
            if raw.method != "POST":
                return Failure(
                    ErrorKind.BAD_REQUEST,
                    f"method {raw.method} is not allowed at {CHAT_PATH}, expected POST",
                )
            call = self.parse_chat(raw.body)
            if isinstance(call, Failure):
                return call
            return raw.headers.get("x-purpose", DEFAULT_PURPOSE), call
        return self.parse_service(raw)

    def parse_chat(self, body: bytes) -> ChatCall | Failure:
        """Return a parsed chat, or why it is refused."""
        parsed = ask(
            self.parser, ParseChat(body), self.clock, timeout=PARSING_TIMEOUT_S
        )
        if parsed is None:
            return Failure(ErrorKind.OVERLOADED, "the request was not parsed in time")
        return parsed

    def parse_service(self, raw: IncomingCall) -> tuple[str, Call] | Failure:
        """Return the purpose and the call of a request to a plain service."""
        if not raw.path.startswith(SERVICES_PATH):
            return Failure(ErrorKind.NO_ROUTE, f"no service at path {raw.path}")
        if raw.method not in SERVICE_METHODS:
            return Failure(ErrorKind.BAD_REQUEST, f"method {raw.method} is not allowed")
        purpose, _, rest = raw.path.removeprefix(SERVICES_PATH).partition("/")
        if not purpose:
            detail = f"path {raw.path} has no purpose after {SERVICES_PATH}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        path = "/" + rest + (f"?{raw.query}" if raw.query else "")
        content_type = raw.headers.get("content-type", "application/octet-stream")
        return purpose, ServiceCall(raw.method, path, raw.body, content_type)


def fingerprint_of(raw: IncomingCall, purpose: str) -> str:
    """Return a hash of the method, target, purpose and body of a call."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (raw.method, raw.path, raw.query, purpose):
        digest.update(part.encode() + b"\n")
    digest.update(raw.body)
    return digest.hexdigest()


def derive_request_id(key: str | None, fingerprint: str) -> str:
    """Return a request id, which is the same for retries with the same key and call.

    A request without an idempotency key gets a random id.
    """
    if key is None:
        return uuid.uuid4().hex[:24]
    joined = f"{key}\n{fingerprint}".encode()
    return "k" + hashlib.blake2b(joined, digest_size=12).hexdigest()
