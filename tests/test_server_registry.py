"""What the router knows of the registered servers."""

from __future__ import annotations

import json
from typing import Any

from hawthornstage.actors.server_registry import REREGISTRATION_GRACE_S, ServerRegistry
from hawthornstage.clock import ManualClock
from hawthornstage.messages.store import (
    Changes,
    HistoryLost,
    Item,
    Listing,
    Removal,
    StoreSilent,
)
from hawthornstage.observe.events import EventLog
from tests.draws_world import Inbox


class ScriptedStore:
    """Gives prepared outcomes to a watch."""

    def __init__(self, *outcomes: Any) -> None:
        self.outcomes = list(outcomes)

    def list(self, prefix: str) -> Any:
        """Return the next outcome."""
        return self.outcomes.pop(0)

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Return the next outcome."""
        return self.outcomes.pop(0)


def entry_item(name: str, revision: int, state: str = "ready") -> Item:
    """Return a server's entry."""
    entry = {"service": "models", "address": "10.0.0.1:80", "state": state, "born": 5}
    return Item(f"servers/{name}", json.dumps(entry).encode(), revision)


def make_registry(clock: ManualClock, events: EventLog, *outcomes: Any) -> Any:
    """Return a registry on prepared outcomes."""
    store: Any = ScriptedStore(*outcomes)
    return ServerRegistry(store, Inbox(), clock, events)  # type: ignore[arg-type]


def test_registry_follows_changes(clock: ManualClock, events: EventLog) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1), entry_item("b", 2)), 2),
        Changes((entry_item("a", 3, "draining"), Removal("servers/b", 4)), 4),
    )
    assert registry.step() and registry.step()
    assert {n: s.leaving for n, s in registry.servers.items()} == {"a": True}


def test_entries_that_lapsed_in_an_outage_get_time_to_return(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1), entry_item("b", 2)), 2),
        StoreSilent("no answer"),
        Changes((Removal("servers/a", 3), Removal("servers/b", 3)), 3),
        Changes((entry_item("a", 4),), 4),
        Changes((), 4),
    )
    for _ in range(4):
        registry.step()
    assert set(registry.servers) == {"a", "b"}
    clock.advance(REREGISTRATION_GRACE_S + 0.1)
    registry.step()
    assert set(registry.servers) == {"a"}


def test_registry_reads_again_after_lost_history(
    clock: ManualClock, events: EventLog
) -> None:
    registry = make_registry(
        clock,
        events,
        Listing((entry_item("a", 1),), 2),
        HistoryLost(),
        Listing((entry_item("b", 9),), 9),
    )
    for _ in range(3):
        registry.step()
    assert set(registry.servers) == {"b"}
