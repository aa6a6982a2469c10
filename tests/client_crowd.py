"""A crowd of clients that send what a router must not keep, and hold on to it."""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from types import TracebackType

import urllib3

from tools.cluster import Process

# Longest wait of a client for the router to take a part of its request, in seconds.
SEND_TIMEOUT_S = 60.0
# Timeout of an ordinary call, for connecting and for each read, in seconds.
CALL_TIMEOUT_S = 15.0
# One client in so many ends its request; the others stop short of its end.
WHOLE_ONE_IN = 8
# Size of the parts in which a body is sent, in bytes.
PART_BYTES = 65_536
# A body that is too long is sent up to this multiple of the limit.
EXCESS = 64


@dataclass(frozen=True)
class Shape:
    """What a client sends.

    Args:
        framing: Header that tells how the body is sent.
        parts: The parts of the body, the end excluded.
        end: What would end the body.
        whole: Whether all clients end their requests, and read no response.
        awaits: Whether a client waits until its response begins.
    """

    framing: bytes
    parts: tuple[bytes, ...]
    end: bytes = b""
    whole: bool = False
    awaits: bool = False


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_shapes(body_bytes: int, tiny_chunks: int) -> dict[str, Shape]:
    """Return the shapes of requests by name.

    Args:
        body_bytes: The limit of a body, in bytes.
        tiny_chunks: Chunks of a body that is sent in tiny ones.
    """
    chunked = b"Transfer-Encoding: chunked"
    part = b"z" * PART_BYTES
    whole = (body_bytes - 1) // PART_BYTES
    excess = EXCESS * body_bytes // PART_BYTES
    announced = b"Content-Length: %d"
    return {
        "large chunks": Shape(chunked, (chunk(part),) * whole, b"0\r\n\r\n"),
        "one-byte chunks": Shape(chunked, (chunk(b"z") * tiny_chunks,), b"0\r\n\r\n"),
        "two-byte chunks": Shape(chunked, (chunk(b"zz") * tiny_chunks,), b"0\r\n\r\n"),
        "a length": Shape(announced % (whole * PART_BYTES + 1), (part,) * whole, b"z"),
        "answers unread": Shape(
            announced % (whole * PART_BYTES), (part,) * whole, whole=True
        ),
        "too long, announced": Shape(
            announced % (EXCESS * body_bytes), (part,) * excess
        ),
        "too long, sent": Shape(chunked, (chunk(part),) * excess),
        "a head without end": Shape(b"X-Fill: " + b"z" * 8_000, ()),
    }


@dataclass
class Crowd:
    """Context manager with clients that each open a connection and hold it open.

    Args:
        router: The router.
        head: Start of the requests' head, without the line's end.
        shape: What they send.
        size: Number of clients.
        connections: Their connections.
        finished: Counts the clients that have sent everything or were refused.
    """

    router: Process
    head: bytes
    shape: Shape
    size: int
    connections: list[socket.socket] = field(default_factory=list)
    finished: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(0)
    )

    def __enter__(self) -> Crowd:
        for number in range(self.size):
            threading.Thread(target=self.send, args=(number,), daemon=True).start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for each in self.connections:
            each.close()

    def send(self, number: int) -> None:
        """Send one request, and stop short of its end."""
        try:
            address = (self.router.host, self.router.port)
            connection = socket.create_connection(address, SEND_TIMEOUT_S)
            self.connections.append(connection)
            for each in self.request(number):
                connection.sendall(each)
            if self.shape.awaits:
                connection.recv(1)
        except OSError:
            # The router has refused the request or closed the connection.
            pass
        finally:
            self.finished.release()

    def request(self, number: int) -> Iterator[bytes]:
        """Yield the parts of one request."""
        framing = self.shape.framing
        yield b"%b\r\nX-Request-Id: crowd-%d\r\n%b" % (self.head, number, framing)
        if not self.shape.parts:
            return
        yield b"\r\n\r\n"
        yield from self.shape.parts
        if self.shape.whole or number % WHOLE_ONE_IN == 0:
            yield self.shape.end

    def ordinary_call(self, path: str, key: str) -> int:
        """Send a sound call on a new connection, and return its status."""
        url = self.router.url + path
        headers = {"Authorization": f"Bearer {key}", "Connection": "close"}
        return urllib3.request(
            "POST", url, body=b"b", headers=headers, timeout=CALL_TIMEOUT_S
        ).status

    def wait_finished(self) -> None:
        """Wait until each client has sent everything or was refused."""
        for _ in range(self.size):
            assert self.finished.acquire(timeout=2 * SEND_TIMEOUT_S)


def count_sockets(process: Process) -> int:
    """Return the number of sockets, pipes and polled descriptors of a process."""
    folder = f"/proc/{process.popen.pid}/fd"
    targets = []
    for name in os.listdir(folder):
        try:
            targets.append(os.readlink(f"{folder}/{name}"))
        except FileNotFoundError:
            continue
    return sum(each.startswith(("socket:", "pipe:", "anon_inode:")) for each in targets)


def connect_for_each(
    router: Process, request: bytes, *, clients: int, each: int
) -> int:
    """Send requests from some clients at once, each request on a new connection.

    Args:
        router: The router.
        request: A whole request.
        clients: Number of clients.
        each: Requests of each client.

    Returns:
        The number of requests that were answered.
    """
    answered = []

    def send() -> None:
        for _ in range(each):
            try:
                address = (router.host, router.port)
                with socket.create_connection(address, SEND_TIMEOUT_S) as connection:
                    connection.sendall(request)
                    answered.append(bool(connection.recv(1)))
            except OSError:
                continue

    threads = [threading.Thread(target=send) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(answered)
