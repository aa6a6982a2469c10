"""Properties of claims, tables, streams, frames, retries and slots."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.border.documents import TABLES_CODEC
from hawthornstage.border.frames import Frame, FrameError, decode_frame, encode_frame
from hawthornstage.border.sse import read_events
from hawthornstage.decisions import (
    claims,
    crashes,
    membership,
    rate_limit,
    retries,
    tables,
)
from hawthornstage.filters.relay import relay_events
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.members import GossipEntry, Heartbeat
from hawthornstage.messages.request import ResponseProgress
from hawthornstage.messages.tables import EMPTY_TABLES, Pool, PoolKind, Server

attempts = st.sampled_from(["a1", "a2", "a3", "a4"])
moves = st.sampled_from(["claim", "claim_answer_lost", "run", "finish", "abandon"])


def play_claims(steps: list[tuple[str, str]]) -> int:
    """Let attempts race for one call; return how often it ran."""
    shard = claims.ClaimShard()
    may_run: set[str] = set()
    given_up: set[str] = set()
    ran: list[str] = []
    for attempt, move in steps:
        claim = claims.Claim("k", attempt, "f", "r1", 0.0)
        if move in ("claim", "claim_answer_lost") and attempt not in given_up:
            shard, result = claims.apply(shard, claim)
            if move == "claim" and isinstance(result, claims.Claimed):
                may_run.add(attempt)
        elif move == "run" and attempt in may_run:
            ran.append(attempt)
            may_run.discard(attempt)
            given_up.add(attempt)
        elif move == "finish" and attempt in ran:
            outcome = claims.Outcome(201, "text/plain", attempt.encode())
            shard, _ = claims.apply(shard, claims.FinishClaim("k", attempt, outcome))
        elif move == "abandon" and attempt not in ran:
            # Only an attempt that will never run gives its claim back.
            may_run.discard(attempt)
            given_up.add(attempt)
            shard, _ = claims.apply(shard, claims.AbandonClaim("k", attempt))
    return len(ran)


@given(st.lists(st.tuples(attempts, moves), max_size=30))
def test_a_claimed_call_runs_at_most_once(steps: list[tuple[str, str]]) -> None:
    assert play_claims(steps) <= 1


def test_a_claim_that_forgets_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def forgetful(shard, entry, message):
        return shard, claims.Claimed()

    monkeypatch.setattr(claims, "_claim", forgetful)
    race = [("a1", "claim"), ("a2", "claim"), ("a1", "run"), ("a2", "run")]
    assert play_claims(race) == 2


def test_a_full_shard_refuses_instead_of_forgetting() -> None:
    young = claims.ClaimEntry("a", "f", 1_000.0, "r1", claims.ClaimState.FINISHED)
    full = {str(n): young for n in range(claims.MAX_CLAIMS_PER_SHARD)}
    claim = claims.Claim("new", "a", "f", "r1", 1_000.0)
    shard, result = claims.apply(claims.ClaimShard(full), claim)
    assert isinstance(result, claims.ShardFull)
    later = replace(claim, at=1_000.0 + claims.CLAIM_WINDOW_S)
    shard, result = claims.apply(shard, later)
    assert isinstance(result, claims.Claimed)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(["edit", "edit_answer_lost", "read", "read_old", "gossip"]),
        ),
        max_size=40,
    )
)
def test_revisions_never_fall_and_accepted_edits_stay(
    steps: list[tuple[int, str]],
) -> None:
    document = tables.TablesDocument()
    versions = [document]
    in_use = [EMPTY_TABLES] * 4
    accepted: list[str] = []
    for number, (router, move) in enumerate(steps):
        before = in_use[router]
        if move.startswith("edit"):
            edited = replace(before, edit_id=f"e{number}")
            edit = tables.TablesEdit(edited, before.revision)
            document, result = tables.apply(document, edit)
            if move == "edit_answer_lost":
                # The write is made again, on the document as it then stands.
                document, again = tables.apply(document, edit)
                assert again == result
            if isinstance(result, tables.EditAccepted):
                accepted.append(f"e{number}")
                in_use[router] = tables.adopt(before, result.tables)
            versions.append(document)
        elif move == "gossip":
            in_use[router] = tables.adopt(before, in_use[(router + 1) % 4])
        else:
            seen = document if move == "read" else versions[number % len(versions)]
            in_use[router] = tables.adopt(before, seen.current)
        assert in_use[router].revision >= before.revision
    kept = [t.edit_id for t in (document.current, *document.history) if t.edit_id]
    assert kept == accepted[::-1][: tables.MAX_HISTORY_REVISIONS + 1]
    assert document.current.revision == len(accepted)


def stream_bytes(words: list[str]) -> bytes:
    """Return an engine's stream of some words."""
    parts = []
    for word in words:
        choice = {"delta": {"content": word}, "finish_reason": None}
        parts.append({"choices": [choice]})
    parts.append({"choices": [{"delta": {}, "finish_reason": "stop"}]})
    parts.append(
        {"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": len(words)}}
    )
    events = [b"data: " + json.dumps(part).encode() + b"\n\n" for part in parts]
    return b"".join(events) + b"data: [DONE]\n\n"


def cut_up(data: bytes, places: list[int]) -> list[bytes]:
    """Cut bytes at some places."""
    marks = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(marks, marks[1:], strict=False)]


@given(
    st.lists(st.text("abc\u00e5", min_size=1), max_size=6),
    st.lists(st.integers(0, 10**6), max_size=12),
)
def test_a_stream_is_whole_however_it_is_cut_up(
    words: list[str], places: list[int]
) -> None:
    data = stream_bytes(words)
    progress = ResponseProgress()
    events = read_events(cut_up(data, places))
    passed = b"".join(relay_events(events, progress, usage_requested=True))
    assert progress.cut_reason is None
    assert passed + progress.tail == data
    assert progress.usage is not None
    assert progress.usage.total == 1 + len(words)


@given(st.lists(st.text("abc", min_size=1), min_size=1, max_size=6), st.data())
def test_a_stream_that_ends_early_is_never_called_whole(
    words: list[str], data: st.DataObject
) -> None:
    whole = stream_bytes(words)
    end = data.draw(st.integers(0, len(whole) - 2))
    progress = ResponseProgress()
    passed = b"".join(
        relay_events(read_events([whole[:end]]), progress, usage_requested=False)
    )
    assert progress.cut_reason is not None
    assert progress.tail == b""
    assert b'finish_reason": "stop' not in passed


@given(st.binary(max_size=200))
def test_any_bytes_are_a_frame_or_a_frame_error(data: bytes) -> None:
    try:
        decode_frame(data)
    except FrameError:
        return


def test_a_heartbeat_keeps_its_rumours() -> None:
    rumour = GossipEntry("r2", "i", "a", False, 3, 0.5)
    heartbeat = Heartbeat("r1", "i", "a", True, 4, (rumour,))
    frame = Frame(7, False, Stamp(1, 2, "r1"), heartbeat)
    assert decode_frame(encode_frame(frame)) == frame


@given(st.integers(1, 400), st.integers(1, 3))
def test_retries_stay_under_their_share(requests: int, wanted: int) -> None:
    budget, sent = retries.RetryBudget(), 0
    for _ in range(requests):
        budget = retries.count_request(budget)
        sent += 1
        for _ in range(wanted):
            budget, allowed = retries.acquire(budget)
            sent += allowed
    # The retries that a quiet router starts with come on top.
    assert sent <= 1.2 * requests + retries.RetryBudget().available_retries


@given(st.lists(st.tuples(attempts, st.booleans(), st.floats(0, 50)), max_size=40))
def test_suspects_run_one_at_a_time_and_all_get_their_turn(
    steps: list[tuple[str, bool, float]],
) -> None:
    slot, running, waiting, now = crashes.SuspectSlot(), None, set(), 0.0
    for attempt, asks, passed in steps:
        now += passed / 1_000
        if asks:
            slot, let_in = crashes.ask_slot(slot, attempt, now)
            waiting.add(attempt)
        else:
            slot, let_in = crashes.release_slot(slot, attempt, now)
            waiting.discard(attempt)
            running = None if running == attempt else running
        if let_in is not None:
            assert running in (None, let_in)
            running = let_in
        assert running is not None or not waiting


def test_tables_of_the_planned_size_stay_under_a_megabyte() -> None:
    servers = tuple(
        Server(f"engine-of-a-long-name-{n}", f"http://10.11.12.13:{n}", "north-2", 0.75)
        for n in range(600)
    )
    pool = Pool("engines", PoolKind.ENGINE, servers, model="a-model")
    document = tables.TablesDocument()
    for revision in range(25):
        edited = replace(EMPTY_TABLES, pools=(pool,), edit_id=f"e{revision}")
        document, result = tables.apply(document, tables.TablesEdit(edited, revision))
        assert isinstance(result, tables.EditAccepted)
    assert len(TABLES_CODEC.encode(document)) < 1_000_000
    assert len(document.history) >= 3


@given(st.booleans(), st.integers(0, 3), st.integers(0, 3))
def test_witnesses_are_far_first_and_never_the_router_itself(
    near: bool, own: int, far: int
) -> None:
    me = membership.Member("me", "i", "home", 0.0)
    others = [membership.Member(f"o{n}", "i", "home", 0.0) for n in range(own)]
    others += [membership.Member(f"f{n}", "i", "away", 0.0) for n in range(far)]
    members = membership.merge_members(membership.Members(me), *others)
    chosen = membership.choose_witnesses(members, (), 0.0, count=2, near=near)
    names = [each.node for each in chosen]
    assert len(set(names)) == len(names) == min(2, own + far)
    wanted_far = 1 if near and own else 2
    assert sum(name.startswith("f") for name in names) >= min(wanted_far, far)
    again = membership.choose_witnesses(members, chosen, 1.0, count=2, near=near)
    assert again == chosen


@given(
    st.floats(0.5, 50.0),
    st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200),
)
def test_a_paced_caller_never_exceeds_its_rate(
    rate: float, pauses: list[float]
) -> None:
    pace, now, calls = rate_limit.TokenBucket(rate), 0.0, 0
    for pause in pauses:
        now += pause
        pace, wait = rate_limit.acquire(pace, now)
        calls += wait == 0.0
        # The wait that was asked for is enough.
        if wait:
            now += wait * 1.001
            pace, again = rate_limit.acquire(pace, now)
            assert again == 0.0
            calls += 1
        assert calls <= pace.burst + rate * now + 1e-6
