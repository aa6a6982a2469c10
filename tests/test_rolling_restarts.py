"""Streams go on at other routers while the fleet is restarted, in any rhythm."""

from __future__ import annotations

import pytest

from tests.conftest import StartFleet
from tools.rolls import EVENT_S, Roll, RollPlayer

# Rolls that cut off all streams before the fleet was told of processes, not names.
ROLLS = {
    "killed at about the same time": Roll(3, 0.3, True, True, 0.5, old=False),
    "stopped one second apart": Roll(3, 1.0, False, False, 0.5),
    "the last of six killed": Roll(6, 2.0, False, True, 1.0),
}


@pytest.mark.parametrize("roll", ROLLS.values(), ids=ROLLS)
def test_streams_go_on_beside_a_rolling_restart(
    roll: Roll, start_fleet: StartFleet
) -> None:
    """Guards: review/8 in other rhythms than its own."""
    fleet = start_fleet(routers=roll.routers, servers=3)
    for number in (1, 2, 3):
        fleet.control(f"models-{number}", "behave", {"event_s": EVENT_S})
    tally = RollPlayer(fleet, roll).play()
    assert tally.taken_up >= 12
    assert tally.holds, sorted(set(tally.refusals))
