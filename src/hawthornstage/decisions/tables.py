"""Edits of the tables by compare-and-swap, and adoption of new revisions."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hawthornstage.messages.tables import EMPTY_TABLES, Tables

# Earlier revisions that the document keeps for `history` and for rollbacks.
MAX_HISTORY_REVISIONS = 20
# Largest number of rows (routes and servers) in all revisions of a document: at about
# 130 bytes each the document stays under 1 MB.
MAX_DOCUMENT_ROWS = 6_000


@dataclass(frozen=True)
class TablesDocument:
    """The stored document: the current tables and the earlier ones, newest first."""

    current: Tables = EMPTY_TABLES
    history: tuple[Tables, ...] = ()


@dataclass(frozen=True)
class TablesEdit:
    """Replaces the tables of routes and pools.

    Args:
        tables: The new tables, with edit id, author, time and reason.
        base_revision: The revision that the edit is based on.
    """

    tables: Tables
    base_revision: int


@dataclass(frozen=True)
class EditAccepted:
    """Result: the edit was applied as the revision of these tables."""

    tables: Tables


@dataclass(frozen=True)
class EditConflict:
    """Result: the base revision is no longer current; another edit came first."""

    current: Tables


EditResult = EditAccepted | EditConflict


def apply(
    document: TablesDocument, edit: TablesEdit
) -> tuple[TablesDocument, EditResult]:
    """Apply an edit; the same object is returned if nothing changed.

    An edit whose id is already in the document was applied before and its reply lost;
    it is accepted again without a change.
    """
    for tables in (document.current, *document.history):
        if edit.tables.edit_id and tables.edit_id == edit.tables.edit_id:
            return document, EditAccepted(tables)
    if edit.base_revision != document.current.revision:
        return document, EditConflict(document.current)
    accepted = replace(edit.tables, revision=edit.base_revision + 1)
    history = _trim_history(
        (document.current, *document.history), _count_rows(accepted)
    )
    return TablesDocument(accepted, history), EditAccepted(accepted)


def _trim_history(history: tuple[Tables, ...], rows: int) -> tuple[Tables, ...]:
    """Return the newest revisions that fit into the document.

    Args:
        history: Earlier revisions, newest first.
        rows: Rows of the current revision.
    """
    retained: list[Tables] = []
    for tables in history[:MAX_HISTORY_REVISIONS]:
        rows += _count_rows(tables)
        if rows > MAX_DOCUMENT_ROWS:
            break
        retained.append(tables)
    return tuple(retained)


def _count_rows(tables: Tables) -> int:
    return len(tables.routes) + sum(len(pool.servers) for pool in tables.pools)


def adopt(current: Tables, offered: Tables) -> Tables:
    """Return the tables to use, so that their revision never falls."""
    return offered if offered.revision > current.revision else current
