"""Calls to a router from many callers at once, and the memory that it takes."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

from tools.cluster import Process
from tools.fleet import Fleet, FleetCallResult

# Memory of the smallest host on the users' platform, in bytes.
SMALLEST_HOST_BYTES = 136_000_000
# Calls in progress at a time, and rounds of them for each shape.
CALLERS, ROUNDS = 8, 4


def peak_memory(fleet: Fleet, name: str) -> int:
    """Return the most memory that a router has used, in bytes."""
    return peak_memory_of(fleet.processes[name])


def peak_memory_of(process: Process) -> int:
    """Return the most memory that a process has used, in bytes."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


def call_at_once(
    fleet: Fleet, path: str, name: str, *, callers: int = CALLERS, **options: Any
) -> list[Any]:
    """Send calls from several callers at once, and return their results."""
    results: list[FleetCallResult] = []

    def send(number: int) -> None:
        for each in range(ROUNDS):
            call_id = f"{name}-{number}-{each}"
            results.append(fleet.call("edge-1", path, call_id, **options))

    threads = [threading.Thread(target=send, args=(n,)) for n in range(callers)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return results
