"""`make demo`, second part: a fleet on the users' platform, all its routers killed.

Callers send model calls, bookings and reads to two routers. Between the phases both
routers are killed and restarted, and the store stops responding for a while. The
report is computed from the counters of the stand-ins.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, Fleet

BUDGET_TOKENS = 400_000
# Calls of each phase, and concurrent callers.
CALLS_PER_PHASE = 90
CALLERS = 6
# Prompt and output of a model call.
PROMPT_TOKENS, OUTPUT_TOKENS = 1_500, 20
# Time for which the store does not respond.
STORE_SILENCE_S = 6.0


def send_call(fleet: Fleet, phase: str, number: int) -> tuple[str, int]:
    """Send one call and return its kind and HTTP status."""
    router = fleet.names[number % len(fleet.names)]
    name = f"{phase}-{number}"
    match number % 3:
        case 0:
            tokens = (PROMPT_TOKENS, OUTPUT_TOKENS)
            return "model", fleet.call(router, STREAM_PATH, name, tokens=tokens).status
        case 1:
            return "booking", fleet.call(
                router, NON_IDEMPOTENT_PATH, name, body=b"refund"
            ).status
        case _:
            return "read", fleet.call(router, IDEMPOTENT_PATH, name).status


def run_phase(fleet: Fleet, phase: str) -> Counter[tuple[str, int]]:
    """Send the calls of a phase, then print and return the count of each outcome."""
    with ThreadPoolExecutor(CALLERS) as pool:
        outcomes = Counter(
            pool.map(lambda n: send_call(fleet, phase, n), range(CALLS_PER_PHASE))
        )
    shown = ", ".join(f"{k} {s}: {n}" for (k, s), n in sorted(outcomes.items()))
    print(f"{phase:<16} {shown}")
    return outcomes


def main() -> int:
    """Run the demonstration.

    Returns:
        The exit code: 1 if the budget was overspent or a booking ran twice, else 0.
    """
    print("fleet on the users' platform: 2 routers, 1 server of each service")
    with Fleet(budget=BUDGET_TOKENS) as fleet:
        run_phase(fleet, "calm")
        for name in fleet.names:
            fleet.processes[name].kill()
        for name in fleet.names:
            fleet.start_router(name)
        for name in fleet.names:
            wait_until(
                lambda n=name: fleet.is_ready(n), description=f"{name} to be ready"
            )
        run_phase(fleet, "all-killed")
        fleet.control("store", "faults", {"silent": True})
        silent_until = time.monotonic() + STORE_SILENCE_S
        run_phase(fleet, "store-silent")
        wait_until(
            lambda: time.monotonic() >= silent_until,
            description="the end of the store outage",
        )
        fleet.control("store", "faults", {"silent": False})
        run_phase(fleet, "store-back")
        used = fleet.control("models-1", "behave", {})["tokens"]["shop-a"]
        desk_runs = fleet.control("desk-1", "behave", {})["runs"]
    twice = [
        name
        for name, runs in desk_runs.items()
        if runs > 1 and int(name.rpartition("-")[2]) % 3 == 1
    ]
    print(
        f"tokens used {used} of {BUDGET_TOKENS}; bookings that ran twice: {len(twice)}"
    )
    return 0 if used <= BUDGET_TOKENS and not twice else 1


if __name__ == "__main__":
    sys.exit(main())
