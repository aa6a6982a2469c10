"""An error that nobody foresaw gets its caller a true answer, and ends nothing else."""

from __future__ import annotations

from contextlib import nullcontext
from types import SimpleNamespace
from typing import Any

import pytest
import urllib3

from hawthornstage.actors.callers import CallerTask, StopSignal
from hawthornstage.actors.forwarded_calls import ForwardedCalls, ForwardPipe
from hawthornstage.actors.wsgi_calls import WsgiCalls
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.border.server_connection import ServerConnection
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.attempt import SERVER_FAILURE_KINDS
from hawthornstage.filters.attempt_reports import is_server_failure
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.filters.forward_relay import InternalError, ResponseRelay
from hawthornstage.filters.pipe import run_pipe
from hawthornstage.filters.reading_turns import ReadingPace
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import Delivery
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tests.connection_pair import (
    EVENTS,
    REQUEST,
    SOON,
    CallerPair,
    Observer,
    sealed,
)
from tests.delivery_world import (
    Deliver,
    ScriptedServer,
    read_all,
)
from tests.draws_world import Inbox
from tests.test_broken_answers import booking

ONCE, REPEATABLE = "/letters/x", "/letters/long/x"


class UnforeseenError(Exception):
    """An error that no code expects."""


def fail(*args: Any, **kwargs: Any) -> Any:
    """Raise the error, in place of any function."""
    raise UnforeseenError("as told")


@pytest.fixture
def call(pair: CallerPair) -> RawRequest:
    """Return a request that was read from the pair."""
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    received = pair.receive()
    assert isinstance(received, RawRequest)
    return received


# Guards against callers that were cut off after their request had been read.
@pytest.mark.parametrize(
    ("where", "kind"),
    [
        ((ServerConnection, "start"), ErrorKind.SERVERS_BUSY),
        ((ResponseRelay, "relay"), ErrorKind.SERVER_FAILED),
    ],
    ids=["before the send", "after the send"],
)
def test_error_at_a_server_says_what_is_known_of_the_run(
    where: tuple[type, str],
    kind: ErrorKind,
    deliver: Deliver,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(*where, fail)
    failure, delivery = deliver(ScriptedServer([sealed(EVENTS)]))
    assert isinstance(failure, Failure)
    assert failure.kind is kind
    assert delivery.may_have_run is (kind is ErrorKind.SERVER_FAILED)


@pytest.mark.parametrize("target", [ONCE, REPEATABLE])
def test_call_goes_on_after_an_error_before_its_send(
    target: str, deliver: Deliver, pair: CallerPair, monkeypatch: pytest.MonkeyPatch
) -> None:
    start, failed = ServerConnection.start, []

    def fail_once(*args: Any) -> None:
        if not failed:
            failed.append(args)
            fail()
        start(*args)

    monkeypatch.setattr(ServerConnection, "start", fail_once)
    servers = [ScriptedServer([None]), ScriptedServer([sealed(EVENTS)])]
    failure, delivery = deliver(*servers, target=target)
    assert failure is None
    assert delivery.attempts == 1
    assert EVENTS in read_all(pair).replace(b"\r\n", b"")


def test_stream_that_an_error_cut_is_not_sent_again(
    deliver: Deliver, pair: CallerPair, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ResponseRelay, "send_stream_end", fail)
    second = ScriptedServer([sealed(EVENTS)])
    failure, delivery = deliver(
        ScriptedServer([sealed(EVENTS)]), second, target=REPEATABLE
    )
    assert failure is None
    assert delivery.outcome.startswith("cut")
    assert not second.seen
    assert not read_all(pair).endswith(b"0\r\n\r\n")


def test_error_counts_against_the_server() -> None:
    assert is_server_failure(InternalError("as told", ExecutionState.NO))


@pytest.mark.parametrize(
    ("ran", "status"), [(ExecutionState.NO, b"503"), (ExecutionState.UNKNOWN, b"500")]
)
def test_error_in_the_pipe_gets_a_true_answer(
    ran: ExecutionState,
    status: bytes,
    pair: CallerPair,
    call: RawRequest,
    events: EventLog,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    unused: Any = None
    pipe = ForwardPipe(
        unused, (), unused, unused, LatestValue(True), Clock(), events, Metrics()
    )
    calls = ForwardedCalls(pipe, StopSignal())

    def fail_later(call: Any, caller: Any, delivery: Delivery) -> Any:
        delivery.ran = ran
        fail()

    monkeypatch.setattr(calls, "pass_through", fail_later)
    assert calls.answer(call, pair.connection, pace())
    answer = read_all(pair)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"x-request-id: r1" in answer.lower()
    assert f"x-ran: {ran.value}".encode() in answer.lower()
    logged = capsys.readouterr().out
    assert "call_error" in logged and "r1" in logged


def pace() -> ReadingPace:
    """Return the pace of a connection."""
    inbox: Any = Inbox()
    return ReadingPace(inbox, ManualClock(), 1, "a")


@pytest.mark.parametrize("error", [UnforeseenError, OSError])
def test_error_of_an_application_is_answered_with_the_id(
    error: type[Exception], pair: CallerPair, call: RawRequest
) -> None:
    def application(environ: Any, start: Any) -> Any:
        raise error("as told")

    assert not WsgiCalls(application).answer(call, pair.connection, pace())
    answer = read_all(pair)
    assert answer.startswith(b"HTTP/1.1 500")
    assert b"x-request-id: r1" in answer.lower()


def test_standalone_call_with_an_error_is_not_said_not_to_have_run(
    events: EventLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Dispatch, "send", fail)
    server: Any = SimpleNamespace(port=9)
    exchange = booking(server, b"{}")
    outcome = Dispatch(urllib3.PoolManager(), events).apply(exchange)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.INTERNAL
    assert outcome.kind in SERVER_FAILURE_KINDS
    assert exchange.progress.sent


def test_filters_are_undone_after_an_error_in_a_later_one() -> None:
    undone: list[Any] = []
    first: Any = SimpleNamespace(apply=lambda exchange: exchange, undo=undone.append)
    second: Any = SimpleNamespace(apply=fail, undo=fail)
    exchange: Any = object()
    with pytest.raises(UnforeseenError):
        run_pipe((first, second), exchange)
    assert undone == [exchange]


class FailingObserver(Observer):
    """Observes the reading of a request, and fails once it has a head."""

    note_head = fail


@pytest.mark.parametrize("sent", [b"", REQUEST + b"Content-Length: 4\r\n\r\nte"])
def test_request_that_an_error_kept_from_being_read_is_refused(
    sent: bytes, pair: CallerPair, events: EventLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    task: Any = CallerTask.__new__(CallerTask)
    task.caller, task.address = pair.connection, "a"
    memory: Any = SimpleNamespace(hold=lambda name: nullcontext())
    task.intake, task.number = SimpleNamespace(memory=memory), 1
    pair.caller.sendall(sent or b"")
    limits = ReadLimits(SOON if sent else 0.0, SOON, 10)

    def receive(memory: Any) -> Any:
        pair.connection.receive(pair.wake, lambda: limits, FailingObserver())
        fail()

    task.receive = receive
    assert not task.serve_next()
    assert read_all(pair).startswith(b"HTTP/1.1 503" if sent else b"")
    assert pair.connection.can_respond is not bool(sent)
