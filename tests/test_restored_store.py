"""What a store that comes back from a copy must not change."""

from __future__ import annotations

import pytest

from tests.draws_world import DrawsWorld


@pytest.fixture
def world() -> DrawsWorld:
    """Return three routers that have drawn their first tokens."""
    return DrawsWorld()


def spend_in_turn(world: DrawsWorld, calls: int, tokens: int) -> None:
    """Run calls on all routers in turn, as far as they get tokens."""
    for number in range(calls):
        host = world.hosts[world.names[number % len(world.names)]]
        if host.ask(tokens):
            host.end_call(1.0)
        world.clock.advance(0.1)
        host.check()


def test_tokens_drawn_after_the_copy_are_not_given_out_again(world: DrawsWorld) -> None:
    copy = world.store.copy()
    spend_in_turn(world, 20, 5_000)
    world.store.restore(copy)
    spend_in_turn(world, 200, 5_000)
    assert world.spent <= world.budget
