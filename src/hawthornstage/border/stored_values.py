"""Values in the store, as CBOR: counts of drawn tokens, records and logs."""

from __future__ import annotations

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from hawthornstage.decisions.epoch_counts import EpochCounts
from hawthornstage.messages.crashing_parts import CrashLog
from hawthornstage.messages.draws import RouterRecord
from hawthornstage.messages.stream_versions import ServiceVersion

COUNT_ADAPTER = TypeAdapter(int)
RECORD_ADAPTER = TypeAdapter(RouterRecord)
CRASH_LOG_ADAPTER = TypeAdapter(CrashLog)
EPOCH_COUNTS_ADAPTER = TypeAdapter(EpochCounts)
SERVICE_VERSION_ADAPTER = TypeAdapter(ServiceVersion)


class StoredValueError(Exception):
    """A stored value cannot be decoded."""


def encode_count(tokens: int) -> bytes:
    """Encode a workspace's count of the tokens that all routers have drawn."""
    return cbor2.dumps(tokens)


def decode_count(data: bytes) -> int:
    """Decode a workspace's count of drawn tokens.

    Raises:
        StoredValueError: The bytes are not a valid count.
    """
    return _decode(COUNT_ADAPTER, data)


def encode_record(record: RouterRecord) -> bytes:
    """Encode a router's record."""
    body = RECORD_ADAPTER.dump_python(record, mode="python", exclude_defaults=True)
    return cbor2.dumps(body)


def decode_record(data: bytes) -> RouterRecord:
    """Decode a router's record.

    Raises:
        StoredValueError: The bytes are not a valid record.
    """
    return _decode(RECORD_ADAPTER, data)


def encode_crash_log(log: CrashLog) -> bytes:
    """Encode a router's log of crashes."""
    return cbor2.dumps(CRASH_LOG_ADAPTER.dump_python(log, mode="python"))


def decode_crash_log(data: bytes) -> CrashLog:
    """Decode a router's log of crashes.

    Raises:
        StoredValueError: The bytes are not a valid log.
    """
    return _decode(CRASH_LOG_ADAPTER, data)


def encode_epoch_counts(counts: EpochCounts) -> bytes:
    """Encode what routers agree on in an epoch of the store."""
    return cbor2.dumps(EPOCH_COUNTS_ADAPTER.dump_python(counts, mode="python"))


def decode_epoch_counts(data: bytes) -> EpochCounts:
    """Decode what routers agree on in an epoch of the store.

    Raises:
        StoredValueError: The bytes are not a valid agreement.
    """
    return _decode(EPOCH_COUNTS_ADAPTER, data)


def encode_service_version(version: ServiceVersion) -> bytes:
    """Encode a version of a service's software."""
    return cbor2.dumps(SERVICE_VERSION_ADAPTER.dump_python(version, mode="python"))


def decode_service_version(data: bytes) -> ServiceVersion:
    """Decode a version of a service's software.

    Raises:
        StoredValueError: The bytes are not a valid version.
    """
    return _decode(SERVICE_VERSION_ADAPTER, data)


def _decode(adapter: TypeAdapter[Any], data: bytes) -> Any:
    try:
        return adapter.validate_python(cbor2.loads(data))
    except (cbor2.CBORError, ValidationError, ValueError) as error:
        raise StoredValueError(str(error)) from error
