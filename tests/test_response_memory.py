"""Large responses share a quota of memory, in which small ones always find room."""

from __future__ import annotations

import threading
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.response_memory import (
    FREE_BYTES,
    MAX_TOTAL_BYTES,
    STEP_BYTES,
    MemoryQuota,
    size_to_request,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.response_memory import (
    MemoryDenied,
    MemoryGranted,
    ReleaseMemory,
    RequestMemory,
)
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
        st.tuples(st.integers(0, 40), st.integers(0, MAX_TOTAL_BYTES), st.booleans())
    )
)
def test_responses_hold_no_more_than_the_quota_and_leave_room(
    steps: list[tuple[int, int, bool]],
) -> None:
    quota = MemoryQuota()
    for holder, size, released in steps:
        if released:
            quota.release(str(holder))
        held = dict(quota.held)
        granted = quota.request(str(holder), size)
        assert granted or quota.held == held
        total = sum(quota.held.values())
        assert total <= MAX_TOTAL_BYTES
        if granted:
            assert size <= MAX_TOTAL_BYTES - total


def test_small_responses_ask_for_no_memory() -> None:
    assert size_to_request(FREE_BYTES, 0) is None
    assert size_to_request(FREE_BYTES + 1, 0) == FREE_BYTES + STEP_BYTES
    assert size_to_request(FREE_BYTES + STEP_BYTES, FREE_BYTES + STEP_BYTES) is None


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


def is_memory_request(message: Any) -> bool:
    """Whether a message asks for memory."""
    return isinstance(message, Ask) and isinstance(message.message, RequestMemory)
