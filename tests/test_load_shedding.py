"""Whom an overloaded router refuses, and when it takes no new connections."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from hawthornstage.decisions.load_shedding import (
    FAIR_MULTIPLE,
    LARGE_OUTPUT_TOKENS,
    MIN_LEVEL,
    MIN_SHARE,
    RETURN_SPREAD_S,
    LoadLevel,
    class_shares,
    is_admitted,
    lateness_limit_s,
    return_delay_s,
    workspace_shares,
)
from hawthornstage.decisions.readiness import (
    MIN_OTHERS,
    OVERLOADED_FOR_S,
    PAUSE_S,
    ConnectionPause,
)
from hawthornstage.messages.admission import AdmissionPolicy, CallClass

URGENT = CallClass(0, 0.4)
PATIENT = CallClass(0, 1.2)
LEAST = CallClass(2, 0.4)
CLASSES = (URGENT, PATIENT, LEAST)
# Calls of one class or workspace in a load.
CALLS = 1_000
LIMIT_S = 0.02


@pytest.fixture
def share() -> Callable[..., float]:
    """Return what tells the admitted share of a thousand equal calls."""

    def admitted(
        level: float,
        call_class: CallClass = URGENT,
        *,
        workspace: str = "w",
        workspaces: dict[str, float] | None = None,
        output_tokens: int = 10,
    ) -> float:
        policy = AdmissionPolicy(
            level, class_shares(level, CLASSES), workspace_shares(workspaces or {})
        )
        admits = (
            is_admitted(policy, f"c{n}", call_class, workspace, output_tokens)
            for n in range(CALLS)
        )
        return sum(admits) / CALLS

    return admitted


@pytest.mark.parametrize("level", [0.9, 0.7, 0.5, 0.3, MIN_LEVEL])
def test_the_least_urgent_are_refused_first(
    share: Callable[..., float], level: float
) -> None:
    assert share(level, URGENT) >= share(level, PATIENT) >= share(level, LEAST)


def test_urgent_calls_pass_while_others_can_give_way(
    share: Callable[..., float],
) -> None:
    assert share(0.5, URGENT) == 1.0
    assert share(0.5, LEAST) < 0.2


@pytest.mark.parametrize("call_class", CLASSES)
def test_no_class_starves_at_the_lowest_level(
    share: Callable[..., float], call_class: CallClass
) -> None:
    assert share(MIN_LEVEL, call_class) > MIN_SHARE / 2


def test_large_calls_are_refused_more_but_not_starved(
    share: Callable[..., float],
) -> None:
    small = share(0.5, PATIENT)
    large = share(0.5, PATIENT, output_tokens=LARGE_OUTPUT_TOKENS)
    assert small / 2 < large < small


def test_a_workspace_at_many_times_its_load_gives_way_to_others(
    share: Callable[..., float],
) -> None:
    calls = {f"w{n}": 10.0 for n in range(23)} | {"heavy": 75.0}
    heavy = share(0.9, workspace="heavy", workspaces=calls)
    assert share(0.9, workspace="w1", workspaces=calls) == 1.0
    assert heavy < 0.5
    assert heavy * 75 > 10, "it still gets more than each of the others"


def test_a_lone_workspace_is_not_heavy() -> None:
    assert workspace_shares({"w": 1_000.0}) == {}


def test_workspaces_below_the_fair_multiple_keep_all() -> None:
    assert workspace_shares({"a": 10.0, "b": 10.0 * FAIR_MULTIPLE}) == {}


def test_the_level_follows_the_load_of_a_router_that_gets_many_times_its_share() -> (
    None
):
    # The router serves a fifth of what arrives; tasks are late while it admits more.
    load = LoadLevel()
    levels = []
    for _ in range(60):
        late_s = 10 * LIMIT_S if load.level > 0.2 else 0.0
        load.update(late_s, LIMIT_S)
        levels.append(load.level)
    assert levels[5] < 0.3, "within a second"
    settled = levels[10:]
    assert 0.1 <= sum(settled) / len(settled) <= 0.3


def test_the_level_returns_after_the_load() -> None:
    load = LoadLevel(level=MIN_LEVEL)
    for _ in range(10):
        load.update(0.0, LIMIT_S)
    assert not load.overloaded


def test_a_host_that_froze_once_refuses_no_calls() -> None:
    load = LoadLevel()
    load.update(30.0, LIMIT_S)
    assert not load.overloaded
    load.update(0.0, LIMIT_S)
    load.update(30.0, LIMIT_S)
    assert not load.overloaded


def test_counts_of_workspaces_that_went_away_are_forgotten() -> None:
    load = LoadLevel()
    load.count_call("w")
    load.decay_counts()
    assert not load.calls


def test_without_a_desired_state_there_is_a_limit() -> None:
    assert lateness_limit_s(None) > 0


def test_refused_callers_return_apart() -> None:
    delays = sorted(return_delay_s(f"c{n}") for n in range(100))
    assert delays[-1] < RETURN_SPREAD_S
    assert delays[75] - delays[25] > RETURN_SPREAD_S / 4


def paused_steps(others: int, late_s: Callable[[int], float]) -> list[int]:
    """Return the steps of a fifth of a second at which a router is paused."""
    pause = ConnectionPause()
    paused = []
    for step in range(9_000):
        now = step / 5
        pause.update(late_s(step), LIMIT_S, others, now)
        if pause.is_paused(now):
            paused.append(step)
    return paused


def test_a_router_pauses_after_a_lasting_overload() -> None:
    paused = paused_steps(68, lambda step: LIMIT_S / 2)
    begins_s = paused[0] / 5
    assert OVERLOADED_FOR_S <= begins_s <= OVERLOADED_FOR_S + 1.0
    assert paused[int(PAUSE_S) * 5 - 1] == paused[0] + int(PAUSE_S) * 5 - 1


def test_a_router_that_stays_overloaded_takes_connections_most_of_the_time() -> None:
    # All routers may be overloaded together: callers must find most of them.
    assert len(paused_steps(68, lambda step: LIMIT_S)) < 9_000 / 8


def test_short_overloads_pause_nothing() -> None:
    assert paused_steps(68, lambda step: LIMIT_S if step % 10 < 3 else 0.0) == []


def test_a_router_with_few_others_takes_connections() -> None:
    assert paused_steps(MIN_OTHERS - 1, lambda step: LIMIT_S) == []
