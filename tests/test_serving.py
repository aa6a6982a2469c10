"""The choice of backend servers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hawthornstage.decisions import server_selection
from hawthornstage.decisions.server_selection import (
    INITIAL_AVOIDANCE_S,
    ServerSelector,
    digest,
)
from hawthornstage.filters.attempt_reports import is_server_failure
from hawthornstage.filters.forward_relay import Delivered, Refused
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import (
    NotSent,
    Prompt,
    PromptPart,
    ResponseHead,
    ServerFailed,
)
from hawthornstage.messages.server_selection import (
    CallEnded,
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerChosen,
)

# Calls that a router may have on one server.
LIMIT = 50


def make_server(name: str, **changes: Any) -> BackendServer:
    """Return a registered server."""
    server = BackendServer(name, "models", "10.0.0.1", 80, "z", 64, False, 1)
    return replace(server, **changes)


def want(call_id: str = "r1", **changes: Any) -> RequestServer:
    """Return a call that looks for a server."""
    asked = RequestServer(call_id, "models", None, frozenset(), False)
    return replace(asked, **changes)


def test_lapsed_server_gets_nothing_from_its_drop_time_on() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({"a": make_server("a")}, {"a": 2.0}))
    assert isinstance(serving.choose(want(), LIMIT, 1.9), ServerChosen)
    assert isinstance(serving.choose(want(), LIMIT, 2.0), NoServerAvailable)


def test_leaving_and_tried_servers_get_nothing() -> None:
    serving = ServerSelector("z")
    servers = [make_server("a", leaving=True), make_server("b"), make_server("c")]
    serving.replace_servers(
        RegisteredServers({server.id: server for server in servers})
    )
    for number in range(10):
        asked = want(f"r{number}", excluded=frozenset({"b"}))
        choice = serving.choose(asked, LIMIT, 1.0)
        assert isinstance(choice, ServerChosen)
        assert choice.server.id == "c"
    none = serving.choose(want(excluded=frozenset({"b", "c"})), LIMIT, 1.0)
    assert isinstance(none, NoServerAvailable)
    assert none.all_attempted
    serving.replace_servers(RegisteredServers({}))
    none = serving.choose(want(excluded=frozenset({"b", "c"})), LIMIT, 1.0)
    assert isinstance(none, NoServerAvailable) and not none.all_attempted


def test_failing_server_is_avoided_for_a_while() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({n: make_server(n) for n in ("a", "b")}))
    choice = serving.choose(want(), LIMIT, 1.0)
    assert isinstance(choice, ServerChosen)
    serving.record_end(CallEnded("r1", failed=True, refused=False), 1.0)
    for number in range(20):
        other = serving.choose(want(f"n{number}"), LIMIT, 1.0 + INITIAL_AVOIDANCE_S / 2)
        assert isinstance(other, ServerChosen)
        assert other.server.id != choice.server.id


def test_silent_server_is_passed_over_as_its_answer_gets_overdue() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({n: make_server(n) for n in ("a", "b")}))
    silent = serving.choose(want("r1"), LIMIT, 1.0)
    assert isinstance(silent, ServerChosen)
    for number in range(20):
        now = 2.0 + number * 0.05
        other = serving.choose(want(f"n{number}"), LIMIT, now)
        assert isinstance(other, ServerChosen)
        assert other.server.id != silent.server.id
        serving.record_first_byte(f"n{number}", now + 0.02)


@pytest.mark.parametrize(
    ("status", "not_executed", "misdirected", "shows_speed"),
    [
        (200, False, False, True),
        (404, False, False, True),
        (500, False, False, False),
        (999, False, False, False),
        (503, True, False, False),
        (429, True, False, False),
        (421, False, True, False),
    ],
)
def test_failures_and_refusals_do_not_show_a_servers_speed(
    status: int, not_executed: bool, misdirected: bool, shows_speed: bool
) -> None:
    ran = ExecutionState.NO if not_executed else ExecutionState.UNKNOWN
    head = ResponseHead(status, (), "r1", True, ran, misdirected, False)
    assert head.shows_speed == shows_speed


@pytest.mark.parametrize(
    ("outcome", "failed"),
    [
        (Delivered(200), False),
        (Delivered(404), False),
        (Delivered(500), True),
        (Delivered(504), False),
        (ServerFailed("broken"), True),
        (NotSent("no connection"), True),
        (Refused("status 503, not run", full=True), False),
    ],
)
def test_failure_counts_against_its_server_also_if_it_is_passed_on(
    outcome: Any, failed: bool
) -> None:
    assert is_server_failure(outcome) == failed


def test_calls_on_a_server_stay_within_the_routers_share() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({n: make_server(n) for n in ("a", "b")}))
    choices = [serving.choose(want(f"r{number}"), 2, 1.0) for number in range(5)]
    assert [isinstance(choice, ServerChosen) for choice in choices] == [True] * 4 + [
        False
    ]
    serving.record_end(CallEnded("r0", failed=False, refused=False), 1.0)
    assert isinstance(serving.choose(want("r9"), 2, 1.0), ServerChosen)


def test_server_whose_address_another_one_has_gets_nothing() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({"a": make_server("a")}))
    serving.choose(want(), LIMIT, 1.0)
    serving.record_end(
        CallEnded("r1", failed=False, refused=False, address_reused=True), 1.0
    )
    assert isinstance(serving.choose(want("r2"), LIMIT, 60.0), NoServerAvailable)
    serving.replace_servers(RegisteredServers({"a": make_server("a", started_ms=2)}))
    assert isinstance(serving.choose(want("r3"), LIMIT, 60.0), ServerChosen)


def test_new_start_of_a_server_is_a_clean_slate() -> None:
    serving = ServerSelector("z")
    serving.replace_servers(RegisteredServers({"a": make_server("a")}))
    serving.choose(want(), LIMIT, 1.0)
    serving.replace_servers(RegisteredServers({"a": make_server("a", started_ms=2)}))
    assert serving.loads["a"].running == 0
    serving.record_end(CallEnded("r1", failed=False, refused=False), 1.0)


def test_equal_prompts_go_to_the_same_server_from_all_routers() -> None:
    prompt = Prompt(9_000, 50, (PromptPart("aa", 8_000), PromptPart("own", 1_000)))
    chosen = set()
    for number in range(5):
        serving = ServerSelector(f"zone-{number}")
        serving.replace_servers(
            RegisteredServers({n: make_server(n) for n in ("a", "b", "c", "d")})
        )
        choice = serving.choose(want(f"r{number}", prompt=prompt), LIMIT, 1.0)
        assert isinstance(choice, ServerChosen)
        chosen.add(choice.server.id)
    assert len(chosen) == 1


@pytest.mark.parametrize("servers", [5, 62, 600])
def test_cost_of_a_choice_grows_with_the_servers_only(
    servers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    hashes: list[str] = []

    def counted(name: str, server: str) -> int:
        hashes.append(server)
        return digest(name, server)

    monkeypatch.setattr(server_selection, "digest", counted)
    serving = ServerSelector("z")
    serving.replace_servers(
        RegisteredServers({f"i-{n}": make_server(f"i-{n}") for n in range(servers)})
    )
    prompt = Prompt(1_000, 10, (PromptPart("aa", 900), PromptPart("own", 100)))
    serving.choose(want("c1", prompt=prompt), LIMIT, 0.0)
    assert len(hashes) <= servers
    hashes.clear()
    serving.choose(want("c2", prompt=prompt), LIMIT, 0.1)
    assert hashes == []
