"""Keeps all routers together to the limits that backend servers name.

For each server with a limit, one router issues the permits to send calls: the first by
rendezvous hashing. While it does not respond, the next one issues a small part of the
limit. Lists of routers differ for a while after a change; a router that has become the
first also issues only that part until all lists agree. The parts that the routers of
one server issue at a time then stay close to the limit, whoever asks whom.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.server_limits import PermitDenied, PermitGranted

# Time within which all routers learn of a router that comes or goes, in seconds.
VIEW_SETTLING_S = 15.0
# Part of a limit that a router issues which is not certain to be the only one.
STANDBY_FRACTION = 0.2
# Permits that may be issued at once after a pause: a number, and seconds of the rate.
BURST_CALLS = 1.0
BURST_S = 0.25
# Time for which a free permit is kept for a more urgent call that was denied one, in
# seconds.
URGENT_HOLD_S = 0.25
# Routers that issue permits of one server.
ISSUERS_PER_SERVER = 2
# Time for which a router that did not reply is not asked, in seconds.
UNRESPONSIVE_S = 1.0
# Most servers of which a number is kept.
MAX_VALUES = 4_096


@dataclass(frozen=True)
class KnownValue:
    """A number that one server has named.

    Args:
        value: The number, or None if it does not hold any more.
        observed_at: Time of the response that told it.
    """

    value: float | None
    observed_at: float


@dataclass
class ValueBook:
    """The numbers of one kind that servers have named, as far as this router knows.

    Args:
        known: The latest number by server incarnation.
    """

    known: dict[str, KnownValue] = field(default_factory=dict)

    def observe(self, incarnation: str, value: KnownValue) -> bool:
        """Record a number unless a newer one is known; return whether it changed."""
        known = self.known.get(incarnation)
        if known is not None and known.observed_at >= value.observed_at:
            return False
        self.known.pop(incarnation, None)
        self.known[incarnation] = value
        if len(self.known) > MAX_VALUES:
            del self.known[next(iter(self.known))]
        before = known.value if known else None
        return before != value.value

    def value_of(self, incarnation: str) -> float | None:
        """Return the number that a server has named, or None."""
        known = self.known.get(incarnation)
        return known.value if known else None

    def in_force(self) -> dict[str, float]:
        """Return the numbers that still hold, by server incarnation."""
        return {
            incarnation: known.value
            for incarnation, known in self.known.items()
            if known.value is not None
        }


@dataclass(frozen=True)
class PermitBucket:
    """The permits of one server that this router may issue.

    Args:
        available: Permits at `updated_at`.
        updated_at: Time of the last request.
        kept_for: Priority of the most urgent call that was denied a permit.
        kept_until: Time until which less urgent calls get none.
    """

    available: float
    updated_at: float
    kept_for: int = 0
    kept_until: float = -math.inf


def issue_permit(
    bucket: PermitBucket,
    rate: float,
    priority: int,
    now: float,
    burst_s: float = BURST_S,
) -> tuple[PermitBucket, PermitGranted | PermitDenied]:
    """Issue a permit or deny it.

    Args:
        bucket: The permits of the server.
        rate: Permits per second that this router issues for it.
        priority: Priority of the call; 0 is the most urgent.
        now: Monotonic time in seconds.
        burst_s: Permits that may be issued at once after a pause, in seconds of the
            rate.

    Returns:
        The new state and the decision.
    """
    gained = max(0.0, now - bucket.updated_at) * rate
    available = min(BURST_CALLS + burst_s * rate, bucket.available + gained)
    bucket = replace(bucket, available=available, updated_at=now)
    if priority > bucket.kept_for and now < bucket.kept_until:
        return bucket, PermitDenied(bucket.kept_until - now)
    if available >= 1.0:
        return replace(
            bucket, available=available - 1.0, kept_until=-math.inf
        ), PermitGranted()
    wait_s = (1.0 - available) / rate
    if priority < bucket.kept_for or now >= bucket.kept_until:
        kept_until = now + wait_s + URGENT_HOLD_S
        bucket = replace(bucket, kept_for=priority, kept_until=kept_until)
    return bucket, PermitDenied(wait_s)


@dataclass(frozen=True)
class RouterView:
    """The routers that this router knew from some time on."""

    since: float
    routers: frozenset[str]


@dataclass
class PermitIssuers:
    """Which routers issue the permits of each server.

    Args:
        node: This router.
        views: The latest views of the fleet, oldest first; the first one is without
            routers, as a router that starts may have missed what happened before.
        unresponsive_until: Time until which a router is not asked, by name.
        orders: Cache of the issuers by the name by which they are chosen.
    """

    node: str
    views: list[RouterView]
    unresponsive_until: dict[str, float] = field(default_factory=dict)
    orders: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def update_routers(self, others: Iterable[str], now: float) -> None:
        """Replace the known routers, and drop views that no router has any more.

        One that starts again under its name changes no view.
        """
        routers = frozenset((self.node, *others))
        if routers != self.views[-1].routers:
            self.views.append(RouterView(now, routers))
            self.orders.clear()
        while len(self.views) > 1 and self.views[1].since <= now - VIEW_SETTLING_S:
            del self.views[0]

    def issuers(self, key: str) -> tuple[str, ...]:
        """Return the routers that issue a server's permits, the first one first.

        Args:
            key: The name by which they are chosen, see `Issuing`.
        """
        order = self.orders.get(key)
        if order is None:
            if len(self.orders) >= MAX_VALUES:
                self.orders.clear()
            routers = self.views[-1].routers
            ranked = rendezvous_order(key, routers)
            order = self.orders[key] = tuple(ranked[:ISSUERS_PER_SERVER])
        return order

    def issuer_to_ask(self, key: str, now: float) -> str | None:
        """Return the first issuer that responds; None if none does."""
        for node in self.issuers(key):
            if self.unresponsive_until.get(node, now) <= now:
                return node
        return None

    def avoid(self, node: str, now: float) -> None:
        """Avoid a router that did not reply."""
        if node != self.node:
            self.unresponsive_until[node] = now + UNRESPONSIVE_S

    def issuing_fraction(self, key: str, now: float) -> float:
        """Return the part of a server's limit that this router issues."""
        for position, view in enumerate(self.views):
            later = self.views[position + 1 :]
            if later and later[0].since <= now - VIEW_SETTLING_S:
                continue
            first = rendezvous_order(key, view.routers)[:1]
            if first != [self.node]:
                return STANDBY_FRACTION
        return 1.0
