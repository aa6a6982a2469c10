"""From a request's id to its cause, by logs alone; settings, quotas and metrics."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import threading
import urllib.request
from pathlib import Path

import pytest
from prometheus_client import generate_latest

from hawthornstage.actors.settings_watch import SettingsWatch
from hawthornstage.actors.store_call_log import (
    LogStoreCalls,
    StoreCallEnded,
    StoreCallLog,
)
from hawthornstage.clock import ManualClock
from hawthornstage.latest_value import LatestValue
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.log_rate_limiter import (
    MAX_LINES_PER_S,
    MAX_ROUTINE_LINES_PER_S,
    LogRateLimiter,
)
from hawthornstage.observe.log_reader import parse_line, parse_lines
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.settings import load_host_settings
from tests.test_platform_boundary import SETTINGS
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, Fleet

LINE = (
    "  12.31 edge-1 timestamp=2026-12-04T11:00:00.250000Z level=info"
    ' event=call_ended node=edge-1 request_id=r1 detail="a \\"quoted\\" text=1" ms=5'
)


def hawthornstage(*arguments: str, stdin: str = "") -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    return subprocess.run(
        [sys.executable, "-m", "hawthornstage.cli", *arguments],
        input=stdin,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_line_is_read_with_its_quotes() -> None:
    event = next(parse_lines([LINE, "no event at all", "timestamp=never event=x"]))
    assert event["name"] == "call_ended"
    assert event["request_id"] == "r1"
    assert event["fields"] == {"detail": 'a "quoted" text=1', "ms": "5"}
    assert parse_line("timestamp=never event=x", 0) is None


def test_routine_lines_go_first_and_are_counted() -> None:
    clock = ManualClock()
    quota = LogRateLimiter(clock)
    routine = sum(quota.try_acquire(routine=True) for _ in range(1_000))
    failures = sum(quota.try_acquire(routine=False) for _ in range(1_000))
    assert routine == MAX_ROUTINE_LINES_PER_S
    assert routine + failures == MAX_LINES_PER_S
    assert quota.take_omitted_count() == 2_000 - MAX_LINES_PER_S
    assert quota.take_omitted_count() == 0
    clock.advance(1.0)
    assert quota.try_acquire(routine=True)


@pytest.fixture
def watch(tmp_path: Path) -> SettingsWatch:
    """Return a watch over a settings file."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = LatestValue(load_host_settings(path))
    events = EventLog("a", ManualClock())
    return SettingsWatch(path, load_host_settings, settings, threading.Event(), events)


def test_changed_settings_are_taken_in(watch: SettingsWatch) -> None:
    changed = {**SETTINGS, "platform": {"address": "10.0.0.10:91"}}
    watch.path.write_text(json.dumps(changed))
    watch.reload_if_changed(signalled=False)
    assert watch.settings.value.store == "10.0.0.10:91"


def test_wrong_settings_change_nothing(watch: SettingsWatch) -> None:
    before = watch.settings.value
    watch.path.write_text("{")
    watch.reload_if_changed(signalled=True)
    watch.path.unlink()
    watch.reload_if_changed(signalled=True)
    assert watch.settings.value is before


def test_three_failed_calls_are_explained_by_the_logs_alone() -> None:
    with Fleet(routers=1, budget=2_000) as fleet:
        fleet.control("desk-1", "behave", {"full": True})
        fleet.call("edge-1", NON_IDEMPOTENT_PATH, "busy")
        fleet.call("edge-1", STREAM_PATH, "costly", tokens=(5_000, 100))
        fleet.call("edge-1", IDEMPOTENT_PATH, "stolen", key="stolen")
        assert fleet.call("edge-1", STREAM_PATH, "fine", tokens=(10, 3)).status == 200
        log = fleet.read_log("edge-1")
        wait_until(lambda: "request_id=fine" in fleet.read_log("edge-1"))
        log = fleet.read_log("edge-1")
    busy = hawthornstage("explain", "busy", "--logs=-", stdin=log)
    assert "servers_busy, status 503" in busy.stdout
    assert "desk-1: Refused status 503, not run" in busy.stdout
    costly = json.loads(
        hawthornstage("explain", "costly", "--logs=-", "--json", stdin=log).stdout
    )
    assert costly["outcome"] == "tokens_unavailable, status 503"
    assert "5100 tokens requested" in costly["reason"]
    assert costly["servers"] == "no server was contacted"
    stolen = hawthornstage("explain", "stolen", "--logs=-", stdin=log)
    assert "unauthenticated, status 401" in stolen.stdout
    fine = hawthornstage("explain", "fine", "--logs=-", stdin=log)
    assert "1 candidate servers, 10 uncached tokens" in fine.stdout
    assert "first byte after none" not in fine.stdout
    unknown = hawthornstage("explain", "nobody", "--logs=-", stdin=log)
    assert unknown.returncode == 1
    shown = hawthornstage("timeline", "--logs=-", stdin=log)
    assert "desired_state_adopted" in shown.stdout


def test_metrics_are_served() -> None:
    with Fleet(routers=1) as fleet:
        assert fleet.call("edge-1", STREAM_PATH, "s1", tokens=(10, 3)).status == 200
        url = fleet.metrics_url("edge-1")

        def shown() -> str:
            with urllib.request.urlopen(url, timeout=10) as answer:
                return answer.read().decode()

        # A call is counted after its answer has been sent.
        wait_until(lambda: "hawthornstage_requests_total{" in shown())
        text = shown()
    assert 'hawthornstage_requests_total{answer="answered",route="letters"} 1.0' in text
    assert "hawthornstage_store_calls_total" in text
    assert 'hawthornstage_free_tokens{workspace="shop-a"}' in text
    assert "hawthornstage_desired_state_version 1.0" in text
    assert "hawthornstage_store_answered_timestamp_seconds" in text
    assert re.search(r'attempts_total\{outcome="Delivered",server="[^"]+"', text)


def test_store_calls_are_logged_by_part_and_kind(
    clock: ManualClock, events: EventLog
) -> None:
    task = StoreCallLog(metrics=Metrics(), clock=clock, events=events)
    for _ in range(2):
        task.handle(StoreCallEnded("members", "lease", "200"))
        task.handle(StoreCallEnded("ledger", "write", "StoreSilent"))
    for _ in range(2):
        task.handle(LogStoreCalls())
    logged = [each.fields for each in events.select() if each.name == "store_calls"]
    assert logged == [{"members.lease": 2, "ledger.write": 2}]


def test_metrics_port_of_a_router_that_has_yet_to_log_it_is_waited_for(
    tmp_path: Path,
) -> None:
    fleet = Fleet(routers=1)
    fleet.folder = tmp_path
    log = tmp_path / "edge-1.log"
    log.write_text("timestamp=2026-01-01T00:00:21.2Z event=server_seen\n")
    line = "event=router_started metrics_port=4711\n"
    timer = threading.Timer(0.2, lambda: log.write_text(line))
    timer.start()
    assert fleet.metrics_url("edge-1").endswith(":4711/metrics")
    timer.join()


def test_counts_of_servers_that_are_gone_are_dropped() -> None:
    metrics = Metrics()
    metrics.count_attempt("models", "a", "Delivered")
    metrics.count_attempt("models", "b", "Broken")
    metrics.forget_servers(["b"])
    text = generate_latest(metrics.registry).decode()
    assert 'server="a"' not in text
    assert 'server="b"' in text
