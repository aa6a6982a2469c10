"""CBOR encoding that writes enums as their values."""

from __future__ import annotations

from enum import Enum
from typing import Any

import cbor2


def dumps(value: Any) -> bytes:
    """Encode plain values and enums.

    Raises:
        TypeError: A value is neither.
    """
    return cbor2.dumps(value, default=_encode_enum)


def _encode_enum(encoder: cbor2.CBOREncoder, value: Any) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"cannot encode {type(value).__name__} as CBOR")
    encoder.encode(value.value)
