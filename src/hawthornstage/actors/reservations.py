"""The task that keeps reservations made for the old routing setup."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.settlements import Deliver
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.messages.money import Acknowledged, Release
from hawthornstage.messages.request import Reservation
from hawthornstage.observe.events import EventLog

# Time after which an unsettled reservation is given back, in seconds. Settling it
# later is still possible: it then takes a new reservation of the real use.
KEEP_S = 600.0


@dataclass(frozen=True)
class KeepReservation:
    """Keeps a reservation until it is taken."""

    attempt: str
    reservation: Reservation


@dataclass(frozen=True)
class TakeReservation:
    """Takes a reservation out; the reply is `Taken`."""

    attempt: str


@dataclass(frozen=True)
class Taken:
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
        self.kept: dict[str, tuple[Reservation, float]] = {}

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=KeepReservation(attempt, held), reply_to=reply_to):
                self.kept[attempt] = (held, self.clock.monotonic())
                reply_to.put(Acknowledged())
            case Ask(message=TakeReservation(attempt), reply_to=reply_to):
                found = self.kept.pop(attempt, None)
                reply_to.put(Taken(found[0] if found else None))
            case CheckReservations():
                self.check()

    def check(self) -> None:
        """Give back what was kept for too long."""
        limit = self.clock.monotonic() - KEEP_S
        for attempt, (held, since) in list(self.kept.items()):
            if since <= limit:
                del self.kept[attempt]
                self.events.emit("reservation_expired", attempt=attempt)
                release = Release(held.budget, held.grant.id, attempt)
                self.settlements.tell(Deliver(held.holder, release))
