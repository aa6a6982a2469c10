"""A pool of idle connections to backend servers, used by calls that may be repeated."""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.messages.server_selection import PooledConnection

# Longest time that a connection stays idle in the pool, in seconds; a server's own idle
# timeout can only shorten it.
MAX_IDLE_S = 4.0
# Fraction of the server's idle timeout after which a connection is not used any more.
IDLE_TIMEOUT_FRACTION = 0.6


@dataclass(frozen=True)
class PoolEntry:
    """A pooled connection.

    Args:
        connection: The connection.
        expires_at: Monotonic time from which it must not be used, in seconds.
    """

    connection: PooledConnection
    expires_at: float


@dataclass
class ConnectionPool:
    """The idle connections of one router, by server; not thread-safe."""

    by_server: dict[str, list[PoolEntry]] = field(default_factory=dict)

    def put(
        self, server: str, connection: PooledConnection, max_entries: int, now: float
    ) -> None:
        """Add a connection to the pool, or close it if the pool is full.

        Args:
            server: The server's id.
            connection: The connection, owned by the pool from now on.
            max_entries: Most connections pooled for that server.
            now: Monotonic time in seconds.
        """
        entries = self.by_server.setdefault(server, [])
        keep_alive_s = connection.keep_alive_s
        limit_s = (
            MAX_IDLE_S
            if keep_alive_s is None
            else min(MAX_IDLE_S, keep_alive_s * IDLE_TIMEOUT_FRACTION)
        )
        if limit_s <= 0.0 or len(entries) >= max_entries:
            connection.close()
            return
        entries.append(PoolEntry(connection, now + limit_s))

    def take(self, server: str, now: float) -> PooledConnection | None:
        """Remove and return the newest usable connection to a server.

        Closes newer ones that have expired or on which data or an end has arrived.

        Args:
            server: The server's id.
            now: Monotonic time in seconds.

        Returns:
            The connection, owned by the caller from now on, or None.
        """
        entries = self.by_server.get(server, [])
        while entries:
            newest = entries.pop()
            if newest.expires_at > now and newest.connection.is_reusable():
                return newest.connection
            newest.connection.close()
        return None

    def close_expired(self, now: float) -> None:
        """Close and remove expired connections."""
        for server, entries in list(self.by_server.items()):
            for each in entries:
                if each.expires_at <= now:
                    each.connection.close()
            valid = [each for each in entries if each.expires_at > now]
            if valid:
                self.by_server[server] = valid
            else:
                del self.by_server[server]
