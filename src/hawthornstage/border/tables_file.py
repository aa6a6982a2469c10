"""The tables of routes and pools as operators write them: YAML or JSON, validated."""

from __future__ import annotations

from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from hawthornstage.decisions.routes import find_faults
from hawthornstage.messages.tables import (
    Pool,
    PoolKind,
    Priority,
    Route,
    Server,
    Tables,
)
from hawthornstage.settings_errors import SettingsError, format_validation_errors

NAME_PATTERN = r"^[A-Za-z0-9._-]+$"


class TableRow(BaseModel):
    """Base of the rows; unknown columns are rejected."""

    model_config = ConfigDict(extra="forbid")


class ServerRow(TableRow):
    """A backend server; the columns are the fields of `Server`."""

    name: str = Field(pattern=NAME_PATTERN)
    url: str = Field(pattern=r"^https?://[^/\s]+(/\S*)?$")
    failure_domain: str = ""
    speed: float = Field(default=1.0, gt=0)
    fencing: bool = True


class PoolRow(TableRow):
    """A pool; the columns are the fields of `Pool`."""

    name: str = Field(pattern=NAME_PATTERN)
    kind: PoolKind
    servers: list[ServerRow]
    model: str = ""
    max_tokens: int = Field(default=1024, gt=0)
    call_tokens: int = Field(default=1, ge=0)
    slots: int = Field(default=64, gt=0)
    timeout_s: float = Field(default=30.0, gt=0)


class RouteRow(TableRow):
    """A route; the columns are the fields of `Route`."""

    name: str = Field(pattern=NAME_PATTERN)
    workspaces: list[str] = Field(min_length=1)
    purposes: list[str] = Field(min_length=1)
    pool: str
    priority: Priority = Priority.HIGH
    idempotent: bool = True


class TablesFile(TableRow):
    """Both tables.

    Args:
        revision: Revision that the operator edited, or None.
        routes: The routes.
        pools: The pools of backend servers.
    """

    revision: int | None = Field(default=None, ge=0)
    routes: list[RouteRow]
    pools: list[PoolRow]


def parse_tables(text: str) -> tuple[Tables, int | None]:
    """Parse and validate tables.

    Returns:
        The tables, and the revision that the operator edited, or None if the file does
        not name it.

    Raises:
        SettingsError: The tables are invalid; every reason is listed.
    """
    try:
        document = yaml.safe_load(text)
        model = TablesFile.model_validate(document)
    except yaml.YAMLError as error:
        raise SettingsError([f"invalid YAML: {error}"]) from error
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
    """Convert a row to a route."""
    values = row.model_dump()
    values["workspaces"] = tuple(row.workspaces)
    values["purposes"] = tuple(row.purposes)
    return Route(**values)


def make_pool(row: PoolRow) -> Pool:
    """Convert a row to a pool."""
    values = row.model_dump()
    values["servers"] = tuple(Server(**each.model_dump()) for each in row.servers)
    return Pool(**values)


def tables_document(tables: Tables) -> dict[str, Any]:
    """Return tables as JSON values, in the form of the operators' file."""
    plain = TypeAdapter(Tables).dump_python(tables, mode="json")
    return {
        "revision": plain["revision"],
        "routes": plain["routes"],
        "pools": plain["pools"],
    }


def dump_tables(tables: Tables) -> str:
    """Return tables as the YAML text of the operators' file, with their revision."""
    return yaml.safe_dump(tables_document(tables), sort_keys=False)
