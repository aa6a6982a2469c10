"""Messages to the task that owns the connections between routers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hawthornstage.border.peer_connection import PeerConnection
from hawthornstage.mailbox import DISCARD_REPLY, ReplyTo


@dataclass(frozen=True)
class Send:
    """Sends a message to a router, this one included.

    Args:
        node: The router's name.
        message: A message of a class that frames can carry.
        reply_to: Gets the reply, or `PeerUnreachable`.
    """

    node: str
    message: Any
    reply_to: ReplyTo = DISCARD_REPLY


@dataclass(frozen=True)
class PeersChanged:
    """Sets the addresses of the other routers, by name."""

    urls: Mapping[str, str]


@dataclass(frozen=True)
class PeerMet:
    """Tells which process of another router a connection leads to.

    Args:
        node: The router's name.
        url: The address that its process has announced.
    """

    node: str
    url: str


@dataclass(frozen=True)
class SendReply:
    """Sends the reply to a frame over the connection that the frame arrived on.

    Args:
        connection: The connection.
        number: Number of the frame.
        reply: The reply.
    """

    connection: PeerConnection
    number: int
    reply: Any


@dataclass(frozen=True)
class StopPeers:
    """Closes all connections and ends the task."""
