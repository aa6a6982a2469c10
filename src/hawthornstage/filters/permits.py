"""Permits: asks whether a call may be sent to a server, by what the server said."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

import pykka

from hawthornstage.actors.ask import ask, ask_router
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.task import Recipient
from hawthornstage.clock import Clock
from hawthornstage.decisions.server_acceptance import (
    NotAccepting,
    why_not_accepting,
)
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.call_leases import (
    AcquireCallLease,
    CallLease,
    CallLeaseEnded,
    CallLeaseGranted,
)
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.server_limits import (
    AcquirePermit,
    AskIssuer,
    IssuerUnresponsive,
    PermitDenied,
    PermitGranted,
)
from hawthornstage.messages.server_notices import (
    ClosedAnnounced,
    NoticeObserved,
    ServerNotice,
    ServerNotices,
)
from hawthornstage.messages.server_selection import RegisteredServers

# Timeout of a permit, from this router's task and from another router, in seconds.
PERMIT_TIMEOUT_S = 0.1
# Routers asked for one permit, one after the other.
MAX_ISSUERS_ASKED = 2
# Random bytes of a lease's id.
LEASE_ID_BYTES = 8
# Time to wait when no router has replied to the request for a permit, in seconds.
NO_REPLY_RETRY_S = 0.25


@dataclass(frozen=True)
class Permits:
    """Acquires permits and leases, and reports what servers say of themselves.

    Args:
        task: Task that owns the limits and issues this router's permits.
        peers: Sends messages to other routers.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        clock: Source of timeouts.
    """

    task: pykka.ActorRef
    peers: Recipient
    notices: LatestValue[ServerNotices]
    evacuations: LatestValue[Evacuations]
    clock: Clock

    def needed_for(self, incarnation: str) -> bool:
        """Whether a call to a server needs a permit or a lease now."""
        return self.is_limited(incarnation) or self.is_fragile(incarnation)

    def is_limited(self, incarnation: str) -> bool:
        """Whether a server has a limit, so that calls need permits."""
        return self.notices.value.is_limited(incarnation)

    def is_cold(self, incarnation: str) -> bool:
        """Whether a server is cold, so that a permit holds for a short time only."""
        return self.notices.value.is_cold(incarnation)

    def is_fragile(self, incarnation: str) -> bool:
        """Whether a server is fragile, so that calls need leases."""
        return incarnation in self.notices.value.fragile

    def why_not_accepting(
        self, server: BackendServer, registered: RegisteredServers
    ) -> NotAccepting | None:
        """Return why a server must get no call now, or None if it may.

        Args:
            server: The server as it was chosen.
            registered: The servers that may get calls.
        """
        return why_not_accepting(
            server,
            registered,
            self.notices.value,
            self.evacuations.value,
            self.clock.monotonic(),
        )

    def acquire(self, incarnation: str, priority: int) -> PermitDenied | None:
        """Acquire a permit; return the denial if there is none.

        Args:
            incarnation: The server's incarnation.
            priority: The call's priority; 0 is the most urgent.
        """
        reply = self.ask(AcquirePermit(incarnation, priority))
        return None if isinstance(reply, PermitGranted) else reply

    def acquire_lease(
        self, server: BackendServer, time_left_s: float
    ) -> CallLease | PermitDenied:
        """Acquire the lease of a call on a fragile server, or return its denial.

        Args:
            server: The server.
            time_left_s: Longest time that the call takes, in seconds.
        """
        lease_id = secrets.token_hex(LEASE_ID_BYTES)
        reply = self.ask(
            AcquireCallLease(server.incarnation, server.slots, lease_id, time_left_s)
        )
        if isinstance(reply, CallLeaseGranted):
            return CallLease(reply.issuer, server.incarnation, lease_id)
        return reply

    def end_lease(self, lease: CallLease, *, rejected: bool) -> None:
        """Tell the issuer of a lease that its call has ended."""
        ended = CallLeaseEnded(lease.incarnation, lease.lease_id, rejected)
        self.peers.tell(Send(lease.issuer, ended))

    def ask(
        self, request: AcquirePermit | AcquireCallLease
    ) -> PermitGranted | CallLeaseGranted | PermitDenied:
        """Ask this router's task, and the router that it names."""
        for _ in range(MAX_ISSUERS_ASKED):
            reply = ask(self.task, request, self.clock, timeout=PERMIT_TIMEOUT_S)
            if isinstance(reply, AskIssuer):
                reply = self.ask_issuer(reply)
            if reply is not None:
                return reply
        return PermitDenied(NO_REPLY_RETRY_S)

    def ask_issuer(
        self, issuer: AskIssuer
    ) -> PermitGranted | CallLeaseGranted | PermitDenied | None:
        """Ask another router; None if it does not reply in time."""
        reply = ask_router(
            self.peers,
            issuer.node,
            issuer.request,
            self.clock,
            timeout=PERMIT_TIMEOUT_S,
        )
        if isinstance(reply, PermitGranted | CallLeaseGranted | PermitDenied):
            return reply
        self.task.tell(IssuerUnresponsive(issuer.node))
        return None

    def tell_closed(self, node: str, incarnation: str, closed_for_s: float) -> None:
        """Tell the router that carried a call that the server wants no more for a time.

        Args:
            node: The router's name.
            incarnation: The server's incarnation.
            closed_for_s: The time, in seconds.
        """
        self.peers.tell(Send(node, ClosedAnnounced(incarnation, closed_for_s)))

    def observe(self, incarnation: str, notice: ServerNotice) -> None:
        """Report what a response said of its server, if it is news."""
        known = self.notices.value
        limit_changed = known.calls_per_s.get(incarnation) != notice.calls_per_s
        fragile = notice.tolerated_refusals is not None
        fragile_changed = fragile != (incarnation in known.fragile)
        leaving = notice.leaving and incarnation not in known.leaving
        if leaving or limit_changed or fragile_changed or notice.closed_for_s:
            self.task.tell(NoticeObserved(incarnation, notice))
