"""Divides the memory and the descriptors of a host between a router's connections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornstage.decisions.connection_memory import FREE_BYTES
from hawthornstage.messages.host_settings import HostLimits

# Memory of a process without connections, in bytes.
PROCESS_BYTES = 56_000_000
# Memory of a connection's thread, parsers and buffers of its sockets' reads, in bytes.
THREAD_BYTES = 48 * 1024
# Copies of a request's head that exist at a time: as received, parsed, and forwarded.
HEAD_COPIES = 3
# Largest head that the memory of a connection is reckoned with, in bytes.
HEAD_BYTES = 16_384
# Memory of a connection that asks for none, in bytes.
CONNECTION_BYTES = THREAD_BYTES + HEAD_COPIES * HEAD_BYTES + 2 * FREE_BYTES
# Descriptors kept for files and others that are no callers' or servers' sockets.
RESERVED_DESCRIPTORS = 200
# Equal shares of the other descriptors: callers, servers, and all other sockets.
DESCRIPTOR_SHARES = 3
# Fraction of the memory of connections that large bodies and responses share, and the
# most that they share, in bytes.
POOL_FRACTION = 0.3
MAX_POOL_BYTES = 32_000_000
# Callers' connections served at once, at least and at most.
MIN_CONNECTIONS, MAX_CONNECTIONS = 8, 512


@dataclass(frozen=True)
class ConnectionLimits:
    """What the connections of callers may take together.

    Args:
        connections: Connections served at once.
        pool_bytes: Memory of all bodies and responses beyond their free parts, in
            bytes.
    """

    connections: int
    pool_bytes: int


def derive_limits(host: HostLimits) -> ConnectionLimits:
    """Return the limits that keep a router within its host's."""
    memory = max(0, host.memory_bytes - PROCESS_BYTES)
    pool = host.pool_bytes
    if pool is None:
        pool = min(MAX_POOL_BYTES, int(memory * POOL_FRACTION))
    connections = host.max_connections
    if connections is None:
        by_memory = (memory - pool) // CONNECTION_BYTES
        by_sockets = (host.descriptors - RESERVED_DESCRIPTORS) // DESCRIPTOR_SHARES
        connections = min(MAX_CONNECTIONS, by_memory, by_sockets)
    return ConnectionLimits(max(MIN_CONNECTIONS, connections), pool)


@dataclass(frozen=True)
class WaitingConnection:
    """A connection on which no complete request has been received.

    Args:
        number: Identifies the connection.
        caller: Address of the caller.
        since: Monotonic time at which it became idle, or at which its request began, in
            seconds.
        idle: Whether no byte of a request has been received.
    """

    number: int
    caller: str
    since: float
    idle: bool


def choose_to_close(waiting: Iterable[WaitingConnection]) -> int | None:
    """Choose the connection that gives way to a new one.

    It is one of the caller with the most; the one idle for longest, and if none is
    idle the one whose request began first.

    Returns:
        The connection's number, or None if none waits.
    """
    candidates = list(waiting)
    if not candidates:
        return None
    by_caller = Counter(each.caller for each in candidates)
    chosen = max(
        candidates, key=lambda each: (by_caller[each.caller], each.idle, -each.since)
    )
    return chosen.number
