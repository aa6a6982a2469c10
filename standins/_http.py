"""Shared parts of the stand-ins: a small HTTP server and its command line."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

# Number of server threads of a stand-in, and so of the calls that it serves at a time.
MAX_CONCURRENT_CALLS = 300


def read_json(environ: dict[str, Any]) -> Any:
    """Return the request body parsed as JSON, or an empty mapping if it is empty."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    return json.loads(body) if body else {}


def read_bytes(environ: dict[str, Any]) -> bytes:
    """Return the request body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(length) if length else b""


def send_json(
    start: StartResponse, document: Any, status: str = "200 OK"
) -> list[bytes]:
    """Send a JSON response."""
    body = json.dumps(document).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start(status, headers)
    return [body]


def option_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every stand-in has."""
    new_parser = argparse.ArgumentParser(description=description)
    new_parser.add_argument(
        "--port", type=int, default=0, help="0 lets the system choose one"
    )
    return new_parser


def serve(application: Application, port: int) -> None:
    """Serve until SIGTERM; the first line of output contains the port."""
    server = wsgi.Server(
        ("127.0.0.1", port),
        application,
        numthreads=MAX_CONCURRENT_CALLS,
        request_queue_size=256,
    )
    server.prepare()
    print(f"port {server.bind_addr[1]}", flush=True)
    stop_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    threading.Thread(target=server.serve, daemon=True).start()
    stop_requested.wait()
    sys.exit(0)
