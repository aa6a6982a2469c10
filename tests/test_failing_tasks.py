"""An unforeseen error in a task that serves sockets ends no more than it must."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from hawthornstage.actors.selector_task import SelectorTask
from hawthornstage.actors.servers.reach_checks import ReachChecks
from hawthornstage.actors.task import Ask
from hawthornstage.border.frames import Frame, FrameError, encode_frame
from hawthornstage.clock import Clock
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import Mailbox
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.host_settings import SocketAddress
from hawthornstage.messages.lost_servers import CheckReach, Reach
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import RequestTunnel
from tests.delivery_world import server_at


def fail(*args: Any) -> None:
    """Raise an error that no code expects."""
    raise LookupError("as told")


def test_message_that_cannot_be_encoded_is_an_error_of_the_frame() -> None:
    message = RequestTunnel("i-\ud800", "i-1", 1.0, None)
    with pytest.raises(FrameError):
        encode_frame(Frame(1, False, Stamp(1, 0, "a"), message))


class FailingTask(SelectorTask):
    """A task whose every step fails."""

    def __init__(self) -> None:
        super().__init__("failing", selectors.DefaultSelector(), Clock())
        self.near, self.far = socket.socketpair()
        self.selector.register(self.near, selectors.EVENT_READ, self.near)

    handle = check_timeouts = fail

    def handle_ready(self, owner: Any, ready: int) -> None:
        match owner:
            case socket.socket():
                fail()
            case drain:
                drain()

    def end_failed(self, concerned: Any) -> None:
        match concerned:
            case socket.socket():
                self.selector.unregister(concerned)
            case _:
                super().end_failed(concerned)


@pytest.fixture
def failing() -> Iterator[FailingTask]:
    """Return a task that is not started, closed with the test."""
    task = FailingTask()
    yield task
    task.close_all()
    task.near.close()
    task.far.close()


def test_task_of_sockets_goes_on_after_errors(failing: FailingTask) -> None:
    reply = Mailbox(Clock())
    failing.far.send(b"z")
    failing.tell(Ask("anything", reply))
    for _ in range(3):
        failing.step(0.0)
    assert reply.get(timeout=0.0) is None
    assert failing.near not in failing.selector.get_map()


@pytest.mark.parametrize("step", ["end_if_idle", "find_opened"])
def test_failed_check_of_a_server_is_answered_and_leaves_no_socket(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = server_at(SocketAddress(*listener.getsockname()))
        checks = ReachChecks(
            "a",
            LatestValue(RegisteredServers({})),
            LatestValue(ServerLinks()),
            Clock(),
        )
        monkeypatch.setattr(checks, step, fail)
        reply = Mailbox(Clock())
        checks.tell(Ask(CheckReach(server), reply))
        for _ in range(3):
            checks.step(0.1)
        assert reply.get(timeout=0.0) is Reach.UNKNOWN
        assert len(checks.selector.get_map()) == 1
        checks.close_all()
