"""Decodes the entries by which backend servers register in the platform's store."""

from __future__ import annotations

import hashlib
import ipaddress
import math
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.border.json_values import load_json
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.platform.header_text import is_plain_value
from hawthornstage.platform.writable_text import CheckedText

# Prefix of the entries' keys, followed by the server's id.
ENTRIES_PREFIX = "servers/"
# Largest port, number of slots, and start time in milliseconds since the Unix epoch.
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_BORN_MS = 10**15
# Longest version that is kept as it is, in characters.
MAX_VERSION_LENGTH = 64
# Longest time until a server is warm that is kept as it is, in seconds.
MAX_COLD_LEFT_S = 600.0


class EntryModel(BaseModel):
    """An entry as encoded by a backend server."""

    model_config = ConfigDict(strict=True)

    service: CheckedText
    address: str
    zone: CheckedText = ""
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)] = 1
    state: Literal["ready", "draining"]
    version: str = ""
    born: Annotated[int, Field(ge=0, le=MAX_BORN_MS)] = 0
    # Whatever it holds, the server counts.
    cold_left_ms: Any = Field(alias="cold-left-ms", default=0)


def decode_entry(key: str, document: bytes) -> BackendServer | str:
    """Decode an entry.

    Args:
        key: The entry's key, which holds the server's id. Calls name it in a header: an
            id that no header carries as it is names no server.
        document: The entry's JSON document.

    Returns:
        The server, or the reason in one line if the entry is invalid.
    """
    server_id = key.removeprefix(ENTRIES_PREFIX)
    if not is_plain_value(server_id):
        return f"no header can carry the id {server_id!r}"
    try:
        model = EntryModel.model_validate(load_json(document))
        address = parse_address(model.address)
        cold_left_s = bounded_cold_left_s(model.cold_left_ms)
        return BackendServer(
            id=server_id,
            service=model.service,
            host=address.host,
            port=address.port,
            failure_domain=model.zone,
            slots=model.slots,
            leaving=model.state == "draining",
            started_ms=model.born,
            version=bounded_version(model.version),
            cold_left_s=cold_left_s,
            invalid=invalid_cold_left(model.cold_left_ms, cold_left_s),
        )
    except (ValueError, ValidationError) as error:
        return str(error).replace("\n", " ")


def bounded_version(version: str) -> str:
    """Return a version, or its hash if it is long or not plain text."""
    plain = version.isascii() and version.isprintable()
    if plain and len(version) <= MAX_VERSION_LENGTH:
        return version
    data = version.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def bounded_cold_left_s(value: Any) -> float | None:
    """Return the time until a server is warm, in seconds; None if it is no number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if isinstance(value, float) and math.isnan(value):
        return None
    return min(max(0, value), MAX_COLD_LEFT_S * 1000) / 1000


def invalid_cold_left(value: Any, cold_left_s: float | None) -> tuple[str, ...]:
    """Return a note for the log if the time until a server is warm was not used."""
    if cold_left_s is not None and 0 <= value <= MAX_COLD_LEFT_S * 1000:
        return ()
    return (f"cold-left-ms: {str(value)[:40]!r}, used: {cold_left_s} s",)


def parse_address(value: str) -> SocketAddress:
    """Return the address that an entry names.

    Raises:
        ValueError: It is not an IPv4 address with a port.
    """
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT):
        raise ValueError(f"invalid port in the address {value[:60]!r}")
    return SocketAddress(str(ipaddress.IPv4Address(host)), int(port))
