"""A desired state is checked before it is sent."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from hawthornstage.cli import HawthornstageCommands
from hawthornstage.decisions.desired_state_check import CheckOptions, find_faults
from hawthornstage.decisions.desired_state_differences import (
    find_differences,
    find_regressions,
)
from hawthornstage.messages.desired_state_check import Severity
from hawthornstage.platform.desired_state import decode_desired_state
from hawthornstage.platform.desired_state_paths import find_in_writing, format_place

REGIONS = frozenset({"north", "south"})


def make_state(**changes: Any) -> dict[str, Any]:
    """Return a desired state in which nothing is wrong, with changed paths.

    Args:
        changes: Values by path, such as `routes_0_priority`.
    """
    state: dict[str, Any] = {
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
                "name": "orders",
                "hostname": "shop.example",
                "path-prefix": "/orders/",
                "kind": "idempotent",
                "timeout-ms": 2000,
                "service": "spare",
                "max-attempts": 2,
            },
        ],
        "services": [
            {"name": "models", "engine": {"slots": 8, "kv-capacity": 9, "stride": 1}},
            {"name": "spare", "max-connections": 10},
        ],
        "limits": {"max-header-bytes": 4096},
        "tenants": [
            {"name": "shop-a", "api-keys": ["secret-1", "secret-2"], "prepaid": 5000},
            {"name": "shop-b", "api-keys": ["secret-3"], "priority": 0},
        ],
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        place: Any = state
        for each in parents:
            place = place[int(each) if each.isdigit() else each.replace("_", "-")]
        place[int(last) if last.isdigit() else last.replace("_", "-")] = value
    return state


def findings_of(state: dict[str, Any], **options: Any) -> list[tuple[str, str, str]]:
    """Return path, severity and text of all findings."""
    document = json.dumps(state).encode()
    options = {"regions": REGIONS, **options}
    found = (
        *find_in_writing(document),
        *find_faults(decode_desired_state(document), CheckOptions(**options)),
    )
    return [(format_place(f.place), f.severity.value, f.text) for f in found]


def test_sound_state_has_no_findings() -> None:
    assert findings_of(make_state()) == []


@pytest.mark.parametrize(
    ("changes", "path", "severity", "part"),
    [
        ({"version": 0}, "version", "error", "at least 1"),
        (
            {"routes__1__path_prefix": "/letters/"},
            "routes[1].path-prefix",
            "error",
            "[0] has the same host",
        ),
        (
            {"routes__1__path_prefix": "orders"},
            "routes[1].path-prefix",
            "error",
            "slash",
        ),
        ({"routes__1__name": "letters"}, "routes[1].name", "error", "[0]"),
        ({"routes__1__service": None}, "routes[1].traffic-split", "error", "service"),
        ({"routes__1__service": "x"}, "routes[1].traffic-split", "error", "'x'"),
        (
            {"routes__0__traffic_split__1__weight": 0},
            "routes[0].traffic-split",
            "warning",
            "'spare' has weight 0",
        ),
        (
            {"routes__0__traffic_split__1__weight": -1},
            "routes[0].traffic-split",
            "error",
            "negative",
        ),
        (
            {"routes__0__traffic_split": [{"service": "models", "weight": 0}]},
            "routes[0].traffic-split",
            "error",
            "all weights",
        ),
        ({"routes__0__timeout_ms": 500}, "routes[0].timeout-ms", "error", "0.6 s"),
        ({"routes__0__timeout_ms": 0}, "routes[0].timeout-ms", "error", "positive"),
        ({"routes__0__max_attempts": 0}, "routes[0].max-attempts", "error", "1"),
        (
            {"routes__1__kind": "non_idempotent"},
            "routes[1].max-attempts",
            "warning",
            "once",
        ),
        ({"routes__0__priority": 10}, "routes[0].priority", "error", "0 to 9"),
        ({"tenants__1__priority": -1}, "tenants[1].priority", "error", "0 to 9"),
        (
            {"routes__0__allowed_regions": ["west"]},
            "routes[0].allowed-regions",
            "error",
            "no call",
        ),
        (
            {"tenants__0__allowed_regions": ["west", "north"]},
            "tenants[0].allowed-regions",
            "warning",
            "west",
        ),
        (
            {"tenants__0__allowed_regions": []},
            "tenants[0].allowed-regions",
            "warning",
            "no restriction",
        ),
        (
            {
                "routes__0__allowed_regions": ["north"],
                "tenants__1__allowed_regions": ["south"],
            },
            "routes[0].allowed-regions",
            "warning",
            "'shop-b'",
        ),
        (
            {"services__1__max_connections": 0},
            "services[1].max-connections",
            "error",
            "0",
        ),
        ({"services__0__engine__slots": 0}, "services[0].engine.slots", "error", "0"),
        ({"tenants__1__api_keys": []}, "tenants[1].api-keys", "warning", "no key"),
        ({"tenants__1__api_keys": [""]}, "tenants[1].api-keys", "error", "empty"),
        (
            {"tenants__1__api_keys": ["secret-1"]},
            "tenants[1].api-keys",
            "error",
            "one of [0]",
        ),
        (
            {"tenants__1__api_keys": ["k", "k"]},
            "tenants[1].api-keys",
            "warning",
            "twice",
        ),
        ({"tenants__0__prepaid": 0}, "tenants[0].prepaid", "error", "single call"),
        ({"tenants": []}, "tenants", "error", "no API key"),
        (
            {"limits__max_header_bytes": 0},
            "limits.max-header-bytes",
            "error",
            "positive",
        ),
    ],
)
def test_fault_is_found_at_its_path(
    changes: dict[str, Any], path: str, severity: str, part: str
) -> None:
    found = findings_of(make_state(**changes))
    assert any(p == path and s == severity and part in text for p, s, text in found)
    assert not any("secret" in text for _, _, text in found)


def test_what_depends_on_options_is_checked_with_them_only() -> None:
    homes = make_state(routes__0__allowed_regions=["west"])
    assert findings_of(homes, regions=None) == []
    assert findings_of(make_state(), call_tokens=5000) == []
    found = findings_of(make_state(), call_tokens=5001)
    assert [path for path, _, _ in found] == ["tenants[0].prepaid"]


def test_service_without_a_route_is_named() -> None:
    state = make_state()
    state["services"].append({"name": "idle"})
    assert findings_of(state) == [
        ("services[2]", "warning", "no route leads to 'idle'")
    ]


def test_differences_name_no_key() -> None:
    before = decode_desired_state(json.dumps(make_state()).encode())
    changed = make_state(
        version=7,
        routes__0__timeout_ms=7000,
        tenants__0__prepaid=4000,
        tenants__1__api_keys=["secret-4", "secret-5"],
        limits__max_header_bytes=8192,
    )
    changed["routes"][1]["name"] = "bookings"
    after = decode_desired_state(json.dumps(changed).encode())
    differences = [
        (d.kind.value, d.name, d.field, d.before, d.after)
        for d in find_differences(after, before)
    ]
    assert differences == [
        ("removed", "orders", "", "", ""),
        ("changed", "letters", "timeout_s", "6.0", "7.0"),
        ("added", "bookings", "", "", ""),
        ("changed", "shop-a", "budget", "5000", "4000"),
        ("changed", "shop-b", "keys", "1 of them", "2 new, 1 gone"),
        ("changed", "", "header_bytes", "4096", "8192"),
    ]
    setbacks = [
        (format_place(s.place), s.severity) for s in find_regressions(after, before)
    ]
    assert setbacks == [
        ("version", Severity.ERROR),
        ("tenants[0].prepaid", Severity.WARNING),
    ]
    assert find_differences(before, before) == ()


# The command.


@pytest.fixture
def write(tmp_path: Path) -> Any:
    """Return a function that writes a file and returns its path."""

    def write_file(name: str, content: Any) -> str:
        file = tmp_path / name
        text = content if isinstance(content, str) else json.dumps(content)
        file.write_text(text)
        return str(file)

    return write_file


def run(capsys: Any, *args: Any, **options: Any) -> tuple[int, str]:
    """Run the command; return its exit code and output."""
    code = 0
    try:
        HawthornstageCommands().check_desired_state(*args, **options)
    except SystemExit as exit:
        code = int(exit.code or 0)
    captured = capsys.readouterr()
    return code, captured.out + captured.err


def test_exit_code_and_output_tell_what_was_found(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    sound = write("sound.json", make_state())
    newer = write("newer.json", make_state(version=8, routes__0__timeout_ms=7000))
    shadowed = write("shadowed.json", make_state(routes__1__path_prefix="/letters/"))
    assert run(capsys, sound) == (0, "version 7: nothing found\n")
    code, text = run(capsys, newer, in_force=sound)
    assert (code, text) == (
        0,
        "changed: routes letters timeout-ms: 6.0 -> 7.0\n",
    )
    code, text = run(capsys, shadowed)
    assert code == 1 and text.startswith("error: routes[1].path-prefix: never matches")
    code, text = run(capsys, shadowed, in_force=sound, json=True)
    report = json.loads(text)
    assert code == 1
    assert [each["path"] for each in report["findings"]] == [
        "routes[1].path-prefix",
        "version",
    ]
    assert report["differences"][0]["field"] == "path-prefix"


@pytest.mark.parametrize(
    ("content", "part"),
    [
        ("{", "line 1"),
        ({"version": 1, "services": []}, "routes: Field required"),
        (make_state(routes__0__timeout_ms="x"), "routes[0].timeout-ms: "),
        (make_state(tenants__0__api_keys=[1]), "tenants[0].api-keys[0]: "),
    ],
)
def test_invalid_document_is_told_by_path(
    content: Any, part: str, write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    code, text = run(capsys, write("state.json", content))
    assert code == 2 and part in text


def test_missing_file_and_settings_are_wrong_use(
    write: Any, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sound = write("sound.json", make_state())
    missing = str(tmp_path / "missing.json")
    assert run(capsys, missing)[0] == 2
    assert run(capsys, sound, in_force=missing)[0] == 2
    assert run(capsys, sound, settings=write("settings.json", "{}"))[0] == 2


def test_regions_come_from_a_settings_file(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = {
        "node-name": "edge-1",
        "ip": "10.0.0.1",
        "zone": "a",
        "zones": {"a": "north"},
        "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
        "port-range": [7000, 7010],
        "platform": {"address": "10.0.0.9:90"},
    }
    state = write("state.json", make_state(routes__0__allowed_regions=["south"]))
    assert run(capsys, state)[0] == 0
    code, text = run(capsys, state, settings=write("settings.json", settings))
    assert code == 1 and "routes[0].allowed-regions: no failure domain is in" in text
