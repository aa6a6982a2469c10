"""Whatever bytes come, in whatever pieces, the parsers fail only as they say."""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

from hypothesis import example, given, settings
from hypothesis import strategies as st

from hawthornstage.border.caller_connection import CallerConnection, new_parser
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.border.request_reader import (
    ConnectionClosed,
    IdleTimeout,
    MalformedRequest,
    RawRequest,
)
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock
from hawthornstage.messages.forward import (
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.messages.host_settings import SocketAddress
from tests.connection_pair import REQUEST, SEALED, SOON, Observer

HEADER_BYTES, BODY_BYTES = 2_048, 4_096
# What a connection may hold beyond its limits: parsers, decoders and reads, in bytes.
SLACK_BYTES = 400_000
# Pieces of messages, sound and not, between which any bytes may stand.
PIECES = st.sampled_from(
    [
        REQUEST,
        SEALED,
        b"Content-Length: 5\r\n",
        b"Content-Length: 99999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"HTTP/1.1 999 Strange\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"\r\n",
        b"5\r\nabcde\r\n",
        b"1\r\nz\r\n" * 200,
        b"ffffffff\r\n",
        b"0\r\n\r\n",
        b"z" * 3_000,
    ]
)
MESSAGES = st.lists(PIECES | st.binary(max_size=40), max_size=12)
# Where a message is split, as fractions of its length.
SPLITS = st.lists(st.floats(0, 1), max_size=4)
FEW = settings(max_examples=60)


def split(data: bytes, fractions: list[float]) -> list[bytes]:
    """Return data in pieces."""
    ends = [0, *sorted(int(each * len(data)) for each in fractions), len(data)]
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False) if a < b]


@contextmanager
def fed_socket(data: bytes, fractions: list[float]) -> Iterator[socket.socket]:
    """Return a socket from which pieces can be read, with separate reads."""
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with near, far:
        far.setblocking(False)
        for piece in split(data, fractions):
            for start in range(0, len(piece), 8_192):
                far.send(piece[start : start + 8_192])
        far.shutdown(socket.SHUT_WR)
        yield near


@contextmanager
def bounded_memory(limit: int) -> Iterator[None]:
    """Check that no more memory than a limit is taken at a time."""
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < limit
    finally:
        tracemalloc.stop()


@FEW
@given(MESSAGES, SPLITS)
@example([REQUEST, b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nz\r\n" * 5_000], [0.5])
@example([REQUEST, b"Content-Length: 3\r\n\r\nabc" + REQUEST], [0.9])
def test_requests_of_any_bytes(pieces: list[bytes], fractions: list[float]) -> None:
    data = b"".join(pieces)
    observer = Observer()
    wake, trigger = socket.socketpair()
    limits = ReadLimits(SOON, SOON, BODY_BYTES, header_bytes=HEADER_BYTES)
    with wake, trigger, fed_socket(data, fractions) as near:
        near.settimeout(SOON)
        connection = unconnected(CallerConnection)
        connection.__dict__.update(
            socket=near, clock=Clock(), parser=new_parser(), request_chunks=None
        )
        with bounded_memory(HEADER_BYTES + BODY_BYTES + SLACK_BYTES):
            received = connection.receive(wake, lambda: limits, observer)
    observer.interrupt.close()
    ends = RawRequest | MalformedRequest | ConnectionClosed | IdleTimeout
    assert isinstance(received, ends)
    if isinstance(received, RawRequest):
        assert len(received.body) <= BODY_BYTES


@FEW
@given(MESSAGES, SPLITS)
@example([SEALED, b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nz\r\n" * 5_000], [0.5])
@example([SEALED, b"Content-Length: 3\r\n\r\nabc" + SEALED], [0.9])
def test_responses_of_any_bytes(pieces: list[bytes], fractions: list[float]) -> None:
    data = b"".join(pieces)
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        fed_socket(data, fractions) as near,
    ):
        address = SocketAddress(*server.getsockname())
        connection = ServerConnection(address, Clock(), connect_timeout_s=SOON)
        connection.socket.close()
        near.setblocking(False)
        connection.socket = near
        connection.watch_caller = False
        with bounded_memory(SLACK_BYTES):
            ends = read_response(connection)
    assert isinstance(ends, ResponseEnd | ServerFailed)


def read_response(connection: ServerConnection) -> object:
    """Read a response to its end, and keep nothing of it."""
    caller = unconnected(CallerConnection)
    caller.socket, other = socket.socketpair()
    with caller.socket, other:
        connection.start(caller, "GET", "/", [("host", "h")], b"")
        connection.unsent = []
        connection.watch_caller = False
        deadline = connection.clock.monotonic() + SOON
        event = connection.next_event(deadline)
        while isinstance(event, ResponseHead | ResponseData):
            event = connection.next_event(deadline)
    return event


def unconnected(kind: type[CallerConnection]) -> CallerConnection:
    """Return a connection without a socket of its own."""
    return kind.__new__(kind)
