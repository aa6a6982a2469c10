"""A request that crashes the servers that run it, and comes again."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from kit.deployment import BROKEN, HELD, CannotRun, Deployment, route, run_case
from kit.http import Request
from kit.servers import Server

ROUTERS = 3
SERVERS = 8
# A server is back after this time, in seconds.
BACK_S = 3.3
# Interval at which the deadly request comes again, how often, and its body.
AGAIN_S, TIMES, DEADLY = 0.6, 50, b"deadly"
# Sound calls a second at each router.
SOUND_PER_S = 12
# From the third crash on: time until retries count, and how many may reach servers.
STABLE_S, MOST_RETRIES = 3.0, 3


async def case(run: Deployment) -> int:
    """Send a deadly request again and again beside sound ones."""
    arrivals: list[float] = []
    cut = 0

    def on_crash(server: Server, request: Request) -> None:
        arrivals.append(time.monotonic())
        request_id = request.headers.get("x-request-id")
        run.record(
            f"{request_id} reaches server {server.name}, no. {len(arrivals)},"
            f" with {server.running} sound calls there"
        )
        run.spawn(bring_back(server))

    async def bring_back(server: Server) -> None:
        await asyncio.sleep(BACK_S)
        await server.start()

    async def sound(number: int) -> None:
        nonlocal cut
        router = run.routers[number % ROUTERS]
        _, answer = await run.call(
            router, f"/orders/{number}", tokens=(500, 40), limit_s=8.0
        )
        cut += answer.status == 200 and not answer.complete

    async def send_sound() -> None:
        number = 0
        while True:
            number += 1
            run.spawn(sound(number))
            await asyncio.sleep(1 / SOUND_PER_S / ROUTERS)

    await run.publish(
        7, [route("orders", "streaming", "models", **{"max-attempts": 1})]
    )
    await run.start_routers(ROUTERS)
    for number in range(1, SERVERS + 1):
        server = Server(run.store, run.record, f"m{number}", "models", event_s=0.1)
        server.deadly, server.on_crash = DEADLY, on_crash
        await server.start()
        run.spawn(server.lapse())
    for router in run.routers:
        await run.wait_served(router, "/orders/first", tokens=(10, 2))
    run.spawn(send_sound())
    await asyncio.sleep(4.0)

    for number in range(TIMES):
        if run.trouble:
            router = run.routers[number % ROUTERS]
            call = run.call(
                router, "/orders/x", body=DEADLY, tokens=(500, 25), limit_s=4.0
            )
            run.spawn(call)
        await asyncio.sleep(AGAIN_S)

    run.record(f"{len(arrivals)} runs of the deadly request, {cut} sound calls failed")
    if run.trouble and not arrivals:
        raise CannotRun("the deadly request reached no server")
    late = [at for at in arrivals[3:] if at > arrivals[2] + STABLE_S]
    run.record(f"{len(late)} of them later than {STABLE_S} s after the third crash")
    return BROKEN if len(late) > MOST_RETRIES else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
