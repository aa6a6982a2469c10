"""Large bodies and responses share memory, in which small ones always find room."""

from __future__ import annotations

import threading
import tracemalloc
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.connection_limits import (
    CONNECTION_BYTES,
    PROCESS_BYTES,
    RESERVED_DESCRIPTORS,
    WaitingConnection,
    choose_to_close,
    derive_limits,
)
from hawthornstage.decisions.connection_memory import (
    FREE_BYTES,
    STEP_BYTES,
    Denied,
    Granted,
    MemoryAccount,
    MustWait,
    size_to_request,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.connection_memory import HeldMemory
from hawthornstage.filters.forward_relay import (
    MAX_BUFFERED_BYTES,
    Delivered,
    ResponseRelay,
)
from hawthornstage.messages.connection_memory import (
    MemoryDenied,
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)
from hawthornstage.messages.desired import CallerLimits
from hawthornstage.messages.execution import ExecutionState
from hawthornstage.messages.forward import (
    Delivery,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from hawthornstage.messages.host_settings import HostLimits
from tests.conftest import StartFleet
from tests.connection_pair import REQUEST, CallerPair, sealed
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
)
from tests.fleet_load import (
    SMALLEST_HOST_BYTES,
    call_at_once,
    peak_memory,
)
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, STREAM_PATH

# Memory that the connections of a test share, in bytes.
TOTAL_BYTES = 16 * 1024 * 1024
# Callers whose calls are read at the same time, as large as they may become.
LARGE_CALLERS = 100


def test_many_large_answers_at_once_stay_within_the_memory_of_a_small_host(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(routers=1, servers=0)
    fleet.add_stand_in("desk-faulty", "endless", "--port", "0")
    fleet.control("desk-faulty", "shape", {"shape": "length", "pause_s": 0.02})
    fleet.add_server("desk", "desk-faulty")
    fleet.add_server("models", "models-sound")
    for server in ("desk-faulty", "models-sound"):
        fleet.wait_seen("edge-1", server)
    wait_until(
        lambda: "server=models-sound" in fleet.read_log("edge-1"),
        description="edge-1 to know the sound server",
    )
    large = threading.Thread(
        target=call_at_once,
        args=(fleet, IDEMPOTENT_PATH, "o"),
        kwargs={"callers": LARGE_CALLERS},
    )
    large.start()
    while large.is_alive():
        answer = fleet.call("edge-1", STREAM_PATH, "s", tokens=(10, 5))
        assert (answer.status, answer.complete) == (200, True)
    assert fleet.control("desk-faulty", "shape", {})["calls"] >= LARGE_CALLERS // 2
    assert peak_memory(fleet, "edge-1") < SMALLEST_HOST_BYTES


@given(
    st.lists(
        st.tuples(
            st.integers(0, 20),
            st.integers(0, TOTAL_BYTES),
            st.sampled_from(["a", "b", None]),
            st.sampled_from(["request", "request", "complete", "release"]),
        )
    )
)
def test_connections_hold_no_more_than_the_account_and_leave_room(
    steps: list[tuple[int, int, str | None, str]],
) -> None:
    account = MemoryAccount(TOTAL_BYTES)
    for now, (number, size, caller, action) in enumerate(steps):
        holder = str(number)
        if action == "release":
            account.release(holder)
        if action == "complete":
            account.complete(holder)
        if action != "request":
            continue
        held = {k: v.size for k, v in account.holdings.items()}
        in_service = {k for k, v in account.holdings.items() if v.caller is None}
        decision = account.request(holder, size, now, caller=caller)
        total = sum(each.size for each in account.holdings.values())
        assert total <= TOTAL_BYTES
        match decision:
            case Granted():
                assert size <= TOTAL_BYTES - total
            case MustWait(holders):
                assert held == {k: v.size for k, v in account.holdings.items()}
                assert not in_service & set(holders)
            case Denied():
                assert held == {k: v.size for k, v in account.holdings.items()}


def test_stalled_body_of_the_caller_who_holds_the_most_gives_way() -> None:
    account = MemoryAccount(10)
    account.request("other", 2, 0.0, caller="b")
    account.request("stalled", 2, 1.0, caller="a")
    account.request("growing", 2, 2.0, caller="a")
    assert account.request("new", 3, 3.0, caller="c") == MustWait(("stalled",))
    # It has been asked, and gets no more.
    assert account.request("stalled", 3, 4.0, caller="a") == Denied()
    account.release("stalled")
    assert account.request("new", 3, 5.0, caller="c") == Granted()


def test_memory_of_calls_in_service_is_not_taken_back() -> None:
    account = MemoryAccount(10)
    account.request("body", 4, 0.0, caller="a")
    account.complete("body")
    account.request("response", 2, 0.0)
    assert account.request("new", 3, 1.0, caller="b") == Denied()


def test_small_bodies_and_responses_ask_for_no_memory() -> None:
    assert size_to_request(FREE_BYTES, 0) is None
    assert size_to_request(FREE_BYTES + 1, 0) == STEP_BYTES
    assert size_to_request(STEP_BYTES, STEP_BYTES) is None
    assert size_to_request(STEP_BYTES + 1, STEP_BYTES) == 2 * STEP_BYTES


@given(st.integers(100, 2_000), st.integers(500, 20_000))
def test_sum_of_what_connections_may_take_stays_within_the_host(
    memory_mb: int, descriptors: int
) -> None:
    host = HostLimits(memory_bytes=memory_mb * 1_000_000, descriptors=descriptors)
    limits = derive_limits(host)
    connections = limits.connections * CONNECTION_BYTES
    assert PROCESS_BYTES + connections + limits.pool_bytes <= host.memory_bytes
    assert 2 * limits.connections <= descriptors - RESERVED_DESCRIPTORS


def test_smallest_host_takes_the_largest_body_beside_another() -> None:
    account = MemoryAccount(derive_limits(HostLimits()).pool_bytes)
    body_bytes = CallerLimits().body_bytes
    assert account.request("first", body_bytes, 0.0, caller="a") == Granted()
    assert account.request("second", body_bytes, 0.0, caller="b") == Granted()


def test_connection_of_the_caller_with_the_most_gives_way() -> None:
    alone = WaitingConnection(1, "b", 0.0, idle=True)
    first = WaitingConnection(2, "a", 1.0, idle=False)
    second = WaitingConnection(3, "a", 2.0, idle=False)
    idle = WaitingConnection(4, "a", 3.0, idle=True)
    assert choose_to_close([alone, first, second, idle]) == 4
    assert choose_to_close([alone, first, second]) == 2
    assert choose_to_close([alone, second]) == 1
    assert choose_to_close([]) is None


def test_large_response_without_memory_is_given_up_and_gives_it_back(
    pair: CallerPair,
) -> None:
    class Denying(Tasks):
        """Tasks that deny the second request for memory."""

        def tell(self, message: Any) -> None:
            match message:
                case Ask(message=RequestMemory(), reply_to=reply_to):
                    denied = any(is_memory_request(each) for each in self.told)
                    self.told.append(message)
                    reply_to.put(MemoryDenied() if denied else MemoryGranted())
                case _:
                    super().tell(message)

    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    pair.receive()
    server = ScriptedServer([sealed(b"z" * (FREE_BYTES + 2 * STEP_BYTES))])
    tasks: Any = Denying([server.start()])
    forwarder = make_forwarder(tasks, ManualClock(start=10.0))
    delivery = Delivery()
    failure = forwarder.deliver(exchange_for("/letters/x"), pair.connection, delivery)
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.SERVER_FAILED
    assert tasks.told.count(ReleaseMemory("r1#0")) == 1


class PartByPart:
    """Stands for a connection to a server, and for the caller that its answer is for.

    Args:
        parts: Number of parts of the answer, of `STEP_BYTES` each.
    """

    def __init__(self, parts: int) -> None:
        self.caller = self
        self.parts = parts
        self.held_bytes = 0

    def next_event(self, deadline: float) -> ResponseData | ResponseEnd:
        """Return the next part."""
        if not self.parts:
            return ResponseEnd(closed=False)
        self.parts -= 1
        return ResponseData(bytes(STEP_BYTES))

    def send_head(self, *args: Any, **options: Any) -> None:
        """Take the head."""

    def send_data(self, data: bytes) -> None:
        """Note how much memory is taken while the body is sent."""
        self.held_bytes, _ = tracemalloc.get_traced_memory()

    def send_end(self) -> None:
        """Take the end."""


def test_response_is_held_once_while_it_is_sent() -> None:
    parts = 8
    connection: Any = PartByPart(parts)
    memory: Any = HeldMemory(Tasks([]), ManualClock(), "r", size=MAX_BUFFERED_BYTES)
    exchange = exchange_for("/letters/x")
    relay = ResponseRelay(exchange, connection, Delivery(), False, memory, lambda: None)
    head = ResponseHead(
        404,
        (),
        "",
        sealed=False,
        ran=ExecutionState.UNKNOWN,
        misdirected=False,
        content_encoded=False,
    )
    tracemalloc.start()
    outcome = relay.relay_buffered(head)
    tracemalloc.stop()
    assert outcome == Delivered(404)
    assert connection.held_bytes < 1.5 * parts * STEP_BYTES


def is_memory_request(message: Any) -> bool:
    """Whether a message asks for memory."""
    return isinstance(message, Ask) and isinstance(message.message, RequestMemory)
