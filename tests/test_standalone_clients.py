"""Clients that ignore the limits neither end a standalone router nor keep others off.

Run apart from other load, like the tests of the router on the platform.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

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
from tools.cluster import Cluster, Process, responds_ok, workspace_api_key

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


@dataclass
class Router:
    """A router alone in its cluster, and how a client reaches it.

    Args:
        process: Its process.
        key: API key of a workspace with tokens.
    """

    process: Process
    key: str

    def head(self, path: str) -> bytes:
        """Return the beginning of a request's head."""
        return (
            f"POST {path} HTTP/1.1\r\nHost: {self.process.host}\r\n"
            f"Authorization: Bearer {self.key}"
        ).encode()

    def check_memory(self, name: str) -> None:
        """Check that the process lives, and has stayed within its bounds."""
        peak = peak_memory_of(self.process)
        print(f"{name}: {peak / 1e6:.1f} MB at the peak")
        assert self.process.popen.poll() is None
        assert peak < MOST_BYTES


@pytest.fixture
def router(start_cluster: StartCluster) -> Router:
    """Return a router whose workspace has tokens."""
    cluster = start_cluster(routers=1, domains=("a",), settings={"limits": LIMITS})
    top_up(cluster, WORKSPACES[0], 1_000_000)
    return Router(cluster.processes["r1"], workspace_api_key(WORKSPACES[0]))


@pytest.mark.parametrize("shape", SHAPES)
def test_crowd_leaves_the_router_within_its_bounds_and_others_served(
    shape: str, router: Router
) -> None:
    head = router.head("/v1/services/orders/x")
    with Crowd(router.process, head, SHAPES[shape], CROWD) as crowd:
        crowd.wait_finished()
        # Its connection comes after those of the crowd.
        assert responds_ok(router.process.url + "/healthz")
        answer = crowd.ordinary_call("/v1/services/orders/y", router.key)
        sockets = count_sockets(router.process)
    print(f"{shape}: {sockets} sockets")
    router.check_memory(shape)
    assert answer == 201
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
    chat: str, router: Router
) -> None:
    """Guards: bodies count by their bytes, and take 63 times that when parsed."""
    head = router.head("/v1/chat/completions")
    with Crowd(router.process, head, CHATS[chat], CROWD) as crowd:
        crowd.wait_finished()
        assert responds_ok(router.process.url + "/healthz")
        answer = crowd.ordinary_call("/v1/services/orders/y", router.key)
    router.check_memory(chat)
    assert answer == 201


def test_ordinary_call_is_served_beside_clients_that_connect_for_each_request(
    router: Router,
) -> None:
    """Guards: the free part of reading is given anew with each connection."""
    request = b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n"
    flood = threading.Thread(
        target=connect_for_each,
        args=(router.process, request),
        kwargs={"clients": CROWD, "each": 20},
    )
    flood.start()
    crowd = Crowd(router.process, b"", SHAPES["a length"], 0)
    beside = crowd.ordinary_call("/v1/services/orders/y", router.key)
    flood.join()
    router.check_memory("one connection for each request")
    assert beside == 201
