"""The report in which a backend server says which process it is."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.border.json_values import load_json
from hawthornstage.messages.backends import BackendServer
from hawthornstage.platform.headers import TARGET_SERVER
from hawthornstage.platform.server_entries import MAX_BORN_MS

REPORT_TARGET = "/-/report"


class ReportModel(BaseModel):
    """What the router reads of a report."""

    model_config = ConfigDict(strict=True)

    born: Annotated[int, Field(ge=0, le=MAX_BORN_MS)] = 0


def report_headers(server: BackendServer) -> list[tuple[str, str]]:
    """Return the headers of the request for a server's report."""
    return [("host", f"{server.host}:{server.port}"), (TARGET_SERVER, server.id)]


def decode_started_ms(document: bytes) -> int | None:
    """Return the start of the server's process as its entry tells it.

    It is in milliseconds since the Unix epoch, 0 if the server names none, and None if
    the report cannot be read.
    """
    try:
        return ReportModel.model_validate(load_json(document)).born
    except (ValueError, ValidationError):
        return None
