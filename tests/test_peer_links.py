"""Which routers exchange heartbeats, and which links are closed."""

from __future__ import annotations

import pytest

from hawthornstage.decisions.peer_links import (
    MAX_IDLE_S,
    MAX_LINKS,
    MAX_NEIGHBOURS,
    LinkUse,
    idle_links,
    link_to_replace,
    neighbours,
)

SIZES = (2, 3, 8, 24, 61, 195, 370)
DOMAINS = 5


def fleet_of(size: int) -> list[str]:
    """Return the names of a fleet's routers, whose domains take turns."""
    return [f"edge-{number % DOMAINS}-{number}" for number in range(size)]


def steps_to_all(names: list[str], start: str, live: set[str]) -> int:
    """Return in how many steps news from one router reaches all live ones.

    A router passes news on to its neighbours, and takes it from those that have it
    when it sends them its heartbeat.
    """
    chosen = {name: neighbours(name, set(names) - {name}) for name in names}
    links = {(a, b) for a in live for b in chosen[a] if b in live}
    links |= {(b, a) for a, b in links}
    reached = {start}
    for step in range(len(names)):
        if reached == live:
            return step
        reached |= {b for a, b in links if a in reached}
    raise AssertionError(f"{len(live - reached)} routers are not reached")


@pytest.mark.parametrize("size", SIZES)
def test_number_of_neighbours_is_bounded(size: int) -> None:
    names = fleet_of(size)
    for name in names:
        chosen = neighbours(name, set(names) - {name})
        assert 1 <= len(set(chosen)) == len(chosen) <= MAX_NEIGHBOURS
        assert name not in chosen


@pytest.mark.parametrize("size", SIZES)
def test_news_reaches_every_router_in_a_few_steps(size: int) -> None:
    names = fleet_of(size)
    assert all(steps_to_all(names, start, set(names)) <= 8 for start in names[:20])


@pytest.mark.parametrize("size", SIZES[2:])
def test_news_reaches_the_rest_after_the_loss_of_a_domain(size: int) -> None:
    names = fleet_of(size)
    for domain in range(DOMAINS):
        live = {name for name in names if not name.startswith(f"edge-{domain}-")}
        assert steps_to_all(names, min(live), live) <= 12


def test_joining_router_changes_few_neighbours() -> None:
    names = fleet_of(195)
    newcomer = "edge-0-new"
    changed = 0
    for name in names:
        others = set(names) - {name}
        before = set(neighbours(name, others))
        changed += len(before - set(neighbours(name, others | {newcomer})))
    # A chord changes where it spans the newcomer: at most the sum of their lengths.
    assert changed <= 1 + 4 + 16 + 64 + 195


def test_idle_links_are_those_without_messages_and_replies() -> None:
    now = 100.0
    links = {
        "used": LinkUse(now - 1.0, 0),
        "idle": LinkUse(now - MAX_IDLE_S, 0),
        "waiting": LinkUse(now - MAX_IDLE_S, 1),
    }
    assert idle_links(links, now) == ["idle"]


def test_least_recently_used_link_makes_room() -> None:
    links = {f"n{number}": LinkUse(float(number), 0) for number in range(MAX_LINKS)}
    assert link_to_replace(links) == "n0"
    links["n0"] = LinkUse(0.0, 1)
    assert link_to_replace(links) == "n1"
    del links["n5"]
    assert link_to_replace(links) is None


def test_no_link_that_waits_for_a_reply_makes_room() -> None:
    links = {f"n{number}": LinkUse(float(number), 1) for number in range(MAX_LINKS)}
    assert link_to_replace(links) == ""
