"""Which servers are cold, as part of what one task knows of the servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from hawthornstage.decisions.slow_start import SlowStartBook, issuing_rate
from hawthornstage.messages.backends import BackendServer, server_of
from hawthornstage.messages.slow_start import (
    ServerInDoubt,
    SlowStartBounds,
    SlowStartNews,
    SlowStartTerms,
)
from hawthornstage.observe.events import EventLog


class SlowStarts:
    """Keeps which servers are cold, and tells the log.

    It is part of the state of the task that owns what servers say of themselves.

    Args:
        bounds: Returns what a cold server may get in any one second.
        events: The event log.
    """

    def __init__(self, bounds: Callable[[], SlowStartBounds], events: EventLog) -> None:
        self.bounds = bounds
        self.events = events
        self.book = SlowStartBook()
        self.in_force: dict[str, float] = {}

    def update_terms(self, terms: Mapping[str, SlowStartTerms]) -> None:
        """Replace what the services say of their cold servers."""
        self.book.terms = terms

    def read(self, servers: Iterable[BackendServer], now: float) -> list[str]:
        """Record entries; return the incarnations that other routers should know of."""
        return [
            each.incarnation for each in servers if self.book.record_entry(each, now)
        ]

    def hear(self, incarnation: str, news: SlowStartNews | None, now: float) -> bool:
        """Record what another router knows; return whether others should know it.

        What another router only suspects is ignored.
        """
        if news is None or news.in_doubt:
            return False
        return self.book.record_news(server_of(incarnation), news, now)

    def doubt(self, doubt: ServerInDoubt, now: float) -> None:
        """Record that a server may have started again."""
        if self.book.record_doubt(doubt, now):
            self.events.emit(
                "slow_start_suspected", server=doubt.incarnation, crashed=doubt.crashed
            )

    def refresh(self, now: float) -> bool:
        """Find the limits in force; return whether they have changed."""
        before, self.in_force = self.in_force, self.book.in_force(now)
        for server in self.in_force.keys() - before.keys():
            start = self.book.starts[server]
            self.events.emit(
                "slow_start_began",
                server=server,
                calls_per_s=self.in_force[server],
                left_ms=int((start.until - now) * 1000),
                in_doubt=start.in_doubt,
            )
        for server in before.keys() - self.in_force.keys():
            self.events.emit("slow_start_ended", server=server)
        return before != self.in_force

    def issuing_rate(
        self, incarnation: str, told: SlowStartNews | None, now: float
    ) -> float | None:
        """Return the permits per second for a cold server; None if it is not cold.

        Args:
            incarnation: The server's incarnation.
            told: What the router that asks for a permit knows.
            now: Monotonic time in seconds.
        """
        limits = [self.book.limit_of(server_of(incarnation), now)]
        if told is not None:
            limits.append(told.calls_per_s)
        known = [each for each in limits if each is not None]
        return issuing_rate(min(known), self.bounds()) if known else None

    def news_of(self, incarnation: str, now: float) -> SlowStartNews | None:
        """Return what other routers are told of a server; None if it is not cold."""
        return self.book.news_of(server_of(incarnation), now)
