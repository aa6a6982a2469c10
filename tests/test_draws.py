"""No workspace spends past its budget, whatever store and routers do."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hawthornstage.actors.ledger import MAX_COUNTS_PER_WRITE, MAX_WRITE_ENTRIES
from hawthornstage.actors.task import Ask
from hawthornstage.actors.token_accounts import (
    CheckTokenAccounts,
    ReturnAllTokens,
    StopDrawingAhead,
)
from hawthornstage.decisions import draw_plans, draws
from hawthornstage.decisions.draw_plans import reclaimable_tokens
from hawthornstage.decisions.token_waits import (
    DRAW_WAIT_FRACTION,
    MAX_DRAW_WAIT_S,
    MAX_OUTAGE_WAIT_S,
    MAX_WAIT_S,
    TokenSupply,
    longest_wait,
)
from hawthornstage.messages.desired import DesiredState, WorkspaceSpec
from hawthornstage.messages.draws import (
    ClockReading,
    FinalTransfer,
    RequestReservation,
    RouterRecord,
    SpendingBound,
    TokensReserved,
    TokensUnavailable,
    TokensUsed,
    WriteRecord,
)
from tests.draws_world import (
    BUDGET,
    WORKSPACE,
    DrawsWorld,
    Reply,
    StoreCopy,
    state_with,
)

LATE_AFTER_S = draw_plans.DrawTerms(3, 3).late_after_s
NAMES = st.sampled_from(("a", "b", "c"))
MOODS = st.sampled_from(("well", "well", "refuses", "deaf", "mute", "late"))


@pytest.fixture
def world() -> DrawsWorld:
    """Return three routers that have drawn their first tokens."""
    return DrawsWorld()


def spend_all(world: DrawsWorld, name: str, size: int) -> int:
    """Run calls on one router until it refuses; return their number."""
    served = 0
    while world.hosts[name].ask(size):
        world.hosts[name].end_call(1.0)
        served += 1
    return served


def test_tokens_are_drawn_before_they_are_promised(world: DrawsWorld) -> None:
    assert world.hosts["a"].ask(1_000)
    assert world.store.counts()[WORKSPACE] >= 1_000


def with_newcomer(budget: int) -> DesiredState:
    """Return a desired state with one more workspace."""
    state = state_with(BUDGET)
    newcomer = WorkspaceSpec("newcomer", frozenset({"new"}), None, budget)
    return replace(state, workspaces=(*state.workspaces, newcomer))


def test_call_ahead_of_its_desired_state_waits_for_it(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation("newcomer", 500), reply))
    host.pump()
    assert reply.value is None
    host.adopt_state(with_newcomer(10_000))
    host.pump()
    host.check()
    assert reply.value == TokensReserved(500)
    assert world.store.counts()["newcomer"] >= 500


def test_call_whose_desired_state_does_not_come_is_refused(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation("newcomer", 500), reply))
    world.clock.advance(MAX_WAIT_S)
    host.check()
    assert isinstance(reply.value, TokensUnavailable)


# A draw that takes longer than a call waits if the tokens may not be there.
SLOW_DRAW_S = 0.4


@pytest.mark.parametrize("restarted", [True, False])
def test_call_waits_for_a_slow_draw_while_the_budget_has_tokens(
    world: DrawsWorld, restarted: bool
) -> None:
    host = world.hosts["a"]
    tokens = 1_000
    if restarted:
        host.start()
    else:
        tokens = world.free("a") + 1_000
    reply = Reply()
    request = RequestReservation(WORKSPACE, tokens, time_left_s=4.0)
    host.token_accounts.handle(Ask(request, reply))
    for _ in range(4):
        world.clock.advance(SLOW_DRAW_S / 4)
        host.token_accounts.handle(CheckTokenAccounts())
    assert reply.value is None
    host.pump()
    assert reply.value == TokensReserved(tokens)


def test_call_larger_than_its_budget_is_refused_at_once(world: DrawsWorld) -> None:
    reply = Reply()
    request = RequestReservation(WORKSPACE, BUDGET + 1, time_left_s=4.0)
    world.hosts["a"].token_accounts.handle(Ask(request, reply))
    assert isinstance(reply.value, TokensUnavailable)


def test_call_waits_no_longer_for_a_draw_that_fails(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    reply = Reply()
    tokens = world.free("a") + 1_000
    request = RequestReservation(WORKSPACE, tokens, time_left_s=4.0)
    host.token_accounts.handle(Ask(request, reply))
    world.store.mood = "refuses"
    host.pump()
    assert reply.value is None
    world.clock.advance(MAX_WAIT_S)
    host.check()
    assert isinstance(reply.value, TokensUnavailable)


def test_call_waits_no_longer_for_tokens_that_another_router_drew(
    world: DrawsWorld,
) -> None:
    for each in world.hosts.values():
        each.token_accounts.handle(Ask(ReturnAllTokens(), Reply()))
        each.pump()
        each.start()
    host, other = world.hosts["a"], world.hosts["b"]
    reply = Reply()
    tokens = int(BUDGET * 0.75)
    request = RequestReservation(WORKSPACE, tokens, time_left_s=4.0)
    host.token_accounts.handle(Ask(request, reply))
    assert other.ask(tokens)
    host.pump()
    assert reply.value is None
    world.clock.advance(MAX_WAIT_S)
    host.check()
    assert isinstance(reply.value, TokensUnavailable)


@pytest.mark.parametrize(
    ("tokens", "time_left_s", "supply", "wait_s"),
    [
        (500, 2.0, TokenSupply(9_000, 600, False), 2.0 * DRAW_WAIT_FRACTION),
        (500, 60.0, TokenSupply(9_000, 600, False), MAX_DRAW_WAIT_S),
        (500, 0.1, TokenSupply(9_000, 600, False), MAX_WAIT_S),
        (700, 60.0, TokenSupply(9_000, 600, False), MAX_WAIT_S),
        (500, 60.0, TokenSupply(None, 0, False), MAX_WAIT_S),
        (500, 60.0, TokenSupply(9_000, 600, True), MAX_OUTAGE_WAIT_S),
        (9_001, 60.0, TokenSupply(9_000, 600, False), 0.0),
    ],
)
def test_wait_for_tokens_follows_what_can_be_had(
    tokens: int, time_left_s: float, supply: TokenSupply, wait_s: float
) -> None:
    assert longest_wait(tokens, time_left_s, supply) == wait_s


def test_workspace_without_a_budget_reserves_nothing(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    unlimited = WorkspaceSpec(WORKSPACE, frozenset({"key"}), None, None)
    host.adopt_state(replace(state_with(BUDGET), workspaces=(unlimited,)))
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 500), reply))
    assert reply.value == TokensReserved(0)


def test_one_router_can_use_nearly_all_of_a_budget(world: DrawsWorld) -> None:
    for _ in range(20):
        spend_all(world, "a", 1_000)
        for host in world.hosts.values():
            world.clock.advance(1.0)
            host.check()
        world.pass_gift("a", lost=False)
    assert BUDGET * 0.9 <= world.spent <= BUDGET


def test_an_outage_is_bridged_by_what_is_held(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    for _ in range(40):
        assert host.ask(400)
        host.end_call(1.0)
        world.clock.advance(0.25)
        host.check()
    world.store.mood = "deaf"
    served = 0
    for _ in range(36):
        served += host.ask(400)
        host.end_call(1.0)
        world.clock.advance(0.25)
        host.check()
    assert served >= 34


def test_death_in_an_outage_strands_a_part_of_what_is_held(world: DrawsWorld) -> None:
    for _ in range(8):
        for host in world.hosts.values():
            assert host.ask(2_000)
            host.end_call(1.0)
            world.clock.advance(0.1)
            host.check()
    world.store.mood, world.store.paused = "deaf", True
    for _ in range(50):
        world.clock.advance(0.1)
        for host in world.hosts.values():
            host.check()
    held = sum(world.free(name) for name in world.names)
    drawn = world.store.counts()[WORKSPACE]
    for name in world.names:
        world.hosts[name].die()
    world.store.mood, world.store.paused = "well", False
    world.clock.advance(0.5)
    for name in world.names:
        world.hosts[name].start()
        world.hosts[name].pump()
    again = sum(world.free(name) for name in world.names)
    returned = drawn - (world.store.counts()[WORKSPACE] - again)
    assert returned > held * 0.25


def test_successor_gives_back_what_was_not_spent(world: DrawsWorld) -> None:
    for _ in range(8):
        for host in world.hosts.values():
            assert host.ask(2_000)
            host.end_call(1.0)
            world.clock.advance(0.1)
            host.check()
    drawn = world.store.counts()[WORKSPACE]
    for name in world.names:
        world.hosts[name].die()
    world.clock.advance(1.5)
    for name in world.names:
        world.hosts[name].start()
        world.hosts[name].pump()
    held = sum(
        h.token_accounts.token_accounts.accounts[WORKSPACE].free
        for h in world.hosts.values()
    )
    stranded = world.store.counts()[WORKSPACE] - held - world.spent
    assert 0 <= stranded < (drawn - world.spent) * 0.7


def test_successor_of_a_long_outage_gives_nothing_back(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    assert host.ask(1_000)
    world.store.cut_off.add("a")
    world.clock.advance(LATE_AFTER_S + 0.1)
    host.check()
    spend_all(world, "a", 500)
    drawn = world.store.counts()[WORKSPACE]
    world.store.cut_off.clear()
    world.restart("a", 1.0)
    free = host.token_accounts.token_accounts.accounts[WORKSPACE].free
    assert world.store.counts()[WORKSPACE] - free >= drawn - free
    assert world.spent + free <= world.store.counts()[WORKSPACE]


def test_write_without_an_answer_is_counted_once(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    world.store.mood = "mute"
    host.ask(30_000)
    world.clock.advance(1.0)
    world.store.mood = "well"
    host.check()
    world.clock.advance(1.0)
    host.check()
    granted = sum(
        each.token_accounts.token_accounts.accounts[WORKSPACE].granted
        for each in world.hosts.values()
    )
    assert granted == world.store.counts()[WORKSPACE]


def test_stopping_router_holds_nothing_ahead(world: DrawsWorld) -> None:
    host = world.hosts["a"]
    assert host.ask(4_000)
    assert host.token_accounts.token_accounts.accounts[WORKSPACE].free > 0
    host.token_accounts.handle(StopDrawingAhead())
    host.pump()
    assert host.token_accounts.token_accounts.accounts[WORKSPACE].free == 0
    assert host.ask(1_000)


def test_stopping_router_hands_over_what_the_store_does_not_take(
    world: DrawsWorld,
) -> None:
    world.store.mood = "deaf"
    world.clock.advance(LATE_AFTER_S)
    host = world.hosts["a"]
    host.check()
    world.clock.advance(LATE_AFTER_S)
    free = host.token_accounts.token_accounts.accounts[WORKSPACE].free
    held = {name: world.free(name) for name in ("b", "c")}
    reply = Reply()
    host.token_accounts.handle(Ask(ReturnAllTokens(), reply))
    assert reply.value is None
    world.pass_gift("a", lost=False)
    assert reply.value is True
    assert free > 0
    assert sum(world.free(name) - held[name] for name in held) == free
    assert not host.ask(100)


def test_lost_gift_is_lost_and_not_spent_twice(world: DrawsWorld) -> None:
    world.store.mood = "deaf"
    for host in world.hosts.values():
        world.clock.advance(LATE_AFTER_S)
        host.check()
    before = world.hosts["b"].token_accounts.token_accounts.accounts[WORKSPACE].free
    world.hosts["a"].ask(20_000)
    world.pass_gift("a", lost=True)
    after = world.hosts["b"].token_accounts.token_accounts.accounts[WORKSPACE].free
    assert after < before
    assert (
        world.hosts["a"].token_accounts.token_accounts.accounts[WORKSPACE].free < 20_000
    )


def test_one_write_stays_within_the_stores_entries(world: DrawsWorld) -> None:
    amounts = {f"shop-{number}": number - 20 for number in range(60)}
    record = RouterRecord("m", 1.0, 1.0)
    ledger = world.hosts["a"].ledger
    ledger.drawn = dict.fromkeys(amounts, 100)
    budgets = dict.fromkeys(amounts, 1_000)
    write = ledger.plan_write(WriteRecord(record, amounts, budgets))
    assert len(write.puts) + len(write.expected) <= MAX_WRITE_ENTRIES
    assert len(write.granted) == MAX_COUNTS_PER_WRITE
    # Returns come first, the largest before the others.
    returned = range(MAX_COUNTS_PER_WRITE)
    assert all(write.granted[f"shop-{number}"] < 0 for number in returned)


def test_stopping_router_with_many_workspaces_returns_all_it_can(
    world: DrawsWorld,
) -> None:
    host = world.hosts["a"]
    names = [f"shop-{number}" for number in range(25)]
    workspaces = tuple(
        WorkspaceSpec(name, frozenset({name}), None, 100_000) for name in names
    )
    host.adopt_state(replace(state_with(BUDGET), workspaces=workspaces))
    for name in names:
        host.token_accounts.handle(Ask(RequestReservation(name, 500), Reply()))
        host.pump()
        host.check()
        host.token_accounts.handle(TokensUsed(name, 500, 500))
    accounts = host.token_accounts.token_accounts.accounts
    held = {name: accounts[name].free for name in names}
    assert all(held.values())
    reply = Reply()
    host.token_accounts.handle(Ask(ReturnAllTokens(), reply))
    host.pump()
    assert reply.value is True
    drawn = world.store.counts()
    returned = [name for name in names if drawn[name] == 500]
    # The budget of the world itself is returned as well.
    assert len({*returned, WORKSPACE}) == MAX_COUNTS_PER_WRITE
    [transfer] = [
        each.message.amounts
        for each in host.peer_inbox.messages
        if isinstance(each.message, FinalTransfer)
    ]
    assert set(transfer) == set(names) - set(returned)
    assert all(0 < transfer[name] <= held[name] for name in transfer)


def test_nothing_is_held_ahead_of_a_nearly_used_budget(world: DrawsWorld) -> None:
    world.use_up("a", keep=int(BUDGET * draw_plans.DRAW_PER_CALL_FRACTION * 0.9))
    for _ in range(3):
        for host in world.hosts.values():
            world.clock.advance(1.0)
            host.check()
    frees = [
        h.token_accounts.token_accounts.accounts[WORKSPACE].free
        for h in world.hosts.values()
    ]
    assert frees == [0, 0, 0]
    # So the rest is there for whichever router needs it, to the last call.
    assert world.hosts["b"].ask(8_500)


def test_draw_that_would_not_suffice_is_not_made(world: DrawsWorld) -> None:
    world.use_up("a", keep=3_000)
    assert not world.hosts["b"].ask(5_000)
    assert world.hosts["c"].ask(2_900)


def test_death_strands_nothing_of_a_nearly_used_budget(world: DrawsWorld) -> None:
    world.use_up("a", keep=int(BUDGET * draw_plans.DRAW_PER_CALL_FRACTION * 0.9))
    for host in world.hosts.values():
        world.clock.advance(1.0)
        host.check()
    assert world.hosts["b"].ask(1_000)
    world.restart("b", 0.5)
    assert world.store.counts()[WORKSPACE] == world.spent


@pytest.mark.parametrize(
    ("life", "left"),
    [(1.0, 690), (LATE_AFTER_S, 400), (LATE_AFTER_S + 2.0, 0), (-1.0, 0)],
    ids=["short", "as long as a lease", "long", "clock set back"],
)
def test_left_over_depends_on_the_predecessors_life(life: float, left: int) -> None:
    life -= draw_plans.WALL_CLOCK_MARGIN_S
    bounds = {WORKSPACE: SpendingBound(200, 400.0 / LATE_AFTER_S, 200.0)}
    record = RouterRecord("m", 50.0, 1_000.0, {WORKSPACE: 1_000}, {}, bounds)
    death = ClockReading(50.0 + life, 1_000.0 + life)
    given = reclaimable_tokens(record, death, confirmed=True).get(WORKSPACE, 0)
    assert given == pytest.approx(left, abs=5)
    assert given <= 1_000 - draws.bound_at(record, WORKSPACE, 50.0 + life)


def test_clock_set_back_does_not_shorten_a_predecessors_life() -> None:
    bounds = {WORKSPACE: SpendingBound(200, 100.0, 100.0)}
    record = RouterRecord("m", 50.0, 1_000.0, {WORKSPACE: 1_000}, {}, bounds)
    true = reclaimable_tokens(record, ClockReading(53.0, 1_003.0), confirmed=True)
    assert (
        reclaimable_tokens(record, ClockReading(53.0, 1_000.5), confirmed=True) == true
    )


def test_clock_that_starts_anew_says_nothing_of_a_predecessors_life() -> None:
    bounds = {WORKSPACE: SpendingBound(200, 100.0, 100.0)}
    record = RouterRecord("m", 50.0, 1_000.0, {WORKSPACE: 1_000}, {}, bounds)
    true = reclaimable_tokens(record, ClockReading(52.0, 1_002.0), confirmed=True)
    assert (
        reclaimable_tokens(record, ClockReading(1.0, 1_002.0), confirmed=True) == true
    )
    assert (
        reclaimable_tokens(record, ClockReading(7_000.0, 1_002.0), confirmed=True)
        == true
    )
    # A record that outlives its lease says that the store stood still.
    long_ago = ClockReading(1.0, 1_000.1 + LATE_AFTER_S)
    assert reclaimable_tokens(record, long_ago, confirmed=True) == {}


def test_rare_records_allow_for_demand_that_comes_in_lumps() -> None:
    account = draws.TokenAccount(granted=10**6, rate=9_000.0, mean_call_tokens=9_000.0)
    accounts = draws.TokenAccounts({WORKSPACE: account})
    bounds = {}
    for routers in (8, 195):
        terms = draw_plans.DrawTerms(routers, 8)
        record = draw_plans.make_record(
            accounts, {WORKSPACE: 10**7}, terms, wanted={}, mark="m", now=0.0, wall=0.0
        )
        until_next = terms.record_interval_s
        bounds[routers] = draws.bound_at(record, WORKSPACE, until_next)
        demand = 9_000.0 * until_next
        # Of calls that come at random, two standard deviations more than the mean.
        lump = 2 * (demand * 9_000.0) ** 0.5
        assert bounds[routers] >= demand + lump
    assert bounds[195] < 10**6


def test_unconfirmed_record_needs_two_clocks_that_agree() -> None:
    bounds = {WORKSPACE: SpendingBound(200, 100.0, 100.0)}
    record = RouterRecord("m", 50.0, 1_000.0, {WORKSPACE: 1_000}, {}, bounds)

    def left(monotonic: float, wall: float) -> dict[str, int]:
        death = ClockReading(monotonic, wall)
        return reclaimable_tokens(record, death, confirmed=False)

    agreeing = ClockReading(53.0, 1_003.0)
    assert left(53.0, 1_003.0) == reclaimable_tokens(record, agreeing, confirmed=True)
    # A time of day that was set back, a host that started anew, and both.
    assert left(53.0, 1_001.0) == {}
    assert left(1.0, 1_003.0) == {}
    assert left(7_000.0, 1_003.0) == {}
    assert left(51.0, 1_003.0) == {}
    # Its own time of life is too long for any clock.
    assert left(50.0 + 100.0, 1_000.0 + 100.0) == {}


def test_death_while_writes_get_no_answer_strands_a_part_only(
    world: DrawsWorld,
) -> None:
    for _ in range(8):
        for host in world.hosts.values():
            assert host.ask(2_000)
            host.end_call(1.0)
            world.clock.advance(0.1)
            host.check()
    held = sum(world.free(name) for name in world.names)
    drawn = world.store.counts()[WORKSPACE]
    world.store.mood = "deaf"
    for _ in range(36):
        world.clock.advance(0.1)
        world.store.settle()
        for host in world.hosts.values():
            host.check()
    for name in world.names:
        world.hosts[name].die()
    world.store.mood = "well"
    world.clock.advance(0.5)
    for name in world.names:
        world.hosts[name].start()
        world.hosts[name].pump()
    again = sum(world.free(name) for name in world.names)
    returned = drawn - (world.store.counts()[WORKSPACE] - again)
    assert returned > held * 0.25


class DrawsMachine(RuleBasedStateMachine):
    """Routers draw, spend, die and start anew while the store fails at random."""

    def __init__(self) -> None:
        super().__init__()
        self.world = DrawsWorld()
        self.copied: StoreCopy | None = None

    @rule(name=NAMES, tokens=st.integers(100, 30_000))
    def ask(self, name: str, tokens: int) -> None:
        self.world.hosts[name].ask(tokens)

    @rule(name=NAMES, part=st.floats(0.0, 1.0))
    def end(self, name: str, part: float) -> None:
        self.world.hosts[name].end_call(part)

    @rule(name=NAMES, seconds=st.floats(0.0, 3.0))
    def check(self, name: str, seconds: float) -> None:
        self.world.clock.advance(seconds)
        self.world.hosts[name].check()

    @rule(mood=MOODS)
    def change_mood(self, mood: str) -> None:
        self.world.store.mood = mood

    @rule(paused=st.booleans())
    def pause_leases(self, paused: bool) -> None:
        self.world.store.settle()
        self.world.store.paused = paused

    @rule(name=NAMES)
    def cut(self, name: str) -> None:
        self.world.store.cut_off ^= {name}

    @rule(name=NAMES, down_s=st.floats(0.3, 6.0))
    def restart(self, name: str, down_s: float) -> None:
        self.world.restart(name, down_s)

    @rule(down_s=st.floats(0.5, 3.0))
    def restart_all(self, down_s: float) -> None:
        for host in self.world.hosts.values():
            host.die()
        self.world.clock.advance(down_s)
        self.world.store.settle()
        for host in self.world.hosts.values():
            host.start()
            host.pump()

    @rule(name=NAMES, lost=st.booleans(), down_s=st.floats(0.3, 3.0))
    def stop(self, name: str, lost: bool, down_s: float) -> None:
        host = self.world.hosts[name]
        host.token_accounts.handle(StopDrawingAhead())
        host.pump()
        host.token_accounts.handle(Ask(ReturnAllTokens(), Reply()))
        host.pump()
        self.world.pass_gift(name, lost=lost)
        self.world.restart(name, down_s)

    @rule(name=NAMES, lost=st.booleans())
    def gift(self, name: str, lost: bool) -> None:
        self.world.pass_gift(name, lost=lost)

    @rule(tokens=st.integers(1_000, 50_000))
    def top_up(self, tokens: int) -> None:
        self.world.top_up(tokens)

    @rule()
    def copy_store(self) -> None:
        self.world.store.settle()
        self.copied = self.world.store.copy()

    @precondition(lambda self: self.copied and self.world.counts_are_known())
    @rule()
    def restore_store(self) -> None:
        """Restore the copy while a living router knows what it lacks."""
        assert self.copied is not None
        self.world.store.restore(self.copied)
        self.copied = None

    @invariant()
    def nothing_is_overspent(self) -> None:
        assert self.world.at_risk <= self.world.budget

    @invariant()
    def ledger_stays_within_the_budget(self) -> None:
        drawn = self.world.store.counts().get(WORKSPACE, 0)
        assert drawn <= self.world.budget


TestDrawsMachine = DrawsMachine.TestCase
TestDrawsMachine.settings = settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_machine_finds_a_successor_that_gives_back_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the machine would notice: a record that does not bind."""

    def unbound(record: RouterRecord, workspace: str, now: float) -> float:
        return float("inf")

    monkeypatch.setattr(draws, "limit", unbound)
    machine = DrawsMachine()
    world = machine.world
    world.hosts["a"].check()
    granted = world.hosts["a"].token_accounts.token_accounts.accounts[WORKSPACE].granted
    for _ in range(granted // 500):
        world.hosts["a"].ask(500)
    for name in world.names:
        if name != "a":
            spend_all(world, name, 500)
    world.restart("a", 0.5)
    for _ in range(30):
        for name in world.names:
            spend_all(world, name, 500)
            world.clock.advance(1.0)
            world.hosts[name].check()
    with pytest.raises(AssertionError):
        machine.nothing_is_overspent()
