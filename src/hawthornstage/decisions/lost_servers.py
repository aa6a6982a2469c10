"""Tells crashed servers from broken connections, and counts calls under crashes only.

A connection that breaks says nothing of its cause: the server may have crashed, this
router's links may fail, or a single connection was reset. So the server is connected to
again, first by this router and, if that fails, by others. It lives if any of them
reaches it. It has crashed if none does and one of them reaches other servers meanwhile.
If none reaches any server, the store may tell later that its process has been replaced.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from hawthornstage.decisions.membership import rendezvous_order
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.lost_servers import LostCall, Reach, ServerLost
from hawthornstage.messages.server_selection import RegisteredServers

# Time from the first loss to the first check, in which a crashing process closes its
# sockets, in seconds.
CHECK_DELAY_S = 0.1
# Time for which a crash explains further losses of the same server, in seconds.
CRASH_TTL_S = 1.0
# Time for which the calls of a loss without a verdict are kept, in seconds.
UNRESOLVED_TTL_S = 10.0
# Other routers asked: one if this router's links work, for a second opinion.
ROUTERS_ASKED = 3
ROUTERS_ASKED_IF_LINKS_WORK = 1
# Other servers that are connected to, to find out whether this router's links work.
SERVERS_COMPARED = 3
# Most losses, and most calls of one loss, that are kept; further ones do not count.
MAX_LOSSES = 1_024
MAX_CALLS_PER_LOSS = 512


class Verdict(Enum):
    """What is known of a server whose connections broke."""

    PENDING = "pending"
    UNRESOLVED = "unresolved"
    ALIVE = "alive"
    CRASHED = "crashed"


@dataclass(frozen=True)
class BrokenCall:
    """A call whose connection broke.

    Args:
        call: The call.
        at: Time at which the connection broke.
    """

    call: LostCall
    at: float


@dataclass(frozen=True)
class LossCheck:
    """One check of a server, which has to begin `CHECK_DELAY_S` after the loss.

    What belongs to an earlier check of the same server says nothing of a later one.

    Args:
        server: The server.
        began_at: Time of the loss.
    """

    server: BackendServer
    began_at: float


@dataclass(frozen=True)
class LossJudged:
    """What was found out about a server whose connections broke.

    Args:
        server: The server.
        verdict: What is known of it.
        own: Whether this router reaches it, or None if that is not known.
        replies: Whether other routers do, by their names.
        calls: The calls that count against it if it has crashed.
    """

    server: BackendServer
    verdict: Verdict
    own: Reach | None
    replies: Mapping[str, Reach]
    calls: tuple[BrokenCall, ...]


@dataclass
class Loss:
    """A server whose connections broke.

    Args:
        server: The server.
        began_at: Time of the first loss.
        calls: The calls.
        own: Whether this router reaches the server, or None while that is checked.
        asked: The other routers that are asked, or None before that.
        replies: Whether they reach it, by their names.
        verdict: What is known so far.
        decided_at: Time of the verdict.
    """

    server: BackendServer
    began_at: float
    calls: list[BrokenCall] = field(default_factory=list)
    own: Reach | None = None
    asked: tuple[str, ...] | None = None
    replies: dict[str, Reach] = field(default_factory=dict)
    verdict: Verdict = Verdict.PENDING
    decided_at: float = float("inf")

    def is_over(self, now: float) -> bool:
        """Whether the loss is of no use any more."""
        if self.verdict is Verdict.CRASHED:
            return now - self.decided_at >= CRASH_TTL_S
        return now - self.began_at >= UNRESOLVED_TTL_S

    def judge(self, *, overdue: bool = False) -> Verdict:
        """Return the verdict on what is known.

        Args:
            overdue: Whether replies that are missing are not waited for any more.
        """
        told = {self.own, *self.replies.values()}
        if Reach.REACHED in told:
            return Verdict.ALIVE
        missing = self.asked is None or len(self.replies) < len(self.asked)
        if missing and not overdue:
            return Verdict.PENDING
        if Reach.UNREACHED in told:
            return Verdict.CRASHED
        return Verdict.UNRESOLVED


@dataclass
class LossBook:
    """The servers whose connections broke not long ago, by incarnation."""

    losses: dict[str, Loss] = field(default_factory=dict)

    def add(self, lost: ServerLost, now: float) -> LossCheck | LossJudged | None:
        """Record that a connection broke during a call.

        Returns:
            What has to be done or is known already; None if that is being found out.
        """
        self.losses = {
            name: loss for name, loss in self.losses.items() if not loss.is_over(now)
        }
        broken = BrokenCall(lost.call, now)
        loss = self.losses.get(lost.server.incarnation)
        if loss is None and len(self.losses) >= MAX_LOSSES:
            return None
        if loss is None or loss.verdict is Verdict.UNRESOLVED:
            kept = loss.calls[-MAX_CALLS_PER_LOSS + 1 :] if loss is not None else []
            self.losses[lost.server.incarnation] = Loss(
                lost.server, now, [*kept, broken]
            )
            return LossCheck(lost.server, now)
        if loss.verdict is Verdict.CRASHED:
            return LossJudged(loss.server, loss.verdict, None, {}, (broken,))
        if len(loss.calls) < MAX_CALLS_PER_LOSS:
            loss.calls.append(broken)
        return None

    def record_own(
        self, check: LossCheck, reach: Reach, now: float
    ) -> LossJudged | None:
        """Record whether this router reaches a server; return a verdict on it."""
        loss = self.pending(check)
        if loss is None:
            return None
        loss.own = reach
        return self.settle(loss, loss.judge(), now)

    def routers_to_ask(self, check: LossCheck) -> int:
        """Return how many other routers have to be asked now for a verdict."""
        loss = self.pending(check)
        if loss is None or loss.own is None or loss.asked is not None:
            return 0
        if loss.own is Reach.UNREACHED:
            return ROUTERS_ASKED_IF_LINKS_WORK
        return ROUTERS_ASKED

    def record_asked(
        self, check: LossCheck, nodes: tuple[str, ...], now: float
    ) -> LossJudged | None:
        """Record the other routers that are asked; return a verdict if none is."""
        loss = self.pending(check)
        if loss is None:
            return None
        loss.asked = nodes
        return self.settle(loss, loss.judge(), now)

    def record_reply(
        self, check: LossCheck, node: str, reach: Reach, now: float
    ) -> LossJudged | None:
        """Record whether another router reaches a server; return a verdict on it."""
        loss = self.pending(check)
        if loss is None or node not in (loss.asked or ()):
            return None
        loss.replies[node] = reach
        return self.settle(loss, loss.judge(), now)

    def end_check(self, check: LossCheck, now: float) -> LossJudged | None:
        """Decide without the replies that are missing; return a verdict."""
        loss = self.pending(check)
        if loss is None:
            return None
        return self.settle(loss, loss.judge(overdue=True), now)

    def update_servers(
        self, servers: Iterable[BackendServer], now: float
    ) -> list[LossJudged]:
        """Return verdicts on servers whose processes have been replaced."""
        incarnations = {each.id: each.incarnation for each in servers}
        judged = []
        for incarnation, loss in list(self.losses.items()):
            is_open = loss.verdict in (Verdict.PENDING, Verdict.UNRESOLVED)
            current = incarnations.get(loss.server.id, incarnation)
            if is_open and current != incarnation and not loss.is_over(now):
                judged.append(self.settle(loss, Verdict.CRASHED, now))
        return [each for each in judged if each is not None]

    def record_answer(self, fingerprint: str) -> None:
        """Drop the losses of a call that was answered, which crashes no servers."""
        for loss in self.losses.values():
            loss.calls = [
                each for each in loss.calls if each.call.fingerprint != fingerprint
            ]

    def pending(self, check: LossCheck) -> Loss | None:
        """Return the loss for which a check is going on, or None if it is over."""
        loss = self.losses.get(check.server.incarnation)
        if loss is None or loss.began_at != check.began_at:
            return None
        return loss if loss.verdict is Verdict.PENDING else None

    def settle(self, loss: Loss, verdict: Verdict, now: float) -> LossJudged | None:
        """Set the verdict on a loss and return it, unless it is pending."""
        if verdict is Verdict.PENDING:
            return None
        judged = LossJudged(
            loss.server, verdict, loss.own, dict(loss.replies), tuple(loss.calls)
        )
        loss.verdict = verdict
        if verdict is Verdict.ALIVE:
            del self.losses[loss.server.incarnation]
        if verdict is Verdict.CRASHED:
            loss.decided_at = now
            loss.calls = []
        return judged


def servers_to_compare(
    server: BackendServer,
    node: str,
    registered: RegisteredServers,
    failed: Container[str],
    now: float,
) -> list[BackendServer]:
    """Return servers that show whether a router's links work, others for each router.

    Args:
        server: The server that is checked.
        node: The router's name.
        registered: All registered servers.
        failed: Incarnations of servers that the router could not connect to.
        now: Monotonic time, in seconds.
    """
    pairs = {
        f"{node}\0{server.incarnation}\0{each.id}": each
        for each in registered.servers.values()
        if each.id != server.id
        and each.incarnation not in failed
        and registered.accepts_calls(each.id, now)
    }
    ranked = rendezvous_order("compare", pairs)
    return [pairs[each] for each in ranked[:SERVERS_COMPARED]]
