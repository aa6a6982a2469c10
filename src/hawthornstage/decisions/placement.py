"""Chooses a backend server for a call.

The calls on each server are estimated as this router's own calls there times the
number of routers, as the balancer gives each router an equal share. Load reports lag
too far behind to be better than that (docs/MEASUREMENTS.md), and routers that know
only their own calls don't all send to the same server. Times are seconds of the
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hawthornstage.messages.tables import Pool, Priority, Server


@dataclass(frozen=True)
class ServerState:
    """The state of one server, as far as this router knows it.

    Args:
        outstanding: Calls of this router that it runs or queues.
        leaving: Whether it gets no new calls.
        failures: Consecutive failed calls.
        retry_at: Time until which it is avoided after failures.
        prefixes: Prompt prefixes recently sent there, oldest first.
        seconds_per_call: Exponential moving average of the service time.
    """

    outstanding: int = 0
    leaving: bool = False
    failures: int = 0
    retry_at: float = float("-inf")
    prefixes: tuple[str, ...] = ()
    seconds_per_call: float | None = None


@dataclass(frozen=True)
class PlacementPolicy:
    """Parameters of the choice.

    Args:
        backoff_s: Time for which a failed server is avoided, doubled per failure.
        max_backoff_s: Longest time for which a failed server is avoided.
        first_token_fraction: Time to the first token, as a fraction of a call's time.
        tie_break_weight: Weight of the calls on a server that has free slots.
        prefix_bonus: Fraction of the time to the first token saved by a cached prefix.
        max_prefixes: Prefixes kept for each server.
        queue: Calls that may wait on a server, as a multiple of its slots.
        low_share: Fraction of slots and queue open to low-priority calls.
    """

    backoff_s: float = 0.5
    max_backoff_s: float = 30.0
    first_token_fraction: float = 0.06
    tie_break_weight: float = 0.015
    prefix_bonus: float = 0.5
    max_prefixes: int = 64
    queue: float = 4.0
    low_share: float = 0.75


@dataclass(frozen=True)
class Placement:
    """The state of the servers by name, with the policy of the choice."""

    policy: PlacementPolicy = PlacementPolicy()
    servers: dict[str, ServerState] = field(default_factory=dict)


@dataclass(frozen=True)
class PlacementRequest:
    """Requests a server for a call.

    Args:
        pool: The pool to choose from.
        priority: The call's priority.
        prefix: Hash of its prompt's beginning, or empty.
        excluded: Servers of earlier attempts.
        routers: Live routers, including this one.
        draw: A random number in [0, 1) that breaks ties.
    """

    pool: Pool
    priority: Priority
    prefix: str
    excluded: frozenset[str]
    routers: int
    draw: float


@dataclass(frozen=True)
class Placed:
    """Result: the server chosen for the call."""

    server: Server


@dataclass(frozen=True)
class PlacementRefused:
    """Result: no server can take the call now."""

    reason: str


@dataclass(frozen=True)
class CallFinished:
    """A call on a server has ended.

    Args:
        server: The server's name.
        seconds: The call's service time, or None if it is not meaningful.
        failed: Whether the call failed because of the server.
    """

    server: str
    seconds: float | None
    failed: bool


@dataclass(frozen=True)
class LeavingChanged:
    """The complete set of leaving servers has changed."""

    servers: frozenset[str]


def place(
    placement: Placement, message: PlacementRequest, now: float
) -> tuple[Placement, Placed | PlacementRefused]:
    """Choose the server with the shortest estimated time to the first token."""
    pool = message.pool
    states = {server.name: _state(placement, server.name) for server in pool.servers}
    eligible = [
        server
        for server in pool.servers
        if server.name not in message.excluded
        and not states[server.name].leaving
        and states[server.name].retry_at <= now
    ]
    if not eligible:
        return placement, PlacementRefused(
            f"all {len(pool.servers)} servers are leaving, failing or already attempted"
        )
    limit = pool.slots * (1.0 + placement.policy.queue)
    if message.priority is Priority.LOW:
        limit *= placement.policy.low_share
    eligible = [s for s in eligible if _estimate_calls(message, states[s.name]) < limit]
    if not eligible:
        return placement, PlacementRefused(
            f"every server has {limit:.0f} calls or more"
        )
    # Ties go to the first server from a random position on.
    start = int(message.draw * len(eligible))
    server = min(
        (*eligible[start:], *eligible[:start]),
        key=lambda each: _estimate_wait(
            placement.policy, message, each, states[each.name]
        ),
    )
    changed = _with_call(placement.policy, states[server.name], message)
    return _with_state(placement, server.name, changed), Placed(server)


def finish_call(placement: Placement, message: CallFinished, now: float) -> Placement:
    """Remove a call from its server and update the server's failures and times."""
    state = _state(placement, message.server)
    state = replace(state, outstanding=max(0, state.outstanding - 1))
    if message.failed:
        failures = state.failures + 1
        pause = placement.policy.backoff_s * 2 ** min(failures - 1, 10)
        pause = min(pause, placement.policy.max_backoff_s)
        state = replace(state, failures=failures, retry_at=now + pause)
    else:
        seconds = _moving_average(state.seconds_per_call, message.seconds)
        state = replace(state, failures=0, seconds_per_call=seconds)
    return _with_state(placement, message.server, state)


def change_leaving(placement: Placement, message: LeavingChanged) -> Placement:
    """Mark exactly the named servers as leaving."""
    names = placement.servers.keys() | message.servers
    servers = {
        name: replace(_state(placement, name), leaving=name in message.servers)
        for name in names
    }
    return replace(placement, servers=servers)


def _estimate_calls(message: PlacementRequest, state: ServerState) -> int:
    """Estimate the calls of all routers on a server."""
    return state.outstanding * message.routers


def _estimate_wait(
    policy: PlacementPolicy,
    message: PlacementRequest,
    server: Server,
    state: ServerState,
) -> float:
    """Estimate the time to the first token, in calls of a server of speed 1."""
    slots = message.pool.slots
    queued = max(0, _estimate_calls(message, state) + 1 - slots)
    first = policy.first_token_fraction
    if message.prefix and message.prefix in state.prefixes:
        first *= 1.0 - policy.prefix_bonus
    tie = policy.tie_break_weight * (state.outstanding + 1)
    return (first + queued / slots + tie) / max(server.speed, 0.01)


def _with_call(
    policy: PlacementPolicy, state: ServerState, message: PlacementRequest
) -> ServerState:
    prefixes = state.prefixes
    if message.prefix:
        other_prefixes = tuple(each for each in prefixes if each != message.prefix)
        prefixes = (*other_prefixes, message.prefix)[-policy.max_prefixes :]
    return replace(
        state,
        outstanding=state.outstanding + 1,
        prefixes=prefixes,
    )


def _moving_average(old: float | None, new: float | None) -> float | None:
    if new is None:
        return old
    return new if old is None else 0.8 * old + 0.2 * new


def _state(placement: Placement, name: str) -> ServerState:
    return placement.servers.get(name, ServerState())


def _with_state(placement: Placement, name: str, state: ServerState) -> Placement:
    return replace(placement, servers={**placement.servers, name: state})
