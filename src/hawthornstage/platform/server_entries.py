"""Decodes the entries by which backend servers register in the platform's store."""

from __future__ import annotations

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, ValidationError

from hawthornstage.messages.backends import BackendServer

# Prefix of the entries' keys, followed by the server's id.
ENTRIES_PREFIX = "servers/"


class EntryModel(BaseModel):
    """An entry as encoded by a backend server."""

    model_config = ConfigDict(strict=True)

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: Literal["ready", "draining"]
    born: int = 0


def decode_entry(key: str, document: bytes) -> BackendServer | str:
    """Decode an entry.

    Args:
        key: The entry's key, which holds the server's id.
        document: The entry's JSON document.

    Returns:
        The server, or the reason in one line if the entry is invalid.
    """
    try:
        model = EntryModel.model_validate(json.loads(document))
        host, _, port = model.address.rpartition(":")
        return BackendServer(
            id=key.removeprefix(ENTRIES_PREFIX),
            service=model.service,
            host=host,
            port=int(port),
            failure_domain=model.zone,
            slots=model.slots,
            leaving=model.state == "draining",
            started_ms=model.born,
        )
    except (ValueError, ValidationError) as error:
        return str(error).replace("\n", " ")
