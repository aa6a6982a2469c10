"""Names that operators and servers chose, where they become values of headers."""

from __future__ import annotations

import json

import h11
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from hawthornstage.border.json_values import load_json
from hawthornstage.platform.desired_state import decode_desired_state
from hawthornstage.platform.header_text import encode_value, is_plain_value
from hawthornstage.platform.server_entries import decode_entry
from hawthornstage.platform.store import PageModel
from tests.conftest import StartFleet
from tests.test_forwarding import CONFIG
from tools.cluster import wait_until
from tools.fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    desired_state,
)

CALLS = 8
# Names that no header carries as they are.
UNFIT = ("desk\n1", "desk\r\nx: 1", "desk\0", "desk-\U0001f600", " desk ", "desk\ud800")
ENTRY = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}
# Any text of JSON, halves of surrogate pairs included.
TEXTS = st.text(st.characters(exclude_categories=()), max_size=12)


def carried(value: str) -> str:
    """Return a header's value as it arrives at a server."""
    parser = h11.Connection(h11.SERVER)
    sender = h11.Connection(h11.CLIENT)
    headers = [("host", "a"), ("x-name", value.encode("latin-1"))]
    parser.receive_data(
        sender.send(h11.Request(method="GET", target="/", headers=headers))
    )
    head = parser.next_event()
    return dict(head.headers)[b"x-name"].decode("latin-1")


@given(TEXTS)
@example("desk\x85")
def test_plain_values_arrive_unchanged(text: str) -> None:
    if is_plain_value(text):
        assert carried(text) == text


@given(TEXTS, TEXTS)
@example("dŵr", "UTF-8''d%C5%B5r")
@example(" a", "a")
def test_encoded_names_arrive_and_stay_apart(one: str, other: str) -> None:
    assert carried(encode_value(one)) == encode_value(one)
    assert (encode_value(one) == encode_value(other)) is (one == other)


@pytest.mark.parametrize("name", ["shop-a", "50% off", "a b", "Køge"])
def test_names_that_headers_carry_are_sent_as_they_are(name: str) -> None:
    assert encode_value(name) == name


@pytest.mark.parametrize("name", ["", *UNFIT])
def test_id_that_no_header_carries_names_no_server(name: str) -> None:
    assert isinstance(decode_entry(f"servers/{name}", json.dumps(ENTRY).encode()), str)


@pytest.mark.parametrize("field", ["service", "zone"])
def test_entry_with_a_text_that_nobody_can_write_names_no_server(field: str) -> None:
    entry = json.dumps({**ENTRY, field: "a\ud800"}).encode()
    assert isinstance(decode_entry("servers/i-1", entry), str)


def test_keys_of_the_store_can_be_written() -> None:
    page = load_json(
        b'{"entries": [{"key": "servers/\\ud800", "revision": 1}], "at": 1}'
    )
    keys = [each.to_item().key for each in PageModel.model_validate(page).entries]
    assert keys == ["servers/\ufffd"]


def test_names_of_a_desired_state_can_be_written() -> None:
    text = json.dumps(CONFIG).replace("models", "models\\ud800")
    text = text.replace("shop-a", "shop\\ud800").replace('"letters"', '"\\udfff"')
    state = decode_desired_state(text.encode())
    services = {each.service for route in state.routes for each in route.shares}
    names = [each.name for each in (*state.routes, *state.services, *state.workspaces)]
    for each in (*services, *names):
        each.encode()
    assert services >= {each.name for each in state.services}


# Guards against review/13: such an entry made routers cut their callers off.
@pytest.mark.parametrize("name", UNFIT)
def test_calls_are_served_beside_an_entry_that_no_header_can_name(
    name: str, start_fleet: StartFleet
) -> None:
    fleet = start_fleet(routers=1, servers=1)
    entry = {**ENTRY, "service": "desk", "address": "127.0.0.1:9", "zone": "a"}
    fleet.control("store", "put", {f"servers/{name}": entry})
    wait_until(
        lambda: "event=entry_refused" in fleet.read_log("edge-1"),
        description="edge-1 to refuse the entry",
    )
    paths = (IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
    statuses = [
        fleet.call("edge-1", paths[number % 2], f"c-{number}", body=b"b").status
        for number in range(CALLS)
    ]
    assert statuses == CALLS * [200]


# Guards against review/14: calls of such a workspace were read and never answered.
def test_workspaces_of_any_name_are_served_and_told_apart(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, servers=1)
    names = ("dŵr-tywi", "a\nb", " a ", "a", "\U0001f600", "\ud800")
    tenants = [
        {"name": name, "api-keys": [f"key-{number}"], "prepaid": 1_000}
        for number, name in enumerate(names)
    ]
    fleet.publish_desired_state(desired_state(2, 0, tenants=tenants))
    wait_until(
        lambda: (
            "desired_state_adopted node=edge-1 version=2" in fleet.read_log("edge-1")
        ),
        description="edge-1 to adopt version 2",
    )
    statuses = [
        fleet.call(
            "edge-1", path, f"w-{path}-{n}", key=f"key-{n}", tokens=tokens
        ).status
        for n in range(len(names))
        for path, tokens in ((NON_IDEMPOTENT_PATH, None), (RESUMABLE_PATH, (5, 5)))
    ]
    assert statuses == 2 * len(names) * [200]
    lines = [
        each for each in fleet.read_log("edge-1").splitlines() if "call_ended" in each
    ]
    assert len({each.partition("workspace=")[2].split()[0] for each in lines}) == len(
        names
    )
