"""Larger limits of a new desired state are not in force on kept channels."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from rig import Client, Deployment, Record, Server, desired_state, run_case  # noqa: E402

OLD_BYTES, NEW_BYTES = 65_536, 1_048_576
OLD_HEADER_BYTES, NEW_HEADER_BYTES = 4_096, 16_384
BODY = b"x" * 200_000
LONG_HEADERS = "".join(f"X-Note-{n}: {'n' * 480}\r\n" for n in range(24))
CLIENTS_PER_ROUTER = 8
# From the confirmation until the requests are sent, in seconds: more than config-ms and
# stable-window-ms together, and less than four fifths of idle-timeout-ms.
WAIT_S = 6.0


def limits(body_bytes: int, header_bytes: int) -> dict[str, int]:
    """Return the limits of a desired state."""
    return {
        "max-header-bytes": header_bytes,
        "max-body-bytes": body_bytes,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }


def case(record: Record, trouble: bool) -> bool:
    """Raise the limit while channels are idle, then send bodies within the new one."""
    deployment = Deployment(record, {"memory-mb": 300, "max-fds": 4100})
    try:
        deployment.start_store()
        servers = [Server(f"desk-{n}", record) for n in (1, 2)]
        deployment.write({f"servers/{each.name}": each.entry() for each in servers})
        old = limits(OLD_BYTES, OLD_HEADER_BYTES)
        new = limits(NEW_BYTES, NEW_HEADER_BYTES)
        first = old if trouble else new
        deployment.write({"op/config": desired_state(1, limits=first)})
        for name in ("edge-1", "edge-2"):
            deployment.start_router(name)
        deployment.wait_ready()
        clients = [
            (name, Client(deployment.fronts[name]))
            for name in deployment.routers
            for _ in range(CLIENTS_PER_ROUTER)
        ]
        small = [
            c.call("/bookings/", f"small-{n}", b"x") for n, (_, c) in enumerate(clients)
        ]
        record.note(f"small requests on the kept channels: {[a.status for a in small]}")
        if trouble:
            # The same state but for its version and the limits.
            deployment.write({"op/config": desired_state(2, limits=new)})
        time.sleep(WAIT_S)
        refused = 0
        for number, (name, client) in enumerate(clients):
            # Every fourth has a long head, which arrives in two parts.
            long_head = number % 4 == 3
            answer = client.call(
                "/bookings/",
                f"kept-{number}",
                b"x" if long_head else BODY,
                headers=LONG_HEADERS if long_head else "",
                pause_in_head_s=0.05 if long_head else 0.0,
            )
            record.note(
                f"{name}: kept-{number}, a long {'head' if long_head else 'body'} "
                f"on the kept channel: {answer.status} "
                f"{answer.reason} {answer.body[:90]!r}"
            )
            refused += 400 <= answer.status < 500
        others = []
        for number, name in enumerate(list(deployment.routers) * 4):
            answer = Client(deployment.fronts[name]).call(
                "/bookings/", f"new-{number}", BODY
            )
            record.note(f"{name}: new-{number} on a new channel: {answer.status}")
            others.append(answer.status)
        total = len(small) + len(clients) + len(others)
        allowed = 5 + total / 500
        record.note(
            f"{refused} of {total} proper requests ended with a 4xx of the routers' "
            f"own; {allowed:.1f} are allowed"
        )
        return refused <= allowed
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
