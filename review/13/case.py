"""An entry whose id cannot be read cuts the channels of requests that servers had."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from rig import Client, Deployment, Record, Server, desired_state, run_case  # noqa: E402

CLIENTS_PER_ROUTER = 20
# What JSON shows in place of bytes that are not text.
UNREADABLE = "\ufffd"
# Requests that may lose their channel by the rule.
ALLOWED = 3
# Pause between two requests, in seconds.
PAUSE_S = 0.6


def case(record: Record, trouble: bool) -> bool:
    """Send requests while the servers are full, beside such an entry or without it."""
    deployment = Deployment(record, {"memory-mb": 300, "max-fds": 4100})
    try:
        deployment.start_store()
        servers = [Server(f"desk-{n}", record) for n in (1, 2)]
        deployment.write({f"servers/{each.name}": each.entry() for each in servers})
        deployment.write({"op/config": desired_state(1)})
        for name in ("edge-1", "edge-2"):
            deployment.start_router(name)
        deployment.wait_ready()
        clients = [
            (name, Client(deployment.fronts[name]))
            for name in deployment.routers
            for _ in range(CLIENTS_PER_ROUTER)
        ]
        first = [
            client.call("/bookings/", f"first-{number}", b"x").status
            for number, (_, client) in enumerate(clients)
        ]
        record.note(f"first requests on the channels, which are kept: {first}")
        if trouble:
            name = f"servers/desk-{UNREADABLE}"
            deployment.write({name: servers[0].entry()})
        time.sleep(4.0)
        lost_after_send = lost_before = 0
        for number, (name, client) in enumerate(clients):
            # A server that has turned a request away is not chosen for some time, and
            # gets fewer requests until it has taken some.
            time.sleep(PAUSE_S)
            for turn in range(4):
                other = Client(deployment.fronts[name])
                other.call("/lookups/", f"between-{number}-{turn}", b"x")
                other.close()
            for each in servers:
                each.full = True
            path = "/bookings/" if number % 2 else "/lookups/"
            request_id = f"kept-{number}"
            answer = client.call(path, request_id, b"x")
            for each in servers:
                each.full = False
            arrivals = sum(each.arrived.get(request_id, 0) for each in servers)
            record.note(
                f"{name}: {request_id} to {path}: {answer.status} {answer.reason}, "
                f"arrived at servers {arrivals} times"
            )
            if answer.status == 0 and arrivals:
                lost_after_send += 1
            elif answer.status == 0:
                lost_before += 1
        record.note(
            f"passed on to a sound server and the channel closed without an answer: "
            f"{lost_after_send}, {ALLOWED} are allowed; closed without an answer "
            f"before that: {lost_before}"
        )
        for name in deployment.routers:
            lines = [
                x
                for x in deployment.log_of(name).splitlines()
                if "connection_error" in x
            ]
            if lines:
                record.note(f"{name} logs: {lines[-1][-200:]}")
        return lost_after_send <= ALLOWED
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
