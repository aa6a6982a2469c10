"""The standalone router's application gets whole requests and sends whole answers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from hawthornstage.actors.wsgi_calls import SEND_BYTES, Application, WsgiCalls
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.border.wsgi import StartResponse, make_environ
from hawthornstage.clock import ManualClock
from hawthornstage.filters.reading_turns import ReadingPace
from tests.connection_pair import REQUEST, CallerPair
from tests.draws_world import Inbox


class Body:
    """A response body that notes its end.

    Args:
        parts: The parts.
    """

    def __init__(self, *parts: bytes) -> None:
        self.parts = parts
        self.closed = False

    def __iter__(self) -> Iterable[bytes]:
        yield from self.parts

    def close(self) -> None:
        """Note that the server has ended with it."""
        self.closed = True


def application(body: Any, status: str = "200 OK", *headers: Any) -> Application:
    """Return an application with one response."""

    def respond(environ: dict[str, Any], start: StartResponse) -> Any:
        start(status, list(headers))
        return body

    return respond


def answer(pair: CallerPair, served: Application, request: bytes) -> tuple[bool, bytes]:
    """Have a request answered; return whether another may follow, and what came."""
    pair.caller.sendall(request)
    raw = pair.receive()
    assert isinstance(raw, RawRequest)
    pace = ReadingPace(Inbox(), ManualClock(), 1, "a")  # type: ignore[arg-type]
    goes_on = WsgiCalls(served).answer(raw, pair.connection, pace)
    pair.connection.socket.shutdown(1)
    return goes_on, b"".join(iter(lambda: pair.caller.recv(65_536), b""))


def test_stream_is_sent_in_chunks_and_its_body_is_closed(pair: CallerPair) -> None:
    body = Body(b"one", b"", b"two")
    goes_on, sent = answer(pair, application(body), REQUEST + b"\r\n")
    head, _, rest = sent.partition(b"\r\n\r\n")
    assert goes_on and body.closed
    assert b"transfer-encoding: chunked" in head.lower()
    assert rest == b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"


def test_large_response_with_a_length_arrives_whole(pair: CallerPair) -> None:
    data = b"z" * (3 * SEND_BYTES + 1)
    length = ("Content-Length", str(len(data)))
    served = application([data], "201 Created", length)
    goes_on, sent = answer(pair, served, REQUEST + b"\r\n")
    assert goes_on
    assert sent.startswith(b"HTTP/1.1 201")
    assert sent.endswith(b"\r\n\r\n" + data)


def test_head_gets_no_body(pair: CallerPair) -> None:
    request = (REQUEST + b"\r\n").replace(b"POST", b"HEAD")
    served = application([b"abc"], "200 OK", ("Content-Length", "3"))
    goes_on, sent = answer(pair, served, request)
    assert goes_on
    assert sent.endswith(b"\r\n\r\n")


def test_application_that_fails_is_answered_and_the_connection_closes(
    pair: CallerPair,
) -> None:
    def fail(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        raise ValueError("as told")

    goes_on, sent = answer(pair, fail, REQUEST + b"\r\n")
    assert not goes_on
    assert sent.startswith(b"HTTP/1.1 500")
    assert b"connection: close" in sent.lower()


def test_response_that_breaks_off_is_not_ended(pair: CallerPair) -> None:
    def break_off() -> Iterable[bytes]:
        yield b"one"
        raise ValueError("as told")

    goes_on, sent = answer(pair, application(break_off()), REQUEST + b"\r\n")
    assert not goes_on
    assert sent.endswith(b"3\r\none\r\n")


@pytest.mark.parametrize(
    ("target", "path", "query"),
    [
        ("/v1/a%20b?x=%20", "/v1/a b", "x=%20"),
        ("/a%2Fb%2fc", "/a%2Fb%2Fc", ""),
        ("http://h/a?b", "/a", "b"),
        ("http://[", "/", ""),
        ("//h/a", "//h/a", ""),
        ("*", "/", ""),
        ("/%e9", "/\u00e9", ""),
    ],
)
def test_target_is_split_and_decoded(target: str, path: str, query: str) -> None:
    environ = make_environ(RawRequest("GET", target, (), b"", 0.0))
    assert (environ["PATH_INFO"], environ["QUERY_STRING"]) == (path, query)


def test_body_has_a_length_however_it_was_sent() -> None:
    headers = (
        ("transfer-encoding", "chunked"),
        ("content-type", "text/plain"),
        ("x-purpose", "a"),
        ("x-purpose", "b"),
    )
    environ = make_environ(RawRequest("POST", "/", headers, b"abc", 0.0))
    assert environ["CONTENT_LENGTH"] == "3"
    assert environ["wsgi.input"].read() == b"abc"
    assert environ["CONTENT_TYPE"] == "text/plain"
    assert environ["HTTP_X_PURPOSE"] == "a, b"
    assert "HTTP_TRANSFER_ENCODING" not in environ
