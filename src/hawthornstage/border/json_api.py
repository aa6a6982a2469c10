"""What the JSON interfaces for operators and for the old setup share."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from hawthornstage.border.front import read_body
from hawthornstage.border.wsgi import StartResponse, send_response
from hawthornstage.errors import Failure
from hawthornstage.filters.authenticate import KeyRing


@dataclass(frozen=True)
class ApiResponse:
    """What a call gets: a status code and a JSON document."""

    status: int
    document: Any


STORE_UNAVAILABLE = ApiResponse(503, {"error": "the key-value service does not answer"})
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
    """Check the key, read the body, and send what the interface answers.

    Args:
        environ: The call as WSGI hands it over.
        start_response: Takes the status and the headers.
        keys: Keys that are accepted.
        unauthorized_message: What a caller with another key is told.
        max_body_bytes: Largest body.
        handler: Takes the call, the key's owner and the body.
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
