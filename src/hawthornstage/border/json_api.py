"""Common parts of the JSON interfaces for operators and for the old setup."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from hawthornstage.border.caller_api import read_body
from hawthornstage.border.wsgi import StartResponse, send_response
from hawthornstage.errors import Failure
from hawthornstage.filters.authenticate import KeyRing


@dataclass(frozen=True)
class ApiResponse:
    """A response: HTTP status code and JSON document."""

    status: int
    document: Any


STORE_UNAVAILABLE = ApiResponse(503, {"error": "the key-value service did not respond"})
NOT_FOUND = ApiResponse(404, {"error": "no such operation"})


def serve_json(
    environ: dict[str, Any],
    start_response: StartResponse,
    *,
    keys: KeyRing,
    unauthorized_message: str,
    max_body_bytes: int,
    handler: Callable[[dict[str, Any], str, bytes], ApiResponse],
) -> Iterable[bytes]:
    """Check the API key, read the body, and send the handler's response.

    Args:
        environ: The WSGI environment.
        start_response: Starts the WSGI response.
        keys: Accepted API keys.
        unauthorized_message: Error text for a missing or unknown key.
        max_body_bytes: Largest request body, in bytes.
        handler: Called with the environment, the key's owner and the body.
    """
    token = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
    owner = keys.owner_of(token)
    body = read_body(environ, max_body_bytes) if owner is not None else b""
    if owner is None:
        response = ApiResponse(401, {"error": unauthorized_message})
    elif isinstance(body, Failure):
        response = ApiResponse(400, {"error": body.detail})
    else:
        response = handler(environ, owner, body)
    data = json.dumps(response.document).encode() + b"\n"
    return send_response(start_response, response.status, "application/json", data)
