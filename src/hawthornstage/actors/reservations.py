"""The task that holds reservations made through the old routing setup."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.messages.budget_messages import Acknowledged, Release
from hawthornstage.messages.request import Reservation
from hawthornstage.observe.events import EventLog

# Time after which an unsettled reservation is released, in seconds. It can still be
# settled later, through a new reservation of the tokens really used.
RESERVATION_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class AddReservation:
    """Adds a reservation, held until it is removed or expires."""

    attempt: str
    reservation: Reservation


@dataclass(frozen=True)
class RemoveReservation:
    """Removes a reservation; the reply is `RemovedReservation`."""

    attempt: str


@dataclass(frozen=True)
class RemovedReservation:
    """The removed reservation, or None if it is unknown here or has expired."""

    reservation: Reservation | None


@dataclass(frozen=True)
class CheckReservations:
    """Triggers the release of expired reservations."""


class Reservations(Task):
    """Owns reservations that their callers settle in a later call.

    Each reservation leaves this task only once, either to be settled or released.

    Args:
        settlements: Delivers releases to holders.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self, settlements: pykka.ActorRef, clock: Clock, events: EventLog
    ) -> None:
        super().__init__()
        self.settlements = settlements
        self.clock = clock
        self.events = events
        self.reservations: dict[str, tuple[Reservation, float]] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=AddReservation(attempt, reservation), reply_to=reply_to):
                self.reservations[attempt] = (reservation, self.clock.monotonic())
                reply_to.put(Acknowledged())
            case Ask(message=RemoveReservation(attempt), reply_to=reply_to):
                found = self.reservations.pop(attempt, None)
                reply_to.put(RemovedReservation(found[0] if found else None))
            case CheckReservations():
                self.release_expired()

    def release_expired(self) -> None:
        """Release the reservations that have expired."""
        limit = self.clock.monotonic() - RESERVATION_TIMEOUT_S
        for attempt, (reservation, added_at) in list(self.reservations.items()):
            if added_at <= limit:
                del self.reservations[attempt]
                self.events.emit("reservation_expired", attempt=attempt)
                release = Release(reservation.budget, reservation.grant.id, attempt)
                self.settlements.tell(DeliverToHolder(reservation.holder, release))
