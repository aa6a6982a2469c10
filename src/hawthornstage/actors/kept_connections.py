"""Idle connections to backend servers, kept for calls that may be repeated."""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.messages.serving import PooledConnection

# Longest time that an idle connection is kept, in seconds, if the server says no less.
KEEP_S = 4.0
# Part of the time that the server keeps it after which it is not used any more.
KEEP_PART = 0.6


@dataclass(frozen=True)
class Kept:
    """An idle connection.

    Args:
        connection: The connection.
        until: Monotonic time from which it must not be used, in seconds.
    """

    connection: PooledConnection
    until: float


@dataclass
class KeptConnections:
    """The idle connections of one router; the task that holds this owns them."""

    by_server: dict[str, list[Kept]] = field(default_factory=dict)

    def put(
        self, server: str, connection: PooledConnection, most: int, now: float
    ) -> None:
        """Keep a connection, or close it if there are enough.

        Args:
            server: The server's id.
            connection: The connection; it is this object's from now on.
            most: Connections kept for that server at most.
            now: Monotonic time in seconds.
        """
        kept = self.by_server.setdefault(server, [])
        keep_alive_s = connection.keep_alive_s
        limit_s = (
            KEEP_S if keep_alive_s is None else min(KEEP_S, keep_alive_s * KEEP_PART)
        )
        if limit_s <= 0.0 or len(kept) >= most:
            connection.close()
            return
        kept.append(Kept(connection, now + limit_s))

    def take(self, server: str, now: float) -> PooledConnection | None:
        """Give up the newest connection on which nothing has come, if there is one.

        Args:
            server: The server's id.
            now: Monotonic time in seconds.

        Returns:
            The connection, which is the caller's from now on, or None.
        """
        kept = self.by_server.get(server, [])
        while kept:
            newest = kept.pop()
            if newest.until > now and newest.connection.is_reusable():
                return newest.connection
            newest.connection.close()
        return None

    def drop_old(self, now: float) -> None:
        """Close connections that must not be used any more."""
        for server, kept in list(self.by_server.items()):
            for each in kept:
                if each.until <= now:
                    each.connection.close()
            left = [each for each in kept if each.until > now]
            if left:
                self.by_server[server] = left
            else:
                del self.by_server[server]
