"""Clients that ignore the limits neither end a router nor keep others from it.

Run apart from other load: the crowd is to arrive while the first of it is still there.
"""

from __future__ import annotations

import socket
import threading

import pytest

from tests.client_crowd import (
    Crowd,
    chunk,
    connect_for_each,
    count_sockets,
    make_shapes,
)
from tests.conftest import StartFleet
from tests.fleet_load import peak_memory
from tools.cluster import wait_until
from tools.fleet import API_KEY, HOST, IDEMPOTENT_PATH, STREAM_PATH

# Clients at a time, and chunks of a body that is sent in tiny ones.
CROWD, TINY_CHUNKS = 96, 8_192
# The same for clients that are still sending while others are served, and chunks of a
# body that comes alone.
MANY, MANY_TINY_CHUNKS, LONG_TINY_CHUNKS = 200, 100_000, 200_000
# Longest wait for a read, in seconds.
SOON = 15.0
# The host: memory in megabytes, and descriptors, of which files have 200.
HOST_LIMITS = {"memory-mb": 72, "max-fds": 300}
FILE_DESCRIPTORS = 200
# What a caller may send. The timeout keeps the first of the crowd until the last came.
BODY_BYTES = 512 * 1024
CALLER_LIMITS = {"max-body-bytes": BODY_BYTES, "header-timeout-ms": 30_000}
# The smallest host of the users' platform, and the largest body that it must take.
SMALLEST_HOST = {"memory-mb": 136, "max-fds": 1_638}
LARGEST_BODY_BYTES = 4 * 1024 * 1024
SHAPES = make_shapes(BODY_BYTES, TINY_CHUNKS)


@pytest.mark.parametrize("shape", SHAPES)
def test_crowd_leaves_the_router_within_its_host_and_others_served(
    shape: str, start_fleet: StartFleet
) -> None:
    fleet = start_fleet(routers=1, host_limits=HOST_LIMITS, caller_limits=CALLER_LIMITS)
    router = fleet.processes["edge-1"]
    head = (
        f"POST {IDEMPOTENT_PATH} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {API_KEY}"
    )
    with Crowd(router, head.encode(), SHAPES[shape], CROWD) as crowd:
        crowd.wait_finished()
        # Its connection comes after those of the crowd.
        answer = fleet.call("edge-1", IDEMPOTENT_PATH, "ordinary", body=b"b")
        sockets = count_sockets(router)
    peak = peak_memory(fleet, "edge-1")
    print(f"{shape}: {peak / 1e6:.1f} MB at the peak, {sockets} sockets")
    assert router.popen.poll() is None
    assert (answer.status, answer.body) == (200, b"done:b")
    assert peak < HOST_LIMITS["memory-mb"] * 1_000_000
    assert sockets <= HOST_LIMITS["max-fds"] - FILE_DESCRIPTORS


def test_ordinary_call_is_served_beside_many_that_are_still_sending(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, host_limits=SMALLEST_HOST)
    router = fleet.processes["edge-1"]
    head = (
        f"POST {IDEMPOTENT_PATH} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {API_KEY}"
    )
    shape = make_shapes(BODY_BYTES, MANY_TINY_CHUNKS)["one-byte chunks"]
    with Crowd(router, head.encode(), shape, MANY) as crowd:
        wait_until(lambda: len(crowd.connections) == MANY)
        beside = fleet.call("edge-1", IDEMPOTENT_PATH, "beside", body=b"b")
        sockets = count_sockets(router)
    after = fleet.call("edge-1", IDEMPOTENT_PATH, "after", body=b"b")
    assert router.popen.poll() is None
    assert (beside.status, beside.body) == (200, b"done:b")
    assert (after.status, after.body) == (200, b"done:b")
    assert peak_memory(fleet, "edge-1") < SMALLEST_HOST["memory-mb"] * 1_000_000
    assert sockets <= SMALLEST_HOST["max-fds"] - FILE_DESCRIPTORS


# Whole requests that cost their client little.
CHEAP = {
    "no such key": (
        f"POST {IDEMPOTENT_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: x\r\n"
        "Authorization: Bearer none\r\nContent-Length: 1\r\n\r\nz"
    ).encode(),
    "no request": b"NONE\r\n\r\n",
}


@pytest.mark.parametrize("request_", CHEAP.values(), ids=CHEAP)
def test_ordinary_call_is_served_beside_clients_that_connect_for_each_request(
    request_: bytes, start_fleet: StartFleet
) -> None:
    """Guards: the free part of reading is given anew with each connection."""
    fleet = start_fleet(routers=1, host_limits=SMALLEST_HOST)
    router = fleet.processes["edge-1"]
    flood = threading.Thread(
        target=connect_for_each,
        args=(router, request_),
        kwargs={"clients": CROWD, "each": 40},
    )
    flood.start()
    beside = fleet.call("edge-1", IDEMPOTENT_PATH, "beside", body=b"b")
    flood.join()
    after = fleet.call("edge-1", IDEMPOTENT_PATH, "after", body=b"b")
    assert router.popen.poll() is None
    assert (beside.status, after.status) == (200, 200)
    assert peak_memory(fleet, "edge-1") < SMALLEST_HOST["memory-mb"] * 1_000_000
    assert count_sockets(router) <= SMALLEST_HOST["max-fds"] - FILE_DESCRIPTORS


@pytest.mark.parametrize("chunk_bytes", [1, 2])
def test_whole_body_in_tiny_chunks_is_served_in_calm(
    start_fleet: StartFleet, chunk_bytes: int
) -> None:
    fleet = start_fleet(routers=1, host_limits=SMALLEST_HOST)
    router = fleet.processes["edge-1"]
    head = (
        f"POST {IDEMPOTENT_PATH} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Request-Id: calm\r\n"
        "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    )
    part = chunk(b"z" * chunk_bytes) * LONG_TINY_CHUNKS
    with socket.create_connection((router.host, router.port), SOON) as caller:
        caller.sendall(head.encode() + part + b"0\r\n\r\n")
        answer = b"".join(iter(lambda: caller.recv(65_536), b""))
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.count(b"z") == chunk_bytes * LONG_TINY_CHUNKS


def test_largest_body_is_served_on_the_smallest_host(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=1, host_limits=SMALLEST_HOST)
    body = b"z" * LARGEST_BODY_BYTES
    answer = fleet.call("edge-1", STREAM_PATH, "large", body=body, tokens=(10, 5))
    assert (answer.status, answer.complete) == (200, True)
    assert peak_memory(fleet, "edge-1") < SMALLEST_HOST["memory-mb"] * 1_000_000
    wait_until(lambda: fleet.is_ready("edge-1"))
