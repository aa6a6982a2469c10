"""A stand-in for a model engine: an OpenAI-style API with generated words.

The answer to a prompt is deterministic: `answer_words` returns it, so that callers
can check that they received the whole answer to their own request. `tokens=N` in the
prompt sets the answer's length, and `crash-the-engine` in it ends the process.
`GET /standin/counts` returns the executed calls.
"""

from __future__ import annotations

import hashlib
import json
import os
import re
import threading
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

from standins._http import StartResponse, option_parser, read_json, send_json, serve

CRASH_MARKER = "crash-the-engine"


@dataclass
class Run:
    """An executed call."""

    request_id: str
    prompt_tokens: int
    completion_tokens: int = 0
    complete: bool = False
    priority: int = 0
    cached: bool = False


@dataclass
class Slots:
    """Limits the calls that run at a time; lower priority numbers run first."""

    free: int
    waiting: list[tuple[int, int]] = field(default_factory=list)
    running: int = 0
    last_ticket: int = 0
    condition: threading.Condition = field(default_factory=threading.Condition)

    def acquire(self, priority: int) -> None:
        """Wait for a free slot and take it."""
        with self.condition:
            self.last_ticket += 1
            waiter = (priority, self.last_ticket)
            self.waiting.append(waiter)
            while self.free == 0 or min(self.waiting) != waiter:
                self.condition.wait()
            self.waiting.remove(waiter)
            self.free -= 1
            self.running += 1
            self.condition.notify_all()

    def release(self) -> None:
        """Free the slot."""
        with self.condition:
            self.free += 1
            self.running -= 1
            self.condition.notify_all()


def prompt_text(body: dict[str, Any]) -> str:
    """Return the contents of a call's messages, joined by newlines."""
    return "\n".join(str(message.get("content")) for message in body["messages"])


def answer_words(prompt: str, max_tokens: int) -> list[str]:
    """Return the answer to a prompt as words, one for each token."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    requested_length = re.search(r"tokens=(\d+)", prompt)
    length = (
        int(requested_length.group(1)) if requested_length else 8 + int(digest, 16) % 16
    )
    return [f"{digest}-{number} " for number in range(min(length, max_tokens))]


class Engine:
    """The engine over HTTP.

    Args:
        name: The server's name.
        tokens_per_s: Speed of one stream, in tokens per second.
        first_token_s: Time to the first token, in seconds.
        slots: Number of calls that run at a time.
        report_lag_s: Age of the reported load, in seconds.
        fencing: Whether orders with an old fencing number are refused.
    """

    def __init__(
        self,
        name: str,
        *,
        tokens_per_s: float,
        first_token_s: float,
        slots: int,
        report_lag_s: float,
        fencing: bool,
    ) -> None:
        self.name = name
        self.token_interval_s = 1.0 / tokens_per_s
        self.first_token_s = first_token_s
        self.slots = Slots(slots)
        self.report_lag_s = report_lag_s
        self.fencing = fencing
        self.runs: list[Run] = []
        self.prefixes: list[str] = []
        self.draining = False
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.reports: list[tuple[float, int, int]] = []

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        match environ["PATH_INFO"]:
            case "/v1/chat/completions":
                return self.chat(environ, start)
            case "/load":
                return send_json(start, self.load())
            case "/orders":
                return self.order(read_json(environ), start)
            case "/standin/drain":
                self.draining = True
                return send_json(start, {})
            case "/standin/counts":
                runs = [asdict(run) for run in self.runs]
                return send_json(start, {"runs": runs, "orders": self.orders})
            case _:
                return send_json(start, {"error": "no such path"}, "404 Not Found")

    def chat(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Serve a chat completion."""
        body = read_json(environ)
        prompt = prompt_text(body)
        if CRASH_MARKER in prompt:
            os._exit(1)
        run = Run(
            environ.get("HTTP_X_REQUEST_ID", ""),
            len(prompt.split()),
            priority=int(body.get("priority", 0)),
            cached=prompt[:256] in self.prefixes,
        )
        self.prefixes = [*self.prefixes, prompt[:256]][-64:]
        self.runs.append(run)
        words = answer_words(prompt, int(body.get("max_tokens", 1024)))
        if body.get("stream"):
            start("200 OK", [("Content-Type", "text/event-stream")])
            return self.stream(run, words)
        text = "".join(self.generate(run, words))
        run.complete = True
        document = {
            "id": run.request_id,
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": self.usage(run),
        }
        return send_json(start, document)

    def generate(self, run: Run, words: list[str]) -> Iterator[str]:
        """Yield the answer's words at the engine's speed."""
        self.slots.acquire(run.priority)
        try:
            time.sleep(self.first_token_s * (0.5 if run.cached else 1.0))
            for word in words:
                run.completion_tokens += 1
                yield word
                time.sleep(self.token_interval_s)
        finally:
            self.slots.release()

    def stream(self, run: Run, words: list[str]) -> Iterator[bytes]:
        """Yield the answer as server-sent events."""
        for word in self.generate(run, words):
            yield self.chunk(run, {"content": word}, None)
        run.complete = True
        yield self.chunk(run, {}, "stop")
        yield _server_sent_event(
            {"id": run.request_id, "choices": [], "usage": self.usage(run)}
        )
        yield b"data: [DONE]\n\n"

    def chunk(self, run: Run, delta: dict[str, str], finish: str | None) -> bytes:
        """Return one chunk of a streamed answer."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        return _server_sent_event(
            {
                "id": run.request_id,
                "object": "chat.completion.chunk",
                "choices": [choice],
                "usage": self.usage(run),
            }
        )

    def usage(self, run: Run) -> dict[str, int]:
        """Return the token usage of a call so far."""
        return {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.completion_tokens,
            "total_tokens": run.prompt_tokens + run.completion_tokens,
        }

    def load(self) -> dict[str, Any]:
        """Return the load report from `report_lag_s` ago."""
        now = time.monotonic()
        self.reports.append((now, self.slots.running, len(self.slots.waiting)))
        self.reports = [r for r in self.reports if now - r[0] <= self.report_lag_s + 1]
        old = [r for r in self.reports if now - r[0] >= self.report_lag_s]
        at, running, queued = (old or self.reports)[-1 if old else 0]
        return {
            "running": running,
            "queued": queued,
            "age_s": now - at,
            "draining": self.draining,
        }

    def order(self, order: dict[str, Any], start: StartResponse) -> Any:
        """Accept an order, or refuse it if fencing is on and its number is old."""
        fencing_number = int(order.get("fence", 0))
        if self.fencing and fencing_number < self.fence:
            return send_json(start, {"error": "old fencing number"}, "409 Conflict")
        self.fence = max(self.fence, fencing_number)
        self.orders.append(order)
        return send_json(start, {"done": True})


def _server_sent_event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for a model engine.")
    options.add_argument("--name", default="engine")
    options.add_argument("--tokens-per-s", type=float, default=200.0)
    options.add_argument("--first-token-s", type=float, default=0.02)
    options.add_argument("--slots", type=int, default=32)
    options.add_argument("--report-lag-s", type=float, default=1.0)
    options.add_argument("--ignore-fencing", action="store_true")
    arguments = options.parse_args()
    engine = Engine(
        arguments.name,
        tokens_per_s=arguments.tokens_per_s,
        first_token_s=arguments.first_token_s,
        slots=arguments.slots,
        report_lag_s=arguments.report_lag_s,
        fencing=not arguments.ignore_fencing,
    )
    serve(engine, arguments.port)


if __name__ == "__main__":
    main()
