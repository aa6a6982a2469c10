"""Error responses: the JSON document and headers that report a failure."""

from __future__ import annotations

from typing import Any

from hawthornstage.errors import Failure, response_for


def error_document(failure: Failure, request_id: str) -> dict[str, Any]:
    """Return the JSON document of a failure, in the format of OpenAI's API errors.

    Args:
        failure: What failed.
        request_id: The request's id, or empty if it has none.
    """
    answer = response_for(failure)
    message = answer.message
    if failure.detail:
        message = f"{message} ({failure.detail})"
    return {
        "error": {
            "type": failure.kind.value,
            "message": message,
            "ran": answer.ran.value,
            "request_id": request_id,
        }
    }


def error_headers(failure: Failure, request_id: str) -> list[tuple[str, str]]:
    """Return the headers of a failure's response.

    Args:
        failure: What failed.
        request_id: The request's id, or empty if it has none.
    """
    answer = response_for(failure)
    headers = [("X-Ran", answer.ran.value)]
    if request_id:
        headers.append(("X-Request-Id", request_id))
    if answer.retry_after is not None:
        headers.append(("Retry-After", str(answer.retry_after)))
    return headers
