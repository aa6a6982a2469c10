"""Rolling restarts of a fleet in many rhythms, and streams that are taken up again.

`python -m tools.rolls --seeds 50` plays as many rolls, one after the other, each drawn
from its seed, and prints for each how many streams of the last router were taken up at
the others, and how many of these went on. The exit code is 1 if in one of them the
share that went on is under half of the share of new streams that began.
"""

from __future__ import annotations

import argparse
import random
import re
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tools.fleet import RESUMABLE_PATH, Fleet

# Streams of the last router that is stopped.
STREAMS = 18
# Events of a stream, and their interval in seconds: it outlives a grace period.
EVENTS, EVENT_S = 95, 0.1
# Time that the caller of a stream gives it, in milliseconds.
LIMIT_MS = 10_000
# Time from a router's SIGTERM to its SIGKILL, in seconds.
GRACE_S = 8.0
# Pause between two attempts to take up a stream, in seconds.
PAUSE_S = 0.3
# Time after which routers conclude at which version streams began, in seconds.
OLD_S = 21.0
EVENT_ID = re.compile(rb"id: (\d+)\ndata: \S+\n\n")


@dataclass(frozen=True)
class Roll:
    """One rolling restart.

    Args:
        routers: Number of routers.
        gap_s: Time between two stops, in seconds.
        kill: Whether the routers get SIGKILL, and not SIGTERM.
        kill_last: Whether the last one gets SIGKILL.
        streams_s: Time from the beginning of the streams to the last stop, in seconds.
        twice: Whether the first router is killed again soon after its restart.
        old: Whether all routers have run for long before the first stop.
        silent_s: Time for which the store is silent from a quarter of a second before
            the last stop on, in seconds.
    """

    routers: int
    gap_s: float
    kill: bool
    kill_last: bool
    streams_s: float
    twice: bool = False
    old: bool = True
    silent_s: float = 0.0


def draw_roll(seed: int) -> Roll:
    """Return the roll of a seed."""
    source = random.Random(seed)
    kill = source.random() < 0.5
    return Roll(
        routers=source.randint(2, 8),
        gap_s=round(source.choice((0.3, 0.5, 1.0, 2.0, 4.0, 8.0)), 1),
        kill=kill,
        kill_last=kill or source.random() < 0.5,
        streams_s=source.choice((0.5, 1.0, 2.0)),
        twice=source.random() < 0.25,
        silent_s=source.choice((0.0, 0.0, 0.0, 4.0)),
    )


@dataclass
class Tally:
    """What the callers of one roll have seen.

    Args:
        taken_up: Streams that were taken up at another router.
        gone_on: Those that went on there.
        new: Streams that were begun after the roll.
        begun: Those that began.
        refusals: Beginnings of the answers to streams that did not go on.
    """

    taken_up: int = 0
    gone_on: int = 0
    new: int = 0
    begun: int = 0
    refusals: list[bytes] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def holds(self) -> bool:
        """Whether streams that are taken up go on half as often as new ones begin."""
        return self.gone_on * self.new * 2 >= self.begun * self.taken_up


class RollPlayer:
    """Plays one roll on a fleet.

    Args:
        fleet: The fleet, whose servers make an event each `EVENT_S`.
        roll: The roll.
    """

    def __init__(self, fleet: Fleet, roll: Roll) -> None:
        self.fleet = fleet
        self.roll = roll
        self.tally = Tally()
        self.threads: list[threading.Thread] = []

    def play(self) -> Tally:
        """Play the roll, and return what the callers have seen."""
        if self.roll.old:
            time.sleep(OLD_S)
        names = self.fleet.names
        roll_s = (len(names) - 1) * self.roll.gap_s
        for number, name in enumerate(names):
            self.begin(number * self.roll.gap_s, self.restart, name)
        streams_at = max(0.0, roll_s - self.roll.streams_s)
        for number in range(STREAMS):
            self.begin(streams_at, self.read_stream, number)
        if self.roll.silent_s:
            self.begin(max(0.0, roll_s - 0.25), self.silence_store)
        for each in self.threads:
            each.join()
        for number in range(STREAMS):
            self.begin_new(number)
        return self.tally

    def begin(
        self, delay_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Call a function in a thread of its own, after a delay in seconds."""
        thread = threading.Timer(delay_s, function, arguments)
        self.threads.append(thread)
        thread.start()

    def restart(self, name: str) -> None:
        """Stop a router, and start it again when it has ended."""
        is_last = name == self.fleet.names[-1]
        kill = self.roll.kill_last if is_last else self.roll.kill
        self.fleet.restart_router(name, grace_s=0.0 if kill else GRACE_S)
        if self.roll.twice and name == self.fleet.names[0]:
            time.sleep(1.0)
            self.fleet.restart_router(name, grace_s=0.0)

    def silence_store(self) -> None:
        """Make the store silent for a time."""
        self.fleet.control("store", "faults", {"silent": True})
        time.sleep(self.roll.silent_s)
        self.fleet.control("store", "faults", {"silent": False})

    def read_stream(self, number: int) -> None:
        """Read a stream of the last router, and take it up when it is cut."""
        fleet, call_id = self.fleet, f"stream-{number}"
        ends_at = time.monotonic() + LIMIT_MS / 1000
        *others, last = fleet.names
        answer = fleet.call(
            last, RESUMABLE_PATH, call_id, tokens=(10, EVENTS), budget_ms=LIMIT_MS
        )
        received = last_event(answer.body)
        if not 0 < received < EVENTS:
            return
        attempt, refusal = 0, b""
        while (left_ms := int((ends_at - time.monotonic()) * 1000)) > 0:
            node = others[(number + attempt) % len(others)]
            attempt += 1
            answer = fleet.call(
                node,
                RESUMABLE_PATH,
                f"{call_id}+{attempt}",
                tokens=(10, EVENTS),
                resumes=(call_id, received),
                budget_ms=left_ms,
                most_events=1,
            )
            if b"data: " in answer.body:
                with self.tally.lock:
                    self.tally.taken_up += 1
                    self.tally.gone_on += 1
                return
            refusal = answer.body or refusal
            time.sleep(PAUSE_S)
        with self.tally.lock:
            # One that no router answered has not been taken up.
            self.tally.taken_up += bool(refusal)
            self.tally.refusals.append(refusal[:80])

    def begin_new(self, number: int) -> None:
        """Begin a new stream at a router that is ready."""
        node = self.fleet.names[number % len(self.fleet.names)]
        self.fleet.wait_ready(node)
        answer = self.fleet.call(
            node, RESUMABLE_PATH, f"new-{number}", tokens=(10, 2), most_events=1
        )
        self.tally.new += 1
        self.tally.begun += b"data: " in answer.body


def last_event(body: bytes) -> int:
    """Return the number of the last whole event of a stream, 0 if there is none."""
    numbers = EVENT_ID.findall(body)
    return int(numbers[-1]) if numbers else 0


def play_roll(roll: Roll) -> Tally:
    """Start a fleet, and play a roll on it."""
    with Fleet(routers=roll.routers, servers=3) as fleet:
        for number in (1, 2, 3):
            fleet.control(f"models-{number}", "behave", {"event_s": EVENT_S})
        return RollPlayer(fleet, roll).play()


def main() -> None:
    """Play the rolls of some seeds."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seeds", type=int, default=50, help="number of rolls")
    options.add_argument("--first", type=int, default=1, help="first seed")
    arguments = options.parse_args()
    held = True
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        roll = draw_roll(seed)
        tally = play_roll(roll)
        held &= tally.holds
        verdict = "holds" if tally.holds else "BROKEN"
        print(
            f"seed {seed}: {verdict}, taken up {tally.taken_up},"
            f" gone on {tally.gone_on}, new {tally.new}, begun {tally.begun}; {roll}",
            *sorted(set(tally.refusals)),
            flush=True,
        )
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
