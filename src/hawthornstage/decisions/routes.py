"""Matches requests to routes, and validates tables."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from hawthornstage.messages.tables import Pool, PoolKind, Route, Tables

WILDCARD = "*"


@dataclass(frozen=True)
class TableFault:
    """One validation error of the tables.

    Args:
        path: The place of the error, such as `routes[2].pool`.
        expected: A description of the values that are valid there.
    """

    path: str
    expected: str


def match_route(tables: Tables, workspace: str, purpose: str) -> Route | None:
    """Return the first route that matches a workspace and purpose, or None."""
    for route in tables.routes:
        if _matches(route.workspaces, workspace) and _matches(route.purposes, purpose):
            return route
    return None


def find_faults(tables: Tables) -> tuple[TableFault, ...]:
    """Return all validation errors of the tables."""
    faults = [*_duplicate_faults(tables), *_pool_faults(tables.pools)]
    names = {pool.name for pool in tables.pools}
    for index, route in enumerate(tables.routes):
        if route.pool not in names:
            known = ", ".join(sorted(names)) or "none"
            expected = f"the name of a pool ({known}), not {route.pool!r}"
            faults.append(TableFault(f"routes[{index}].pool", expected))
        covering_route = _find_covering_route(tables.routes[:index], route)
        if covering_route is not None:
            expected = (
                f"a route that {covering_route.name!r} above does not cover entirely"
            )
            faults.append(TableFault(f"routes[{index}]", expected))
    return tuple(faults)


def _matches(names: tuple[str, ...], name: str) -> bool:
    return WILDCARD in names or name in names


def _covers(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    return WILDCARD in wide or set(narrow) <= set(wide)


def _find_covering_route(earlier: tuple[Route, ...], route: Route) -> Route | None:
    for other in earlier:
        if _covers(other.workspaces, route.workspaces) and _covers(
            other.purposes, route.purposes
        ):
            return other
    return None


def _duplicate_faults(tables: Tables) -> list[TableFault]:
    servers = [server.name for pool in tables.pools for server in pool.servers]
    groups = {
        "routes": [route.name for route in tables.routes],
        "pools": [pool.name for pool in tables.pools],
        "pools[].servers": servers,
    }
    return [
        TableFault(path, f"each name once, but {name!r} stands {count} times")
        for path, names in groups.items()
        for name, count in Counter(names).items()
        if count > 1
    ]


def _pool_faults(pools: tuple[Pool, ...]) -> list[TableFault]:
    faults: list[TableFault] = []
    for index, pool in enumerate(pools):
        if not pool.servers:
            faults.append(TableFault(f"pools[{index}].servers", "at least one server"))
        if pool.kind is PoolKind.ENGINE and not pool.model:
            faults.append(TableFault(f"pools[{index}].model", "a model's name"))
    return faults
