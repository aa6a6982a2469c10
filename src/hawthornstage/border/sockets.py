"""Waiting on sockets, and the options of connections that carry calls."""

from __future__ import annotations

import select
import socket
from collections.abc import Sequence

READ_BYTES = 65_536
# A connection whose other side is silent is dead after this time, in milliseconds.
TCP_USER_TIMEOUT_MS = 3_000
READABLE = select.POLLIN | select.POLLHUP | select.POLLERR


def wait_ready(
    sockets: Sequence[tuple[socket.socket, int]], timeout_s: float
) -> set[int]:
    """Wait until one of the sockets is ready; return their descriptors."""
    poll = select.poll()
    for each, events in sockets:
        poll.register(each, events)
    return {fd for fd, _ in poll.poll(max(0.0, timeout_s) * 1000)}


def set_socket_options(connection: socket.socket) -> None:
    """Send at once, and notice a dead other side."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
