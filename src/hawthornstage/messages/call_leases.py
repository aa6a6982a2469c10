"""Messages about leases of fragile servers: permissions to have a call in progress.

A fragile server fails if it has to reject many calls, so all routers together keep
to the calls that it has room for.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class FragileAnnounced:
    """Tells another router that a server is fragile.

    Args:
        incarnation: The server's incarnation.
        tolerated: Calls that it can reject in a second, or None if it is not
            fragile any more.
        age_s: Time since the response that said so, in seconds.
    """

    incarnation: str
    tolerated: float | None
    age_s: float


@dataclass(frozen=True)
class AcquireCallLease:
    """Asks this router's own task for a lease for one call on a fragile server.

    The reply is `CallLeaseGranted`, `PermitDenied` or `AskIssuer`.

    Args:
        incarnation: The server's incarnation.
        slots: Calls that it runs concurrently.
        lease_id: Id of the lease.
        time_left_s: Longest time that the call takes, in seconds.
    """

    incarnation: str
    slots: int
    lease_id: str
    time_left_s: float


@dataclass(frozen=True)
class RequestCallLease:
    """Asks the router that issues a server's leases for one.

    Args:
        fragile: What the sender knows of the server.
        slots: Calls that the server runs concurrently.
        lease_id: Id of the lease.
        time_left_s: Longest time that the call takes, in seconds.
    """

    fragile: FragileAnnounced
    slots: int
    lease_id: str
    time_left_s: float


@dataclass(frozen=True)
class CallLeaseGranted:
    """The call may be sent to the server.

    Args:
        issuer: The router that issued the lease.
    """

    issuer: str


@dataclass(frozen=True)
class CallLeaseEnded:
    """A call is no longer in progress.

    Args:
        incarnation: The server's incarnation.
        lease_id: Id of the lease.
        rejected: Whether the server had no room for the call.
    """

    incarnation: str
    lease_id: str
    rejected: bool


@dataclass(frozen=True)
class CallLease:
    """A lease that a call holds.

    Args:
        issuer: The router that issued it.
        incarnation: The server's incarnation.
        lease_id: Id of the lease.
    """

    issuer: str
    incarnation: str
    lease_id: str
