"""Clients that ignore the limits neither end a standalone router nor keep others off.

Run apart from other load, like the tests of the router on the platform.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest

from tests.client_crowd import (
    Crowd,
    Shape,
    connect_for_each,
    count_sockets,
    make_shapes,
)
from tests.conftest import WORKSPACES, top_up
from tests.fleet_load import peak_memory_of
from tools.cluster import Cluster, responds_ok, workspace_api_key

StartCluster = Callable[..., Cluster]

# Clients at a time, and chunks of a body that is sent in tiny ones.
CROWD, TINY_CHUNKS = 96, 8_192
# What a caller may send, and what all bodies may take together, in bytes.
BODY_BYTES, BODIES_BYTES = 512 * 1024, 4 * 1024 * 1024
# Requests at a time, and connections beyond them.
REQUESTS, MORE_CONNECTIONS = 32, 8
# Memory of a router at rest, and of one connection, in bytes; see connection_limits.
REST_BYTES, CONNECTION_BYTES = 72_000_000, 200_000
MOST_BYTES = (
    REST_BYTES + BODIES_BYTES + (REQUESTS + MORE_CONNECTIONS) * CONNECTION_BYTES
)
# Sockets of a router besides those of its callers and of the servers that they call.
OTHER_SOCKETS = 60
LIMITS = {
    "max_requests": REQUESTS,
    "max_body_bytes": BODY_BYTES,
    "body_memory_bytes": BODIES_BYTES,
}
SHAPES = make_shapes(BODY_BYTES, TINY_CHUNKS)


@pytest.mark.parametrize("shape", SHAPES)
def test_crowd_leaves_the_router_within_its_bounds_and_others_served(
    shape: str, start_cluster: StartCluster
) -> None:
    cluster = start_cluster(routers=1, domains=("a",), settings={"limits": LIMITS})
    router = cluster.processes["r1"]
    top_up(cluster, "shop-a", 1_000_000)
    key = workspace_api_key(WORKSPACES[0])
    head = (
        f"POST /v1/services/orders/x HTTP/1.1\r\nHost: {router.host}\r\n"
        f"Authorization: Bearer {key}"
    )
    with Crowd(router, head.encode(), SHAPES[shape], CROWD) as crowd:
        crowd.wait_finished()
        # Its connection comes after those of the crowd.
        assert responds_ok(router.url + "/healthz")
        answer = crowd.ordinary_call("/v1/services/orders/y", key)
        sockets = count_sockets(router)
    peak = peak_memory_of(router)
    print(f"{shape}: {peak / 1e6:.1f} MB at the peak, {sockets} sockets")
    assert router.popen.poll() is None
    assert answer == 201
    assert peak < MOST_BYTES
    assert sockets <= 2 * (REQUESTS + MORE_CONNECTIONS) + OTHER_SOCKETS


def chat_shape(message: bytes, separator: bytes = b",") -> Shape:
    """Return a whole chat request whose messages repeat one up to the body limit."""
    start, end = b'{"messages":[', b"]}"
    count = (BODY_BYTES - len(start) - len(end)) // (len(message) + len(separator))
    body = start + separator.join([message] * count) + end
    framing = b"Content-Type: application/json\r\nContent-Length: %d" % len(body)
    return Shape(framing, (body,), whole=True, awaits=True)


# Chats that take many times their bytes when they are parsed.
CHATS = {
    "tiny messages": chat_shape(b'{"role":""}'),
    "tiny parts": chat_shape(b'{"role":"u","content":[' + b"{}," * 4_000 + b"{}]}"),
    "one wide character": chat_shape(
        b'{"role":"u","content":"'
        + b"x" * (BODY_BYTES - 64)
        + b"\xf0\x9f\x98\x80"
        + b'"}'
    ),
}


@pytest.mark.parametrize("chat", CHATS)
def test_crowd_of_chats_leaves_the_router_within_its_bounds_and_others_served(
    chat: str, start_cluster: StartCluster
) -> None:
    """Guards: bodies count by their bytes, and take 63 times that when parsed."""
    cluster = start_cluster(routers=1, domains=("a",), settings={"limits": LIMITS})
    router = cluster.processes["r1"]
    top_up(cluster, "shop-a", 1_000_000)
    key = workspace_api_key(WORKSPACES[0])
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {router.host}\r\n"
        f"Authorization: Bearer {key}"
    )
    with Crowd(router, head.encode(), CHATS[chat], CROWD) as crowd:
        crowd.wait_finished()
        assert responds_ok(router.url + "/healthz")
        answer = crowd.ordinary_call("/v1/services/orders/y", key)
    peak = peak_memory_of(router)
    print(f"{chat}: {peak / 1e6:.1f} MB at the peak")
    assert router.popen.poll() is None
    assert answer == 201
    assert peak < MOST_BYTES


def test_ordinary_call_is_served_beside_clients_that_connect_for_each_request(
    start_cluster: StartCluster,
) -> None:
    """Guards: the free part of reading is given anew with each connection."""
    cluster = start_cluster(routers=1, domains=("a",), settings={"limits": LIMITS})
    router = cluster.processes["r1"]
    top_up(cluster, "shop-a", 1_000_000)
    flood = threading.Thread(
        target=connect_for_each,
        args=(router, b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n"),
        kwargs={"clients": CROWD, "each": 20},
    )
    flood.start()
    crowd = Crowd(router, b"", SHAPES["a length"], 0)
    beside = crowd.ordinary_call("/v1/services/orders/y", workspace_api_key("shop-a"))
    flood.join()
    assert router.popen.poll() is None
    assert beside == 201
    assert peak_memory_of(router) < MOST_BYTES
