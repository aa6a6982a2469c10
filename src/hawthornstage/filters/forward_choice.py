"""Choice: finds a backend server for a forwarded call that has room for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.home_regions import failure_domains_in
from hawthornstage.decisions.slow_start import PERMIT_VALIDITY_S
from hawthornstage.filters.forward import TASK_TIMEOUT_S
from hawthornstage.filters.permits import Permits
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import DesiredState, Idempotency
from hawthornstage.messages.forward import (
    Delivery,
    ForwardExchange,
    PooledConnection,
)
from hawthornstage.messages.server_limits import PermitDenied
from hawthornstage.messages.server_selection import (
    CallEnded,
    NoServerAvailable,
    RequestServer,
    ServerAtLimit,
    ServerChosen,
)
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class ServerChoice:
    """Chooses servers, and acquires the permits of those that have named a limit.

    Args:
        serving: Task that chooses servers.
        permits: Permits for servers that have named a limit.
        clock: Source of timeouts.
        metrics: Counts permits.
        desired: The desired state in use; None for that of each call.
        region_of: Returns the region of each failure domain.
    """

    serving: pykka.ActorRef
    permits: Permits
    clock: Clock
    metrics: Metrics
    desired: LatestValue[DesiredState | None]
    region_of: Callable[[], Mapping[str, str]] = dict

    def choose(
        self, exchange: ForwardExchange, delivery: Delivery
    ) -> ServerChosen | NoServerAvailable:
        """Return a server for the call that has room within the limit that it named.

        A server without room is passed over until it may have some.
        """
        permits_denied = 0
        while True:
            choice = self.request(exchange, delivery, permits_denied)
            if isinstance(choice, NoServerAvailable):
                return choice
            denied = self.acquire_permit(exchange, choice, delivery)
            if denied is None:
                return choice
            self.pass_over(exchange, choice, denied)
            permits_denied += 1

    def needs_permit(self, choice: ServerChosen) -> bool:
        """Whether a call to the chosen server needs a permit."""
        return self.permits.needed_for(choice.server.incarnation)

    def acquire_permit(
        self, exchange: ForwardExchange, choice: ServerChosen, delivery: Delivery
    ) -> PermitDenied | None:
        """Acquire the permit and the lease that the chosen server may need.

        Returns:
            The denial, or None if the call may be sent.
        """
        delivery.permit_asked_at = None
        if not self.needs_permit(choice):
            return None
        denied = None
        if self.permits.is_limited(choice.server.incarnation):
            delivery.permit_asked_at = self.clock.monotonic()
            denied = self.permits.acquire(choice.server.incarnation, exchange.priority)
        if denied is None and self.permits.is_fragile(choice.server.incarnation):
            denied = self.acquire_lease(exchange, choice, delivery)
        outcome = "granted" if denied is None else "denied"
        self.metrics.permits.labels(outcome).inc()
        return denied

    def lacks_permit(self, choice: ServerChosen, delivery: Delivery) -> bool:
        """Whether a call that is about to be sent has no permit that still holds."""
        incarnation = choice.server.incarnation
        if self.permits.is_fragile(incarnation) and delivery.lease is None:
            return True
        if not self.permits.is_limited(incarnation):
            return False
        asked_at = delivery.permit_asked_at
        if asked_at is None:
            return True
        age_s = self.clock.monotonic() - asked_at
        return self.permits.is_cold(incarnation) and age_s > PERMIT_VALIDITY_S

    def acquire_lease(
        self, exchange: ForwardExchange, choice: ServerChosen, delivery: Delivery
    ) -> PermitDenied | None:
        """Acquire the lease of a fragile server, which the delivery keeps."""
        if delivery.lease is not None:
            return None
        time_left_s = exchange.deadline - self.clock.monotonic()
        outcome = self.permits.acquire_lease(choice.server, time_left_s)
        if isinstance(outcome, PermitDenied):
            return outcome
        delivery.lease = outcome
        return None

    def end_lease(self, delivery: Delivery, *, rejected: bool = False) -> None:
        """End the lease that an attempt may hold.

        Args:
            delivery: What was done for the call.
            rejected: Whether the server had no room for the call.
        """
        lease, delivery.lease = delivery.lease, None
        if lease is not None:
            self.permits.end_lease(lease, rejected=rejected)

    def pass_over(
        self, exchange: ForwardExchange, choice: ServerChosen, denied: PermitDenied
    ) -> None:
        """Release a server without room, and let none of this router's calls there."""
        self.release(exchange, choice.pooled)
        self.serving.tell(ServerAtLimit(choice.server.id, denied.retry_after_s))

    def request(
        self, exchange: ForwardExchange, delivery: Delivery, permits_denied: int
    ) -> ServerChosen | NoServerAvailable:
        """Ask the serving task for a server.

        Args:
            exchange: The call.
            delivery: What was done for the call.
            permits_denied: Servers chosen for this attempt that had no room.
        """
        want = RequestServer(
            call_id=exchange.unique_id,
            service=exchange.service,
            prompt=exchange.call.prompt,
            excluded=delivery.excluded,
            retry=delivery.attempts > 0,
            max_connections_per_server=self.max_connections(exchange),
            repeatable=exchange.route.idempotency is Idempotency.IDEMPOTENT,
            permits_denied=permits_denied,
            version=needed_version(exchange, delivery),
            failure_domains=failure_domains_in(exchange.regions, self.region_of()),
        )
        reply = ask(self.serving, want, self.clock, timeout=TASK_TIMEOUT_S)
        if reply is None:
            self.release(exchange)
            return NoServerAvailable(
                f"the serving task sent no reply within {TASK_TIMEOUT_S} s"
            )
        return reply

    def max_connections(self, exchange: ForwardExchange) -> int:
        """Return the connections that a server of the call's service accepts now.

        The call may have waited since its own version of the desired state.
        """
        state = self.desired.value or exchange.desired
        return replace(exchange, desired=state).max_connections_per_server

    def release(
        self, exchange: ForwardExchange, pooled: PooledConnection | None = None
    ) -> None:
        """Remove the call from the load of a server that may have been chosen.

        Args:
            exchange: The call.
            pooled: The unused connection to the server, if there is one.
        """
        self.serving.tell(
            CallEnded(exchange.unique_id, failed=False, refused=False, pooled=pooled)
        )


def needed_version(exchange: ForwardExchange, delivery: Delivery) -> str | None:
    """Return the version that the next server must have, or None for any."""
    if delivery.stream_version is not None:
        return delivery.stream_version
    return exchange.stream_version
