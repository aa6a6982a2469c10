"""A stand-in for a backend server on the users' platform.

It responds to a call with `done:` and the call's body, streams events if the call has
the header X-Token-Counts, and refuses calls that target another server. A call whose
body is `deadly` ends the process. Its report tells which start of the server it is.
`POST /standin/behave` sets `full` (refuses all calls), `event_s` (interval between
events, in seconds), `calls_per_s` (the limit that its responses name, or None),
`break_after` (a stream that begins here ends in the middle of the event after so many,
or None), `work_s` (duration of other calls, in seconds), `room` (calls that it runs at
a time, or None; it rejects others) and `fragile` (calls that it can reject in a
second, which its responses name, or None; with more it fails for a while), `leaving`
(its responses say that it leaves) and `closed_for_s` (it rejects calls and wants
none for that time, in seconds, or None).
"""

from __future__ import annotations

import os
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

from standins._http import (
    StartResponse,
    option_parser,
    read_bytes,
    read_json,
    send_json,
    serve,
)

# Body of a call that crashes the server.
DEADLY = b"deadly"
# Time for which a server that has failed is down, in seconds.
DOWN_S = 2.0


class Backend:
    """A backend server over HTTP that records the calls that it ran.

    Args:
        name: The instance id that calls must target.
        born: When it started, in milliseconds since the Unix epoch.
    """

    def __init__(self, name: str, born: int) -> None:
        self.name = name
        self.born = born
        self.full = False
        self.event_s = 0.0
        self.calls_per_s: float | None = None
        self.break_after: int | None = None
        self.work_s = 0.0
        self.room: int | None = None
        self.fragile: int | None = None
        self.leaving = False
        self.closed_for_s: float | None = None
        self.running = 0
        self.rejected: deque[float] = deque()
        self.failed_until = 0.0
        self.failures = 0
        self.arrivals: list[float] = []
        self.runs: Counter[str] = Counter()
        self.owners: dict[str, str] = {}
        self.tokens: Counter[str] = Counter()
        self.lock = threading.Lock()

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        if environ["PATH_INFO"].startswith("/standin/"):
            return self.control(environ, start)
        body = read_bytes(environ)
        if environ.get("HTTP_X_TARGET_INSTANCE", self.name) != self.name:
            headers = [("X-Instance-Id", self.name), ("X-Not-Executed", "1")]
            start("421 Misdirected Request", headers)
            return []
        if environ["PATH_INFO"] == "/-/report":
            return send_json(start, {"stage": "both", "born": self.born})
        if self.is_down():
            raise ConnectionAbortedError("this server has failed")
        closed = self.closed_for_s is not None
        if self.full or closed or not self.enter():
            with self.lock:
                self.arrivals.append(time.monotonic())
            headers = [("X-Not-Executed", "1"), *self.notice_headers()]
            if closed:
                headers.append(("Retry-After", str(self.closed_for_s)))
            headers.append(("X-Request-Id", environ["HTTP_X_REQUEST_ID"]))
            start("503 Service Unavailable", headers)
            return []
        try:
            return self.run(environ, body, start)
        finally:
            with self.lock:
                self.running -= 1

    def is_down(self) -> bool:
        """Return whether the server has failed and is not back."""
        return time.monotonic() < self.failed_until

    def enter(self) -> bool:
        """Begin a call if there is room; fail if too many are rejected."""
        now = time.monotonic()
        with self.lock:
            if self.room is None or self.running < self.room:
                self.running += 1
                return True
            self.rejected.append(now)
            while self.rejected[0] < now - 1.0:
                self.rejected.popleft()
            if self.fragile is not None and len(self.rejected) > self.fragile:
                self.rejected.clear()
                self.failures += 1
                self.failed_until = now + DOWN_S
        return False

    def notice_headers(self) -> list[tuple[str, str]]:
        """Return the headers in which the server tells of itself."""
        headers = []
        if self.calls_per_s is not None:
            headers.append(("Server-Limit", str(self.calls_per_s)))
        if self.fragile is not None:
            headers.append(("Server-Brittle", str(self.fragile)))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def run(self, environ: dict[str, Any], body: bytes, start: StartResponse) -> Any:
        """Run one call."""
        if body == DEADLY:
            os._exit(1)
        request_id = environ["HTTP_X_REQUEST_ID"]
        owner = environ.get("HTTP_X_TENANT", "")
        headers = [("X-Request-Id", request_id), ("X-Response-Seal", f"s-{request_id}")]
        headers += self.notice_headers()
        with self.lock:
            self.arrivals.append(time.monotonic())
            self.runs[request_id] += 1
            self.owners[request_id] = owner
        counts = environ.get("HTTP_X_TOKEN_COUNTS")
        if counts is None:
            time.sleep(self.work_s)
            answer = b"done:" + body
            start("200 OK", [*headers, ("Content-Length", str(len(answer)))])
            return [answer]
        tokens, count = (int(each) for each in counts.split(","))
        with self.lock:
            self.tokens[owner] += tokens
        start("200 OK", [*headers, ("Content-Type", "text/event-stream")])
        after = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
        return self.events(owner, after, count)

    def events(self, owner: str, after: int, count: int) -> Iterator[bytes]:
        """Yield the events after the event number `after`, one token each."""
        for number in range(after + 1, count + 1):
            if self.event_s:
                time.sleep(self.event_s)
            with self.lock:
                self.tokens[owner] += 1
            if after == 0 and self.break_after == number - 1:
                yield f"id: {number}\nda".encode()
                raise ConnectionAbortedError("told to break off this stream")
            yield f"id: {number}\ndata: t{number}\n\n".encode()

    def control(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Set the behaviour and return what the server ran."""
        request = read_json(environ)
        for name, value in request.items():
            setattr(self, name, value)
        with self.lock:
            return send_json(
                start,
                {
                    "runs": dict(self.runs),
                    "arrivals": self.arrivals,
                    "owners": self.owners,
                    "tokens": dict(self.tokens),
                    "failures": self.failures,
                },
            )


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for a backend server of the platform.")
    options.add_argument("--name", required=True)
    options.add_argument("--born", type=int, default=1)
    arguments = options.parse_args()
    serve(Backend(arguments.name, arguments.born), arguments.port)


if __name__ == "__main__":
    main()
