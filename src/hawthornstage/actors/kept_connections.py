"""Idle connections to backend servers, kept for calls that may be repeated."""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.messages.serving import KeptConnection

# Longest time that an idle connection is kept, in seconds, if the server says no less.
MAX_IDLE_S = 4.0
# Part of the time that the server keeps it after which it is not used any more.
IDLE_TIMEOUT_FRACTION = 0.6


@dataclass(frozen=True)
class PoolEntry:
    """An idle connection.

    Args:
        connection: The connection.
        expires_at: Monotonic time from which it must not be used, in seconds.
    """

    connection: KeptConnection
    expires_at: float


@dataclass
class ConnectionPool:
    """The idle connections of one router; the task that holds this owns them."""

    by_server: dict[str, list[PoolEntry]] = field(default_factory=dict)

    def put(
        self, server: str, connection: KeptConnection, max_entries: int, now: float
    ) -> None:
        """Keep a connection, or close it if there are enough.

        Args:
            server: The server's id.
            connection: The connection; it is this object's from now on.
            max_entries: Connections kept for that server at most.
            now: Monotonic time in seconds.
        """
        entries = self.by_server.setdefault(server, [])
        keep_s = connection.keep_s
        limit_s = (
            MAX_IDLE_S
            if keep_s is None
            else min(MAX_IDLE_S, keep_s * IDLE_TIMEOUT_FRACTION)
        )
        if limit_s <= 0.0 or len(entries) >= max_entries:
            connection.close()
            return
        entries.append(PoolEntry(connection, now + limit_s))

    def take(self, server: str, now: float) -> KeptConnection | None:
        """Give up the newest connection on which nothing has come, if there is one.

        Args:
            server: The server's id.
            now: Monotonic time in seconds.

        Returns:
            The connection, which is the caller's from now on, or None.
        """
        entries = self.by_server.get(server, [])
        while entries:
            newest = entries.pop()
            if newest.expires_at > now and newest.connection.quiet():
                return newest.connection
            newest.connection.close()
        return None

    def close_expired(self, now: float) -> None:
        """Close connections that must not be used any more."""
        for server, entries in list(self.by_server.items()):
            for each in entries:
                if each.expires_at <= now:
                    each.connection.close()
            valid = [each for each in entries if each.expires_at > now]
            if valid:
                self.by_server[server] = valid
            else:
                del self.by_server[server]
