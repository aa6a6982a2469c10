"""The two tables as operators write them: YAML or JSON, validated."""

from __future__ import annotations

from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from hawthornstage.decisions.routes import find_faults
from hawthornstage.faults import SettingsError, format_validation_errors
from hawthornstage.messages.tables import (
    Pool,
    PoolKind,
    Priority,
    Route,
    Server,
    Tables,
)

NAME = r"^[A-Za-z0-9._-]+$"


class Row(BaseModel):
    """A row of a table; unknown columns are faults."""

    model_config = ConfigDict(extra="forbid")


class ServerRow(Row):
    """One backend server."""

    name: str = Field(pattern=NAME)
    url: str = Field(pattern=r"^https?://[^/\s]+(/\S*)?$")
    failure_domain: str = ""
    speed: float = Field(default=1.0, gt=0)
    fencing: bool = True


class PoolRow(Row):
    """One pool."""

    name: str = Field(pattern=NAME)
    kind: PoolKind
    servers: list[ServerRow]
    model: str = ""
    max_tokens: int = Field(default=1024, gt=0)
    call_tokens: int = Field(default=1, ge=0)
    slots: int = Field(default=64, gt=0)
    timeout_s: float = Field(default=30.0, gt=0)


class RouteRow(Row):
    """One route."""

    name: str = Field(pattern=NAME)
    workspaces: list[str] = Field(min_length=1)
    purposes: list[str] = Field(min_length=1)
    pool: str
    priority: Priority = Priority.HIGH
    idempotent: bool = True


class TablesFile(Row):
    """Both tables, and the revision that the operator started from."""

    revision: int | None = Field(default=None, ge=0)
    routes: list[RouteRow]
    pools: list[PoolRow]


def parse_tables(text: str) -> tuple[Tables, int | None]:
    """Validate tables.

    Returns:
        The tables, and the revision that the file says it was made from.

    Raises:
        SettingsError: The tables are not acceptable; every reason is listed.
    """
    try:
        document = yaml.safe_load(text)
        model = TablesFile.model_validate(document)
    except yaml.YAMLError as error:
        raise SettingsError([f"not YAML: {error}"]) from error
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error)) from error
    tables = Tables(
        revision=model.revision or 0,
        routes=tuple(make_route(row) for row in model.routes),
        pools=tuple(make_pool(row) for row in model.pools),
    )
    faults = find_faults(tables)
    if faults:
        raise SettingsError(
            [f"{each.path}: expected {each.expected}" for each in faults]
        )
    return tables, model.revision


def make_route(row: RouteRow) -> Route:
    """Return the route of a row."""
    values = row.model_dump()
    values["workspaces"] = tuple(row.workspaces)
    values["purposes"] = tuple(row.purposes)
    return Route(**values)


def make_pool(row: PoolRow) -> Pool:
    """Return the pool of a row."""
    values = row.model_dump()
    values["servers"] = tuple(Server(**each.model_dump()) for each in row.servers)
    return Pool(**values)


def tables_document(tables: Tables) -> dict[str, Any]:
    """Return tables as plain values, in the form of the operators' file."""
    plain = TypeAdapter(Tables).dump_python(tables, mode="json")
    return {
        "revision": plain["revision"],
        "routes": plain["routes"],
        "pools": plain["pools"],
    }


def write_tables(tables: Tables) -> str:
    """Return tables as the operators' file, with the revision in it."""
    return yaml.safe_dump(tables_document(tables), sort_keys=False)
