"""Who is served, delayed and refused when a service lacks room."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest

from hawthornstage.decisions.admission import (
    MAX_INTERVAL_S,
    MAX_WAITING,
    RETURN_SPREAD_S,
    SHORTAGE_TTL_S,
    Answer,
    ServiceRoom,
)
from hawthornstage.messages.admission import RequestRoom, RoomDenied, RoomGranted

# Latest time at which a refused caller may hear of it, in seconds: a refusal that comes
# later could as well have been an answer.
AT_ONCE_S = 0.05


@dataclass(frozen=True)
class Arrival:
    """A call that arrives at a time, in seconds."""

    at: float
    request: RequestRoom


@dataclass
class Played:
    """What became of the calls of a load.

    Args:
        served: Time at which each call was sent and taken, by id.
        refused: Time at which each call was refused, by id.
        retry_after: Time after which it may return, by id.
    """

    served: dict[str, float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    retry_after: dict[str, float] = field(default_factory=dict)

    def share(self, calls: Iterable[Arrival]) -> float:
        """Return the share of some calls that was served."""
        ids = [each.request.call_id for each in calls]
        return sum(each in self.served for each in ids) / len(ids)


@dataclass
class Slots:
    """Slots of a service that take calls or refuse them, without a queue."""

    count: int
    busy_until: list[float] = field(default_factory=list)

    def take(self, work_s: float, now: float) -> bool:
        """Run a call if a slot is free."""
        self.busy_until = [each for each in self.busy_until if each > now]
        if len(self.busy_until) >= self.count:
            return False
        self.busy_until.append(now + work_s)
        return True


def call(
    number: int,
    at: float,
    *,
    priority: int = 1,
    workspace: str = "",
    time_limit_s: float = 3.0,
    work_s: float = 0.1,
) -> Arrival:
    """Return a call for the service."""
    deadline = at + time_limit_s
    name = workspace or f"workspace-{number}"
    request = RequestRoom(f"c{number}", "app", priority, name, deadline, work_s)
    return Arrival(at, request)


@pytest.fixture
def play() -> Callable[..., Played]:
    """Return what plays calls against a service whose room is known from refusals."""

    def run(arrivals: list[Arrival], slots: Slots, room: ServiceRoom) -> Played:
        played = Played()
        ids = Counter(each.request.call_id for each in arrivals)
        assert max(ids.values()) == 1
        queue = [(each.at, place, each.request) for place, each in enumerate(arrivals)]
        heapq.heapify(queue)
        numbers = iter(range(len(arrivals), 1_000_000))

        def settle(answers: list[Answer], now: float) -> None:
            for answer in answers:
                request = answer.request
                match answer.reply:
                    case RoomDenied(_, retry_after_s):
                        played.refused[request.call_id] = now
                        played.retry_after[request.call_id] = retry_after_s
                    case RoomGranted():
                        send(request, now)

        def send(request: RequestRoom, now: float) -> None:
            assert now <= request.latest_start
            if slots.take(request.work_s, now):
                room.record_accepted()
                played.served[request.call_id] = now
                return
            room.record_refused(now)
            heapq.heappush(queue, (now, next(numbers), request))

        now = 0.0
        while queue or room.waiting:
            due = room.due_in_s(now)
            next_at = queue[0][0] if queue else float("inf")
            release_at = now + due if due is not None else float("inf")
            now = min(next_at, release_at)
            if next_at <= release_at:
                _, _, request = heapq.heappop(queue)
                if room.is_short(now):
                    settle(room.request(request, now), now)
                else:
                    send(request, now)
            settle(room.release(now), now)
            settle(room.deny_hopeless(now), now)
        return played

    return run


def burst(count: int, priorities: tuple[int, ...]) -> list[Arrival]:
    """Return calls that arrive within a fifth of a second."""
    return [
        call(n, n * 0.2 / count, priority=priorities[n % len(priorities)])
        for n in range(count)
    ]


def test_a_burst_that_fits_into_the_time_limit_is_delayed_and_not_refused(
    play: Callable[..., Played],
) -> None:
    # Four slots run 40 calls a second; 40 calls come in a fifth of a second.
    arrivals = burst(40, (1,))
    assert play(arrivals, Slots(4), ServiceRoom()).share(arrivals) == 1.0


def test_a_burst_beyond_the_room_is_served_by_priority(
    play: Callable[..., Played],
) -> None:
    # Two slots run 20 calls a second and 60 within the time limit, of 120.
    arrivals = burst(120, (0, 2, 2))
    played = play(arrivals, Slots(2), ServiceRoom())
    urgent = [each for each in arrivals if each.request.priority == 0]
    others = [each for each in arrivals if each.request.priority == 2]
    assert played.share(urgent) > 0.9
    assert 0.0 < played.share(others) < played.share(urgent)


def test_calls_of_least_urgency_are_not_starved_by_lasting_urgent_load(
    play: Callable[..., Played],
) -> None:
    # Urgent calls alone take nine tenths of what the slots run, for ten seconds.
    urgent = [call(n, n / 18, priority=0) for n in range(180)]
    others = [call(1_000 + n, n / 6, priority=2) for n in range(60)]
    played = play(urgent + others, Slots(2), ServiceRoom())
    assert played.share(urgent) > 0.8
    assert played.share(others) > 0.1


def test_large_calls_are_served_beside_small_ones(play: Callable[..., Played]) -> None:
    # Twice the room, for small calls and for calls of ten times their work.
    small = [call(n, n / 40, work_s=0.05) for n in range(200)]
    large = [call(1_000 + n, n / 4, work_s=0.5) for n in range(20)]
    played = play(small + large, Slots(2), ServiceRoom())
    assert played.share(small) > 0.5
    assert played.share(large) > played.share(small) / 2


def test_a_workspace_at_many_times_its_load_does_not_push_out_others(
    play: Callable[..., Played],
) -> None:
    # Eleven workspaces fit well; the twelfth sends 7.5 times as much as each of them.
    others = [
        call(n, n / 11, workspace=f"w{n % 11}", time_limit_s=1.5) for n in range(110)
    ]
    heavy = [
        call(1_000 + n, n / 7.5, workspace="heavy", time_limit_s=1.5) for n in range(75)
    ]
    played = play(others + heavy, Slots(1), ServiceRoom())
    assert played.share(others) > played.share(heavy) > 0.1


def test_a_call_that_cannot_make_its_deadline_is_refused_at_once(
    play: Callable[..., Played],
) -> None:
    arrivals = [call(n, n * 0.002, time_limit_s=1.0) for n in range(100)]
    played = play(arrivals, Slots(1), ServiceRoom())
    arrived = {each.request.call_id: each.at for each in arrivals}
    waits = [at - arrived[name] for name, at in played.refused.items()]
    assert len(waits) > 50
    # The expected turn is known better as the pace is; few learn of it late.
    assert sorted(waits)[len(waits) // 2] <= AT_ONCE_S


def test_every_call_gets_one_answer(play: Callable[..., Played]) -> None:
    arrivals = burst(200, (0, 1, 2))
    played = play(arrivals, Slots(1), ServiceRoom())
    assert not played.served.keys() & played.refused.keys()
    assert len(played.served) + len(played.refused) == len(arrivals)


def test_refused_callers_return_after_the_queue_has_drained_and_apart() -> None:
    room = ServiceRoom(interval_s=0.1, next_send_at=1.0, refused_at=0.9)
    for number in range(10):
        room.request(call(number, 1.0).request, 1.0)
    assert len(room.waiting) == 9
    drained_in_s = 9 * room.interval_s
    # They would have to be sent before the next send.
    hopeless = (call(100 + n, 1.0, time_limit_s=0.15).request for n in range(20))
    denials = [each for request in hopeless for each in room.request(request, 1.0)]
    after = [d.reply.retry_after_s for d in denials if isinstance(d.reply, RoomDenied)]
    assert len(after) == 20
    assert min(after) >= drained_in_s
    assert max(after) - min(after) > RETURN_SPREAD_S / 2
    assert len({round(each, 2) for each in after}) > 8


def test_the_queue_is_bounded_and_drops_its_last() -> None:
    room = ServiceRoom(interval_s=MAX_INTERVAL_S, next_send_at=1.5, refused_at=1.0)
    for number in range(MAX_WAITING):
        room.request(call(number, 1.0, time_limit_s=600.0).request, 1.0)
    urgent = call(1_000, 1.0, priority=0, time_limit_s=600.0).request
    answers = room.request(urgent, 1.0)
    assert len(room.waiting) == MAX_WAITING
    assert room.waiting[0].request is urgent
    assert [isinstance(each.reply, RoomDenied) for each in answers] == [True]


def test_refusals_of_calls_that_were_sent_together_slow_down_once() -> None:
    room = ServiceRoom()
    for _ in range(10):
        room.record_refused(1.0)
    slowed_once = room.interval_s
    room.record_refused(1.0 + slowed_once)
    assert room.interval_s > slowed_once


def test_a_service_is_not_short_any_more_without_refusals() -> None:
    room = ServiceRoom()
    room.record_refused(1.0)
    assert room.is_short(1.1)
    assert not room.is_short(1.0 + SHORTAGE_TTL_S)


def test_a_service_that_takes_calls_again_gets_twice_as_many_after_a_few() -> None:
    room = ServiceRoom(interval_s=MAX_INTERVAL_S, refused_at=1.0)
    for _ in range(5):
        room.record_accepted()
    assert room.interval_s <= MAX_INTERVAL_S / 2


def test_all_facts_too_old_let_waiting_calls_go() -> None:
    room = ServiceRoom(interval_s=MAX_INTERVAL_S, next_send_at=1.5, refused_at=1.0)
    for number in range(3):
        room.request(call(number, 1.0, time_limit_s=60.0).request, 1.0)
    answers = room.release(1.0 + SHORTAGE_TTL_S)
    assert [type(each.reply) for each in answers] == [RoomGranted] * 3
