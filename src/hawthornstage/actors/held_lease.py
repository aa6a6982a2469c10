"""A lease in the store that a task keeps alive with its calls."""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.clock import Clock
from hawthornstage.messages.store import (
    LeaseGranted,
    LeaseLost,
    StoreNoResponse,
    StoreRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient


@dataclass
class HeldLease:
    """A lease that this task keeps alive.

    Args:
        ttl_s: Time to live, in seconds.
        renewal_age_s: Age at which it is renewed, in seconds.
        id: The lease, or None before it is granted and after it is lost.
        renewed_at: Monotonic time of the last renewal, in seconds.
    """

    ttl_s: float
    renewal_age_s: float
    id: int | None = None
    renewed_at: float = float("-inf")


def renew_lease(
    lease: HeldLease, store: StoreClient, clock: Clock, events: EventLog
) -> str | None:
    """Renew a lease or obtain a new one, if due.

    Args:
        lease: The lease, which is updated.
        store: The client of the task that keeps the lease.
        clock: The runtime's clock.
        events: The event log.

    Returns:
        The failure, if any.
    """
    now = clock.monotonic()
    if lease.id is not None and now - lease.renewed_at < lease.renewal_age_s:
        return None
    if lease.id is not None:
        match store.renew_lease(lease.id):
            case LeaseGranted():
                lease.renewed_at = now
                return None
            case LeaseLost():
                events.emit("record_lease_lost", lease=lease.id)
                lease.id = None
            case StoreRefused(reason) | StoreNoResponse(reason):
                return reason
    match store.grant_lease(lease.ttl_s):
        case LeaseGranted(lease_id, _):
            lease.id, lease.renewed_at = lease_id, now
            return None
        case StoreRefused(reason) | StoreNoResponse(reason):
            return reason
