"""Workers serve one connection after the other, and none is forgotten."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest

from hawthornstage.actors import caller_workers
from hawthornstage.actors.caller_workers import CallerWorkers, StartDelays
from hawthornstage.clock import Clock
from tools.cluster import wait_until

# Longest wait for what must happen at once, in seconds.
SOON = 10.0


@pytest.fixture
def workers() -> CallerWorkers:
    """Return workers, none of which is started."""
    return CallerWorkers(Clock(), StartDelays())


@pytest.fixture
def served() -> list[int | None]:
    """Return where connections note the thread that served them."""
    return []


@pytest.fixture
def note(served: list[int | None]) -> Callable[[], None]:
    """Return a connection that ends at once."""
    return lambda: served.append(threading.current_thread().ident)


def test_idle_worker_takes_the_next_connection(
    workers: CallerWorkers, served: list[int | None], note: Callable[[], None]
) -> None:
    workers.serve(note)
    wait_until(lambda: len(served) == 1 and workers.idle == 1)
    workers.serve(note)
    wait_until(lambda: len(served) == 2 and workers.idle == 1)
    assert served[0] == served[1]


def test_connection_does_not_wait_for_a_worker_that_serves_another(
    workers: CallerWorkers, served: list[int | None], note: Callable[[], None]
) -> None:
    released = threading.Event()
    workers.serve(lambda: released.wait(SOON) and None)
    workers.serve(note)
    wait_until(lambda: len(served) == 1)
    released.set()
    wait_until(lambda: workers.idle == 2)


def test_no_connection_is_forgotten_while_workers_end(
    workers: CallerWorkers,
    served: list[int | None],
    note: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_workers, "IDLE_TIMEOUT_S", 0.001)
    pause = threading.Event()
    for _ in range(300):
        workers.serve(note)
        pause.wait(0.001)
    wait_until(lambda: len(served) == 300 and workers.idle == 0)
