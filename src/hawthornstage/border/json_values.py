"""Decoding of JSON that other processes wrote."""

from __future__ import annotations

import json
from typing import Any


def load_json(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    Raises:
        ValueError: The data is not valid JSON, or is nested too deeply to be read.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
