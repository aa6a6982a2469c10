"""A server's 503 that does not say "not run" is passed on for a booking that ran."""

from __future__ import annotations

import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from rig import (  # noqa: E402
    Client,
    Deployment,
    Record,
    Request,
    Server,
    desired_state,
    message,
    run_case,
)

SERVERS = 7
BOOKINGS = 800
# Part of its requests that the failing server fails after it has run them.
FAILING_SHARE = 0.4


class GreyServer(Server):
    """A server that fails part of its requests, while its status check is good."""

    def answer(self, request: Request) -> bytes:
        """Run a request; answer some with a failure that promises nothing."""
        answer = super().answer(request)
        if request.id not in self.ran or random.random() >= FAILING_SHARE:
            return answer
        self.record.note(f"{self.name}: fails {request.id} after it has run: 503")
        seal = {"X-Response-Seal": f"s-{request.id}"}
        return message("503 Service Unavailable", request.id, seal, b"failed")


def case(record: Record, trouble: bool) -> bool:
    """Send bookings; a requester sends one again after a promise, as the pages say."""
    deployment = Deployment(record, {"memory-mb": 300, "max-fds": 4100})
    try:
        deployment.start_store()
        first = GreyServer("desk-1", record) if trouble else Server("desk-1", record)
        servers = [first]
        servers += [Server(f"desk-{n}", record) for n in range(2, SERVERS + 1)]
        deployment.write({f"servers/{each.name}": each.entry() for each in servers})
        deployment.write({"op/config": desired_state(1)})
        for name in ("edge-1", "edge-2"):
            deployment.start_router(name)
        deployment.wait_ready()
        false_promises = run_twice = 0
        for number in range(BOOKINGS):
            name = f"edge-{1 + number % 2}"
            ran = []
            for attempt in ("a", "b"):
                request_id = f"booking-{number}-{attempt}"
                client = Client(deployment.fronts[name])
                answer = client.call("/bookings/", request_id, b"refund")
                client.close()
                ran.append(sum(each.ran.get(request_id, 0) for each in servers))
                promised = answer.status in (408, 421, 429, 503)
                if promised and ran[-1]:
                    false_promises += 1
                    record.note(
                        f"{name}: {request_id}: {answer.status}, but it has run"
                    )
                if not promised:
                    break
            run_twice += sum(ran) > 1
        record.note(
            f"answered as not run, but run: {false_promises} of {BOOKINGS} bookings, "
            f"none is allowed; sent again for it, so that two runs book it: {run_twice}"
        )
        return not false_promises
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
