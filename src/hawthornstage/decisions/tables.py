"""Editing the tables by compare-and-swap, and adopting revisions."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hawthornstage.messages.tables import EMPTY_TABLES, Tables

# Revisions that the document keeps for `history` and for rolling back.
KEPT_REVISIONS = 20
# Rows (routes and servers) of all kept revisions together: at about 130 bytes each
# the document stays under 1 MB.
KEPT_ROWS = 6_000


@dataclass(frozen=True)
class TablesDocument:
    """The stored document: the newest tables, and those before them, newest first."""

    current: Tables = EMPTY_TABLES
    history: tuple[Tables, ...] = ()


@dataclass(frozen=True)
class Edit:
    """Replaces both tables.

    Args:
        tables: The wanted tables, with edit id, author, time and reason.
        seen: The revision that the operator started from.
    """

    tables: Tables
    seen: int


@dataclass(frozen=True)
class EditAccepted:
    """The edit made this revision."""

    tables: Tables


@dataclass(frozen=True)
class EditRaced:
    """Another edit came first."""

    current: Tables


EditResult = EditAccepted | EditRaced


def apply(document: TablesDocument, edit: Edit) -> tuple[TablesDocument, EditResult]:
    """Apply an edit; the same object is returned if nothing changed.

    An edit whose id is already in the document was applied before its answer got
    lost, and is accepted again without a change.
    """
    for tables in (document.current, *document.history):
        if edit.tables.edit_id and tables.edit_id == edit.tables.edit_id:
            return document, EditAccepted(tables)
    if edit.seen != document.current.revision:
        return document, EditRaced(document.current)
    accepted = replace(edit.tables, revision=edit.seen + 1)
    history = _bounded((document.current, *document.history), _rows(accepted))
    return TablesDocument(accepted, history), EditAccepted(accepted)


def _bounded(history: tuple[Tables, ...], rows: int) -> tuple[Tables, ...]:
    """Keep the newest revisions that fit beside a number of rows."""
    kept: list[Tables] = []
    for tables in history[:KEPT_REVISIONS]:
        rows += _rows(tables)
        if rows > KEPT_ROWS:
            break
        kept.append(tables)
    return tuple(kept)


def _rows(tables: Tables) -> int:
    return len(tables.routes) + sum(len(pool.servers) for pool in tables.pools)


def adopt(current: Tables, offered: Tables) -> Tables:
    """Return the tables to use: never a lower revision than before."""
    return offered if offered.revision > current.revision else current
