"""What backend servers say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from hawthornstage.messages.backends import server_of


@dataclass(frozen=True)
class ServerNotice:
    """What a server says of itself in the head of a response.

    Args:
        calls_per_s: Calls per second that it accepts from all routers together, or
            None if it names no limit.
        leaving: Whether it must get no new calls.
        closed_for_s: Time for which it must get no calls of this router, in seconds, or
            None if it names none.
        invalid: Values that cannot be used, for the log.
        tolerated_refusals: Calls that it can reject in a second for want of room
            without failing, or None if it is not fragile.
    """

    calls_per_s: float | None = None
    leaving: bool = False
    closed_for_s: float | None = None
    invalid: tuple[str, ...] = ()
    tolerated_refusals: float | None = None


SILENT_NOTICE = ServerNotice()


@dataclass(frozen=True)
class NoticeObserved:
    """A server's response said something of the server.

    Args:
        incarnation: The server's incarnation.
        notice: What it said.
    """

    incarnation: str
    notice: ServerNotice


@dataclass(frozen=True)
class LeavingAnnounced:
    """Tells another router of a server that said that it leaves."""

    incarnation: str


@dataclass(frozen=True)
class ClosedAnnounced:
    """Tells a router that a server wants no calls of it, which it carried for another.

    Args:
        incarnation: The server's incarnation.
        closed_for_s: Time for which it wants none, in seconds.
    """

    incarnation: str
    closed_for_s: float


@dataclass(frozen=True)
class ServerNotices:
    """What all servers have said of themselves, by the server's incarnation.

    A server that starts again has another incarnation, for which nothing is known.

    Args:
        calls_per_s: Calls per second that a server named, from all routers together.
        leaving: Servers that said that they leave, with the time since when.
        closed_until: Monotonic time until which a server must get no calls of this
            router, in seconds.
        fragile: Servers that fail if they have to reject many calls.
        slow_starts: Calls per second that a cold server tolerates from all routers
            together, by the server's id.
    """

    calls_per_s: Mapping[str, float] = field(default_factory=dict)
    leaving: Mapping[str, float] = field(default_factory=dict)
    closed_until: Mapping[str, float] = field(default_factory=dict)
    fragile: frozenset[str] = frozenset()
    slow_starts: Mapping[str, float] = field(default_factory=dict)

    def is_cold(self, incarnation: str) -> bool:
        """Whether a server is cold, or may be."""
        return bool(self.slow_starts) and server_of(incarnation) in self.slow_starts

    def is_limited(self, incarnation: str) -> bool:
        """Whether a server gets calls only with permits."""
        return incarnation in self.calls_per_s or self.is_cold(incarnation)

    def accepts_calls(self, incarnation: str, now: float) -> bool:
        """Whether new calls may be sent to a server, as far as it said itself.

        Args:
            incarnation: The server's incarnation.
            now: Monotonic time in seconds.
        """
        if incarnation in self.leaving:
            return False
        return self.closed_until.get(incarnation, now) <= now
