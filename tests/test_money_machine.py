"""No overspend and one bill a request, against an adversary."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hawthornstage.decisions import (
    billing,
    grant_closing,
    holder,
    holder_state,
    ledger,
    witness,
)
from hawthornstage.messages import budget_messages
from tests.money_world import BUDGET, NODES, MoneyWorld

MACHINE_SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

indexes = st.integers(0, 10**6)
nodes = st.sampled_from(NODES)


class MoneyMachine(RuleBasedStateMachine):
    """An adversary that delays, drops, doubles and reorders letters.

    It takes live routers for dead, kills one for good, loses the ledger's answers,
    and tops up in between.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = MoneyWorld()
        self.top_ups = 0

    @rule(tokens=st.integers(1, 300))
    def top_up(self, tokens: int) -> None:
        self.top_ups += 1
        mutation = ledger.TopUp(BUDGET, f"t{self.top_ups}", tokens)
        self.world.ledger, _ = ledger.apply(self.world.ledger, mutation)
        self.world.ledger, again = ledger.apply(self.world.ledger, mutation)
        assert again.repeated

    @rule(
        runner=nodes,
        holds=nodes,
        request=st.integers(0, 5),
        worst=st.integers(1, 60),
        real=st.integers(1, 60),
    )
    def ask(self, runner: str, holds: str, request: int, worst: int, real: int) -> None:
        self.world.ask(runner, holds, f"q{request}", worst, real)

    @rule(
        runner=nodes, holds=nodes, request=st.integers(0, 5), worst=st.integers(1, 60)
    )
    def reserve_undisturbed(
        self, runner: str, holds: str, request: int, worst: int
    ) -> None:
        self.world.ask(runner, holds, f"q{request}", worst, worst // 2 + 1)
        self.world.drain_letters()

    @precondition(lambda self: self.world.letters)
    @rule(index=indexes)
    def deliver(self, index: int) -> None:
        letters = self.world.letters
        self.world.deliver(letters.pop(index % len(letters)))

    @precondition(lambda self: self.world.letters)
    @rule(count=st.integers(1, 12))
    def deliver_in_order(self, count: int) -> None:
        for _ in range(min(count, len(self.world.letters))):
            self.world.deliver(self.world.letters.pop(0))

    @precondition(lambda self: self.world.letters)
    @rule(index=indexes)
    def deliver_doubled(self, index: int) -> None:
        letters = self.world.letters
        self.world.deliver(letters[index % len(letters)])

    @precondition(lambda self: self.world.letters)
    @rule(index=indexes)
    def drop(self, index: int) -> None:
        letters = self.world.letters
        letter = letters[index % len(letters)]
        if letter.attempt and not isinstance(letter.message, budget_messages.Sealed):
            # What a task waits for ends with a timeout, as if it were lost.
            letters.remove(letter)
            runner = letter.origin or letter.to
            if self.world.routers[runner].alive:
                self.world.step_billing(
                    runner, letter.attempt, billing.RequestTimedOut()
                )

    @precondition(lambda self: self.world.first_writes())
    @rule(index=indexes, answer_lost=st.booleans())
    def write(self, index: int, answer_lost: bool) -> None:
        writes = self.world.first_writes()
        self.world.write(writes[index % len(writes)], answer_lost=answer_lost)

    @rule(runner=nodes, index=indexes)
    def finish(self, runner: str, index: int) -> None:
        running = self.world.routers[runner].running
        ready = [k for k, r in running.items() if r.grant and r.billing is None]
        if ready and self.world.routers[runner].alive:
            self.world.finish(runner, ready[index % len(ready)])

    @rule(runner=nodes, index=indexes)
    def release(self, runner: str, index: int) -> None:
        running = self.world.routers[runner].running
        ready = [k for k, r in running.items() if r.grant and r.billing is None]
        if ready and self.world.routers[runner].alive:
            self.world.release(runner, ready[index % len(ready)])

    @rule(holds=nodes, seconds=st.sampled_from([0.1, 3.0, 40.0]))
    def tick(self, holds: str, seconds: float) -> None:
        self.world.now += seconds
        if self.world.routers[holds].alive:
            self.world.step_holder(holds, holder_state.Tick())

    @rule(holds=nodes)
    def recall(self, holds: str) -> None:
        if self.world.routers[holds].alive:
            self.world.step_holder(holds, budget_messages.RecallTokens(BUDGET))

    @rule(holds=nodes, runner=nodes)
    def suspect_runner(self, holds: str, runner: str) -> None:
        if self.world.routers[holds].alive and holds != runner:
            self.world.step_holder(holds, holder_state.RunnerLost(runner))

    @precondition(lambda self: self.world.budget().grants)
    @rule(index=indexes)
    def suspect_holder(self, index: int) -> None:
        grants = sorted(self.world.budget().grants)
        self.world.suspect_holder(grants[index % len(grants)])

    @precondition(lambda self: all(r.alive for r in self.world.routers.values()))
    @rule(node=nodes)
    def kill(self, node: str) -> None:
        self.world.routers[node].alive = False

    @invariant()
    def sums_hold(self) -> None:
        self.world.check_sums()

    def teardown(self) -> None:
        self.world.heal()
        self.world.check_sums()
        self.world.check_bills()


def test_money_is_safe_against_the_adversary() -> None:
    run_state_machine_as_test(MoneyMachine, settings=MACHINE_SETTINGS)


def close_without_seals(monkeypatch: pytest.MonkeyPatch) -> None:
    """A clock alone: a silent holder's grant is closed without its witnesses."""

    monkeypatch.setattr(grant_closing.GrantClosure, "missing", ())


def keep_after_seal(monkeypatch: pytest.MonkeyPatch) -> None:
    """A witness that forgets its seals."""
    original = witness._seal

    def seal(state: witness.WitnessState, message: budget_messages.Seal):
        _, reply = original(state, message)
        return state, reply

    monkeypatch.setattr(witness, "_seal", seal)


def drop_promises_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A holder that frees a silent runner's reservations and goes on promising."""

    def lose(state: holder_state.Holder, node: str) -> holder.Step:
        for grant in state.grants.values():
            kept = {k: p for k, p in grant.reservations.items() if p.runner != node}
            grant = holder.replace(grant, reservations=kept)
            state = holder._with_grant(state, grant)
        return state, ()

    monkeypatch.setattr(holder, "_lose_runner", lose)


def bill_every_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    """A ledger that does not look for the request id under other grants."""
    monkeypatch.setattr(ledger.Budget, "has_bill", lambda self, request_id: False)


def final_before_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A runner that lets the answer go before anybody took the bill."""

    def step(state: billing.Billing, message: billing.BillingMessage):
        return state, billing.BillFinal(state.bill, state.holder)

    monkeypatch.setattr(billing, "step", step)


def zombie_runner(world: MoneyWorld) -> None:
    """A runner pauses between reservation and bill; the grant is closed meanwhile."""
    top_up(world, 100)
    world.ask("r2", "r1", "q1", 60, 60)
    world.drain_letters()
    [grant] = world.budget().grants
    world.suspect_holder(grant)
    world.drain_letters()
    world.ask("r3", "r3", "q2", 100, 100)
    world.drain_letters()
    finish_all(world, "r3")
    finish_all(world, "r2")


def silent_runner(world: MoneyWorld) -> None:
    """A holder takes a live runner for lost, and is asked again."""
    top_up(world, 100)
    world.ask("r2", "r1", "q1", 60, 60)
    world.drain_letters()
    world.step_holder("r1", holder_state.RunnerLost("r2"))
    world.ask("r3", "r1", "q2", 60, 60)
    world.drain_letters()
    finish_all(world, "r3")
    finish_all(world, "r2")


def retry_elsewhere(world: MoneyWorld) -> None:
    """A caller sends an answered request again to another router."""
    top_up(world, 100)
    for runner in ("r2", "r3"):
        world.ask(runner, runner, "q1", 40, 30)
        world.drain_letters()
        finish_all(world, runner)


def death_in_outage(world: MoneyWorld) -> None:
    """A router dies right after its answer, while the ledger is out of reach."""
    top_up(world, 100)
    world.ask("r1", "r1", "q1", 40, 30)
    world.drain_letters()
    attempt = next(iter(world.routers["r1"].running))
    world.finish("r1", attempt)
    for _ in range(10):
        deliver_all(world)
    world.routers["r1"].alive = False


def top_up(world: MoneyWorld, tokens: int) -> None:
    """Add to the world's budget."""
    world.ledger, _ = ledger.apply(world.ledger, ledger.TopUp(BUDGET, "t", tokens))


def finish_all(world: MoneyWorld, runner: str) -> None:
    """Finish what a runner works on, and let every letter arrive."""
    for attempt, running in list(world.routers[runner].running.items()):
        if running.grant is not None:
            world.finish(runner, attempt)
    world.drain_letters()


def deliver_all(world: MoneyWorld) -> None:
    """Deliver the letters that are on their way, but write nothing."""
    for _ in range(len(world.letters)):
        world.deliver(world.letters.pop(0))


SCENARIOS = [zombie_runner, silent_runner, retry_elsewhere, death_in_outage]
WEAKENED = [
    (close_without_seals, zombie_runner),
    (keep_after_seal, zombie_runner),
    (drop_promises_at_once, silent_runner),
    (bill_every_copy, retry_elsewhere),
    (final_before_kept, death_in_outage),
]


def play(scenario) -> MoneyWorld:
    """Play a scenario to its end and check the promises."""
    world = MoneyWorld()
    scenario(world)
    world.heal()
    world.check_sums()
    world.check_bills()
    return world


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_promises_hold_in_the_scenario(scenario) -> None:
    world = play(scenario)
    assert world.answered


@pytest.mark.parametrize(("weaken", "scenario"), WEAKENED)
def test_the_scenario_breaks_a_weakened_mechanism(
    weaken, scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    weaken(monkeypatch)
    with pytest.raises(AssertionError):
        play(scenario)
