"""What the JSON interfaces for operators and for the old setup share."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from hawthornstage.border.front import read_body
from hawthornstage.border.wsgi import StartResponse, send
from hawthornstage.errors import Failure
from hawthornstage.filters.authenticate import KeyRing


@dataclass(frozen=True)
class ApiAnswer:
    """What a call gets: a status code and a JSON document."""

    status: int
    document: Any


UNAVAILABLE = ApiAnswer(503, {"error": "the key-value service does not answer"})
NOT_FOUND = ApiAnswer(404, {"error": "no such operation"})


def serve_json(
    environ: dict[str, Any],
    start_response: StartResponse,
    *,
    keys: KeyRing,
    refusal: str,
    max_body_bytes: int,
    answer: Callable[[dict[str, Any], str, bytes], ApiAnswer],
) -> Iterable[bytes]:
    """Check the key, read the body, and send what the interface answers.

    Args:
        environ: The call as WSGI hands it over.
        start_response: Takes the status and the headers.
        keys: Keys that are accepted.
        refusal: What a caller with another key is told.
        max_body_bytes: Largest body.
        answer: Takes the call, the key's owner and the body.
    """
    token = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
    owner = keys.owner_of(token)
    body = read_body(environ, max_body_bytes) if owner is not None else b""
    if owner is None:
        answered = ApiAnswer(401, {"error": refusal})
    elif isinstance(body, Failure):
        answered = ApiAnswer(400, {"error": body.detail})
    else:
        answered = answer(environ, owner, body)
    data = json.dumps(answered.document).encode() + b"\n"
    return send(start_response, answered.status, "application/json", data)
