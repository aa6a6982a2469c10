"""Bounds the length of what callers choose before it is kept or passed on."""

from __future__ import annotations

import hashlib
from typing import Any

# Longest id that is kept as it is, in characters.
MAX_ID_LENGTH = 64
# Longest text of a field in an event or a log line, in characters.
MAX_FIELD_LENGTH = 512


def bounded_id(text: str) -> str:
    """Return an id, or its hash if callers chose a long one.

    Equal ids stay equal, on all routers.
    """
    if len(text) <= MAX_ID_LENGTH:
        return text
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def bounded_value(value: Any) -> Any:
    """Return a field's value, or the beginning of a text that is too long."""
    return bounded_text(value) if isinstance(value, str) else value


def bounded_text(text: str) -> str:
    """Return the beginning of a text that is too long for a log line."""
    return text if len(text) <= MAX_FIELD_LENGTH else text[:MAX_FIELD_LENGTH] + "..."
