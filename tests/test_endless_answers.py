"""A server whose answers never end harms no other call, and fills no memory."""

from __future__ import annotations

import pytest

from hawthornstage.border.chunked_body import (
    MAX_SMALL_CHUNKS,
    ChunkedDecoder,
    ChunkError,
    encode_chunk,
)
from hawthornstage.border.sse import MAX_EVENT_BYTES, EventSplitter, EventTooLargeError
from hawthornstage.border.tunnel import TunnelReader
from standins.endless import SHAPES, WHOLE_BODY
from tests.conftest import StartFleet
from tests.fleet_load import SMALLEST_HOST_BYTES, call_at_once, peak_memory
from tools.fleet import IDEMPOTENT_PATH, STREAM_PATH


@pytest.mark.parametrize("shape", SHAPES)
def test_answers_without_end_cost_other_calls_nothing(
    shape: str, start_fleet: StartFleet
) -> None:
    fleet = start_fleet(routers=1, servers=1)
    for service in ("desk", "models"):
        faulty = f"{service}-faulty"
        fleet.add_stand_in(faulty, "endless", "--port", "0")
        fleet.control(faulty, "shape", {"shape": shape})
        fleet.add_server(service, faulty)
    for service in ("desk", "models"):
        fleet.wait_seen("edge-1", f"{service}-faulty")
    # A repeatable call goes on at the sound server.
    orders = call_at_once(fleet, IDEMPOTENT_PATH, "o", body=b"b")
    whole = {(200, b"done:b"), (200, WHOLE_BODY)}
    assert {(each.status, each.body) for each in orders} <= whole
    call_at_once(fleet, STREAM_PATH, "s", tokens=(10, 5))
    assert fleet.control("desk-faulty", "shape", {})["calls"] > 0
    assert peak_memory(fleet, "edge-1") < SMALLEST_HOST_BYTES


def test_many_tiny_chunks_are_refused_but_not_many_chunks_of_a_stream() -> None:
    decoder = ChunkedDecoder()
    decoder.feed(encode_chunk(b"z") * MAX_SMALL_CHUNKS)
    with pytest.raises(ChunkError):
        decoder.feed(encode_chunk(b"z"))
    sound = ChunkedDecoder()
    event = b"".join(encode_chunk(each) for each in (b"id: 1\n", b"data: a\n", b"\n"))
    for _ in range(3):
        sound.feed(event * MAX_SMALL_CHUNKS)


def test_server_that_sends_few_bytes_at_a_time_is_heard_through_a_tunnel() -> None:
    reader = TunnelReader()
    for _ in range(2 * MAX_SMALL_CHUNKS):
        assert reader.feed(encode_chunk(b"zz")) == [b"zz"]


def test_event_without_end_is_refused_in_small_pieces() -> None:
    splitter = EventSplitter()
    piece = b"z" * 64
    for _ in range(MAX_EVENT_BYTES // len(piece)):
        assert splitter.feed(piece) == []
    with pytest.raises(EventTooLargeError):
        splitter.feed(piece)
