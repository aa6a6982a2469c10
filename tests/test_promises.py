"""No caller is told that a call has not run unless that is known."""

from __future__ import annotations

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
import urllib3

from hawthornstage.actors.documents import Applied
from hawthornstage.clock import ManualClock
from hawthornstage.decisions import claims
from hawthornstage.decisions.promises import PROMISING_STATUSES, failure_after
from hawthornstage.errors import ERROR_RESPONSES, ErrorKind, Failure, response_for
from hawthornstage.filters.claim import Claim
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.observe.events import EventLog
from tests.broken_server import BrokenServer
from tests.connection_pair import SEALED, CallerPair, sealed
from tests.delivery_world import (
    Deliver,
    ScriptedServer,
    read_all,
)
from tests.test_broken_answers import booking

BODY = b"failed"
PLAIN = b"Content-Length: 6\r\n\r\n" + BODY
# Ways to answer with a status, by what follows its headers.
SHAPES = {
    "sized": PLAIN,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
    "until the close": b"\r\n" + BODY,
    "with Retry-After": b"Retry-After: 1\r\n" + PLAIN,
}
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n"
ROUTES = {"once": "/letters/x", "repeatable": "/letters/long/x"}


def unmarked(status: int, rest: bytes) -> bytes:
    """Return a server's response that doesn't say whether the call has run."""
    return SEALED.replace(b"200 OK", b"%d Failed" % status) + rest


# Guards against review/15: a 503 of a server that had run a booking was passed on.
@pytest.mark.parametrize("target", ROUTES.values(), ids=ROUTES)
@pytest.mark.parametrize("hints", [b"", EARLY_HINTS], ids=["", "after a 103"])
@pytest.mark.parametrize("rest", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
def test_status_of_a_server_promises_nothing_by_itself(
    status: int,
    rest: bytes,
    hints: bytes,
    target: str,
    deliver: Deliver,
    pair: CallerPair,
) -> None:
    server = ScriptedServer([hints + unmarked(status, rest)])
    failure, delivery = deliver(server, target=target)
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.SERVER_FAILED
    assert delivery.may_have_run
    assert read_all(pair) == b""


@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
def test_call_that_may_not_run_twice_is_sent_once_after_such_a_status(
    status: int, deliver: Deliver, pair: CallerPair
) -> None:
    first = ScriptedServer([unmarked(status, PLAIN)])
    second = ScriptedServer([sealed(b"id: 1\ndata: a\n\n")])
    _, delivery = deliver(first, second, target=ROUTES["once"])
    assert (delivery.attempts, delivery.misdirected) == (1, 0)
    assert not second.seen


@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
def test_repeatable_call_goes_on_after_such_a_status(
    status: int, deliver: Deliver, pair: CallerPair
) -> None:
    first = ScriptedServer([unmarked(status, PLAIN)])
    second = ScriptedServer([sealed(b"id: 1\ndata: a\n\n")])
    failure, delivery = deliver(first, second, target=ROUTES["repeatable"])
    assert failure is None
    assert delivery.attempts == 2
    assert b"data: a" in read_all(pair)


@pytest.mark.parametrize("status", [404, 500, 504])
def test_status_that_promises_nothing_is_passed_on_as_it_is(
    status: int, deliver: Deliver, pair: CallerPair
) -> None:
    failure, _ = deliver(ScriptedServer([unmarked(status, PLAIN)]))
    assert failure is None
    answer = read_all(pair)
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert b"x-response-seal: s" in answer and answer.endswith(BODY)


def test_own_failures_promise_only_what_is_known() -> None:
    promising = [
        each for each in ERROR_RESPONSES.values() if each.status in PROMISING_STATUSES
    ]
    assert promising
    assert {each.ran for each in promising} == {ExecutionState.NO}


@pytest.fixture
def broken() -> Iterator[Any]:
    """Return a function that starts a server, ended with the test."""
    started: list[BrokenServer] = []

    def start(shape: str) -> BrokenServer:
        started.append(BrokenServer(shape))
        return started[-1]

    yield start
    for each in started:
        each.close()


@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
def test_standalone_router_takes_no_promise_from_a_server(
    status: int, broken: Any, events: EventLog
) -> None:
    exchange = booking(broken(str(status)), b"{}")
    outcome = Dispatch(urllib3.PoolManager(), events).apply(exchange)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.SERVER_FAILED
    assert exchange.progress.sent


@pytest.mark.parametrize("kind", ErrorKind)
@pytest.mark.parametrize("ran", ExecutionState)
def test_last_failure_of_a_call_speaks_for_all_its_attempts(
    kind: ErrorKind, ran: ExecutionState
) -> None:
    told = response_for(failure_after(Failure(kind), ran)).ran
    assert told is not ExecutionState.NO or ran is ExecutionState.NO


@pytest.mark.parametrize("status", sorted(PROMISING_STATUSES))
def test_stored_outcome_of_an_older_build_promises_nothing(
    status: int, broken: Any, events: EventLog
) -> None:
    documents: Any = SimpleNamespace(tell=lambda message: None)
    claim = Claim("r1", documents, 4, 1.0, ManualClock(), events)
    outcome = claims.Outcome(status, "text/plain", b"")
    reply = claim.handle_reply(
        booking(broken("200"), b"{}"),
        Applied("claims", claims.AlreadyClaimed(outcome)),
    )
    assert reply == Failure(ErrorKind.OUTCOME_UNKNOWN)
