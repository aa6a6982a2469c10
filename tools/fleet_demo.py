"""`make demo`, second part: a fleet on the users' platform, all its routers killed.

Callers send model calls, bookings and reads to two routers; in between both are
killed at once and the store falls silent for a while. The report is computed from
the stand-ins' own counts.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH, Fleet

BUDGET_TOKENS = 400_000
# Calls of one phase, and callers that send at the same time.
CALLS_PER_PHASE = 90
CALLERS = 6
# Sizes of a model call, in tokens.
PROMPT_TOKENS, OUTPUT_TOKENS = 1_500, 20
# Length of the store's silence, in seconds.
STORE_SILENCE_S = 6.0


def send_call(fleet: Fleet, phase: str, number: int) -> tuple[str, int]:
    """Send one call; return its kind and the status."""
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
    """Send the calls of a phase and print how they ended."""
    with ThreadPoolExecutor(CALLERS) as pool:
        outcomes = Counter(
            pool.map(lambda n: send_call(fleet, phase, n), range(CALLS_PER_PHASE))
        )
    shown = ", ".join(f"{k} {s}: {n}" for (k, s), n in sorted(outcomes.items()))
    print(f"{phase:<16} {shown}")
    return outcomes


def main() -> int:
    """Run the demonstration; the exit code says whether the promises held."""
    print("fleet on the users' platform: 2 routers, 1 server of each service")
    with Fleet(budget=BUDGET_TOKENS) as fleet:
        run_phase(fleet, "calm")
        for name in fleet.names:
            fleet.processes[name].kill()
        for name in fleet.names:
            fleet.start_router(name)
        for name in fleet.names:
            wait_until(
                lambda n=name: fleet.is_ready(n), description=f"{name} being ready"
            )
        run_phase(fleet, "all-killed")
        fleet.control("store", "faults", {"silent": True})
        silent_until = time.monotonic() + STORE_SILENCE_S
        run_phase(fleet, "store-silent")
        wait_until(
            lambda: time.monotonic() >= silent_until, description="the silence's end"
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
