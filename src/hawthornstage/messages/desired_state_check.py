"""What a check of a desired state finds before it is sent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


class Group(Enum):
    """A list or part of the desired state."""

    ROUTES = "routes"
    SERVICES = "services"
    WORKSPACES = "workspaces"
    LIMITS = "limits"
    DOCUMENT = "document"


@dataclass(frozen=True)
class Place:
    """Where a value stands.

    Args:
        group: The list or part that holds it.
        index: Position of its entry in the list, or None if it is not in a list.
        field: The value's name in the code; empty for the whole entry.
    """

    group: Group
    index: int | None = None
    field: str = ""


@dataclass(frozen=True)
class Finding:
    """Something that is wrong or has no effect.

    Args:
        place: Where it stands.
        severity: Whether it is wrong, or most likely not meant.
        text: What is the matter.
    """

    place: Place
    severity: Severity
    text: str


class ChangeKind(Enum):
    """How an entry differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """One difference from the version in force.

    Args:
        kind: How the entry differs.
        group: The list or part that holds it.
        name: The entry's name; empty for a part that is no list.
        field: The value's name in the code; empty for a whole entry.
        before: The value in force.
        after: The checked value.
    """

    kind: ChangeKind
    group: Group
    name: str
    field: str = ""
    before: str = ""
    after: str = ""
