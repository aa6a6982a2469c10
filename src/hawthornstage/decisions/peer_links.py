"""Which routers exchange heartbeats, and which idle connections to routers are closed.

All routers form a ring, ordered by the hashes of their names, so that the routers of a
failure domain are spread over it. Each sends its heartbeats along chords of a few fixed
lengths, so that news from any router reaches all others in a few steps although a
router's number of connections does not grow with the fleet.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Ratio of the lengths of successive chords; the first has length 1.
CHORD_RATIO = 4
# Most chords of one router.
MAX_NEIGHBOURS = 5
# Most connections that one router opens to others.
MAX_LINKS = 64
# Time without a message after which a connection is closed, in seconds; longer than
# the interval of heartbeats to one neighbour.
MAX_IDLE_S = 20.0


@dataclass(frozen=True)
class LinkUse:
    """How a connection to another router is used.

    Args:
        used_at: Monotonic time of the last message, in seconds.
        pending: Messages that wait for a reply.
    """

    used_at: float
    pending: int


def neighbours(node: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the routers that get a router's heartbeats, nearest on the ring first.

    Args:
        node: The router.
        others: All other routers.
    """
    ring = sorted({*others, node}, key=ring_position)
    own_index = ring.index(node)
    chosen: list[str] = []
    length = 1
    while length < len(ring) and len(chosen) < MAX_NEIGHBOURS:
        chosen.append(ring[(own_index + length) % len(ring)])
        length *= CHORD_RATIO
    return tuple(chosen)


def neighbour_processes(node: str, urls: Mapping[str, str]) -> dict[str, str]:
    """Return the addresses of a router's neighbours, nearest on the ring first.

    Args:
        node: The router.
        urls: Addresses of the other routers' processes, by name.
    """
    return {name: urls[name] for name in neighbours(node, urls)}


def ring_position(node: str) -> bytes:
    """Return the hash by which a router is placed on the ring."""
    return hashlib.blake2b(node.encode(), digest_size=8).digest()


def idle_links(links: Mapping[str, LinkUse], now: float) -> list[str]:
    """Return the links that have carried no message for `MAX_IDLE_S`."""
    return [
        name
        for name, use in links.items()
        if not use.pending and now - use.used_at >= MAX_IDLE_S
    ]


def link_to_replace(links: Mapping[str, LinkUse]) -> str | None:
    """Return the least recently used link if there are `MAX_LINKS`, else None.

    A link that waits for a reply is not replaced; if all do, the result is ''.
    """
    if len(links) < MAX_LINKS:
        return None
    free = [name for name, use in links.items() if not use.pending]
    return min(free, key=lambda name: links[name].used_at, default="")
