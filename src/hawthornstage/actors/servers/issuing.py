"""The permits and leases that one router issues for servers."""

from __future__ import annotations

from hawthornstage.actors.servers.slow_starts import SlowStarts
from hawthornstage.clock import Clock
from hawthornstage.decisions import slow_start
from hawthornstage.decisions.call_leases import CallLeases, first_leases
from hawthornstage.decisions.server_limits import (
    BURST_S,
    MAX_VALUES,
    PermitBucket,
    PermitIssuers,
    RouterView,
    ValueBook,
    issue_permit,
)
from hawthornstage.messages.backends import server_of
from hawthornstage.messages.call_leases import (
    AcquireCallLease,
    CallLeaseEnded,
    CallLeaseGranted,
    FragileAnnounced,
    RequestCallLease,
)
from hawthornstage.messages.server_limits import (
    AskIssuer,
    LimitAnnounced,
    PermitDenied,
    PermitGranted,
    RequestPermit,
)
from hawthornstage.messages.slow_start import SlowStartNews
from hawthornstage.observe.events import EventLog

# Time to wait when no router that issues a server's permits responds, in seconds.
NO_ISSUER_RETRY_S = 0.25
# Time to wait when all leases of a fragile server are held, in seconds.
NO_LEASE_RETRY_S = 0.1
# Age of the news of a limit that is not known, in seconds: older than any that is.
UNKNOWN_AGE_S = 1_000_000.0


class Issuing:
    """Issues permits of servers with a limit, and leases of fragile ones.

    It is part of the state of the task that owns what servers say of themselves. The
    issuers of a server are chosen by its incarnation; while it is cold by its id, as
    routers may not know yet which process has the id.

    Args:
        node: This router's name.
        limits: The limits that servers have named.
        fragile: The calls that fragile servers can reject in a second.
        slow_starts: The servers that are cold.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        limits: ValueBook,
        fragile: ValueBook,
        slow_starts: SlowStarts,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.node = node
        self.limits = limits
        self.fragile = fragile
        self.slow_starts = slow_starts
        self.events = events
        self.issuers = PermitIssuers(node, [RouterView(clock.monotonic(), frozenset())])
        self.buckets: dict[str, PermitBucket] = {}
        self.leases: dict[str, CallLeases] = {}

    def acquire(
        self, incarnation: str, priority: int, now: float
    ) -> PermitGranted | PermitDenied | AskIssuer:
        """Issue a permit, or name the router that issues the server's permits."""
        cold_rate = self.slow_starts.issuing_rate(incarnation, None, now)
        if cold_rate is None and self.limits.value_of(incarnation) is None:
            return PermitGranted()
        key = issuer_key(incarnation, cold_rate)
        issuer = self.issuers.issuer_to_ask(key, now)
        if issuer is None:
            return PermitDenied(NO_ISSUER_RETRY_S)
        if issuer == self.node:
            return self.issue(incarnation, None, priority, now)
        limit = self.announcement(incarnation, now)
        return AskIssuer(issuer, RequestPermit(limit, priority))

    def issue(
        self, incarnation: str, told: SlowStartNews | None, priority: int, now: float
    ) -> PermitGranted | PermitDenied:
        """Issue a permit for a server or deny it.

        Args:
            incarnation: The server's incarnation.
            told: The limit while it is cold, as the router that asks knows it.
            priority: The call's priority; 0 is the most urgent.
            now: Monotonic time in seconds.
        """
        cold_rate = self.slow_starts.issuing_rate(incarnation, told, now)
        rates = [self.limits.value_of(incarnation), cold_rate]
        known = [each for each in rates if each is not None]
        if not known:
            return PermitGranted()
        key = issuer_key(incarnation, cold_rate)
        burst_s = BURST_S if cold_rate is None else slow_start.BURST_S
        rate = min(known) * self.issuers.issuing_fraction(key, now)
        server = server_of(incarnation)
        bucket = self.buckets.get(server) or PermitBucket(0.0, now)
        self.buckets.pop(server, None)
        self.buckets[server], decision = issue_permit(
            bucket, rate, priority, now, burst_s
        )
        if len(self.buckets) > MAX_VALUES:
            del self.buckets[next(iter(self.buckets))]
        return decision

    def forget_bucket(self, incarnation: str) -> None:
        """Forget the permits of a server whose limit has ended."""
        self.buckets.pop(server_of(incarnation), None)

    def acquire_lease(
        self, wanted: AcquireCallLease, now: float
    ) -> CallLeaseGranted | PermitDenied | AskIssuer:
        """Issue a lease, or name the router that issues the server's leases."""
        known = self.fragile.known.get(wanted.incarnation)
        if known is None or known.value is None:
            return CallLeaseGranted(self.node)
        issuer = self.issuers.issuer_to_ask(wanted.incarnation, now)
        if issuer is None:
            return PermitDenied(NO_ISSUER_RETRY_S)
        request = RequestCallLease(
            self.fragile_news(wanted.incarnation, now),
            wanted.slots,
            wanted.lease_id,
            wanted.time_left_s,
        )
        if issuer == self.node:
            return self.issue_lease(request, now)
        return AskIssuer(issuer, request)

    def issue_lease(
        self, request: RequestCallLease, now: float
    ) -> CallLeaseGranted | PermitDenied:
        """Issue a lease for a server or deny it."""
        incarnation = request.fragile.incarnation
        if self.fragile.value_of(incarnation) is None:
            return CallLeaseGranted(self.node)
        leases = self.leases.get(incarnation)
        if leases is None:
            leases = self.leases[incarnation] = first_leases(request.slots, now)
        fraction = self.issuers.issuing_fraction(incarnation, now)
        if leases.grant(request.lease_id, request.time_left_s, fraction, now):
            return CallLeaseGranted(self.node)
        return PermitDenied(NO_LEASE_RETRY_S)

    def end_lease(self, ended: CallLeaseEnded, now: float) -> None:
        """End a lease; a call that was rejected lowers the number of leases."""
        leases = self.leases.get(ended.incarnation)
        if leases is None:
            return
        before = leases.capacity
        leases.end(ended.lease_id, rejected=ended.rejected, now=now)
        if leases.capacity < before:
            self.events.emit(
                "call_leases_lowered",
                server=ended.incarnation,
                capacity=leases.capacity,
                slots=leases.slots,
            )

    def announcement(self, incarnation: str, now: float) -> LimitAnnounced:
        """Return a server's limit as this router tells others of it."""
        slow_start_news = self.slow_starts.news_of(incarnation, now)
        known = self.limits.known.get(incarnation)
        if known is None:
            return LimitAnnounced(incarnation, None, UNKNOWN_AGE_S, slow_start_news)
        age_s = now - known.observed_at
        return LimitAnnounced(incarnation, known.value, age_s, slow_start_news)

    def fragile_news(self, incarnation: str, now: float) -> FragileAnnounced:
        """Return what this router tells others of a fragile server, as it is known."""
        known = self.fragile.known[incarnation]
        return FragileAnnounced(incarnation, known.value, now - known.observed_at)


def issuer_key(incarnation: str, cold_rate: float | None) -> str:
    """Return the name by which the issuers of a server are chosen.

    Args:
        incarnation: The server's incarnation.
        cold_rate: Permits per second while it is cold, or None if it is not.
    """
    return incarnation if cold_rate is None else server_of(incarnation)
