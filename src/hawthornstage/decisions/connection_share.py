"""How many calls one router may have on one server.

Callers reach routers unevenly: an equal part of a server's connections is too little
for a router with several times the mean of the calls, while most of the server lies
idle. A router begins with several equal parts of each server. It raises the limit while
calls succeed at it, up to a part of all connections, and lowers it when the server
refuses a call or resets its connection.
"""

from __future__ import annotations

from dataclasses import dataclass

# Equal parts of a server's connections with which a router begins. A limit falls to one
# part at least.
START_PARTS = 4
# Largest fraction of a server's connections that one router uses: two routers with
# that many calls still fit.
MAX_FRACTION = 0.5
# Factor by which a refusal lowers the number of calls that met it.
BACKOFF = 0.5


def start_limit(max_connections: int, routers: int) -> int:
    """Return the limit of a router's calls on a server that it knows nothing of.

    Args:
        max_connections: Connections that the server accepts from all routers.
        routers: Number of routers.
    """
    equal_part = max(1, max_connections // routers)
    return max(equal_part, min(most_calls(max_connections), equal_part * START_PARTS))


def most_calls(max_connections: int) -> int:
    """Return the largest limit of a router's calls on a server.

    Args:
        max_connections: Connections that the server accepts from all routers.
    """
    return int(max_connections * MAX_FRACTION)


@dataclass(frozen=True)
class LimitRange:
    """The range of the limit of a router's calls on a server.

    Args:
        start: The limit before anything is known of the server.
        most: The largest limit.
    """

    start: int
    most: int

    @property
    def least(self) -> int:
        """The smallest limit."""
        return max(1, self.start // START_PARTS)


@dataclass
class CallLimit:
    """The limit of this router's calls on one server, as it has learned it.

    Args:
        learned: The limit, or None before the first change.
        refused: Whether the server has refused a call; the limit grows slowly then.
    """

    learned: float | None = None
    refused: bool = False

    def allowed(self, start: int) -> int:
        """Return the number of calls that the server may have now.

        Args:
            start: The limit before anything is known of the server.
        """
        return start if self.learned is None else int(self.learned)

    def raise_after_success(self, limits: LimitRange, running: int) -> None:
        """Raise the limit if a call succeeded while the limit was reached.

        Args:
            limits: The range of the limit.
            running: Calls that were running, that one included.
        """
        limit = self.allowed(limits.start)
        if running < limit:
            return
        step = 1 / limit if self.refused else 1
        self.learned = min(max(limit, limits.most), (self.learned or limit) + step)

    def lower_after_refusal(self, limits: LimitRange, running: int) -> None:
        """Lower the limit after the server refused a call or reset its connection.

        Args:
            limits: The range of the limit.
            running: Calls that were running, that one included.
        """
        self.refused = True
        limit = min(self.allowed(limits.start), running)
        self.learned = max(limits.least, limit * BACKOFF)
