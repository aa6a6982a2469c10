"""The sockets that one task waits for, each with what owns it."""

from __future__ import annotations

import selectors
from typing import Any

from hawthornstage.border.peer_connection import PeerConnection


class PeerSockets:
    """A selector that knows which events each connection needs."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()

    @property
    def closed(self) -> bool:
        """Whether the selector is closed."""
        return self.selector.get_map() is None

    def watch(
        self, connection: PeerConnection, owner: Any, *, paused: bool = False
    ) -> None:
        """Wait for the events that a connection needs now.

        Args:
            connection: The connection.
            owner: Comes with each event.
            paused: Whether nothing is read for now.
        """
        wanted = 0 if paused else selectors.EVENT_READ
        if connection.wants_write:
            wanted |= selectors.EVENT_WRITE
        key = self.selector.get_map().get(connection.socket)
        if key is None:
            if wanted:
                self.selector.register(connection.socket, wanted, owner)
        elif not wanted:
            self.selector.unregister(connection.socket)
        elif key.events != wanted:
            self.selector.modify(connection.socket, wanted, owner)

    def unwatch(self, connection: PeerConnection) -> None:
        """Stop waiting for a connection, and close it."""
        if connection.socket in self.selector.get_map():
            self.selector.unregister(connection.socket)
        connection.close()
