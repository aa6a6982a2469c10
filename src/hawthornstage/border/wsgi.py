"""Whole answers of WSGI applications."""

from __future__ import annotations

from collections.abc import Callable
from http.client import responses
from typing import Any

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


def send_response(
    start: StartResponse,
    status: int,
    content_type: str,
    body: bytes,
    headers: list[tuple[str, str]] | None = None,
) -> list[bytes]:
    """Send a whole answer."""
    start(
        status_line(status),
        [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *(headers or []),
        ],
    )
    return [body]


def status_line(status: int) -> str:
    """Return a status code with its usual words."""
    return f"{status} {responses.get(status, 'Unknown')}"
