"""Messages about backend servers that have just started and are cold."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.backends import BackendServer


@dataclass(frozen=True)
class SlowStartTerms:
    """What a service says of its cold servers.

    Args:
        calls_per_s: Calls per second that a cold server tolerates.
        duration_s: Time for which a server is cold after its start, in seconds.
    """

    calls_per_s: float
    duration_s: float


@dataclass(frozen=True)
class SlowStartBounds:
    """What a cold server may get in any one second, from all routers together.

    Args:
        overage: Multiple of the calls per second that its service names.
        slack: Calls in addition.
    """

    overage: float = 1.5
    slack: float = 5.0

    def most_calls(self, calls_per_s: float) -> float:
        """Return the most calls within one second."""
        return calls_per_s * self.overage + self.slack


@dataclass(frozen=True)
class SlowStartNews:
    """Tells another router that a server is cold, or may be.

    Args:
        calls_per_s: Calls per second that it tolerates.
        left_s: Longest time until it is warm, in seconds.
        age_s: Time since the sender's latest news of it, in seconds.
        in_doubt: Whether the sender has only reason to think so.
    """

    calls_per_s: float
    left_s: float
    age_s: float
    in_doubt: bool = False


@dataclass(frozen=True)
class EntriesRead:
    """Servers whose entries were read from the store, cold ones and others."""

    servers: tuple[BackendServer, ...]


@dataclass(frozen=True)
class ServerInDoubt:
    """A server may have started again, and so may be cold.

    Args:
        incarnation: The server's incarnation, as far as it is known.
        crashed: Whether that process is known to have ended.
    """

    incarnation: str
    crashed: bool = False


@dataclass(frozen=True)
class EndSlowStarts:
    """Triggers the check whether servers have become warm."""
