"""A stand-in for a plain service that counts the requests that it ran.

Every POST is run each time it is received: idempotency keys are counted, but
repetitions are not suppressed.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import Any

from standins._http import StartResponse, option_parser, read_bytes, send_json, serve


class Service:
    """The service over HTTP.

    Args:
        name: The server's name.
        delay_s: Duration of a call, in seconds.
    """

    def __init__(self, name: str, delay_s: float) -> None:
        self.name = name
        self.delay_s = delay_s
        self.ran: Counter[str] = Counter()
        self.reads = 0
        self.lock = threading.Lock()

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/standin/counts":
            with self.lock:
                return send_json(start, {"ran": dict(self.ran), "reads": self.reads})
        body = read_bytes(environ)
        time.sleep(self.delay_s)
        with self.lock:
            if environ["REQUEST_METHOD"] == "GET":
                self.reads += 1
                return send_json(start, {"path": path, "server": self.name})
            key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
            self.ran[key] += 1
            number = sum(self.ran.values())
        document = {"booked": number, "bytes": len(body), "server": self.name}
        return send_json(start, document, "201 Created")


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for a plain service.")
    options.add_argument("--name", default="service")
    options.add_argument("--delay-s", type=float, default=0.01)
    arguments = options.parse_args()
    serve(Service(arguments.name, arguments.delay_s), arguments.port)


if __name__ == "__main__":
    main()
