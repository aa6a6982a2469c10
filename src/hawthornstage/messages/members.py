"""Messages between routers about membership and tables."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.tables import Tables


@dataclass(frozen=True)
class GossipEntry:
    """A router's state as passed on by gossip.

    Args:
        node: Name of the described router.
        incarnation: Its process; later ones compare greater.
        failure_domain: Its failure domain.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
        age_s: Time since its own last heartbeat, in seconds.
    """

    node: str
    incarnation: str
    failure_domain: str
    draining: bool
    revision: int
    age_s: float


@dataclass(frozen=True)
class Heartbeat:
    """Announces to a neighbour that the sender is alive.

    Args:
        node: The sender's name.
        incarnation: Its process; later ones compare greater.
        failure_domain: Its failure domain.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
        rumours: Gossip about a selection of other routers.
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
    """Sends tables to a neighbour, which adopts them if they are newer than its own."""

    tables: Tables


@dataclass(frozen=True)
class PeerUnreachable:
    """The neighbour did not reply; it may have processed the message."""

    node: str
    reason: str
