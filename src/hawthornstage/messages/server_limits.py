"""Messages about the limits that backend servers name, and permits to send calls."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.call_leases import RequestCallLease
from hawthornstage.messages.slow_start import SlowStartNews


@dataclass(frozen=True)
class LimitAnnounced:
    """Tells another router of a server's limit.

    Args:
        incarnation: The server's incarnation.
        calls_per_s: The limit in calls per second, or None if it has ended.
        age_s: Time since the response that named it, in seconds.
        slow_start: The limit while the server is cold, or None if it is not cold as far
            as is known.
    """

    incarnation: str
    calls_per_s: float | None
    age_s: float
    slow_start: SlowStartNews | None = None


@dataclass(frozen=True)
class AcquirePermit:
    """Asks this router's own task for a permit to send one call to a server.

    The reply is `PermitGranted`, `PermitDenied` or `AskIssuer`.

    Args:
        incarnation: The server's incarnation.
        priority: The call's priority; 0 is the most urgent.
    """

    incarnation: str
    priority: int


@dataclass(frozen=True)
class RequestPermit:
    """Asks the router that issues a server's permits for one.

    Args:
        limit: The server's limit, as far as the sender knows it.
        priority: The call's priority; 0 is the most urgent.
    """

    limit: LimitAnnounced
    priority: int


@dataclass(frozen=True)
class PermitGranted:
    """One call may be sent to the server at once."""


@dataclass(frozen=True)
class PermitDenied:
    """The call must not be sent to the server.

    Args:
        retry_after_s: Time until the server may accept a call, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True)
class AskIssuer:
    """Another router issues the server's permits and leases.

    Args:
        node: The router to ask.
        request: The request to send it.
    """

    node: str
    request: RequestPermit | RequestCallLease


@dataclass(frozen=True)
class IssuerUnresponsive:
    """A router that issues permits could not be reached or did not reply in time."""

    node: str
