"""A stand-in for the platform's host list; changes become visible after a lag.

`POST /standin/hosts` sets a host's state: `live`, `leaving` or `gone`.
"""

from __future__ import annotations

import threading
import time
from typing import Any

from standins._http import StartResponse, option_parser, read_json, send_json, serve


class HostListService:
    """The host list over HTTP.

    Args:
        lag_s: Time until a change becomes visible, in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.changes: list[tuple[float, str, str]] = []
        self.lock = threading.Lock()

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        if environ["PATH_INFO"] == "/standin/hosts":
            change = read_json(environ)
            with self.lock:
                at = time.monotonic() + self.lag_s
                self.changes.append((at, change["name"], change["state"]))
            return send_json(start, {})
        return send_json(start, {"hosts": self.visible_hosts()})

    def visible_hosts(self) -> list[dict[str, str]]:
        """Return the hosts that are visible now, with their states."""
        now = time.monotonic()
        with self.lock:
            states = {name: state for at, name, state in self.changes if at <= now}
        return [
            {"name": name, "state": state}
            for name, state in states.items()
            if state != "gone"
        ]


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for the platform's host list.")
    options.add_argument("--lag-s", type=float, default=1.0)
    arguments = options.parse_args()
    serve(HostListService(arguments.lag_s), arguments.port)


if __name__ == "__main__":
    main()
