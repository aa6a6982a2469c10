"""The ledger of draws and the routers' records, as they lie in the store: CBOR."""

from __future__ import annotations

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from hawthornstage.messages.draws import Record

DRAWN_ADAPTER = TypeAdapter(dict[str, int])
RECORD_ADAPTER = TypeAdapter(Record)


class DrawsFault(Exception):
    """The bytes are not what should lie there."""


def encode_drawn(drawn: dict[str, int]) -> bytes:
    """Encode the ledger: tokens drawn by all routers, by workspace."""
    return cbor2.dumps(drawn)


def decode_drawn(data: bytes) -> dict[str, int]:
    """Decode the ledger.

    Raises:
        DrawsFault: The bytes are not one.
    """
    return _decode(DRAWN_ADAPTER, data)


def encode_record(record: Record) -> bytes:
    """Encode a router's record."""
    return cbor2.dumps(RECORD_ADAPTER.dump_python(record, mode="python"))


def decode_record(data: bytes) -> Record:
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
