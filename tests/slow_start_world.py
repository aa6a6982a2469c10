"""Routers that share the permits of one cold server, over a network that fails."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.notices import ServerNoticesTask
from hawthornstage.actors.task import Ask
from hawthornstage.clock import ManualClock
from hawthornstage.decisions.server_limits import VIEW_SETTLING_S
from hawthornstage.decisions.slow_start import PERMIT_VALIDITY_S
from hawthornstage.filters.permits import PERMIT_TIMEOUT_S
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.desired import CallerLimits, DesiredState, ServiceSpec
from hawthornstage.messages.fleet import DesiredStateInUse, KnownRouters
from hawthornstage.messages.server_limits import (
    AcquirePermit,
    AskIssuer,
    IssuerUnresponsive,
    PermitGranted,
)
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.slow_start import EndSlowStarts, EntriesRead, SlowStartTerms
from hawthornstage.observe.events import EventLog
from tests.draws_world import Reply

SERVICE = "models"
COLD_S = 3.0


def make_server(
    name: str = "i-1",
    born: int = 1,
    *,
    cold_left_s: float | None = 0.0,
    zone: str = "z",
) -> BackendServer:
    """Return a server as its entry tells of it."""
    return BackendServer(
        name, SERVICE, "h", 1, zone, 8, False, born, cold_left_s=cold_left_s
    )


def state_in_use(calls_per_s: float) -> DesiredStateInUse:
    """Return a desired state whose service has a slow start."""
    service = ServiceSpec(SERVICE, 100, None, SlowStartTerms(calls_per_s, COLD_S))
    state = DesiredState(1, (), (service,), (), CallerLimits(), True)
    return DesiredStateInUse(state, b"")


def answer(task: Any, message: Any) -> Any:
    """Return a task's reply to a message."""
    reply = Reply()
    task.handle(Ask(message, reply))
    return reply.value


@dataclass
class Outbox:
    """Gives what a router sends to others to the network."""

    world: SlowStartWorld
    node: str

    def tell(self, message: Send) -> None:
        """Send a message."""
        self.world.carry(self.node, message.node, message.message)


@dataclass
class SlowStartWorld:
    """Some routers, one server, and a network that loses, delays and repeats.

    Args:
        calls_per_s: What the server's service names.
        seed: Seed of all that is left to chance.
        loss: Probability that a message is lost, and the same that it is repeated.
        delay_s: Longest delay of a message, in seconds.
    """

    calls_per_s: float
    seed: int
    loss: float = 0.0
    delay_s: float = 0.01
    count: int = 6
    sent: list[float] = field(default_factory=list)
    cut: set[str] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.clock = ManualClock()
        self.numbers = itertools.count()
        self.network: list[tuple[float, int, str, Any]] = []
        self.tasks: dict[str, Any] = {}
        self.names = [f"r{number}" for number in range(self.count)]
        for node in self.names:
            self.start(node)
        self.clock.advance(2 * VIEW_SETTLING_S)
        for node in self.names:
            self.list_routers(node)

    @property
    def now(self) -> float:
        """The time of all routers, in seconds."""
        return self.clock.monotonic()

    def start(self, node: str) -> None:
        """Start a router's task."""
        events = EventLog(node, self.clock)
        notices = LatestValue(ServerNotices())
        task: Any = ServerNoticesTask(
            node, notices, (), Outbox(self, node), clock=self.clock, events=events
        )
        self.tasks[node] = task
        task.handle(state_in_use(self.calls_per_s))
        self.list_routers(node)

    def list_routers(self, node: str) -> None:
        """Tell a router which others there are."""
        others = {*self.names} - {node} - self.ended
        self.tasks[node].handle(KnownRouters(dict.fromkeys(sorted(others), "")))

    def passes(self, node: str, other: str) -> bool:
        """Whether the network carries a message at all."""
        parted = (node in self.cut) != (other in self.cut)
        return not (parted or other in self.ended or self.random.random() < self.loss)

    def carry(self, node: str, other: str, message: Any) -> None:
        """Carry a message, late, twice, or not at all."""
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            if self.passes(node, other):
                due = self.now + self.random.uniform(0.0, self.delay_s)
                heapq.heappush(self.network, (due, next(self.numbers), other, message))

    def deliver(self) -> None:
        """Deliver what is due."""
        while self.network and self.network[0][0] <= self.now:
            _, _, node, message = heapq.heappop(self.network)
            if node not in self.ended:
                answer(self.tasks[node], message)

    def read_entry(self, node: str, server: BackendServer) -> None:
        """Have a router read the server's entry."""
        answer(self.tasks[node], EntriesRead((server,)))

    def acquire(self, node: str, incarnation: str) -> bool:
        """Ask for a permit as a call does; return whether there is one."""
        task = self.tasks[node]
        reply = answer(task, AcquirePermit(incarnation, 0))
        if not isinstance(reply, AskIssuer):
            return isinstance(reply, PermitGranted)
        issuer = reply.node
        if not self.passes(node, issuer):
            task.handle(IssuerUnresponsive(issuer))
            return False
        decision = answer(self.tasks[issuer], reply.request)
        if self.random.random() < self.loss:
            decision = answer(self.tasks[issuer], reply.request)
        late = self.random.uniform(0.0, 2 * self.delay_s) > PERMIT_TIMEOUT_S
        if late or not self.passes(issuer, node):
            task.handle(IssuerUnresponsive(issuer))
            return False
        return isinstance(decision, PermitGranted)

    def send(self, node: str, incarnation: str) -> None:
        """Send the server a call if there is a permit, within its validity."""
        if self.acquire(node, incarnation):
            self.sent.append(self.now + self.random.uniform(0.0, PERMIT_VALIDITY_S))

    def tick(self, step_s: float) -> None:
        """Let time pass."""
        self.clock.advance(step_s)
        self.deliver()
        for node in self.names:
            if node not in self.ended:
                self.tasks[node].handle(EndSlowStarts())

    def most_in_one_second(self) -> int:
        """Return the most calls that the server got in one second."""
        times = sorted(self.sent)
        return max(
            (sum(start <= each < start + 1.0 for each in times) for start in times),
            default=0,
        )
