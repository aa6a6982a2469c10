"""Messages about routers and tables between routers."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.tables import Tables


@dataclass(frozen=True)
class GossipEntry:
    """What a router has heard of another.

    Args:
        node: The other's name.
        incarnation: Its process.
        failure_domain: Where it stands.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
        age_s: Time since it was heard itself, in seconds.
    """

    node: str
    incarnation: str
    failure_domain: str
    draining: bool
    revision: int
    age_s: float


@dataclass(frozen=True)
class Heartbeat:
    """Tells a neighbour that this router is there.

    Args:
        node: Its name.
        incarnation: Its process; later ones compare greater.
        failure_domain: Where it stands.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
        rumours: Some of what it has heard of others.
    """

    node: str
    incarnation: str
    failure_domain: str
    draining: bool
    revision: int
    rumours: tuple[GossipEntry, ...] = ()


@dataclass(frozen=True)
class RequestTables:
    """Asks a neighbour for tables newer than a revision."""

    newer_than: int


@dataclass(frozen=True)
class TablesOffered:
    """Hands tables to a neighbour, which adopts them if they are newer."""

    tables: Tables


@dataclass(frozen=True)
class PeerUnreachable:
    """The neighbour did not answer; it may have taken the message."""

    node: str
    reason: str
