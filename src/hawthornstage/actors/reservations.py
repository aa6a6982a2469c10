"""The task that keeps reservations made for the old routing setup."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.settlements import DeliverToHolder
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.messages.money import Acknowledged, Release
from hawthornstage.messages.request import Reservation
from hawthornstage.observe.events import EventLog

# Time after which an unsettled reservation is given back, in seconds. Settling it
# later is still possible: it then takes a new reservation of the real use.
RESERVATION_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class AddReservation:
    """Keeps a reservation until it is taken."""

    attempt: str
    reservation: Reservation


@dataclass(frozen=True)
class RemoveReservation:
    """Takes a reservation out; the reply is `RemovedReservation`."""

    attempt: str


@dataclass(frozen=True)
class RemovedReservation:
    """The reservation, or None if it is not kept here any more."""

    reservation: Reservation | None


@dataclass(frozen=True)
class CheckReservations:
    """Look for reservations that were kept for too long."""


class Reservations(Task):
    """Owns reservations whose caller settles them in a later call.

    A reservation leaves this task once only: to be settled, or to be released.

    Args:
        settlements: Brings releases to holders.
        clock: The runtime's clock.
        events: Takes events.
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
        """Give back what was kept for too long."""
        limit = self.clock.monotonic() - RESERVATION_TIMEOUT_S
        for attempt, (reservation, added_at) in list(self.reservations.items()):
            if added_at <= limit:
                del self.reservations[attempt]
                self.events.emit("reservation_expired", attempt=attempt)
                release = Release(reservation.budget, reservation.grant.id, attempt)
                self.settlements.tell(DeliverToHolder(reservation.holder, release))
