"""Compares ways to hold grants on one seeded workload, by the product's decisions.

`python -m tools.money_bench compare` runs each way in virtual time: routers in
failure domains draw on prepaid budgets; messages, store writes and their delays
are events of one queue. It reports overspend, false refusals (refused although a
single ledger that knows everything would have admitted), store writes a second
and messages a request.
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
from hawthornstage.messages import money

# One-way delays between routers and to the store, in seconds.
NEAR_S, FAR_S, STORE_S = 0.0005, 0.0012, 0.003
# Shortest time between two writes of a document by one router, in seconds.
FLUSH_S = 0.2
# Longest wait for a larger grant, in seconds.
PATIENCE_S = 2.0
# Above this part of a budget, refusals count against the stricter target.
NEARLY_SPENT = 0.05


@dataclass(frozen=True)
class Way:
    """One way to hold grants.

    Args:
        name: How the report calls it.
        holders: `router`, `domain` or `fleet`: who shares a holder.
        policy: Sizes and times.
    """

    name: str
    holders: str
    policy: GrantPolicy


@dataclass(frozen=True)
class Plan:
    """A workload and its faults; times in seconds.

    Args:
        routers: Number of routers.
        domains: Failure domains.
        workspaces: Budgets; a few take most of the load.
        rate: Requests a second over the fleet.
        length: Length of the run.
        cut: Time in which the first domain reaches no other, or None.
        cut_from_store: Whether that domain loses the store too.
        outage: Time in which nobody reaches the store, or None.
        spent: Part of the top-ups that the run would use.
        patience: Longest wait for a larger grant.
        seed: Fixes everything random.
    """

    routers: int = 8
    domains: int = 3
    workspaces: int = 10
    rate: float = 20.0
    length: float = 900.0
    cut: tuple[float, float] | None = None
    cut_from_store: bool = False
    outage: tuple[float, float] | None = None
    spent: float = 0.9
    patience: float = PATIENCE_S
    seed: int = 1


@dataclass
class Truth:
    """What a single ledger that knows everything would hold for a budget."""

    topped_up: int
    settled: int = 0
    reserved: int = 0

    @property
    def available(self) -> int:
        """Tokens neither used nor reserved."""
        return self.topped_up - self.settled - self.reserved


@dataclass
class Counts:
    """What a run counted."""

    requests: int = 0
    admitted: int = 0
    refused: int = 0
    false_early: int = 0
    false_late: int = 0
    writes: int = 0
    messages: int = 0
    overspent: int = 0
    waits: list[float] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)


class Bench:
    """One run of one way.

    Args:
        plan: The workload.
        way: How grants are held.
    """

    def __init__(self, plan: Plan, way: Way) -> None:
        self.plan, self.way = plan, way
        # Arrivals have draws of their own, so that every way sees the same.
        self.draw = random.Random(plan.seed)
        self.arrivals = random.Random(plan.seed + 1)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.nodes = [f"r{n}" for n in range(plan.routers)]
        self.domain = {node: n % plan.domains for n, node in enumerate(self.nodes)}
        self.holders: dict[tuple[str, str], Holder] = {}
        self.ledgers: dict[str, ledger.Ledger] = {}
        self.pending: dict[tuple[str, str], list[Any]] = {}
        self.scheduled: set[tuple[str, str]] = set()
        self.open: dict[str, tuple[str, str, int, float]] = {}
        self.truth: dict[str, Truth] = {}
        self.counts = Counts()
        self.names = [f"w{n}" for n in range(plan.workspaces)]
        # A few workspaces are large: weights fall like 1/n.
        self.weights = [1.0 / (n + 1) for n in range(plan.workspaces)]
        self.fill_budgets()

    def fill_budgets(self) -> None:
        """Top every budget up once, so that the run uses the planned part of it."""
        total = sum(self.weights)
        for name, weight in zip(self.names, self.weights, strict=True):
            use = self.plan.rate * self.plan.length * weight / total * 280
            tokens = int(use / self.plan.spent)
            top_up = ledger.TopUp(name, "first", tokens)
            self.ledgers[name], _ = ledger.apply(ledger.Ledger(), top_up)
            self.truth[name] = Truth(tokens)

    def run(self) -> Counts:
        """Run to the end, and check the sums."""
        self.at(self.arrivals.expovariate(self.plan.rate), self.arrive)
        self.at(0.1, self.tick_waiting)
        self.at(1.0, self.tick_all)
        while self.events and self.events[0][0] <= self.plan.length:
            self.now, _, action = heapq.heappop(self.events)
            action()
        for name, shard in self.ledgers.items():
            budget = shard.budgets[name]
            self.counts.overspent += max(0, -budget.available)
            truth = self.truth[name]
            self.counts.overspent += max(0, truth.settled - truth.topped_up)
        return self.counts

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do something later."""
        entry = (self.now + delay, next(self.numbers), action)
        heapq.heappush(self.events, entry)

    def arrive(self) -> None:
        """Let one request arrive at a router that the balancer picks."""
        draw = self.arrivals
        self.at(draw.expovariate(self.plan.rate), self.arrive)
        self.counts.requests += 1
        name = draw.choices(self.names, self.weights)[0]
        runner = draw.choice(self.nodes)
        worst = draw.randint(200, 1200)
        attempt = f"a{self.counts.requests}"
        self.open[attempt] = (name, runner, worst, self.now)
        reserve = money.Reserve(name, attempt, worst, runner, self.plan.patience)
        node = self.holder_of(name, runner)
        if not self.reaches(runner, node):
            # The runner finds no connection and asks itself.
            node = runner
        self.send(runner, node, reserve)

    def holder_of(self, name: str, runner: str) -> str:
        """Name the holder that a runner asks."""
        match self.way.holders:
            case "router":
                return runner
            case "domain":
                mine = self.domain[runner]
                near = [node for node in self.nodes if self.domain[node] == mine]
                return rendezvous_order(name, near)[0]
            case _:
                return rendezvous_order(name, self.nodes)[0]

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether two routers reach each other now."""
        if self.plan.cut is None or not within(self.now, self.plan.cut):
            return True
        return (self.domain[one] == 0) == (self.domain[other] == 0)

    def store_reached(self, node: str) -> bool:
        """Tell whether a router reaches the store now."""
        if self.plan.outage is not None and within(self.now, self.plan.outage):
            return False
        cut = self.plan.cut is not None and within(self.now, self.plan.cut)
        return not (cut and self.plan.cut_from_store and self.domain[node] == 0)

    def send(self, source: str, node: str, message: Any) -> None:
        """Send a message to a holder; a cut drops it."""
        if source == node:
            self.step(node, budget_of(message), message)
            return
        self.counts.messages += 1
        if self.reaches(source, node):
            near = self.domain[source] == self.domain[node]
            delay = NEAR_S if near else FAR_S
            self.at(delay, lambda: self.step(node, budget_of(message), message))

    def step(self, node: str, name: str, message: Any) -> None:
        """Let a holder take one message, and carry out the effects."""
        state = self.holders.get((node, name))
        if state is None:
            state = Holder(node, "i", name, self.way.policy)
        state, effects = holder.step(state, message, self.now)
        self.holders[(node, name)] = state
        for effect in effects:
            match effect:
                case holder_state.ReplyToRunner(attempt, outcome):
                    self.answer(node, attempt, outcome)
                case holder_state.SubmitMutation(mutation):
                    self.submit(node, name, mutation)
                case holder_state.RecallFrom(nodes):
                    for other in nodes:
                        self.send(node, other, money.Recall(name))
                case _:
                    pass

    def answer(self, node: str, attempt: str, outcome: Any) -> None:
        """Admit or refuse a request."""
        name, runner, worst, asked = self.open.pop(attempt)
        truth = self.truth[name]
        self.counts.messages += node != runner
        if isinstance(outcome, money.Reserved):
            self.counts.admitted += 1
            self.counts.waits.append(self.now - asked)
            truth.reserved += worst
            seconds = self.draw.expovariate(1 / 3.0)
            self.at(seconds, lambda: self.finish(name, runner, worst, attempt, outcome))
            return
        self.counts.refused += 1
        if worst <= truth.available:
            self.counts.kinds[type(outcome).__name__] += 1
            if truth.available > NEARLY_SPENT * truth.topped_up:
                self.counts.false_early += 1
            else:
                self.counts.false_late += 1

    def finish(
        self, name: str, runner: str, worst: int, attempt: str, got: money.Reserved
    ) -> None:
        """Settle the real use."""
        real = max(1, int(worst * self.draw.uniform(0.1, 0.7)))
        truth = self.truth[name]
        truth.reserved -= worst
        truth.settled += real
        # The copy at a witness and its answer.
        self.counts.messages += 2
        bill = money.Bill(name, got.grant, attempt, attempt, real)
        settle = money.Settle(bill, runner)
        if self.reaches(runner, got.holder):
            self.send(runner, got.holder, settle)
        else:
            self.at(1.0, lambda: self.resend(runner, got.holder, settle))

    def resend(self, runner: str, node: str, settle: money.Settle) -> None:
        """Try again until the holder can be reached."""
        if self.reaches(runner, node):
            self.send(runner, node, settle)
        else:
            self.at(1.0, lambda: self.resend(runner, node, settle))

    def submit(self, node: str, name: str, mutation: Any) -> None:
        """Put a mutation into the router's next write of the budget's document."""
        key = (node, name)
        self.pending.setdefault(key, []).append(mutation)
        urgent = isinstance(mutation, ledger.Resize) and mutation.min_amount > 0
        if key in self.scheduled and not urgent:
            return
        self.scheduled.add(key)
        self.at(0.0 if urgent else FLUSH_S, lambda: self.flush(node, name))

    def flush(self, node: str, name: str) -> None:
        """Write what has gathered, or try again later."""
        key = (node, name)
        if not self.pending.get(key):
            self.scheduled.discard(key)
            return
        if not self.store_reached(node):
            self.at(0.5 + 0.5 * self.draw.random(), lambda: self.flush(node, name))
            return
        self.scheduled.discard(key)
        batch, self.pending[key] = self.pending[key], []
        self.counts.writes += 1
        for mutation in batch:
            self.ledgers[name], result = ledger.apply(self.ledgers[name], mutation)
            message = holder_state.MutationApplied(result)
            self.at(STORE_S, lambda m=message: self.step(node, name, m))

    def tick_waiting(self) -> None:
        """Let holders look at reservations that wait."""
        self.at(0.1, self.tick_waiting)
        for (node, name), state in list(self.holders.items()):
            if state.waiting:
                self.step(node, name, holder_state.Tick())

    def tick_all(self) -> None:
        """Let all holders look at their grants."""
        self.at(1.0, self.tick_all)
        for node, name in list(self.holders):
            self.step(node, name, holder_state.Tick())


def budget_of(message: Any) -> str:
    """Return the budget that a message is about."""
    return message.bill.budget if isinstance(message, money.Settle) else message.budget


def within(now: float, span: tuple[float, float]) -> bool:
    """Tell whether a time lies in a span."""
    return span[0] <= now < span[1]


def ways(horizon: float, share: float, window: float) -> list[Way]:
    """Return the ways that are compared."""
    adaptive = GrantPolicy(horizon_s=horizon, max_share=share, window_s=window)
    # Eight requests like the last, whatever the demand.
    fixed = GrantPolicy(horizon_s=0.0, max_share=share, min_requests=8)
    return [
        Way("router, fixed grants", "router", fixed),
        Way("router, by demand", "router", adaptive),
        Way("domain, by demand", "domain", adaptive),
        Way("fleet, by demand", "fleet", adaptive),
    ]


class MoneyBench:
    """Compares ways to hold grants."""

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
        patience: float = PATIENCE_S,
        seed: int = 1,
    ) -> None:
        """Run every way on the same workload.

        Args:
            routers: Number of routers.
            domains: Failure domains.
            workspaces: Budgets.
            rate: Requests a second.
            length: Seconds of virtual time.
            horizon: Seconds of demand held ahead.
            share: Largest share of what is left that is held ahead.
            window: Seconds over which demand is averaged.
            patience: Longest wait of a reservation for a larger grant, in seconds.
            spent: Part of the top-ups that the run would use.
            faults: `none`, `both` (a cut of the first domain for 300 s and an
                outage of the store for 120 s), or `cut-off` (as `both`, and the cut
                domain loses the store too).
            seed: Fixes everything random.
        """
        faulty = faults != "none"
        plan = Plan(
            routers,
            domains,
            workspaces,
            rate,
            length,
            cut=(150.0, 450.0) if faulty else None,
            cut_from_store=faults == "cut-off",
            outage=(500.0, 620.0) if faulty else None,
            spent=spent,
            patience=patience,
            seed=seed,
        )
        heading = "way                    requests  refused  false >5%  false <5%"
        print(f"{heading}  overspent  writes/s  messages/request  wait p99  run s")
        for way in ways(horizon, share, window):
            started = time.monotonic()
            counts = Bench(plan, way).run()
            self.line(way, counts, length, time.monotonic() - started)

    def line(self, way: Way, counts: Counts, length: float, seconds: float) -> None:
        """Print one way's figures."""
        early = 100 * counts.false_early / counts.requests
        late = 100 * counts.false_late / counts.requests
        wait = sorted(counts.waits)[int(0.99 * (len(counts.waits) - 1))]
        print(
            f"{way.name:<22} {counts.requests:>8}  {counts.refused:>7}  {early:>8.3f}%"
            f"  {late:>8.3f}%  {counts.overspent:>9}  {counts.writes / length:>8.1f}"
            f"  {counts.messages / counts.requests:>16.2f}  {1000 * wait:>5.1f} ms"
            f"  {seconds:>5.1f}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(MoneyBench)
