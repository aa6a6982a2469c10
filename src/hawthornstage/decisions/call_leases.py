"""Keeps all routers together to the calls that a fragile server has room for.

One router issues a server's leases. It begins with the server's slots, lowers the
number when the server rejects a call, as memory may leave it less room, and raises
it slowly afterwards.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Part of the calls in progress that is left after the server rejected one.
LOWERING_FACTOR = 0.8
# Calls that are rejected at about the same time lower the number once, in seconds.
LOWERING_INTERVAL_S = 0.25
# Time without a call rejected after which one more lease is issued, in seconds.
RAISING_INTERVAL_S = 0.5
# Time after which a lease expires whose call should have ended, in seconds.
EXPIRY_MARGIN_S = 1.0


@dataclass
class CallLeases:
    """The leases of one server.

    Args:
        slots: Calls that the server runs concurrently.
        capacity: Leases that may be held at a time.
        raised_at: Time from which the next rise of `capacity` is counted.
        lowered_at: Time at which it was lowered last.
        held: Time at which each lease expires, by its id.
    """

    slots: int
    capacity: int
    raised_at: float
    lowered_at: float = -math.inf
    held: dict[str, float] = field(default_factory=dict)

    def grant(
        self, lease_id: str, time_left_s: float, fraction: float, now: float
    ) -> bool:
        """Grant a lease, or return False if too many are held.

        Args:
            lease_id: Id of the lease; a repeated one is granted again.
            time_left_s: Longest time that the call takes.
            fraction: Part of the leases that this router issues.
            now: Monotonic time.
        """
        self.expire(now)
        self.raise_capacity(now)
        most = max(1, math.floor(self.capacity * fraction))
        if lease_id not in self.held and len(self.held) >= most:
            return False
        self.held[lease_id] = now + max(0.0, time_left_s) + EXPIRY_MARGIN_S
        return True

    def end(self, lease_id: str, *, rejected: bool, now: float) -> None:
        """End a lease.

        Args:
            lease_id: Id of the lease.
            rejected: Whether the server had no room for the call.
            now: Monotonic time.
        """
        in_progress = len(self.held)
        self.held.pop(lease_id, None)
        if not rejected or now - self.lowered_at < LOWERING_INTERVAL_S:
            return
        lowered = math.floor(min(self.capacity, in_progress) * LOWERING_FACTOR)
        self.capacity = max(1, lowered)
        self.lowered_at = self.raised_at = now

    def raise_capacity(self, now: float) -> None:
        """Raise the number of leases for the time without a call rejected."""
        steps = math.floor((now - self.raised_at) / RAISING_INTERVAL_S)
        if steps < 1:
            return
        self.raised_at += steps * RAISING_INTERVAL_S
        self.capacity = min(self.slots, self.capacity + steps)

    def expire(self, now: float) -> None:
        """Drop the leases of calls that must have ended."""
        self.held = {each: at for each, at in self.held.items() if at > now}


def first_leases(slots: int, now: float) -> CallLeases:
    """Return the leases of a server that has just become fragile."""
    return CallLeases(max(1, slots), max(1, slots), now)
