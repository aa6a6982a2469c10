"""Finds what differs between a desired state and the version in force.

Keys are secrets: no text holds one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import fields
from enum import Enum
from typing import Any

from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.desired_state_check import (
    ChangeKind,
    Difference,
    Finding,
    Group,
    Place,
    Severity,
)

# Fields whose values are not shown.
SECRET_FIELDS = frozenset({"keys"})


def find_differences(
    state: DesiredState, in_force: DesiredState
) -> tuple[Difference, ...]:
    """Return what differs from the version in force, by list and name."""
    return (
        *compare_lists(Group.ROUTES, in_force.routes, state.routes),
        *compare_lists(Group.SERVICES, in_force.services, state.services),
        *compare_lists(Group.WORKSPACES, in_force.workspaces, state.workspaces),
        *compare_fields(Group.LIMITS, "", in_force.limits, state.limits),
    )


def find_regressions(state: DesiredState, in_force: DesiredState) -> Iterator[Finding]:
    """Find a version that is not newer, and budgets that get smaller."""
    if state.version <= in_force.version:
        yield Finding(
            Place(Group.DOCUMENT, field="version"),
            Severity.ERROR,
            f"{state.version} is not above {in_force.version}, which is in force: "
            f"routers ignore it",
        )
    before = {each.name: each for each in in_force.workspaces}
    for index, workspace in enumerate(state.workspaces):
        known = before.get(workspace.name)
        if known is None or known.budget is None or workspace.budget is None:
            continue
        if workspace.budget < known.budget:
            yield Finding(
                Place(Group.WORKSPACES, index, "budget"),
                Severity.WARNING,
                f"{workspace.budget} is less than {known.budget}, which is in force",
            )


def compare_lists(
    group: Group, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Difference]:
    """Compare two lists of entries with names."""
    old = {each.name: each for each in before}
    new = {each.name: each for each in after}
    for name in old:
        if name not in new:
            yield Difference(ChangeKind.REMOVED, group, name)
    for name, entry in new.items():
        if name not in old:
            yield Difference(ChangeKind.ADDED, group, name)
        else:
            yield from compare_fields(group, name, old[name], entry)


def compare_fields(
    group: Group, name: str, before: Any, after: Any
) -> Iterator[Difference]:
    """Compare the fields of two entries."""
    for each in fields(before):
        old, new = getattr(before, each.name), getattr(after, each.name)
        if old == new:
            continue
        if each.name in SECRET_FIELDS:
            texts = (
                f"{len(old)} of them",
                f"{len(new - old)} new, {len(old - new)} gone",
            )
        else:
            texts = format_value(old), format_value(new)
        yield Difference(ChangeKind.CHANGED, group, name, each.name, *texts)


def format_value(value: Any) -> str:
    """Format a value of the desired state in one line."""
    match value:
        case Enum():
            return str(value.value)
        case frozenset():
            return ", ".join(sorted(value))
        case tuple():
            return ", ".join(f"{each.service} {each.weight:g}" for each in value)
        case None:
            return "none"
        case _ if hasattr(value, "__dataclass_fields__"):
            pairs = (f"{f.name} {getattr(value, f.name)}" for f in fields(value))
            return ", ".join(pairs)
    return str(value)
