"""Compares placement strategies on one seeded load, in virtual time.

Each router places calls independently and knows only its own calls. Servers have
different speeds, run a limited number of calls concurrently and queue the others by
priority. `python -m tools.placement_bench compare` prints the time to the first token
and the number of refused calls.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import fire

from hawthornstage.decisions import placement
from hawthornstage.messages.tables import Pool, PoolKind, Priority, Server

# Time to the first token and between tokens on a server of speed 1.
FIRST_TOKEN_S, TOKEN_INTERVAL_S = 0.08, 0.02
# Calls that a server runs concurrently.
SLOTS = 8
# Speeds of the users' servers, which were bought over several years and differ widely.
SPEEDS = {
    "nordspyd": (1.0, 1.0, 0.6, 0.4, 0.25),
    "tywi": (1.0, 1.0, 1.0, 0.7, 0.7, 0.5, 0.4, 0.3, 0.2),
}


@dataclass
class Call:
    """One simulated call."""

    number: int
    router: int
    arrived: float
    tokens: int
    priority: Priority
    prefix: str


@dataclass
class SimulatedServer:
    """A server with its number of running calls and its queue of waiting calls."""

    server: Server
    running: int = 0
    waiting: list[tuple[int, int, Call]] = field(default_factory=list)


Chooser = Callable[["PlacementBench", Call], "str | None"]


class PlacementBench:
    """A discrete-event simulation of one placement strategy.

    Args:
        speeds: Speed of each server.
        routers: Number of routers.
        load: Offered load as a share of the servers' capacity.
        calls: Number of calls.
        seed: Seed of all random numbers.
        choose: Returns the server's name for a call, or None to refuse it.
    """

    def __init__(
        self,
        speeds: tuple[float, ...],
        routers: int,
        load: float,
        calls: int,
        seed: int,
        choose: Chooser,
    ) -> None:
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1)
        servers = tuple(
            Server(f"s{n}", "http://-", speed=speed) for n, speed in enumerate(speeds)
        )
        self.pool = Pool("engines", PoolKind.ENGINE, servers, slots=SLOTS)
        self.servers = {server.name: SimulatedServer(server) for server in servers}
        self.routers = routers
        mean_call = FIRST_TOKEN_S + 60 * TOKEN_INTERVAL_S
        self.rate = load * SLOTS * sum(speeds) / mean_call
        self.calls = calls
        self.choose = choose
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.placements = [placement.Placement() for _ in range(routers)]
        self.outstanding = [Counter[str]() for _ in range(routers)]
        self.next_server = [self.rng.randrange(len(servers)) for _ in range(routers)]
        self.first_token_s: dict[Priority, list[float]] = {p: [] for p in Priority}
        self.refused = 0

    def run(self) -> PlacementBench:
        """Simulate all calls and return this simulation."""
        self.schedule(0.0, lambda: self.arrive(0))
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action.

        Args:
            delay: Virtual time until the action, in seconds.
            action: Called without arguments.
        """
        entry = (self.now + delay, next(self.sequence), action)
        heapq.heappush(self.events, entry)

    def arrive(self, number: int) -> None:
        """Simulate a call at a random router and schedule the next arrival."""
        rng = self.arrivals
        if number + 1 < self.calls:
            self.schedule(rng.expovariate(self.rate), lambda: self.arrive(number + 1))
        low = rng.random() < 0.4
        call = Call(
            number,
            rng.randrange(self.routers),
            self.now,
            rng.randint(10, 110),
            Priority.LOW if low else Priority.HIGH,
            f"p{rng.randrange(200)}",
        )
        name = self.choose(self, call)
        if name is None:
            self.refused += 1
            return
        self.outstanding[call.router][name] += 1
        server = self.servers[name]
        urgency = 1 if low else 0
        heapq.heappush(server.waiting, (urgency, number, call))
        self.start_waiting_calls(server)

    def start_waiting_calls(self, server: SimulatedServer) -> None:
        """Start waiting calls while the server has free slots."""
        while server.running < SLOTS and server.waiting:
            _, _, call = heapq.heappop(server.waiting)
            server.running += 1
            first_token_s = FIRST_TOKEN_S / server.server.speed
            self.first_token_s[call.priority].append(
                self.now + first_token_s - call.arrived
            )
            length = (
                first_token_s + call.tokens * TOKEN_INTERVAL_S / server.server.speed
            )
            self.schedule(length, lambda call=call: self.finish_call(server, call))

    def finish_call(self, server: SimulatedServer, call: Call) -> None:
        """Finish a call and start waiting calls."""
        server.running -= 1
        name = server.server.name
        self.outstanding[call.router][name] -= 1
        finished = placement.CallFinished(name, None, False)
        before = self.placements[call.router]
        self.placements[call.router] = placement.finish_call(before, finished, self.now)
        self.start_waiting_calls(server)


def choose_random(bench: PlacementBench, call: Call) -> str:
    """Choose a random server."""
    return bench.rng.choice(bench.pool.servers).name


def choose_round_robin(bench: PlacementBench, call: Call) -> str:
    """Choose the next server in the router's rotation."""
    place = bench.next_server[call.router]
    bench.next_server[call.router] = (place + 1) % len(bench.pool.servers)
    return bench.pool.servers[place].name


def choose_least_outstanding(bench: PlacementBench, call: Call) -> str:
    """Choose the server with the fewest outstanding calls of this router."""
    own_calls = bench.outstanding[call.router]
    return min(
        bench.pool.servers, key=lambda s: (own_calls[s.name], bench.rng.random())
    ).name


def choose_two_random(bench: PlacementBench, call: Call) -> str:
    """Choose the less loaded of two random servers, by this router's calls."""
    own_calls = bench.outstanding[call.router]
    drawn = bench.rng.sample(bench.pool.servers, 2)
    return min(drawn, key=lambda server: own_calls[server.name]).name


def choose_product(bench: PlacementBench, call: Call) -> str | None:
    """Choose with the placement decision that routers use."""
    place = placement.PlacementRequest(
        bench.pool,
        call.priority,
        call.prefix,
        frozenset(),
        bench.routers,
        bench.rng.random(),
    )
    before = bench.placements[call.router]
    after, outcome = placement.place(before, place, bench.now)
    bench.placements[call.router] = after
    return outcome.server.name if isinstance(outcome, placement.Placed) else None


STRATEGIES: dict[str, Chooser] = {
    "random": choose_random,
    "round robin": choose_round_robin,
    "least outstanding": choose_least_outstanding,
    "two choices": choose_two_random,
    "product": choose_product,
}


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile in milliseconds, or 0 without values.

    Args:
        values: Times in seconds.
        fraction: Percentile as a fraction of 1.
    """
    ordered = sorted(values)
    return 1000 * ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


class PlacementCommands:
    """Commands that compare placement strategies."""

    def compare(
        self,
        user: str = "nordspyd",
        routers: int = 8,
        load: float = 0.8,
        calls: int = 20_000,
        seed: int = 1,
    ) -> None:
        """Simulate every strategy on the same load.

        Args:
            user: User whose server speeds are simulated: `nordspyd` or `tywi`.
            routers: Number of routers.
            load: Offered load as a share of the servers' capacity.
            calls: Number of calls.
            seed: Seed of all random numbers.
        """
        print(f"{user}, {routers} routers, load {load}, seed {seed}: first token (ms)")
        print("strategy            p50     p95     p99   urgent p95   refused")
        for name, choose in STRATEGIES.items():
            bench = PlacementBench(SPEEDS[user], routers, load, calls, seed, choose)
            bench.run()
            every = [each for times in bench.first_token_s.values() for each in times]
            urgent = percentile(bench.first_token_s[Priority.HIGH], 0.95)
            p50, p95, p99 = (
                percentile(every, fraction) for fraction in (0.5, 0.95, 0.99)
            )
            print(
                f"{name:<18} {p50:>6.0f}  {p95:>6.0f}  {p99:>6.0f}  {urgent:>11.0f}"
                f"  {bench.refused:>8}"
            )


if __name__ == "__main__":
    fire.Fire(PlacementCommands)
