"""Calls pass, wait or are refused by what is published, and refusals are true."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

import pytest

from hawthornstage.actors.admission import CHECK_INTERVAL_S, AdmissionTask
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.actors.task import Ask
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.clock import Clock, ManualClock
from hawthornstage.decisions.admission import SHORTAGE_TTL_S
from hawthornstage.errors import ErrorKind, ExecutionState, Failure, response_for
from hawthornstage.filters.admit import AdmitCall
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.admission import (
    AdmissionPolicy,
    CallArrived,
    CallClass,
    CheckOverload,
    ReleaseWaiting,
    RequestRoom,
    RoomDenied,
    RoomGranted,
    SendAccepted,
    SendRefused,
)
from hawthornstage.messages.forward import Delivery
from hawthornstage.messages.server_selection import NoServerAvailable, RequestServer
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from tests.connection_pair import REQUEST, CallerPair, sealed
from tests.delivery_world import (
    ScriptedServer,
    Tasks,
    exchange_for,
    make_forwarder,
)

REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class AdmissionStub:
    """Stands for the admission task: replies to requests for room in turn."""

    def __init__(self, *replies: Any) -> None:
        self.replies = list(replies)
        self.told: list[Any] = []

    def tell(self, message: Any) -> None:
        """Note a message, and reply if it asks and a reply is left."""
        asked = isinstance(message, Ask)
        self.told.append(message.message if asked else message)
        if asked and self.replies:
            message.reply_to.put(self.replies.pop(0))


def admit_with(task: Any, policy: AdmissionPolicy, clock: Clock) -> AdmitCall:
    """Return the filter under a policy."""
    return AdmitCall(task, LatestValue(policy), clock, Metrics())


def test_in_calm_a_call_passes_without_a_message() -> None:
    task = AdmissionStub()
    exchange = exchange_for("/letters/x")
    admit = admit_with(task, AdmissionPolicy(), ManualClock(start=10.0))
    assert admit.apply(exchange) is exchange
    admit.note_accepted(exchange)
    assert task.told == []


def test_shortage_of_another_service_delays_nothing() -> None:
    task = AdmissionStub()
    exchange = exchange_for("/letters/x")
    policy = AdmissionPolicy(short_services=frozenset({"elsewhere"}))
    admit = admit_with(task, policy, ManualClock(start=10.0))
    assert admit.apply(exchange) is exchange
    assert task.told == []


def test_an_overloaded_router_refuses_without_asking_its_task() -> None:
    task = AdmissionStub()
    exchange = exchange_for("/letters/x")
    call_class = CallClass(exchange.priority, exchange.route.latency_objective_s)
    policy = AdmissionPolicy(0.1, {call_class: 0.0})
    admit = admit_with(task, policy, ManualClock(start=10.0))
    outcomes = [
        admit.apply(replace(exchange, call=replace(exchange.call, id=f"c{n}")))
        for n in range(100)
    ]
    refused = [each for each in outcomes if isinstance(each, Failure)]
    assert 80 <= len(refused) < 100, "a part of each class passes"
    assert {type(each) for each in task.told} == {CallArrived}
    response = response_for(refused[0])
    assert (response.status, response.ran) == (503, ExecutionState.NO)
    assert len({response_for(each).retry_after for each in refused}) > 50


SHORT = AdmissionPolicy(short_services=frozenset({"models"}))


def test_a_call_waits_for_its_turn_at_a_service_that_lacks_room() -> None:
    task = AdmissionStub(RoomGranted())
    exchange = exchange_for("/letters/x")
    admit = admit_with(task, SHORT, ManualClock(start=10.0))
    assert not isinstance(admit.apply(exchange), Failure)
    (request,) = task.told
    assert isinstance(request, RequestRoom)
    assert request.deadline == exchange.deadline


def test_a_denied_call_is_refused_with_the_time_to_return() -> None:
    task = AdmissionStub(RoomDenied("full", 0.7))
    admit = admit_with(task, SHORT, ManualClock(start=10.0))
    refused = admit.apply(exchange_for("/letters/x"))
    assert isinstance(refused, Failure)
    response = response_for(refused)
    assert (response.status, response.ran, response.retry_after) == (
        503,
        ExecutionState.NO,
        0.7,
    )


def test_without_a_reply_of_the_task_a_call_goes_on() -> None:
    # The call arrived so long ago that it waits no more.
    exchange = exchange_for("/letters/x", arrived=0.0)
    admit = admit_with(AdmissionStub(), SHORT, ManualClock(start=10.0))
    assert not isinstance(admit.apply(exchange), Failure)


def send_to(
    pair: CallerPair, tasks: Any, target: str, waited_s: float = 0.0
) -> tuple[Failure | None, Delivery]:
    """Forward one call."""
    forwarder = make_forwarder(tasks, ManualClock(start=10.0))
    delivery = Delivery()
    exchange = replace(exchange_for(target), waited_s=waited_s)
    return forwarder.deliver(exchange, pair.connection, delivery), delivery


def test_a_caller_that_left_while_it_waited_is_not_sent(pair: CallerPair) -> None:
    server = ScriptedServer([sealed(b"")])
    tasks = Tasks([server.start()])
    pair.caller.close()
    failure, delivery = send_to(pair, tasks, "/letters/x", waited_s=1.0)
    assert failure is None
    assert (delivery.outcome, delivery.attempts) == ("caller_left", 0)
    assert server.seen == []


def test_a_caller_that_is_there_after_its_wait_is_served(pair: CallerPair) -> None:
    server = ScriptedServer([sealed(b"")])
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    assert isinstance(pair.receive(), RawRequest)
    failure, delivery = send_to(
        pair, Tasks([server.start()]), "/letters/x", waited_s=1.0
    )
    assert failure is None
    assert (delivery.outcome, delivery.attempts) == ("answered", 1)


def test_a_call_that_may_run_twice_waits_after_a_full_server(
    pair: CallerPair,
) -> None:
    full = ScriptedServer([REFUSAL])
    tasks = Tasks([full.start()])
    tasks.room = RoomDenied("full", 0.7)
    failure, delivery = send_to(pair, tasks, "/letters/long/x")
    assert failure is not None
    assert (failure.kind, failure.retry_after_s) == (ErrorKind.SERVERS_BUSY, 0.7)
    assert delivery.attempts == 1
    assert SendRefused("models") in tasks.told


def test_a_call_that_must_not_run_twice_waits_before_its_first_send_only(
    pair: CallerPair,
) -> None:
    full = ScriptedServer([REFUSAL])
    tasks = Tasks([full.start()])
    send_to(pair, tasks, "/letters/x")
    asked = [each.message for each in tasks.told if isinstance(each, Ask)]
    assert not any(isinstance(each, RequestRoom) for each in asked)


def test_a_call_waits_while_the_router_has_its_limit_on_all_servers(
    pair: CallerPair,
) -> None:
    class AtLimit(Tasks):
        def tell(self, message: Any) -> None:
            if isinstance(message, Ask) and not isinstance(
                message.message, RequestRoom
            ):
                message.reply_to.put(NoServerAvailable("limit", at_limit=True))
                self.room = RoomDenied("later", 0.3)
                return
            super().tell(message)

    failure, delivery = send_to(pair, AtLimit([]), "/letters/x")
    assert failure is not None
    assert (failure.detail, failure.retry_after_s) == ("later", 0.3)
    assert delivery.attempts == 0


def test_a_call_without_time_to_wait_is_refused_while_the_router_is_at_its_limit(
    pair: CallerPair,
) -> None:
    class AtLimitOnce(Tasks):
        """Tasks that have no room at first; a second question would be a spin."""

        def tell(self, message: Any) -> None:
            if isinstance(message, Ask):
                self.told.append(message)
                at_limit = len(self.told) == 1
                message.reply_to.put(NoServerAvailable("limit", at_limit=at_limit))

    tasks = AtLimitOnce([])
    forwarder = make_forwarder(tasks, ManualClock(start=10.0))
    exchange = exchange_for("/letters/x", arrived=0.0)
    delivery = Delivery()
    failure = forwarder.deliver(exchange, pair.connection, delivery)
    assert failure is not None
    assert failure.kind is ErrorKind.SERVERS_BUSY
    assert len(tasks.told) == 1


def room_requests(tasks: Tasks) -> list[RequestRoom]:
    """Return the requests for room that the tasks got."""
    asked = [each.message for each in tasks.told if isinstance(each, Ask)]
    return [each for each in asked if isinstance(each, RequestRoom)]


def test_a_refused_call_goes_to_a_free_server_without_a_wait(pair: CallerPair) -> None:
    full, free = ScriptedServer([REFUSAL]), ScriptedServer([sealed(b"")])
    tasks = Tasks([full.start(), free.start()])
    tasks.room = RoomDenied("full", 0.7)
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    assert isinstance(pair.receive(), RawRequest)
    failure, delivery = send_to(pair, tasks, "/letters/long/x")
    assert failure is None
    assert (delivery.outcome, delivery.attempts) == ("answered", 2)
    assert room_requests(tasks) == []


def test_after_its_wait_a_call_may_go_to_a_server_that_was_full(
    pair: CallerPair,
) -> None:
    class OneServer(Tasks):
        """Tasks with one server, which a call gets unless it is excluded."""

        def tell(self, message: Any) -> None:
            request = getattr(message, "message", None)
            if isinstance(request, RequestServer) and not request.excluded:
                self.addresses = [address]
            super().tell(message)

    server = ScriptedServer([REFUSAL, sealed(b"")])
    address = server.start()
    tasks = OneServer([address])
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    assert isinstance(pair.receive(), RawRequest)
    failure, delivery = send_to(pair, tasks, "/letters/long/x")
    assert failure is None
    assert (delivery.outcome, delivery.attempts) == ("answered", 2)
    assert len(room_requests(tasks)) == 1


def test_no_call_waits_for_a_server_that_wants_none_for_some_time(
    pair: CallerPair,
) -> None:
    closed = REFUSAL.replace(b"Content", b"Retry-After: 5\r\nContent")
    tasks = Tasks([ScriptedServer([closed]).start()])
    failure, delivery = send_to(pair, tasks, "/letters/long/x")
    assert failure is not None
    assert (failure.kind, delivery.attempts) == (ErrorKind.SERVERS_BUSY, 1)
    assert room_requests(tasks) == []


class TimersStub:
    """Notes what is scheduled."""

    def __init__(self) -> None:
        self.scheduled: list[tuple[float, Any]] = []

    def after(self, delay: float, task: Any, message: Any) -> None:
        """Note a message."""
        self.scheduled.append((delay, message))


@dataclass
class AdmissionWorld:
    """The admission task, driven message by message, and what it published."""

    task: AdmissionTask
    clock: ManualClock
    timers: TimersStub
    policy: LatestValue[AdmissionPolicy]
    ready: LatestValue[bool]

    def check(self, late_s: float) -> None:
        """Run a check that is late by some seconds."""
        self.clock.now = self.task.check_due_at + late_s
        self.task.handle(CheckOverload())


@pytest.fixture
def world() -> AdmissionWorld:
    """Return a task of one of many routers."""
    clock = ManualClock(start=10.0)
    timers: Any = TimersStub()
    policy, ready = LatestValue(AdmissionPolicy()), LatestValue(True)
    task = AdmissionTask(
        policy,
        ready,
        start_delays=StartDelays(),
        desired=LatestValue(None),
        routers=LatestValue(69),
        timers=timers,
        metrics=Metrics(),
        clock=clock,
        events=EventLog("a", clock),
    )
    task.schedule_check()
    return AdmissionWorld(task, clock, timers, policy, ready)


def request_for(number: int, deadline: float) -> RequestRoom:
    """Return a request for room."""
    return RequestRoom(f"c{number}", "app", 1, "w", deadline, 0.1)


def test_a_refusal_makes_a_service_short_until_it_is_taken_again(
    world: AdmissionWorld,
) -> None:
    world.task.handle(SendRefused("app"))
    assert world.policy.value.short_services == {"app"}
    for _ in range(int(SHORTAGE_TTL_S / CHECK_INTERVAL_S) + 1):
        world.check(0.0)
    assert world.policy.value == AdmissionPolicy()


def test_every_waiting_call_gets_one_reply(world: AdmissionWorld) -> None:
    replies: list[list[Any]] = [[] for _ in range(30)]
    world.task.handle(SendRefused("app"))
    for number, inbox in enumerate(replies):
        request = request_for(number, 10.0 + 0.02 * number)
        world.task.handle(Ask(request, ReplyCallback(inbox.append)))
    for _ in range(200):
        world.clock.now += 0.01
        world.task.handle(ReleaseWaiting("app"))
    assert {len(each) for each in replies} == {1}
    assert {type(each[0]) for each in replies} == {RoomGranted, RoomDenied}
    assert world.task.replies == {}


def test_releases_are_scheduled_once(world: AdmissionWorld) -> None:
    world.task.handle(SendRefused("app"))
    for number in range(5):
        world.task.handle(Ask(request_for(number, 30.0)))
    releases = [m for _, m in world.timers.scheduled if m == ReleaseWaiting("app")]
    assert len(releases) == 1


def test_late_checks_lower_the_level_and_punctual_ones_raise_it(
    world: AdmissionWorld,
) -> None:
    # Calls are shed only once the router takes no new connections.
    for _ in range(6):
        world.check(1.0)
    assert not world.ready.value
    assert world.policy.value.level < 0.5
    for _ in range(12):
        world.check(0.0)
    assert world.policy.value == AdmissionPolicy()


def test_lasting_overload_turns_new_connections_away_for_a_time(
    world: AdmissionWorld,
) -> None:
    seen = []
    for _ in range(int(20 / CHECK_INTERVAL_S)):
        world.check(0.5)
        seen.append(world.ready.value)
    assert seen[0] and not all(seen) and seen[-1]


def test_sends_of_services_with_room_change_nothing(world: AdmissionWorld) -> None:
    world.task.handle(SendAccepted("app"))
    assert world.policy.value == AdmissionPolicy()
    assert world.task.rooms == {}
