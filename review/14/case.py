"""The requests of a tenant whose name is not Latin-1 are read and never answered."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from rig import KEY, Client, Deployment, Record, Server, desired_state, run_case  # noqa: E402

# From the confirmation until the requests are sent, in seconds: more than config-ms and
# stable-window-ms together.
WAIT_S = 6.0
REQUESTS = 20
NEW_KEY = "key-b"


def case(record: Record, trouble: bool) -> bool:
    """Add a tenant, then send requests of it and of the tenant that was there."""
    deployment = Deployment(record, {"memory-mb": 300, "max-fds": 4100})
    try:
        deployment.start_store()
        servers = [Server(f"desk-{n}", record) for n in (1, 2)]
        deployment.write({f"servers/{each.name}": each.entry() for each in servers})
        deployment.write({"op/config": desired_state(1)})
        for name in ("edge-1", "edge-2"):
            deployment.start_router(name)
        deployment.wait_ready()
        tenants = [
            {"name": "shop-a", "api-keys": [KEY]},
            {"name": "dŵr-tywi" if trouble else "dwr-tywi", "api-keys": [NEW_KEY]},
        ]
        deployment.write({"op/config": desired_state(2, tenants=tenants)})
        time.sleep(WAIT_S)
        served = {KEY: 0, NEW_KEY: 0}
        silent = {KEY: 0, NEW_KEY: 0}
        for number in range(REQUESTS):
            for key in served:
                name = f"edge-{1 + number % 2}"
                request_id = f"{key}-{number}"
                client = Client(deployment.fronts[name])
                answer = client.call("/bookings/", request_id, b"refund", key=key)
                record.note(f"{name}: {request_id}: {answer.status} {answer.reason}")
                served[key] += answer.status == 200
                silent[key] += answer.status == 0
                client.close()
        sent = 2 * REQUESTS
        record.note(
            f"served of {REQUESTS} each: {served}; without any answer: {silent}"
        )
        share = served[NEW_KEY] / REQUESTS
        share_of_all = sum(served.values()) / sent
        record.note(
            f"share served: of the new tenant {share:.2f}, of all {share_of_all:.2f}"
        )
        for name in deployment.routers:
            lines = [
                x
                for x in deployment.log_of(name).splitlines()
                if "connection_error" in x
            ]
            if lines:
                record.note(f"{name} logs: {lines[-1][-200:]}")
        return share >= share_of_all / 4
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
