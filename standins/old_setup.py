"""A stand-in for the old routing setup: uses the same budgets and claims.

`POST /run` runs a call (workspace, request_id, tokens) and `POST /book` a booking
(workspace, key), both through a router's API for the old setup. `GET /journal`
returns what it billed and ran. `POST /standin/bypass` makes it run and bill without
a reservation or a claim, as a faulty setup would.
"""

from __future__ import annotations

import json
import threading
import uuid
from typing import Any

import urllib3

from standins._http import StartResponse, option_parser, read_json, send_json, serve


class OldSetup:
    """The old setup over HTTP.

    Args:
        router: Base URL of the router that it calls.
        key: The old setup's key.
    """

    def __init__(self, router: str, key: str) -> None:
        self.router = router
        self.key = key
        self.bypass = False
        self.bills: list[dict[str, Any]] = []
        self.ran: list[dict[str, str]] = []
        self.lock = threading.Lock()
        self.pool = urllib3.PoolManager(maxsize=50, retries=False)

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Handle one HTTP request."""
        body = read_json(environ)
        match environ["PATH_INFO"]:
            case "/run":
                return send_json(start, self.run(**body))
            case "/book":
                return send_json(start, self.book(**body))
            case "/standin/bypass":
                self.bypass = True
                return send_json(start, {})
            case _:
                with self.lock:
                    return send_json(start, {"bills": self.bills, "ran": self.ran})

    def run(self, workspace: str, request_id: str, tokens: int) -> dict[str, Any]:
        """Reserve twice the tokens that are used, run the call, and settle."""
        bill = {"workspace": workspace, "request_id": request_id, "tokens": tokens}
        if not self.bypass:
            reservation_request = {"workspace": workspace, "tokens": 2 * tokens}
            status, answer = self.call_router("reserve", reservation_request)
            if status != 200:
                return {"ran": False, "status": status}
            status, _ = self.call_router(
                "settle", {**bill, "reservation": answer["reservation"]}
            )
            if status != 200:
                return {"ran": True, "status": status}
        with self.lock:
            self.bills.append(bill)
        return {"ran": True, "status": 200}

    def book(self, workspace: str, key: str) -> dict[str, Any]:
        """Claim the booking, run it, and store the outcome."""
        claim = {"workspace": workspace, "key": key, "attempt": uuid.uuid4().hex}
        if not self.bypass:
            status, answer = self.call_router("claim", {**claim, "fingerprint": key})
            if status != 200:
                return {"ran": False, "status": status, **answer}
        with self.lock:
            self.ran.append({"workspace": workspace, "key": key})
        if not self.bypass:
            self.call_router("outcome", {**claim, "status": 201})
        return {"ran": True, "status": 201}

    def call_router(self, operation: str, document: dict[str, Any]) -> tuple[int, Any]:
        """Call a router's API for the old setup; return the status and the document."""
        response = self.pool.request(
            "POST",
            f"{self.router}/old/v1/{operation}",
            body=json.dumps(document),
            headers={"Authorization": f"Bearer {self.key}"},
            timeout=20.0,
        )
        return response.status, json.loads(response.data)


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for the old routing setup.")
    options.add_argument("--router", required=True)
    options.add_argument("--key", required=True)
    arguments = options.parse_args()
    serve(OldSetup(arguments.router, arguments.key), arguments.port)


if __name__ == "__main__":
    main()
