"""Polling of sockets, and options for the connections that carry requests."""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct
import termios
import threading
from collections.abc import Sequence
from typing import Any, Protocol

# Most bytes that one read returns.
READ_BYTES = 16_384
# Sent data that stays unacknowledged for this long closes the connection.
TCP_USER_TIMEOUT_MS = 3_000
# Idle time before a keep-alive probe and interval of the probes, in seconds. The kernel
# gives up by the user timeout then, whatever the number of probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
READABLE = select.POLLIN | select.POLLHUP | select.POLLERR
# The connection was reset, or both ends have closed it.
FAILED = select.POLLHUP | select.POLLERR


class Pollable(Protocol):
    """A socket, or another object with a descriptor to poll."""

    def fileno(self) -> int:
        """Return the descriptor."""


class Interrupt:
    """Wakes a task that polls its socket; other tasks may put messages at any time."""

    def __init__(self) -> None:
        self.descriptor = os.eventfd(0, os.EFD_CLOEXEC | os.EFD_NONBLOCK)
        self.lock = threading.Lock()
        self.messages: list[Any] = []
        self.closed = False

    def fileno(self) -> int:
        """Return the descriptor, which is readable while there are messages."""
        return self.descriptor

    def put(self, message: Any) -> None:
        """Wake the task; does nothing once it waits no more."""
        with self.lock:
            if not self.closed:
                self.messages.append(message)
                os.eventfd_write(self.descriptor, 1)

    def take(self) -> list[Any]:
        """Return the messages since the last call, oldest first; does not wait."""
        with self.lock:
            messages, self.messages = self.messages, []
            if messages:
                os.eventfd_read(self.descriptor)
        return messages

    def discard(self, kind: type) -> bool:
        """Drop the messages of a class; return whether none is left."""
        with self.lock:
            left = [each for each in self.messages if not isinstance(each, kind)]
            if self.messages and not left:
                os.eventfd_read(self.descriptor)
            self.messages = left
        return not left

    def close(self) -> None:
        """Release the descriptor."""
        with self.lock:
            self.closed = True
            os.close(self.descriptor)


def wait_ready(sockets: Sequence[tuple[Pollable, int]], timeout_s: float) -> set[int]:
    """Wait until a socket is ready.

    Args:
        sockets: Each socket with the poll events to wait for.
        timeout_s: Longest wait, in seconds; a negative value counts as 0.

    Returns:
        File descriptors of the sockets that are ready; empty after a timeout.
    """
    poll = select.poll()
    for each, events in sockets:
        poll.register(each, events)
    return {fd for fd, _ in poll.poll(max(0.0, timeout_s) * 1000)}


def set_socket_options(connection: socket.socket) -> None:
    """Disable Nagle's algorithm and bound the time to detect a dead peer."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def reset_on_close(connection: socket.socket) -> None:
    """Make the next close reset the connection; the peer sees no orderly end."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return the sent bytes that the peer has not acknowledged; 0 if unknown."""
    try:
        answer = fcntl.ioctl(connection, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]


def probe_when_idle(connection: socket.socket) -> None:
    """Send keep-alive probes, which show a dead peer that nothing is sent to."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
