"""Decisions about forwarded calls, and the translation of the platform's words."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from hawthornstage.actors.desired_states import DesiredStateReceived, DesiredStateTask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.forwarding import choose_service, is_newer, resolve_call
from hawthornstage.decisions.retry_share import RetryLimits, RetryShare
from hawthornstage.decisions.server_failures import (
    FAILURE_TTL_S,
    MAX_SERVER_FAILURES,
    ServerFailures,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import Idempotency, TrafficShare
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import ForwardCall, PromptPart
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.desired_state import (
    DesiredStateError,
    decode_desired_state,
)
from hawthornstage.platform.headers import (
    parse_call,
    parse_response_head,
    request_headers,
)
from hawthornstage.platform.server_entries import decode_entry
from tests.draws_world import Inbox

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "letters",
            "hostname": "shop.example",
            "path-prefix": "/letters/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "target-latency-ms": 600,
            "priority": 1,
            "traffic-split": [
                {"service": "models", "weight": 90},
                {"service": "spare", "weight": 10},
            ],
            "max-attempts": 1,
        },
        {
            "name": "long",
            "hostname": "shop.example",
            "path-prefix": "/letters/long/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "priority": 1,
            "service": "models",
            "resumable": True,
            "max-attempts": 2,
        },
        {
            "name": "open",
            "hostname": "shop.example",
            "path-prefix": "/open/",
            "kind": "idempotent",
            "timeout-ms": 2000,
            "service": "desk",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "models",
            "max-connections": 370,
            "engine": {"slots": 64, "kv-capacity": 435147, "stride": 3},
        },
        {"name": "desk", "max-connections": 110},
    ],
    "tenants": [
        {"name": "shop-a", "api-keys": ["key-a", "key-b"], "prepaid": 5000},
        {"name": "shop-b", "api-keys": ["key-c"], "priority": 0},
    ],
}
HEADERS = [
    ("host", "Shop.example:80"),
    ("x-request-id", "r1"),
    ("authorization", "Bearer key-a"),
    ("x-time-budget", "5000"),
    ("x-token-counts", "1460,80"),
    ("x-prompt-prefix", "aa:800,bb:410,cc:250"),
    ("x-model", "m"),
]


def document(**changes: Any) -> bytes:
    """Return a desired state as operators write it."""
    return json.dumps({**CONFIG, **changes}).encode()


def make_call(target: str = "/letters/x", **extra: str) -> ForwardCall:
    """Return a call as it is read from a caller."""
    headers = [*HEADERS, *((n.replace("_", "-"), v) for n, v in extra.items())]
    call = parse_call("POST", target, headers, b"text", 10.0)
    assert isinstance(call, ForwardCall)
    return call


def test_longest_prefix_of_the_host_wins() -> None:
    state = decode_desired_state(document())
    found = resolve_call(make_call("/letters/long/1?x=/open/"), state)
    assert not isinstance(found, Failure)
    assert found.route.name == "long"
    assert found.service == "models"
    assert found.route.idempotency is Idempotency.IDEMPOTENT


@pytest.mark.parametrize(
    ("target", "key", "kind"),
    [
        ("/nowhere/", "key-a", ErrorKind.NO_ROUTE),
        ("/letters/x", "stolen", ErrorKind.UNAUTHENTICATED),
        ("/letters/x", None, ErrorKind.UNAUTHENTICATED),
    ],
)
def test_unknown_routes_and_keys_are_refused(
    target: str, key: str | None, kind: ErrorKind
) -> None:
    state = decode_desired_state(document())
    found = resolve_call(replace(make_call(target), key=key), state)
    assert isinstance(found, Failure)
    assert found.kind is kind


def test_public_route_needs_no_key() -> None:
    state = decode_desired_state(document())
    found = resolve_call(replace(make_call("/open/1"), key=None), state)
    assert not isinstance(found, Failure)
    assert found.workspace is None


def test_workspace_priority_goes_before_the_routes() -> None:
    state = decode_desired_state(document())
    found = resolve_call(replace(make_call(), key="key-c"), state)
    assert not isinstance(found, Failure)
    assert found.priority == 0


def test_split_follows_the_weights_and_is_stable() -> None:
    shares = (TrafficShare("models", 90), TrafficShare("spare", 10))
    chosen = [choose_service(shares, f"r{n}") for n in range(2_000)]
    assert 100 < chosen.count("spare") < 300
    assert chosen == [choose_service(shares, f"r{n}") for n in range(2_000)]


@given(versions=st.lists(st.integers(1, 50), max_size=20))
def test_versions_never_fall(versions: list[int]) -> None:
    current = None
    seen = [0]
    for version in versions:
        state = decode_desired_state(document(version=version))
        if is_newer(current, state):
            current = state
            seen.append(version)
    assert seen == sorted(set(seen))
    assert seen[-1] == max(versions, default=0)


@pytest.mark.parametrize(
    "broken",
    [b"", b"{", b"[]", b'{"version": "x"}', b"[" * 100_000, document(routes=[{}])],
)
def test_broken_desired_state_is_refused_and_the_old_one_stays(
    broken: bytes, events: EventLog
) -> None:
    with pytest.raises(DesiredStateError):
        decode_desired_state(broken)
    in_use: LatestValue[Any] = LatestValue(None)
    peers: Any = Inbox()
    task = DesiredStateTask(
        "a", in_use, peers=peers, subscribers=(), clock=ManualClock(), events=events
    )
    task.handle(DesiredStateReceived(document(), "store"))
    task.handle(DesiredStateReceived(broken, "store"))
    assert in_use.value.version == 7


def test_callers_headers_do_not_reach_the_server() -> None:
    call = make_call(
        x_tenant="other",
        x_hold="1",
        kv_from="10.0.0.1:1/x",
        x_target_instance="i",
        connection="close, x-secret",
        x_secret="1",
    )
    headers = request_headers(
        call,
        server="i-1",
        workspace="shop-a",
        remaining_s=1.5,
        urgency=12,
        resume_after=None,
    )
    names = [name for name, _ in headers]
    single = dict(headers)
    assert len(names) == len(set(names))
    assert "authorization" not in names
    assert not {"x-hold", "kv-from", "x-secret", "connection"} & set(names)
    assert single["x-tenant"] == "shop-a"
    assert single["x-target-instance"] == "i-1"
    assert single["x-time-budget"] == "1500"
    assert single["x-request-urgency"] == "9"
    assert single["x-model"] == "m"


def test_prompt_is_read() -> None:
    prompt = make_call().prompt
    assert prompt is not None
    assert (prompt.tokens, prompt.max_output) == (1460, 80)
    assert prompt.shared_parts == (PromptPart("aa", 800), PromptPart("bb", 410))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-token-counts", "many"),
        ("x-prompt-prefix", "aa"),
        ("x-time-budget", "soon"),
        ("x-request-id", ""),
    ],
)
def test_unreadable_headers_are_a_clear_error(name: str, value: str) -> None:
    headers = [each for each in HEADERS if each[0] != name]
    outcome = parse_call("POST", "/", [*headers, (name, value)], b"", 0.0)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    ("status", "headers", "ran"),
    [
        (503, (("x-not-executed", "1"),), ExecutionState.NO),
        (421, (("x-not-executed", "1"),), ExecutionState.NO),
        (421, (), ExecutionState.UNKNOWN),
        (503, (), ExecutionState.UNKNOWN),
        (500, (), ExecutionState.UNKNOWN),
    ],
)
def test_only_the_servers_word_says_not_run(
    status: int, headers: Any, ran: ExecutionState
) -> None:
    assert parse_response_head(status, headers).ran is ran


def entry_with_slots(slots: int) -> bytes:
    """Return a server's entry with a number of slots."""
    entry = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}
    return json.dumps({**entry, "slots": slots}).encode()


@pytest.mark.parametrize(
    "entry",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b'{"service": "s", "address": "10.0.0.1:80", "state": "resting"}',
        b'{"service": 4, "address": "10.0.0.1:80", "state": "ready"}',
        b'{"service": "s", "address": "10.0.0.1", "state": "ready"}',
        b'{"service": "s", "state": "ready"}',
        b"[" * 100_000,
        b'{"service": "s", "address": "10.0.0.1:99999", "state": "ready"}',
        b'{"service": "s", "address": "10.0.0.1:-1", "state": "ready"}',
        b'{"service": "s", "address": "10.0.0.1:0", "state": "ready"}',
        b'{"service": "s", "address": "10.0.0.1:'
        + b"9" * 5000
        + b'", "state": "ready"}',
        b'{"service": "s", "address": ":80", "state": "ready"}',
        b'{"service": "s", "address": "10.0.0.1\\u0000:80", "state": "ready"}',
        entry_with_slots(0),
        entry_with_slots(-5),
        entry_with_slots(10**400),
        b'{"service": "s", "address": "10.0.0.1:80", "state": "ready", "slots": 1e999}',
        b'{"service": "s", "address": "10.0.0.1:80", "state": "ready", "born": -1}',
    ],
)
def test_broken_entry_names_no_server(entry: bytes) -> None:
    assert isinstance(decode_entry("servers/i-1", entry), str)


@settings(derandomize=True)
@given(
    gaps=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=200),
    routers=st.integers(1, 8),
)
@example(
    gaps=[*4 * [0.0], 1.0, 0.0, 0.0, 1.0, *4 * [0.0], *9 * [1.0], 0.0, 0.0, 1.0],
    routers=4,
)
@example(gaps=[*150 * [0.0], 6.0, *30 * [0.3]], routers=1)
def test_retries_of_a_fleet_stay_within_the_share(
    gaps: list[float], routers: int
) -> None:
    terms = RetryLimits(0.2, 56.0, 10.0)
    shares = [RetryShare(lambda: terms) for _ in range(routers)]
    now = 0.0
    asked: list[float] = []
    retried: list[float] = []
    for number, gap in enumerate(gaps):
        now += gap
        share = shares[number % routers]
        share.count_request("models", now)
        asked.append(now)
        while share.allows_retry("models", routers, now):
            share.count_retry("models", now)
            retried.append(now)
        recent = [at for at in retried if at > now - 10.0]
        # The platform counts the requests of this window, of the one before it, or of
        # the one half a window before it, whichever has most.
        requests = max(
            sum(now - 10.0 - shift <= at <= now - shift for at in asked)
            for shift in (0.0, 5.0, 10.0)
        )
        assert len(recent) <= 0.2 * requests + 56.0


def test_call_that_breaks_servers_is_blocked_until_forgotten() -> None:
    breaks = ServerFailures()
    for number in range(MAX_SERVER_FAILURES):
        assert not breaks.is_blocked("f", float(number))
        breaks.record_failure("f", float(number))
    assert breaks.is_blocked("f", 10.0)
    assert not breaks.is_blocked("f", 10.0 + FAILURE_TTL_S)
    assert breaks.record_answer("f", 10.0)
    assert not breaks.is_blocked("f", 10.0)
