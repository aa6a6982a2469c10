"""Requests and responses of WSGI applications."""

from __future__ import annotations

import io
import re
import sys
from collections.abc import Callable
from http.client import responses
from typing import Any
from urllib.parse import unquote_to_bytes

from hawthornstage.border.request_reader import RawRequest

# A slash that is part of a segment, and stays encoded.
ENCODED_SLASH = re.compile(r"%2F", re.IGNORECASE)

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


def make_environ(raw: RawRequest) -> dict[str, Any]:
    """Return the WSGI environment of a complete request.

    The body has been decoded, so it has a length however it was sent. Of a header that
    came several times the values are joined by commas.
    """
    path, query = split_target(raw.target)
    environ: dict[str, Any] = {
        "REQUEST_METHOD": raw.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": decode_path(path),
        "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "CONTENT_LENGTH": str(len(raw.body)),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(raw.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in raw.headers:
        match name:
            case "content-type":
                environ["CONTENT_TYPE"] = value
            case "content-length" | "transfer-encoding":
                pass
            case _:
                key = "HTTP_" + name.upper().replace("-", "_")
                before = environ.get(key)
                environ[key] = value if before is None else f"{before}, {value}"
    return environ


def split_target(target: str) -> tuple[str, str]:
    """Return the path and the query of a request's target, whatever its form."""
    if not target.startswith("/"):
        # It names the scheme and the host before the path.
        target = "/" + target.partition("://")[2].partition("/")[2]
    path, _, query = target.partition("?")
    return path, query


def decode_path(path: str) -> str:
    """Return a path without percent encoding, as text of its bytes."""
    parts = (unquote_to_bytes(part) for part in ENCODED_SLASH.split(path))
    return b"%2F".join(parts).decode("latin-1")
