"""Choosing a backend server for a call.

The work on each server is estimated from what this router has sent and from the
server's own reports, which count less the older they are. Amounts of work are
tokens, times seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hawthornstage.messages.tables import Pool, Priority, Server


@dataclass(frozen=True)
class LoadReport:
    """What a server said of itself.

    Args:
        running: Calls that it runs.
        queued: Calls that wait there.
        at: Time of the report.
    """

    running: int
    queued: int
    at: float


@dataclass(frozen=True)
class ServerState:
    """What is known of one server.

    Args:
        outstanding: Calls of this router that it runs or queues.
        work: Their tokens.
        report: Its last load report.
        leaving: Whether it gets nothing new.
        failures: Failed calls in a row.
        retry_at: Time until which it is avoided after failures.
        prefixes: Prompt prefixes lately sent there, oldest first.
        seconds_per_call: Observed service time, exponentially averaged.
    """

    outstanding: int = 0
    work: int = 0
    report: LoadReport | None = None
    leaving: bool = False
    failures: int = 0
    retry_at: float = float("-inf")
    prefixes: tuple[str, ...] = ()
    seconds_per_call: float | None = None


@dataclass(frozen=True)
class PlacementPolicy:
    """Weights of the choice.

    Args:
        report_life_s: A report's weight falls to nothing within this time.
        backoff_s: A failed server is avoided for this time, doubled per failure.
        max_backoff_s: The longest avoidance.
        prefix_bonus: Part of a call's own work saved by a cached prefix.
        kept_prefixes: Prefixes remembered for each server.
        low_share: Part of the slots that low-priority calls may fill.
    """

    report_life_s: float = 4.0
    backoff_s: float = 0.5
    max_backoff_s: float = 30.0
    prefix_bonus: float = 0.5
    kept_prefixes: int = 64
    low_share: float = 0.75


@dataclass(frozen=True)
class Placement:
    """The servers' state by name."""

    policy: PlacementPolicy = PlacementPolicy()
    servers: dict[str, ServerState] = field(default_factory=dict)


@dataclass(frozen=True)
class Place:
    """Asks for a server.

    Args:
        pool: Where to look.
        priority: The call's urgency.
        tokens: The call's expected work.
        prefix: Hash of its prompt's beginning, or empty.
        excluded: Servers that were tried before.
        draws: Two numbers in [0, 1) that pick the two candidates.
    """

    pool: Pool
    priority: Priority
    tokens: int
    prefix: str
    excluded: frozenset[str]
    draws: tuple[float, float]


@dataclass(frozen=True)
class Placed:
    """The call goes to this server."""

    server: Server


@dataclass(frozen=True)
class NoServer:
    """No server may take the call now."""

    reason: str


@dataclass(frozen=True)
class Finished:
    """A call has left its server.

    Args:
        server: The server's name.
        tokens: The work that `Place` counted.
        seconds: How long the call took, or None if that says nothing.
        failed: Whether the server is to blame for a failure.
    """

    server: str
    tokens: int
    seconds: float | None
    failed: bool


@dataclass(frozen=True)
class Reported:
    """A server reported its load."""

    server: str
    report: LoadReport


@dataclass(frozen=True)
class LeavingChanged:
    """The servers that are leaving now."""

    servers: frozenset[str]


def place(
    placement: Placement, message: Place, now: float
) -> tuple[Placement, Placed | NoServer]:
    """Choose the better of two drawn servers by estimated wait."""
    pool = message.pool
    states = {server.name: _state(placement, server.name) for server in pool.servers}
    fit = [
        server
        for server in pool.servers
        if server.name not in message.excluded
        and not states[server.name].leaving
        and states[server.name].retry_at <= now
    ]
    if not fit:
        return placement, NoServer("every server is leaving, failing or was tried")
    slots = pool.slots
    if message.priority is Priority.LOW:
        slots = max(1, int(slots * placement.policy.low_share))
    fit = [server for server in fit if states[server.name].outstanding < slots]
    if not fit:
        return placement, NoServer("every server's queue is full")
    server = _better_of_two(placement, message, fit, states, now)
    changed = _sent(placement.policy, states[server.name], message)
    return _put(placement, server.name, changed), Placed(server)


def finish(placement: Placement, message: Finished, now: float) -> Placement:
    """Take back a call's work, and note whether the server failed."""
    state = _state(placement, message.server)
    state = replace(
        state,
        outstanding=max(0, state.outstanding - 1),
        work=max(0, state.work - message.tokens),
    )
    if message.failed:
        failures = state.failures + 1
        pause = placement.policy.backoff_s * 2 ** min(failures - 1, 10)
        pause = min(pause, placement.policy.max_backoff_s)
        state = replace(state, failures=failures, retry_at=now + pause)
    else:
        seconds = _average(state.seconds_per_call, message.seconds)
        state = replace(state, failures=0, seconds_per_call=seconds)
    return _put(placement, message.server, state)


def report(placement: Placement, message: Reported) -> Placement:
    """Take a load report."""
    state = _state(placement, message.server)
    return _put(placement, message.server, replace(state, report=message.report))


def change_leaving(placement: Placement, message: LeavingChanged) -> Placement:
    """Mark exactly the named servers as leaving."""
    names = placement.servers.keys() | message.servers
    servers = {
        name: replace(_state(placement, name), leaving=name in message.servers)
        for name in names
    }
    return replace(placement, servers=servers)


def _better_of_two(
    placement: Placement,
    message: Place,
    fit: list[Server],
    states: Mapping[str, ServerState],
    now: float,
) -> Server:
    first = fit[int(message.draws[0] * len(fit))]
    others = [server for server in fit if server is not first] or [first]
    second = others[int(message.draws[1] * len(others))]
    candidates = [first, second]
    cached = [
        s for s in fit if message.prefix and message.prefix in states[s.name].prefixes
    ]
    candidates.extend(cached[:1])
    policy = placement.policy
    return min(
        candidates,
        key=lambda server: _wait(policy, message, server, states[server.name], now),
    )


def _wait(
    policy: PlacementPolicy,
    message: Place,
    server: Server,
    state: ServerState,
    now: float,
) -> float:
    """Estimate the time until the call is done there, in arbitrary units."""
    own = float(message.tokens)
    if message.prefix and message.prefix in state.prefixes:
        own *= 1.0 - policy.prefix_bonus
    work = state.work + _foreign_work(policy, message, state, now)
    return (work + own) / max(server.speed, 0.01)


def _foreign_work(
    policy: PlacementPolicy, message: Place, state: ServerState, now: float
) -> float:
    """Estimate the work that other routers have put on the server."""
    if state.report is None:
        return 0.0
    weight = max(0.0, 1.0 - (now - state.report.at) / policy.report_life_s)
    foreign = state.report.running + state.report.queued - state.outstanding
    return max(0, foreign) * message.tokens * weight


def _sent(policy: PlacementPolicy, state: ServerState, message: Place) -> ServerState:
    prefixes = state.prefixes
    if message.prefix:
        kept = tuple(each for each in prefixes if each != message.prefix)
        prefixes = (*kept, message.prefix)[-policy.kept_prefixes :]
    return replace(
        state,
        outstanding=state.outstanding + 1,
        work=state.work + message.tokens,
        prefixes=prefixes,
    )


def _average(old: float | None, new: float | None) -> float | None:
    if new is None:
        return old
    return new if old is None else 0.8 * old + 0.2 * new


def _state(placement: Placement, name: str) -> ServerState:
    return placement.servers.get(name, ServerState())


def _put(placement: Placement, name: str, state: ServerState) -> Placement:
    return replace(placement, servers={**placement.servers, name: state})
