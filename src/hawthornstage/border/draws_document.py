"""The ledger's counts and the routers' records, as they lie in the store: CBOR."""

from __future__ import annotations

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from hawthornstage.messages.draws import RouterRecord

COUNT_ADAPTER = TypeAdapter(int)
RECORD_ADAPTER = TypeAdapter(RouterRecord)


class DrawsFault(Exception):
    """The bytes are not what should lie there."""


def encode_count(tokens: int) -> bytes:
    """Encode a workspace's count: tokens drawn by all routers."""
    return cbor2.dumps(tokens)


def decode_count(data: bytes) -> int:
    """Decode a workspace's count.

    Raises:
        DrawsFault: The bytes are not one.
    """
    return _decode(COUNT_ADAPTER, data)


def encode_record(record: RouterRecord) -> bytes:
    """Encode a router's record."""
    return cbor2.dumps(RECORD_ADAPTER.dump_python(record, mode="python"))


def decode_record(data: bytes) -> RouterRecord:
    """Decode a router's record.

    Raises:
        DrawsFault: The bytes are not one.
    """
    return _decode(RECORD_ADAPTER, data)


def _decode(adapter: TypeAdapter[Any], data: bytes) -> Any:
    try:
        return adapter.validate_python(cbor2.loads(data))
    except (cbor2.CBORError, ValidationError, ValueError) as error:
        raise DrawsFault(str(error)) from error
