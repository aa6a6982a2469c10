"""The task that owns what servers say of themselves, and the permits it takes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.issuing import Issuing
from hawthornstage.actors.servers.slow_starts import SlowStarts
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.peer_links import neighbour_processes
from hawthornstage.decisions.router_processes import changed_processes
from hawthornstage.decisions.server_limits import (
    MAX_VALUES,
    KnownValue,
    ValueBook,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.budget_messages import Acknowledged
from hawthornstage.messages.call_leases import (
    AcquireCallLease,
    CallLeaseEnded,
    FragileAnnounced,
    RequestCallLease,
)
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.fleet import DesiredStateInUse, KnownRouters
from hawthornstage.messages.server_limits import (
    AcquirePermit,
    IssuerUnresponsive,
    LimitAnnounced,
    RequestPermit,
)
from hawthornstage.messages.server_notices import (
    ClosedAnnounced,
    LeavingAnnounced,
    NoticeObserved,
    ServerNotices,
)
from hawthornstage.messages.slow_start import (
    EndSlowStarts,
    EntriesRead,
    ServerInDoubt,
    SlowStartBounds,
)
from hawthornstage.observe.events import EventLog

# Time for which a new neighbour is told that a server leaves, in seconds.
LEAVING_NEWS_S = 120.0
# Shortest interval between two announcements of one server's changed limit, in seconds.
ANNOUNCEMENT_INTERVAL_S = 1.0


class ServerNoticesTask(Task):
    """Owns what servers say of themselves, and the permits that this router issues.

    Args:
        node: This router's name.
        notices: Where what servers say is published for the request pipe.
        subscribers: Get `ServerNotices` after each change.
        peers: Sends messages to other routers.
        slow_start_bounds: Returns what a cold server may get in any one second.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        notices: LatestValue[ServerNotices],
        subscribers: tuple[pykka.ActorRef, ...],
        peers: Recipient,
        *,
        slow_start_bounds: Callable[[], SlowStartBounds] = SlowStartBounds,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.notices = notices
        self.leaving: dict[str, float] = {}
        self.closed_until: dict[str, float] = {}
        self.subscribers = subscribers
        self.peers = peers
        self.clock = clock
        self.events = events
        self.limits = ValueBook()
        self.fragile = ValueBook()
        self.slow_starts = SlowStarts(slow_start_bounds, events)
        self.issuing = Issuing(
            node, self.limits, self.fragile, self.slow_starts, clock, events
        )
        # Addresses of the neighbours' processes, by name.
        self.neighbours: dict[str, str] = {}
        self.announced_at: dict[str, float] = {}

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case NoticeObserved(incarnation, notice):
                if notice.leaving:
                    self.note_leaving(incarnation, now)
                if notice.closed_for_s:
                    self.note_closed(incarnation, notice.closed_for_s, now)
                if not notice.invalid:
                    limit = KnownValue(notice.calls_per_s, now)
                    self.observe_limit(incarnation, limit, now)
                    tolerated = KnownValue(notice.tolerated_refusals, now)
                    self.observe_fragile(incarnation, tolerated, now)
            case Ask(message=LeavingAnnounced(incarnation), reply_to=reply_to):
                self.note_leaving(incarnation, now)
                reply_to.put(Acknowledged())
            case Ask(message=ClosedAnnounced(server, closed_for_s), reply_to=reply_to):
                self.note_closed(server, closed_for_s, now)
                reply_to.put(Acknowledged())
            case Ask(message=LimitAnnounced() as limit, reply_to=reply_to):
                self.hear(limit, now)
                reply_to.put(Acknowledged())
            case Ask(message=AcquirePermit(server, priority), reply_to=reply_to):
                reply_to.put(self.issuing.acquire(server, priority, now))
            case Ask(message=RequestPermit(limit, priority), reply_to=reply_to):
                self.hear(limit, now)
                told = limit.slow_start
                reply_to.put(self.issuing.issue(limit.incarnation, told, priority, now))
            case Ask(message=FragileAnnounced() as fragile, reply_to=reply_to):
                self.hear_fragile(fragile, now)
                reply_to.put(Acknowledged())
            case Ask(message=AcquireCallLease() as wanted, reply_to=reply_to):
                reply_to.put(self.issuing.acquire_lease(wanted, now))
            case Ask(message=RequestCallLease() as request, reply_to=reply_to):
                self.hear_fragile(request.fragile, now)
                reply_to.put(self.issuing.issue_lease(request, now))
            case Ask(message=CallLeaseEnded() as ended, reply_to=reply_to):
                self.issuing.end_lease(ended, now)
                reply_to.put(Acknowledged())
            case Ask(message=EntriesRead(servers), reply_to=reply_to):
                told = self.slow_starts.read(servers, now)
                self.refresh_slow_starts(told, now)
                reply_to.put(Acknowledged())
            case ServerInDoubt():
                self.slow_starts.doubt(message, now)
                self.refresh_slow_starts([], now)
            case DesiredStateInUse(state, _):
                self.slow_starts.update_terms(state.slow_starts)
                self.refresh_slow_starts([], now)
            case Evacuations(failure_domains):
                self.slow_starts.book.replace_evacuated(failure_domains, now)
                self.refresh_slow_starts([], now)
            case EndSlowStarts():
                self.refresh_slow_starts([], now)
            case IssuerUnresponsive(node):
                self.issuing.issuers.avoid(node, now)
            case KnownRouters(urls):
                self.issuing.issuers.update_routers(urls, now)
                self.update_neighbours(urls, now)

    def hear(self, limit: LimitAnnounced, now: float) -> None:
        """Record a limit that another router told of."""
        known = KnownValue(limit.calls_per_s, now - max(0.0, limit.age_s))
        self.observe_limit(limit.incarnation, known, now)
        if self.slow_starts.hear(limit.incarnation, limit.slow_start, now):
            self.refresh_slow_starts([limit.incarnation], now)

    def refresh_slow_starts(self, told: list[str], now: float) -> None:
        """Publish changed limits of cold servers, and tell the neighbours of some.

        Args:
            told: The incarnations that other routers should know of.
            now: Monotonic time in seconds.
        """
        before = set(self.slow_starts.in_force)
        if self.slow_starts.refresh(now):
            for server in before - self.slow_starts.in_force.keys():
                self.issuing.buckets.pop(server, None)
            self.publish()
        for incarnation in told:
            for node in self.neighbours:
                limit = self.issuing.announcement(incarnation, now)
                self.peers.tell(Send(node, limit))

    def observe_limit(self, incarnation: str, limit: KnownValue, now: float) -> None:
        """Record a limit; publish and announce it if it has changed."""
        if not self.limits.observe(incarnation, limit):
            return
        self.publish()
        self.events.emit(
            "server_limit_changed",
            server=incarnation,
            calls_per_s=limit.value,
            age_ms=int((now - limit.observed_at) * 1000),
        )
        if limit.value is None:
            self.issuing.forget_bucket(incarnation)
        self.announce(incarnation, now)

    def hear_fragile(self, fragile: FragileAnnounced, now: float) -> None:
        """Record what another router told of a fragile server."""
        known = KnownValue(fragile.tolerated, now - max(0.0, fragile.age_s))
        self.observe_fragile(fragile.incarnation, known, now)

    def observe_fragile(
        self, incarnation: str, tolerated: KnownValue, now: float
    ) -> None:
        """Record whether a server is fragile; publish and announce a change."""
        if not self.fragile.observe(incarnation, tolerated):
            return
        self.publish()
        age_s = now - tolerated.observed_at
        self.events.emit(
            "server_fragile_changed",
            server=incarnation,
            tolerated=tolerated.value,
            age_ms=int(age_s * 1000),
        )
        if tolerated.value is None:
            self.issuing.leases.pop(incarnation, None)
        for node in self.neighbours:
            self.peers.tell(Send(node, self.issuing.fragile_news(incarnation, now)))

    def note_leaving(self, incarnation: str, now: float) -> None:
        """Record that a server leaves; publish and announce it if that is news."""
        if incarnation in self.leaving:
            return
        self.leaving[incarnation] = now
        if len(self.leaving) > MAX_VALUES:
            del self.leaving[next(iter(self.leaving))]
        self.publish()
        self.events.emit("server_said_leaving", server=incarnation)
        for node in self.neighbours:
            self.peers.tell(Send(node, LeavingAnnounced(incarnation)))

    def update_neighbours(self, urls: Mapping[str, str], now: float) -> None:
        """Replace the neighbours; processes that are new to it are told what holds."""
        before = self.neighbours
        self.neighbours = neighbour_processes(self.node, urls)
        for node in sorted(changed_processes(before, self.neighbours)):
            for message in self.news(now):
                self.peers.tell(Send(node, message))

    def news(
        self, now: float
    ) -> list[LeavingAnnounced | LimitAnnounced | FragileAnnounced]:
        """Return what servers have said and a router that starts cannot know."""
        leaving = [
            LeavingAnnounced(incarnation)
            for incarnation, since in self.leaving.items()
            if now - since < LEAVING_NEWS_S
        ]
        limits = [
            self.issuing.announcement(incarnation, now)
            for incarnation in self.limits.in_force()
        ]
        fragile = [
            self.issuing.fragile_news(incarnation, now)
            for incarnation in self.fragile.in_force()
        ]
        return [*leaving, *limits, *fragile]

    def note_closed(self, incarnation: str, closed_for_s: float, now: float) -> None:
        """Record that a server wants no calls of this router for some time."""
        until = now + closed_for_s
        self.closed_until = {
            server: at for server, at in self.closed_until.items() if at > now
        }
        if until <= self.closed_until.get(incarnation, now):
            return
        self.closed_until[incarnation] = until
        self.publish()
        self.events.emit("server_closed", server=incarnation, closed_for_s=closed_for_s)

    def publish(self) -> None:
        """Publish what servers have said of themselves."""
        notices = ServerNotices(
            self.limits.in_force(),
            dict(self.leaving),
            dict(self.closed_until),
            frozenset(self.fragile.in_force()),
            self.slow_starts.in_force,
        )
        self.notices.publish(notices)
        for subscriber in self.subscribers:
            subscriber.tell(notices)

    def announce(self, incarnation: str, now: float) -> None:
        """Tell the neighbours of a changed limit, which tell theirs."""
        last = self.announced_at.get(incarnation)
        limit = self.issuing.announcement(incarnation, now)
        ended = limit.calls_per_s is None
        if not ended and last is not None and now - last < ANNOUNCEMENT_INTERVAL_S:
            return
        self.announced_at = {
            server: at
            for server, at in self.announced_at.items()
            if server in self.limits.known
        }
        self.announced_at[incarnation] = now
        for node in self.neighbours:
            self.peers.tell(Send(node, limit))
