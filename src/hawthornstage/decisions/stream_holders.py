"""Which routers are told at which version a stream began, as routers come and go.

A few routers, chosen by rendezvous hashing, hold the note of a stream. Whoever knows
the note keeps them informed: one that starts again under its name has lost it.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.decisions.router_processes import changed_processes
from hawthornstage.messages.bounded_text import bounded_id

# Longest time from a stream's first event until a caller continues it, in seconds.
STREAM_LIFETIME_S = 20.0
# Routers that are told the version of a stream, and others that are told in place of
# those that cannot be reached.
HOLDERS_PER_STREAM = 2
MAX_SUBSTITUTES = 3
# Routers that are asked for it at first: one more than were told, as the router that
# told them may have been among the first itself; and those that are asked next.
HOLDERS_ASKED = 3
FURTHER_HOLDERS_ASKED = MAX_SUBSTITUTES


def holders_to_tell(call_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the other routers that are told the version of a stream."""
    return tuple(rendezvous_order(bounded_id(call_id), others)[:HOLDERS_PER_STREAM])


def holders_to_ask(call_id: str, others: Iterable[str]) -> tuple[str, ...]:
    """Return the other routers that are asked for the version of a stream, in order."""
    most = HOLDERS_ASKED + FURTHER_HOLDERS_ASKED
    return tuple(rendezvous_order(bounded_id(call_id), others)[:most])


@dataclass(frozen=True)
class OtherProcess:
    """A process of another router.

    Args:
        url: Its address.
        known_since: Time at which it was first known.
    """

    url: str
    known_since: float

    def is_old(self, now: float) -> bool:
        """Whether it can conclude at which version a stream began.

        A router can't within the time of a stream after its start.
        """
        return now - self.known_since >= STREAM_LIFETIME_S


@dataclass(frozen=True)
class OtherRouters:
    """The processes of the other routers, from one change of them to the next.

    Args:
        processes: The processes, by the router's name.
        started: Those that the change before has brought.
    """

    processes: Mapping[str, OtherProcess] = field(default_factory=dict)
    started: frozenset[str] = frozenset()

    def updated(self, urls: Mapping[str, str], now: float) -> OtherRouters:
        """Return the routers after a change.

        Args:
            urls: The addresses of their processes, by name.
            now: Monotonic time.
        """
        before = {name: each.url for name, each in self.processes.items()}
        started = changed_processes(before, urls)
        processes = {
            name: OtherProcess(url, now) if name in started else self.processes[name]
            for name, url in urls.items()
        }
        return OtherRouters(processes, frozenset(started))

    def can_conclude(self, holders: Iterable[str], now: float) -> bool:
        """Whether one of a stream's holders is old enough to conclude its version."""
        known = [self.processes[name] for name in holders if name in self.processes]
        return any(each.is_old(now) for each in known)

    def holders_after(self, call_id: str, before: tuple[str, ...]) -> tuple[str, ...]:
        """Return a stream's holders after the latest change.

        Args:
            call_id: Id of the call that brought the stream's first event.
            before: Its holders before the change.
        """
        if len(before) == HOLDERS_PER_STREAM and self.processes.keys() >= {*before}:
            return holders_to_tell(call_id, self.started.union(before))
        return holders_to_tell(call_id, self.processes)

    def substitute(self, call_id: str, told: Iterable[str]) -> str | None:
        """Return the router to tell in place of a holder that cannot be reached.

        Args:
            call_id: Id of the call that brought the stream's first event.
            told: Routers that were told, or could not be.
        """
        order = rendezvous_order(bounded_id(call_id), self.processes)
        most = HOLDERS_PER_STREAM + MAX_SUBSTITUTES
        return next((name for name in order[:most] if name not in set(told)), None)

    def lacking(
        self, holders: Iterable[str], before: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the holders that the holders' note has not reached.

        Args:
            holders: The holders after the latest change.
            before: Those before it, which were told.
        """
        return tuple(
            name for name in holders if name in self.started or name not in before
        )
