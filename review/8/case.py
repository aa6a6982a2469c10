"""Streams that are taken up again while the routers are restarted in turn."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig"))

from client import Answer  # noqa: E402
from fleet import NOTES, Rig, desired_state, run_case  # noqa: E402

STREAMS, EVENTS = 18, 130
# Time limit of a stream, as on the users' sheets for the longest kind.
LIMIT_MS = 15_000
# Requester attempts of one stream at most, and the pause before the next one.
ATTEMPTS, PAUSE_S = 4, 0.2
# Time between two SIGTERMs, and from a SIGTERM to the platform's SIGKILL.
GAP_S, GRACE_S = 4.0, 8.0
# Time for which a process must have run to be in touch.
TOUCH_S = 3.0


class Case:
    """The rig, and what its requesters have seen."""

    def __init__(self) -> None:
        self.rig = Rig(FOLDER, routers=3)
        state = desired_state(5_000_000)
        for route in state["routes"]:
            route["timeout-ms"] = LIMIT_MS
        self.rig.store.write("op/config", {**state, "version": 5})
        self.started_at: dict[str, float] = {}
        self.stopped: set[str] = set()
        self.lock = threading.Lock()
        self.taken_up = self.gone_on = self.begun = self.new = 0

    def headers(self, number: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of a stream."""
        return (
            ("X-Model", "m"),
            ("X-Token-Counts", f"100,{EVENTS}"),
            ("X-Prompt-Prefix", f"{number.encode().hex()}:100"),
        )

    def in_touch(self, name: str) -> bool:
        """Whether a router has run for long enough and has no SIGTERM."""
        age_s = self.rig.now - self.started_at[name]
        return name not in self.stopped and age_s >= TOUCH_S

    def ask(
        self, name: str, request_id: str, left_ms: int, *more: tuple[str, str]
    ) -> Answer:
        """Ask a router for a stream."""
        return self.rig.ask(
            name,
            NOTES,
            request_id,
            body=request_id.partition("+")[0].encode(),
            budget_ms=left_ms,
            headers=(*self.headers(request_id), *more),
        )

    def read_stream(self, number: int) -> None:
        """Read a stream of edge-3, and take it up again after a broken channel."""
        rig, first_id = self.rig, f"stream-{number}"
        began_at = time.monotonic()
        answer = self.ask("edge-3", first_id, LIMIT_MS)
        rig.record(first_id, "edge-3", answer.status, len(answer.events), "events")
        last = answer.events[-1][0] if answer.events else 0
        counted = False
        for attempt in range(1, ATTEMPTS):
            left_ms = LIMIT_MS - int((time.monotonic() - began_at) * 1000)
            if not 0 < last < EVENTS or left_ms <= 0:
                return
            time.sleep(float(answer.headers.get("retry-after", PAUSE_S)))
            name = rig.names[(number + attempt) % 2]
            touched = self.in_touch(name)
            answer = self.ask(
                name,
                f"{first_id}+{attempt}",
                max(1, left_ms),
                ("Last-Event-Id", str(last)),
                ("Resumes", first_id),
            )
            said = answer.body[:120] if answer.status != 200 else b""
            rig.record(
                f"{first_id}+{attempt} {name} in touch {touched}:",
                f"{answer.status}, {len(answer.events)} events",
                said,
            )
            with self.lock:
                if touched and not counted:
                    counted = True
                    self.taken_up += 1
                self.gone_on += counted and bool(answer.events)
            last = answer.events[-1][0] if answer.events else last

    def begin_new(self, number: int) -> None:
        """Begin a new stream at a router that is in touch."""
        name = self.rig.names[number % 2]
        answer = self.ask(name, f"new-{number}", 4000)
        self.rig.record(f"new-{number}", name, answer.status, len(answer.events))
        with self.lock:
            self.new += 1
            self.begun += bool(answer.events)

    def restart(self, name: str) -> None:
        """Stop a router with SIGTERM, and start it again when it has ended."""
        rig = self.rig
        rig.record("SIGTERM to", name)
        self.stopped.add(name)
        process = rig.processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(GRACE_S)
        except Exception:
            rig.record("SIGKILL to", name)
            process.kill()
            process.wait()
        rig.record(name, "has ended and is started again")
        rig.start_router(name)
        self.started_at[name] = rig.now
        self.stopped.discard(name)


def play() -> bool:
    """Play the case; return whether the rule was broken."""
    case = Case()
    rig = case.rig
    try:
        for number in (1, 2, 3):
            rig.add_server(f"models-{number}", "models")
        rig.start_routers()
        case.started_at = dict.fromkeys(rig.names, rig.now)
        ready_at = rig.now
        # The routers have known the service for longer than a stream lasts.
        threads = []
        for number, name in enumerate(rig.names):
            rig.sleep_until(ready_at + 22.0 + number * GAP_S)
            if name == "edge-3":
                readers = [
                    threading.Thread(target=case.read_stream, args=(each,))
                    for each in range(STREAMS)
                ]
                for each in readers:
                    each.start()
                threads += readers
                time.sleep(0.5)
            if rig.trouble:
                stopper = threading.Thread(target=case.restart, args=(name,))
                stopper.start()
                threads.append(stopper)
        rig.sleep_until(ready_at + 22.0 + 2 * GAP_S + GRACE_S + 0.5)
        for number in range(STREAMS):
            newcomer = threading.Thread(target=case.begin_new, args=(number,))
            newcomer.start()
            threads.append(newcomer)
        for each in threads:
            each.join()
        rig.record(f"streams taken up at routers in touch: {case.taken_up}")
        rig.record(f"of these, gone on: {case.gone_on}")
        rig.record(f"new streams begun: {case.begun} of {case.new}")
        print(f"taken up {case.taken_up}, gone on {case.gone_on}", end=", ")
        print(f"new streams begun {case.begun} of {case.new}")
        if case.taken_up < 12:
            return False
        return case.gone_on / case.taken_up < case.begun / case.new / 2
    finally:
        rig.close()


if __name__ == "__main__":
    run_case(play)
