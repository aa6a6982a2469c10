"""Callers' requests are read strictly."""

from __future__ import annotations

import pytest

from hawthornstage.border.request_reader import (
    ConnectionClosed,
    IdleTimeout,
    MalformedRequest,
    RawRequest,
    RequestRecalled,
    RequestTimeout,
)
from tests.connection_pair import (
    REQUEST,
    CallerPair,
)


def test_request_with_a_length_and_one_in_chunks(pair: CallerPair) -> None:
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\nabcd")
    first = pair.receive()
    assert isinstance(first, RawRequest)
    assert (first.method, first.target, first.body) == ("POST", "/letters/x", b"abcd")
    pair.connection.send_head(200, (("content-length", "0"),), close=False)
    pair.connection.send_end()
    assert pair.connection.prepare_next_request()
    chunked = b"Transfer-Encoding: chunked\r\n\r\n2\r\nef\r\n0\r\n\r\n"
    pair.caller.sendall(REQUEST + chunked)
    second = pair.receive()
    assert isinstance(second, RawRequest)
    assert second.body == b"ef"


@pytest.mark.parametrize(
    "data",
    [
        b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        b"Transfer-Encoding: xchunked\r\n\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: -1\r\n\r\n",
        b"Bad Header : 1\r\n\r\n",
        b"X: " + b"a" * 5_000,
    ],
    ids=["two lengths", "unknown coding", "two codings", "negative", "space", "large"],
)
def test_ambiguous_requests_are_refused(pair: CallerPair, data: bytes) -> None:
    pair.caller.sendall(REQUEST + data)
    assert isinstance(pair.receive(), MalformedRequest)


def test_request_hidden_in_a_body_stays_a_body(pair: CallerPair) -> None:
    hidden = b"GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n"
    length = str(len(hidden)).encode()
    pair.caller.sendall(REQUEST + b"Content-Length: " + length + b"\r\n\r\n" + hidden)
    received = pair.receive()
    assert isinstance(received, RawRequest)
    assert received.body == hidden
    assert pair.connection.idle


def test_too_large_a_body_is_refused(pair: CallerPair) -> None:
    pair.caller.sendall(REQUEST + b"Content-Length: 2000\r\n\r\n" + b"a" * 2_000)
    received = pair.receive()
    assert isinstance(received, MalformedRequest)
    assert received.status == 413


def test_very_many_headers_take_memory_like_a_body(pair: CallerPair) -> None:
    many = b"".join(b"a%d:b\r\n" % number for number in range(300))
    pair.observer.memory_bytes = 100_000
    pair.caller.sendall(REQUEST + many + b"\r\n")
    assert isinstance(pair.receive(), RequestRecalled)


def test_usual_headers_take_none(pair: CallerPair) -> None:
    usual = b"".join(b"a%d:b\r\n" % number for number in range(20))
    pair.observer.memory_bytes = 0
    pair.caller.sendall(REQUEST + usual + b"\r\n")
    assert isinstance(pair.receive(), RawRequest)


def test_slow_idle_and_closed_connections_are_told_apart(pair: CallerPair) -> None:
    assert isinstance(pair.receive(first_byte_timeout_s=0.01), IdleTimeout)
    pair.caller.sendall(b"POST /let")
    assert isinstance(pair.receive(read_timeout_s=0.01), RequestTimeout)


def test_closed_connection_is_noticed(pair: CallerPair) -> None:
    pair.caller.close()
    assert isinstance(pair.receive(), ConnectionClosed)


def test_idle_connection_ends_when_the_router_stops(pair: CallerPair) -> None:
    pair.trigger.close()
    assert isinstance(pair.receive(), IdleTimeout)
