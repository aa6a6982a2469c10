"""Sends complete responses from WSGI applications."""

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
    """Send a complete response.

    Args:
        start: Starts the WSGI response.
        status: HTTP status code.
        content_type: Media type of the body.
        body: The whole body.
        headers: Further headers.

    Returns:
        The body, as a WSGI application returns it.
    """
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
    """Return a status code with its reason phrase."""
    return f"{status} {responses.get(status, 'Unknown')}"
