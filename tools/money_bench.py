"""Compares grant strategies on one seeded workload, with the router's own decisions.

`python -m tools.money_bench compare` simulates each strategy in virtual time: routers
in failure domains draw on prepaid budgets; messages, store writes and their delays
are events in one queue. It reports overspend, false refusals (requests that a single
ledger with complete knowledge would have admitted), store writes per second and
messages per request.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import fire

from hawthornstage.decisions import holder, holder_state, ledger
from hawthornstage.decisions.holder_state import GrantPolicy, Holder
from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages import budget_messages

# One-way delays between routers, and the delay of a store write.
SAME_DOMAIN_DELAY_S, CROSS_DOMAIN_DELAY_S, STORE_DELAY_S = 0.0005, 0.0012, 0.003
# Shortest time between two writes of a document by one router.
FLUSH_INTERVAL_S = 0.2
# Longest wait of a reservation for a larger grant.
MAX_GRANT_WAIT_S = 2.0
# With more than this share of a budget left, the stricter target for false refusals
# applies.
NEARLY_SPENT_SHARE = 0.05


@dataclass(frozen=True)
class GrantStrategy:
    """A way to divide budgets among holders.

    Args:
        name: Name in the report.
        holders: Scope in which routers share a holder: `router`, `domain` or `fleet`.
        policy: Sizes and times of grants.
    """

    name: str
    holders: str
    policy: GrantPolicy


@dataclass(frozen=True)
class Scenario:
    """A workload and its faults; times in seconds.

    Args:
        routers: Number of routers.
        domains: Number of failure domains.
        workspaces: Number of budgets; a few take most of the load.
        rate: Mean rate of the whole fleet, in requests per second.
        length: Length of the run.
        partition: Interval in which the first domain reaches no other, or None.
        partitioned_from_store: Whether that domain cannot reach the store either.
        outage: Interval in which no router reaches the store, or None.
        spent: Expected share of the top-ups that the run uses.
        patience: Longest wait of a reservation for a larger grant.
        seed: Seed of all random numbers.
    """

    routers: int = 8
    domains: int = 3
    workspaces: int = 10
    rate: float = 20.0
    length: float = 900.0
    partition: tuple[float, float] | None = None
    partitioned_from_store: bool = False
    outage: tuple[float, float] | None = None
    spent: float = 0.9
    patience: float = MAX_GRANT_WAIT_S
    seed: int = 1


@dataclass
class ReferenceBudget:
    """A budget as a single ledger with complete knowledge would account for it."""

    topped_up: int
    settled: int = 0
    reserved: int = 0

    @property
    def available(self) -> int:
        """Tokens neither settled nor reserved."""
        return self.topped_up - self.settled - self.reserved


@dataclass
class RunStats:
    """Counters of one run.

    Args:
        requests: Requests that arrived.
        admitted: Requests that got a reservation.
        refused: Requests that were refused.
        false_refusals: False refusals with more than `NEARLY_SPENT_SHARE` left.
        false_refusals_nearly_spent: All other false refusals.
        writes: Writes to the store.
        messages: Messages between routers.
        overspent: Tokens spent beyond the top-ups.
        waits: Time from arrival to reservation of each admitted request, in seconds.
        refusals_by_outcome: False refusals by the holder's outcome.
    """

    requests: int = 0
    admitted: int = 0
    refused: int = 0
    false_refusals: int = 0
    false_refusals_nearly_spent: int = 0
    writes: int = 0
    messages: int = 0
    overspent: int = 0
    waits: list[float] = field(default_factory=list)
    refusals_by_outcome: Counter[str] = field(default_factory=Counter)


class GrantSimulation:
    """A discrete-event simulation of one grant strategy.

    Args:
        scenario: Workload and faults.
        strategy: Strategy under test.
    """

    def __init__(self, scenario: Scenario, strategy: GrantStrategy) -> None:
        self.scenario, self.strategy = scenario, strategy
        # Arrivals have their own generator, so that they are equal for all strategies.
        self.rng = random.Random(scenario.seed)
        self.arrivals = random.Random(scenario.seed + 1)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.nodes = [f"r{n}" for n in range(scenario.routers)]
        self.domain = {node: n % scenario.domains for n, node in enumerate(self.nodes)}
        self.holders: dict[tuple[str, str], Holder] = {}
        self.ledgers: dict[str, ledger.Ledger] = {}
        self.pending: dict[tuple[str, str], list[Any]] = {}
        self.scheduled: set[tuple[str, str]] = set()
        self.open_requests: dict[str, tuple[str, str, int, float]] = {}
        self.reference: dict[str, ReferenceBudget] = {}
        self.counts = RunStats()
        self.names = [f"w{n}" for n in range(scenario.workspaces)]
        # Zipf-like weights (1/n): a few workspaces take most of the load.
        self.weights = [1.0 / (n + 1) for n in range(scenario.workspaces)]
        self.fill_budgets()

    def fill_budgets(self) -> None:
        """Top up every budget once, so that the run uses the expected share of it."""
        total = sum(self.weights)
        for name, weight in zip(self.names, self.weights, strict=True):
            use = self.scenario.rate * self.scenario.length * weight / total * 280
            tokens = int(use / self.scenario.spent)
            top_up = ledger.TopUp(name, "first", tokens)
            self.ledgers[name], _ = ledger.apply(ledger.Ledger(), top_up)
            self.reference[name] = ReferenceBudget(tokens)

    def run(self) -> RunStats:
        """Simulate the scenario, add up the overspend and return the counters."""
        self.schedule(self.arrivals.expovariate(self.scenario.rate), self.arrive)
        self.schedule(0.1, self.tick_waiting)
        self.schedule(1.0, self.tick_all)
        while self.events and self.events[0][0] <= self.scenario.length:
            self.now, _, action = heapq.heappop(self.events)
            action()
        for name, shard in self.ledgers.items():
            budget = shard.budgets[name]
            self.counts.overspent += max(0, -budget.available)
            reference = self.reference[name]
            self.counts.overspent += max(0, reference.settled - reference.topped_up)
        return self.counts

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action.

        Args:
            delay: Virtual time until the action, in seconds.
            action: Called without arguments.
        """
        entry = (self.now + delay, next(self.sequence), action)
        heapq.heappush(self.events, entry)

    def arrive(self) -> None:
        """Simulate a request at a random router and schedule the next arrival."""
        rng = self.arrivals
        self.schedule(rng.expovariate(self.scenario.rate), self.arrive)
        self.counts.requests += 1
        name = rng.choices(self.names, self.weights)[0]
        runner = rng.choice(self.nodes)
        max_tokens = rng.randint(200, 1200)
        attempt = f"a{self.counts.requests}"
        self.open_requests[attempt] = (name, runner, max_tokens, self.now)
        reserve = budget_messages.Reserve(
            name, attempt, max_tokens, runner, self.scenario.patience
        )
        node = self.holder_for(name, runner)
        if not self.can_reach(runner, node):
            # Without a connection to the holder, a runner uses its own holder.
            node = runner
        self.send(runner, node, reserve)

    def holder_for(self, name: str, runner: str) -> str:
        """Return the router that holds the grants of a budget for a runner."""
        match self.strategy.holders:
            case "router":
                return runner
            case "domain":
                mine = self.domain[runner]
                near = [node for node in self.nodes if self.domain[node] == mine]
                return rendezvous_order(name, near)[0]
            case _:
                return rendezvous_order(name, self.nodes)[0]

    def can_reach(self, source: str, target: str) -> bool:
        """Return whether two routers can reach each other now."""
        if self.scenario.partition is None or not in_interval(
            self.now, self.scenario.partition
        ):
            return True
        return (self.domain[source] == 0) == (self.domain[target] == 0)

    def can_reach_store(self, node: str) -> bool:
        """Return whether a router can reach the store now."""
        if self.scenario.outage is not None and in_interval(
            self.now, self.scenario.outage
        ):
            return False
        partition = self.scenario.partition is not None and in_interval(
            self.now, self.scenario.partition
        )
        return not (
            partition
            and self.scenario.partitioned_from_store
            and self.domain[node] == 0
        )

    def send(self, source: str, node: str, message: Any) -> None:
        """Send a message to a holder; a network partition drops it."""
        if source == node:
            self.step(node, budget_of(message), message)
            return
        self.counts.messages += 1
        if self.can_reach(source, node):
            near = self.domain[source] == self.domain[node]
            delay = SAME_DOMAIN_DELAY_S if near else CROSS_DOMAIN_DELAY_S
            self.schedule(delay, lambda: self.step(node, budget_of(message), message))

    def step(self, node: str, name: str, message: Any) -> None:
        """Apply one message to a holder and carry out the effects."""
        state = self.holders.get((node, name))
        if state is None:
            state = Holder(node, "i", name, self.strategy.policy)
        state, effects = holder.step(state, message, self.now)
        self.holders[(node, name)] = state
        for effect in effects:
            match effect:
                case holder_state.ReplyToRunner(attempt, outcome):
                    self.record_outcome(node, attempt, outcome)
                case holder_state.SubmitMutation(mutation):
                    self.submit(node, name, mutation)
                case holder_state.RecallFrom(nodes):
                    for other in nodes:
                        self.send(node, other, budget_messages.RecallTokens(name))
                case _:
                    pass

    def record_outcome(self, node: str, attempt: str, outcome: Any) -> None:
        """Record a request's outcome and, if admitted, schedule the end of its call."""
        name, runner, max_tokens, arrived_at = self.open_requests.pop(attempt)
        reference = self.reference[name]
        self.counts.messages += node != runner
        if isinstance(outcome, budget_messages.Reserved):
            self.counts.admitted += 1
            self.counts.waits.append(self.now - arrived_at)
            reference.reserved += max_tokens
            seconds = self.rng.expovariate(1 / 3.0)
            self.schedule(
                seconds, lambda: self.finish(name, runner, max_tokens, attempt, outcome)
            )
            return
        self.counts.refused += 1
        if max_tokens <= reference.available:
            self.counts.refusals_by_outcome[type(outcome).__name__] += 1
            if reference.available > NEARLY_SPENT_SHARE * reference.topped_up:
                self.counts.false_refusals += 1
            else:
                self.counts.false_refusals_nearly_spent += 1

    def finish(
        self,
        name: str,
        runner: str,
        max_tokens: int,
        attempt: str,
        reservation: budget_messages.Reserved,
    ) -> None:
        """Settle the tokens that a call used."""
        used_tokens = max(1, int(max_tokens * self.rng.uniform(0.1, 0.7)))
        reference = self.reference[name]
        reference.reserved -= max_tokens
        reference.settled += used_tokens
        # The copy of the bill to a witness, and its acknowledgement.
        self.counts.messages += 2
        bill = budget_messages.Bill(
            name, reservation.grant, attempt, attempt, used_tokens
        )
        settle = budget_messages.Settle(bill, runner)
        if self.can_reach(runner, reservation.holder):
            self.send(runner, reservation.holder, settle)
        else:
            self.schedule(1.0, lambda: self.resend(runner, reservation.holder, settle))

    def resend(self, runner: str, node: str, settle: budget_messages.Settle) -> None:
        """Send a settlement; retry every second while the holder is unreachable."""
        if self.can_reach(runner, node):
            self.send(runner, node, settle)
        else:
            self.schedule(1.0, lambda: self.resend(runner, node, settle))

    def submit(self, node: str, name: str, mutation: Any) -> None:
        """Add a mutation to the router's next write of the budget's document.

        A resize with a required minimum is written at once.
        """
        key = (node, name)
        self.pending.setdefault(key, []).append(mutation)
        urgent = isinstance(mutation, ledger.Resize) and mutation.min_amount > 0
        if key in self.scheduled and not urgent:
            return
        self.scheduled.add(key)
        self.schedule(
            0.0 if urgent else FLUSH_INTERVAL_S, lambda: self.flush(node, name)
        )

    def flush(self, node: str, name: str) -> None:
        """Write the pending mutations, or retry later if the store is unreachable."""
        key = (node, name)
        if not self.pending.get(key):
            self.scheduled.discard(key)
            return
        if not self.can_reach_store(node):
            self.schedule(0.5 + 0.5 * self.rng.random(), lambda: self.flush(node, name))
            return
        self.scheduled.discard(key)
        batch, self.pending[key] = self.pending[key], []
        self.counts.writes += 1
        for mutation in batch:
            self.ledgers[name], result = ledger.apply(self.ledgers[name], mutation)
            message = holder_state.MutationApplied(result)
            self.schedule(STORE_DELAY_S, lambda m=message: self.step(node, name, m))

    def tick_waiting(self) -> None:
        """Send a tick to each holder with waiting reservations, ten times a second."""
        self.schedule(0.1, self.tick_waiting)
        for (node, name), state in list(self.holders.items()):
            if state.waiting:
                self.step(node, name, holder_state.Tick())

    def tick_all(self) -> None:
        """Send a tick to every holder, once a second."""
        self.schedule(1.0, self.tick_all)
        for node, name in list(self.holders):
            self.step(node, name, holder_state.Tick())


def budget_of(message: Any) -> str:
    """Return the name of the budget that a message concerns."""
    return (
        message.bill.budget
        if isinstance(message, budget_messages.Settle)
        else message.budget
    )


def in_interval(now: float, interval: tuple[float, float]) -> bool:
    """Return whether a time lies in a half-open interval."""
    return interval[0] <= now < interval[1]


def grant_strategies(
    horizon: float, share: float, window: float
) -> list[GrantStrategy]:
    """Return the strategies that are compared.

    Args:
        horizon: Demand that an adaptive grant covers, in seconds.
        share: Largest share of the remaining budget that is granted ahead of use.
        window: Averaging window of the demand, in seconds.
    """
    adaptive = GrantPolicy(horizon_s=horizon, max_share=share, window_s=window)
    # Covers eight requests of the last size, regardless of demand.
    fixed = GrantPolicy(horizon_s=0.0, max_share=share, min_requests=8)
    return [
        GrantStrategy("router, fixed grants", "router", fixed),
        GrantStrategy("router, by demand", "router", adaptive),
        GrantStrategy("domain, by demand", "domain", adaptive),
        GrantStrategy("fleet, by demand", "fleet", adaptive),
    ]


class GrantBenchCommands:
    """Commands that compare grant strategies."""

    def compare(
        self,
        routers: int = 8,
        domains: int = 3,
        workspaces: int = 10,
        rate: float = 20.0,
        length: float = 900.0,
        horizon: float = 180.0,
        share: float = 0.1,
        spent: float = 0.9,
        faults: str = "none",
        window: float = 60.0,
        patience: float = MAX_GRANT_WAIT_S,
        seed: int = 1,
    ) -> None:
        """Simulate every strategy on the same workload.

        Args:
            routers: Number of routers.
            domains: Number of failure domains.
            workspaces: Number of budgets.
            rate: Mean rate of the whole fleet, in requests per second.
            length: Length of the run in virtual time, in seconds.
            horizon: Demand that an adaptive grant covers, in seconds.
            share: Largest share of the remaining budget that is granted ahead of use.
            window: Averaging window of the demand, in seconds.
            patience: Longest wait of a reservation for a larger grant, in seconds.
            spent: Expected share of the top-ups that the run uses.
            faults: `none`, `both` (a partition of the first domain for 300 s and an
                outage of the store for 120 s), or `cut-off` (as `both`, but the
                partitioned domain cannot reach the store either).
            seed: Seed of all random numbers.
        """
        faulty = faults != "none"
        scenario = Scenario(
            routers,
            domains,
            workspaces,
            rate,
            length,
            partition=(150.0, 450.0) if faulty else None,
            partitioned_from_store=faults == "cut-off",
            outage=(500.0, 620.0) if faulty else None,
            spent=spent,
            patience=patience,
            seed=seed,
        )
        heading = "strategy               requests  refused  false >5%  false <5%"
        print(f"{heading}  overspent  writes/s  messages/request  wait p99  run s")
        for strategy in grant_strategies(horizon, share, window):
            started = time.monotonic()
            counts = GrantSimulation(scenario, strategy).run()
            self.line(strategy, counts, length, time.monotonic() - started)

    def line(
        self, way: GrantStrategy, counts: RunStats, length: float, seconds: float
    ) -> None:
        """Print the counters of one strategy."""
        early = 100 * counts.false_refusals / counts.requests
        late = 100 * counts.false_refusals_nearly_spent / counts.requests
        wait = sorted(counts.waits)[int(0.99 * (len(counts.waits) - 1))]
        print(
            f"{way.name:<22} {counts.requests:>8}  {counts.refused:>7}  {early:>8.3f}%"
            f"  {late:>8.3f}%  {counts.overspent:>9}  {counts.writes / length:>8.1f}"
            f"  {counts.messages / counts.requests:>16.2f}  {1000 * wait:>5.1f} ms"
            f"  {seconds:>5.1f}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(GrantBenchCommands)
