"""Chunked bodies, whole, in pieces and broken."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.border.chunked_body import (
    MAX_LINE_BYTES,
    MAX_TRAILER_BYTES,
    ChunkedDecoder,
    ChunkError,
    encode_chunk,
)

END = b"0\r\n\r\n"


def in_pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return the data cut at positions."""
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


@given(
    chunks=st.lists(st.binary(min_size=1, max_size=50), max_size=8),
    cuts=st.lists(st.integers(0, 400), max_size=12),
    rest=st.binary(max_size=20),
)
def test_body_is_decoded_however_it_arrives(
    chunks: list[bytes], cuts: list[int], rest: bytes
) -> None:
    decoder = ChunkedDecoder()
    encoded = b"".join(encode_chunk(each) for each in chunks) + END + rest
    decoded = b"".join(decoder.feed(piece) for piece in in_pieces(encoded, cuts))
    assert decoded == b"".join(chunks)
    assert decoder.finished
    assert decoder.rest == rest


def test_extensions_and_trailers_are_skipped() -> None:
    decoder = ChunkedDecoder()
    assert decoder.feed(b"2;a=b\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\nnext") == b"hi"
    assert decoder.finished
    assert decoder.rest == b"next"


@pytest.mark.parametrize(
    "broken",
    [
        b"x\r\n",
        b"-1\r\n",
        b"+2\r\nhi\r\n",
        b"0x2\r\nhi\r\n",
        b" 2\r\nhi\r\n",
        b"\r\n",
        b"2\r\nhigh\r\n",
        b"111111111\r\n",
        b"2\nhi\n",
        b"1" * (MAX_LINE_BYTES + 1),
        b"2;" + b"a" * MAX_LINE_BYTES,
        b"0\r\n" + b"X: 1\r\n" * MAX_TRAILER_BYTES,
    ],
)
def test_broken_bodies_are_refused(broken: bytes) -> None:
    decoder = ChunkedDecoder()
    with pytest.raises(ChunkError):
        decoder.feed(broken + b"\r\n")


def test_data_without_end_is_passed_on_and_not_kept() -> None:
    decoder = ChunkedDecoder()
    decoder.feed(b"ffffffff\r\n")
    for _ in range(100):
        assert decoder.feed(b"a" * 10_000) == b"a" * 10_000
        assert decoder.rest == b""
    assert not decoder.finished


def test_empty_data_does_not_end_a_body() -> None:
    assert encode_chunk(b"") == b""
