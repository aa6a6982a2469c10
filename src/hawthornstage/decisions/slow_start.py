"""Which backend servers are cold, and the calls that all routers may send them.

A server is cold for some time after its start. Its entry in the store says for how
long; another router may have read it before. After a sign that a server may have
started again it is in doubt: it is treated as cold until an entry says otherwise that
cannot have been written before. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hawthornstage.decisions.server_limits import MAX_VALUES, STANDBY_FRACTION
from hawthornstage.messages.backends import BackendServer, server_of
from hawthornstage.messages.slow_start import (
    ServerInDoubt,
    SlowStartBounds,
    SlowStartNews,
    SlowStartTerms,
)

# Time from a change of a server until its entry that tells of it is read, in seconds.
ENTRY_LAG_S = 2.5
# Time by which clocks and messages may differ at the end of a slow start, in seconds.
END_MARGIN_S = 0.25
# Longest slow start that a router acts on, in seconds.
MAX_SLOW_START_S = 60.0
# Longest time for which a crashed process is waited for to be replaced, in seconds.
CRASH_DOUBT_S = 10.0
# Time for which a permit for a cold server may be used, in seconds.
PERMIT_VALIDITY_S = 0.1
# Permits that may be issued at once for a cold server after a pause, in seconds of its
# rate, besides one.
BURST_S = 0.1
# Routers that may issue a part of a limit beside the one that issues all of it.
MAX_STANDBYS = 2
# Lowest rate at which permits are issued, in calls per second.
MIN_ISSUING_RATE = 0.1
# Time by which a slow start must grow longer to be told to other routers, in seconds.
NEWS_STEP_S = 1.0


def issuing_rate(calls_per_s: float, bounds: SlowStartBounds) -> float:
    """Return the permits per second that the first issuer of a cold server issues.

    It and all standbys stay within the bounds together, with full buckets, and with
    permits that are used as late as they may be.

    Args:
        calls_per_s: Calls per second that the server tolerates.
        bounds: What it may get in any one second.
    """
    issuers = 1 + MAX_STANDBYS
    share = 1.0 + MAX_STANDBYS * STANDBY_FRACTION
    window_s = 1.0 + PERMIT_VALIDITY_S + BURST_S
    within = (bounds.most_calls(calls_per_s) - issuers) / (share * window_s)
    return max(MIN_ISSUING_RATE, min(calls_per_s, within))


@dataclass(frozen=True)
class SlowStart:
    """What is known of a server that is cold, was, or may be.

    Args:
        until: Time at which it is warm.
        as_of: Time from which a newer statement replaces this one.
        calls_per_s: The calls per second that another router told, or None.
        in_doubt: Whether there are only signs of it.
        dead: The incarnation that is known to have ended, or ''.
    """

    until: float
    as_of: float
    calls_per_s: float | None = None
    in_doubt: bool = False
    dead: str = ""

    @property
    def entries_count_from(self) -> float:
        """The time before which an entry that is read may be older than this.

        Another router may have read a newer one before it told of it.
        """
        lag_s = 0.0 if self.calls_per_s is None else ENTRY_LAG_S
        return self.as_of + lag_s


@dataclass
class SlowStartBook:
    """The slow starts of all servers, by the server's id.

    Args:
        terms: What each service says of its cold servers.
        servers: The servers as their entries were last read.
        starts: The latest statement on each server.
        evacuated: Failure domains whose servers get nothing at present, and so may have
            become cold unnoticed.
    """

    terms: Mapping[str, SlowStartTerms] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    starts: dict[str, SlowStart] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()

    def record_entry(self, server: BackendServer, now: float) -> bool:
        """Record what an entry says; return whether other routers should know."""
        keep_newest(self.servers, server.id, server)
        if server.cold_left_s is None:
            self.record_doubt(ServerInDoubt(server.incarnation), now)
            return False
        left_s = min(server.cold_left_s, MAX_SLOW_START_S)
        known = self.starts.get(server.id)
        if known is not None and known.dead not in ("", server.incarnation):
            # It is of the process that replaced the crashed one.
            del self.starts[server.id]
            known = None
        if left_s == 0.0:
            outdated = known and (now < known.entries_count_from or known.dead)
            if not outdated:
                keep_newest(self.starts, server.id, SlowStart(now, now))
            return False
        return self.record(server.id, SlowStart(now + left_s + END_MARGIN_S, now), now)

    def record_news(self, server_id: str, news: SlowStartNews, now: float) -> bool:
        """Record what another router tells; return whether others should know."""
        left_s = min(max(0.0, news.left_s), MAX_SLOW_START_S)
        as_of = now - max(0.0, news.age_s)
        start = SlowStart(now + left_s, as_of, news.calls_per_s)
        return self.record(server_id, start, now)

    def record(self, server_id: str, start: SlowStart, now: float) -> bool:
        """Record that a server is cold; return whether other routers should know.

        What is older than the latest statement counts only if the server is cold by
        that one, too, and the later end holds.
        """
        known = self.starts.get(server_id)
        if known is not None and start.as_of < known.as_of:
            if known.until <= now:
                return False
            until = max(start.until, known.until)
            start = replace(start, until=until, as_of=known.as_of, dead=known.dead)
        keep_newest(self.starts, server_id, start)
        if known is None or known.in_doubt or known.until <= now:
            return start.until > now
        return start.until > known.until + NEWS_STEP_S

    def record_doubt(self, doubt: ServerInDoubt, now: float) -> bool:
        """Record that a server may have started again; return whether that is news."""
        server_id = server_of(doubt.incarnation)
        server = self.servers.get(server_id)
        terms = self.terms.get(server.service) if server else None
        if terms is None:
            return False
        known = self.starts.get(server_id)
        cold_until = known.until if known and known.until > now else now
        lasts_s = terms.duration_s + END_MARGIN_S
        if doubt.crashed:
            lasts_s = max(lasts_s, CRASH_DOUBT_S)
        until = max(cold_until, now + min(lasts_s, MAX_SLOW_START_S))
        start = SlowStart(
            until,
            as_of=now + ENTRY_LAG_S,
            calls_per_s=known.calls_per_s if known else None,
            in_doubt=known is None or known.until <= now or known.in_doubt,
            dead=doubt.incarnation if doubt.crashed else known.dead if known else "",
        )
        keep_newest(self.starts, server_id, start)
        return cold_until <= now

    def replace_evacuated(self, failure_domains: frozenset[str], now: float) -> None:
        """Replace the evacuated failure domains; servers are in doubt from then on."""
        changed = self.evacuated ^ failure_domains
        self.evacuated = failure_domains
        for server in list(self.servers.values()):
            if server.failure_domain in changed:
                self.record_doubt(ServerInDoubt(server.incarnation), now)

    def limit_of(self, server_id: str, now: float) -> float | None:
        """Return the calls per second that a cold server tolerates, or None."""
        start = self.starts.get(server_id)
        server = self.servers.get(server_id)
        evacuated = server is not None and server.failure_domain in self.evacuated
        if start is None or (start.until <= now and not evacuated):
            return None
        terms = self.terms.get(server.service) if server else None
        return terms.calls_per_s if terms else start.calls_per_s

    def in_force(self, now: float) -> dict[str, float]:
        """Return the limits of all cold servers, by id."""
        limits = {each: self.limit_of(each, now) for each in self.starts}
        return {each: limit for each, limit in limits.items() if limit is not None}

    def news_of(self, server_id: str, now: float) -> SlowStartNews | None:
        """Return what other routers are told of a server; None if it is not cold."""
        limit = self.limit_of(server_id, now)
        if limit is None:
            return None
        start = self.starts[server_id]
        age_s = max(0.0, now - start.as_of)
        left_s = max(0.0, start.until - now)
        return SlowStartNews(limit, left_s, age_s, start.in_doubt)


def keep_newest(values: dict, key: str, value: object) -> None:
    """Replace a value, and drop the oldest beyond the most that are kept."""
    values.pop(key, None)
    values[key] = value
    if len(values) > MAX_VALUES:
        del values[next(iter(values))]
