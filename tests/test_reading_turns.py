"""Long requests are read in turns, and none holds a connection for ever."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import closing
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.reading_turns import ReadingTurnsTask
from hawthornstage.actors.timers import Timers
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.chunked_body import ChunkedDecoder, ChunkError
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.border.request_reader import (
    ConnectionClosed,
    IdleTimeout,
    RawRequest,
    RequestRecalled,
    RequestTimeout,
)
from hawthornstage.border.sockets import Interrupt
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.reading_turns import (
    FREE_S,
    MAX_REST_S,
    MAX_TURN_S,
    TURN_S,
    TurnOrder,
    head_cost_s,
    read_cost_s,
)
from hawthornstage.filters.reading_turns import ReadingPace
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.connection_memory import GiveWay
from hawthornstage.messages.reading_turns import Reader, ReadingEnded, TurnGranted
from hawthornstage.observe.events import EventLog
from tests.connection_pair import REQUEST, SOON, CallerPair, Observer

CHUNKED = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
# Time in which a request has to arrive in a test, in seconds.
SHORT_S = 0.3


class Inbox:
    """Stands for a task, and keeps what it is told."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def tell(self, message: Any) -> None:
        """Keep a message."""
        self.messages.append(message)


class PacedObserver(Observer):
    """Observes the reading of a request that takes real turns.

    Args:
        pace: How far the request may be read.
    """

    def __init__(self, pace: ReadingPace) -> None:
        super().__init__(memory_bytes=10_000_000)
        self.pace = pace

    def note_read(self, size: int, lines: int) -> None:
        self.pace.charge(read_cost_s(size, lines))

    @property
    def has_turn(self) -> bool:
        return self.pace.has_turn

    def may_read(self) -> bool:
        return self.pace.may_read()

    def request_turn(self, recipient: Interrupt) -> None:
        self.pace.request_turn(recipient)

    def begin_turn(self, granted: TurnGranted) -> None:
        self.pace.begin_turn(granted)

    def end_turn(self) -> None:
        self.pace.end_turn()


@pytest.fixture
def order() -> TurnOrder:
    """Return an order that knows nobody."""
    return TurnOrder()


def test_the_one_that_has_used_the_least_is_next(order: TurnOrder) -> None:
    for number, used_s in enumerate((0.5, 0.1, 0.3)):
        order.request(Reader(number, f"caller-{number}", used_s), 0.0, 1.0)
    assert order.next_turn(2.0) == 1
    assert order.next_turn(2.0) is None
    order.end_turn(Reader(1, "caller-1", 0.6), 2.0)
    assert order.next_turn(3.0) == 2
    order.end_reading(2, 3.0)
    assert order.next_turn(4.0) == 0


def test_many_connections_of_one_caller_count_as_one(order: TurnOrder) -> None:
    for number in range(20):
        order.request(Reader(number, "crowd", 0.1), 0.0, 1.0)
    order.request(Reader(20, "alone", 1.5), 0.0, 1.0)
    assert order.next_turn(2.0) == 20


def test_callers_are_forgotten_with_their_connections(order: TurnOrder) -> None:
    for number in range(3):
        order.request(Reader(number, f"caller-{number}", 0.1), 0.0, 1.0)
    for number in range(3):
        order.end_reading(number, 1.0)
    assert not order.known and not order.waiting and not order.used_by_caller
    assert order.next_turn(9.0) is None


def test_rest_is_as_long_as_the_turn_and_longer_if_it_began_late(
    order: TurnOrder,
) -> None:
    order.request(Reader(1, "a", 0.0), 0.0, 1.0)
    assert order.next_turn(1.0) == 1
    order.end_turn(Reader(1, "a", 0.004), 1.002)
    order.request(Reader(1, "a", 0.004), 0.0, 1.002)
    assert order.due_in_s(1.002) == pytest.approx(0.004)
    assert order.next_turn(1.005) is None
    # It is granted 10 ms late, as other threads had the processor.
    assert order.next_turn(1.016) == 1
    order.end_turn(Reader(1, "a", 0.008), 1.018)
    order.request(Reader(1, "a", 0.008), 0.0, 1.018)
    assert order.due_in_s(1.018) == pytest.approx(0.004 + 4 * 0.01)


def test_rest_is_as_long_as_the_turn_took_on_the_clock(order: TurnOrder) -> None:
    order.request(Reader(1, "a", 0.0), 0.0, 1.0)
    assert order.next_turn(1.0) == 1
    # It was reckoned with 2 ms and took 50.
    order.end_turn(Reader(1, "a", 0.002), 1.05)
    order.request(Reader(1, "a", 0.002), 0.0, 1.05)
    assert order.due_in_s(1.05) == pytest.approx(0.05)


def test_ordinary_requests_stay_within_their_free_part() -> None:
    assert read_cost_s(2_000, 20) + head_cost_s(18) < FREE_S / 4
    # A body of 256 KB with a length.
    assert 16 * read_cost_s(16_384, 0) + head_cost_s(10) < FREE_S


@pytest.mark.parametrize(
    "parts",
    [
        [b"1\r\nz\r\n" * 2_000],
        [b"z"] * 60,
        [b"1;" + b"e" * 4_000 + b"\r\nz\r\n"] * 60,
        [b"0\r\n" + b"a:b\r\n" * 3_000],
    ],
    ids=["tiny chunks", "bytes", "extensions", "trailers"],
)
def test_costly_requests_exceed_their_free_part(parts: list[bytes]) -> None:
    costs = [read_cost_s(len(each), each.count(b"\n")) for each in parts]
    assert sum(costs) > FREE_S


def test_what_is_used_outside_of_turns_is_rested_for(order: TurnOrder) -> None:
    order.request(Reader(1, "a", 9.0), 0.05, 1.0)
    assert order.due_in_s(1.0) == pytest.approx(0.05)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["request", "end", "leave", "wait"]),
            st.floats(0.0, 0.01),
        ),
        max_size=60,
    )
)
def test_one_reads_at_a_time_and_whoever_waits_gets_a_turn(
    steps: list[tuple[int, str, float]],
) -> None:
    order, now, used = TurnOrder(), 1.0, dict.fromkeys(range(6), 0.0)
    for number, action, spent_s in steps:
        now += spent_s
        reader = Reader(number, f"caller-{number % 2}", used[number])
        if action == "request" and order.running != number:
            order.request(reader, 0.0, now)
        if action == "end" and order.running is not None:
            used[order.running] += spent_s
            number = order.running
            order.end_turn(Reader(number, f"caller-{number % 2}", used[number]), now)
        if action == "leave":
            order.end_reading(number, now)
            used[number] = 0.0
        before = order.running
        granted = order.next_turn(now)
        assert granted is None or before is None
    for _ in range(6):
        if order.running is not None:
            order.end_reading(order.running, now)
        if order.waiting:
            now += MAX_REST_S
            assert order.next_turn(now) is not None
    assert not order.waiting


def test_request_is_read_freely_up_to_its_free_part() -> None:
    clock = ManualClock()
    inbox = Inbox()
    pace = ReadingPace(inbox, clock, 1, "a")
    pace.charge(FREE_S / 2)
    assert pace.may_read()
    pace.charge(FREE_S)
    assert not pace.may_read()
    pace.request_turn(Mailbox(clock))
    pace.begin_turn(TurnGranted(TURN_S, MAX_TURN_S))
    assert pace.has_turn and pace.may_read()
    clock.advance(MAX_TURN_S)
    assert not pace.may_read()
    pace.begin_turn(TurnGranted(TURN_S, MAX_TURN_S))
    assert pace.may_read()
    pace.charge(2 * TURN_S)
    assert not pace.may_read()
    pace.end_reading()
    assert not pace.has_turn
    assert inbox.messages[-1] == ReadingEnded(1)
    # What is told once is not told again with the next request.
    told_s = pace.used_s
    pace.charge(0.001)
    pace.request_turn(Mailbox(clock))
    assert inbox.messages[-1].outside_s == pytest.approx(pace.used_s - told_s)
    pace.end_reading()
    # The next one has no free part of its own unless the request was served.
    assert not pace.may_read()
    pace.reset()
    assert pace.may_read()


@pytest.fixture
def turns() -> Iterator[ReadingTurnsTask]:
    """Return the running task that gives turns."""
    timers = Timers(Clock())
    timers.start()
    events = EventLog("a", Clock())
    task = ReadingTurnsTask.start(timers, clock=Clock(), events=events)
    yield task
    task.stop()


def test_all_that_read_at_once_get_their_turns(turns: ReadingTurnsTask) -> None:
    done = threading.Semaphore(0)

    def read(number: int) -> None:
        pace, mailbox = ReadingPace(turns, Clock(), number, "a"), Mailbox(Clock())
        for _ in range(5):
            pace.request_turn(mailbox)
            granted = mailbox.get(timeout=SOON)
            assert granted is not None
            pace.begin_turn(granted)
        pace.end_reading()
        done.release()

    for number in range(16):
        threading.Thread(target=read, args=(number,), daemon=True).start()
    for _ in range(16):
        assert done.acquire(timeout=SOON)


@pytest.fixture
def paced(pair: CallerPair) -> CallerPair:
    """Return a caller of whose request each part is read in a turn."""
    pair.observer.paced = True
    return pair


def test_request_is_read_in_turns(paced: CallerPair) -> None:
    paced.caller.sendall(CHUNKED + b"1\r\nz\r\n" * 800 + b"0\r\n\r\n")
    received = paced.receive()
    assert isinstance(received, RawRequest)
    assert received.body == b"z" * 800
    assert paced.observer.turns


def test_request_that_came_with_the_one_before_needs_a_turn_too(
    pair: CallerPair,
) -> None:
    whole = REQUEST + b"Content-Length: 2\r\n\r\nhi"
    pair.caller.sendall(whole * 3)
    for _ in range(2):
        assert isinstance(pair.receive(), RawRequest)
        pair.connection.send_head(200, (("content-length", "0"),), close=False)
        pair.connection.send_end()
        assert pair.connection.prepare_next_request()
        assert not pair.connection.idle
        pair.observer.paced = True
    assert pair.observer.turns == 1
    pair.observer.grants = False
    assert isinstance(pair.receive(read_timeout_s=0.05), RequestTimeout)


def test_connection_that_waits_for_its_turn_gives_way(paced: CallerPair) -> None:
    paced.observer.grants = False
    paced.observer.interrupt.put(GiveWay())
    paced.caller.sendall(CHUNKED)
    assert isinstance(paced.receive(), IdleTimeout | RequestRecalled)


def test_caller_that_resets_ends_the_wait_for_a_turn(paced: CallerPair) -> None:
    paced.observer.grants = False
    paced.caller.sendall(CHUNKED)
    linger = struct.pack("ii", 1, 0)
    paced.caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    threading.Timer(0.05, paced.caller.close).start()
    assert isinstance(paced.receive(), ConnectionClosed)


def test_wait_for_a_turn_ends_with_the_time_of_the_request(paced: CallerPair) -> None:
    paced.observer.grants = False
    paced.caller.sendall(CHUNKED)
    received = paced.receive(first_byte_timeout_s=0.05)
    assert isinstance(received, IdleTimeout)


def test_byte_now_and_then_does_not_hold_a_connection_for_ever(
    pair: CallerPair,
) -> None:
    stop = threading.Event()

    def send_bytes() -> None:
        pair.caller.sendall(CHUNKED)
        while not stop.wait(SHORT_S / 10):
            try:
                pair.caller.sendall(b"1\r\nz\r\n")
            except OSError:
                return

    sender = threading.Thread(target=send_bytes, daemon=True)
    sender.start()
    limits = ReadLimits(SOON, SOON, 1_000_000, request_timeout_s=SHORT_S)
    received = pair.connection.receive(pair.wake, lambda: limits, pair.observer)
    stop.set()
    sender.join()
    assert isinstance(received, RequestTimeout)


def test_longest_body_in_one_byte_chunks_is_whole_in_calm(
    turns: ReadingTurnsTask,
) -> None:
    count = 200_000
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    observer = PacedObserver(ReadingPace(turns, Clock(), 1, "a"))
    wake, trigger = socket.socketpair()
    body = CHUNKED + b"1\r\nz\r\n" * count + b"0\r\n\r\n"
    sender = threading.Thread(target=near.sendall, args=(body,), daemon=True)
    with near, far, wake, trigger, closing(observer.interrupt):
        sender.start()
        connection = CallerConnection(far, Clock())
        limits = ReadLimits(SOON, SOON, 4 * 1024 * 1024)
        received = connection.receive(wake, lambda: limits, observer)
        observer.pace.end_reading()
    assert isinstance(received, RawRequest)
    assert received.body == b"z" * count


PIECES = st.sampled_from(
    [
        b"1\r\nz\r\n",
        b"2\r\n\r\n\r\n",
        b"A\r\n0123456789\r\n",
        b"a;b=c\r\n0123456789\r\n",
        b"0001 \r\nz\r\n",
        b"ff\r\n" + b"y" * 255 + b"\r\n",
        b"100\r\n" + b"x" * 256 + b"\r\n",
        b"0\r\n\r\n",
        b"0\r\nA: b\r\n\r\n",
        b"3\r\nzz\r\n",
        b"g\r\n",
        b"\r\n",
        b"1;" + b"e" * 4_200 + b"\r\nz\r\n",
    ]
)


def decode(pieces: list[bytes], *, refuse_small: bool) -> tuple[bytes, bool, bool]:
    """Return the body, whether it ended, and whether it was refused."""
    decoder = ChunkedDecoder(refuse_small=refuse_small)
    body = b""
    try:
        for each in pieces:
            body += decoder.feed(each)
    except ChunkError:
        return b"", False, True
    return body, decoder.finished, False


@given(st.lists(PIECES, max_size=12), st.booleans())
def test_body_is_the_same_at_once_and_byte_by_byte(
    pieces: list[bytes], refuse_small: bool
) -> None:
    data = b"".join(pieces)
    singly = [data[at : at + 1] for at in range(len(data))]
    at_once = decode([data], refuse_small=refuse_small)
    assert at_once == decode(singly, refuse_small=refuse_small)
