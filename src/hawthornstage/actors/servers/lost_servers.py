"""The task that finds out which servers crashed during calls, with other routers."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.servers.failures import CallAnswered
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.actors.timers import Timers
from hawthornstage.clock import Clock
from hawthornstage.decisions.lost_servers import (
    CHECK_DELAY_S,
    LossBook,
    LossCheck,
    LossJudged,
    Verdict,
)
from hawthornstage.decisions.server_links import helpers_to_ask
from hawthornstage.decisions.tunnels import reach_of_reply
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.crashing_parts import CrashConfirmed, CrashDuringCall
from hawthornstage.messages.fleet import ServerFailedDuringCall
from hawthornstage.messages.lost_servers import (
    CheckReach,
    Reach,
    ServerCrashed,
    ServerLost,
)
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.tunnels import RequestTunnel
from hawthornstage.observe.events import EventLog

# Timeout for the replies of other routers, in seconds.
REPLIES_TIMEOUT_S = 0.75


@dataclass(frozen=True)
class BeginCheck:
    """Triggers a check."""

    check: LossCheck


@dataclass(frozen=True)
class OwnCheckEnded:
    """Tells whether this router reaches the server."""

    check: LossCheck
    reach: Reach


@dataclass(frozen=True)
class RouterReplied:
    """Tells what another router replied."""

    check: LossCheck
    node: str
    reply: Any


@dataclass(frozen=True)
class RepliesOverdue:
    """Ends the wait for other routers' replies."""

    check: LossCheck


class LostServersTask(Task):
    """Owns the servers whose connections broke during calls, until it is known why.

    Only calls under which a server crashed are counted against them.

    Args:
        checks: Task that finds out whether this router reaches a server.
        peers: Sends messages to other routers.
        server_failures: Task that counts crashes by call fingerprint.
        crashing_parts: Task that finds prompt parts which crash servers.
        server_links: Task that owns this router's links.
        links: This router's links, with the routers to ask.
        timers: Sends the messages that are due later.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        checks: Recipient,
        peers: Recipient,
        server_failures: pykka.ActorRef,
        crashing_parts: pykka.ActorRef,
        server_links: pykka.ActorRef,
        *,
        links: LatestValue[ServerLinks],
        timers: Timers,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.checks = checks
        self.peers = peers
        self.server_failures = server_failures
        self.crashing_parts = crashing_parts
        self.server_links = server_links
        self.links = links
        self.timers = timers
        self.clock = clock
        self.events = events
        self.book = LossBook()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case ServerLost():
                self.add(message, now)
            case BeginCheck(check):
                reply_to = ReplyCallback(partial(self.own_check_ended, check))
                self.checks.tell(Ask(CheckReach(check.server), reply_to))
            case OwnCheckEnded(check, reach):
                self.conclude(self.book.record_own(check, reach, now))
                self.ask_routers(check, now)
            case RouterReplied(check, node, reply):
                reach = reach_of_reply(reply)
                self.conclude(self.book.record_reply(check, node, reach, now))
            case RepliesOverdue(check):
                self.conclude(self.book.end_check(check, now))
            case CallAnswered(fingerprint):
                self.book.record_answer(fingerprint)
            case RegisteredServers(servers):
                for judged in self.book.update_servers(servers.values(), now):
                    self.conclude(judged)

    def add(self, lost: ServerLost, now: float) -> None:
        """Record a loss, and have the server checked if it is the first one."""
        match self.book.add(lost, now):
            case LossCheck() as check:
                self.timers.after(CHECK_DELAY_S, self.actor_ref, BeginCheck(check))
            case LossJudged() as judged:
                self.count(judged)

    def own_check_ended(self, check: LossCheck, reach: Reach) -> None:
        """Pass a check's result to this task; may be called by any thread."""
        self.actor_ref.tell(OwnCheckEnded(check, reach))

    def ask_routers(self, check: LossCheck, now: float) -> None:
        """Ask other routers whether they reach a server, if that is still open."""
        count = self.book.routers_to_ask(check)
        if not count:
            return
        server, incarnation = check.server.id, check.server.incarnation
        nodes = helpers_to_ask(self.links.value, incarnation, incarnation, count, now)
        self.conclude(self.book.record_asked(check, nodes, now))
        question = RequestTunnel(server, incarnation, time_left_s=0.0)
        for node in nodes:
            reply_to = ReplyCallback(partial(self.router_replied, check, node))
            self.peers.tell(Send(node, question, reply_to))
        if nodes:
            overdue = RepliesOverdue(check)
            self.timers.after(REPLIES_TIMEOUT_S, self.actor_ref, overdue)

    def router_replied(self, check: LossCheck, node: str, reply: Any) -> None:
        """Pass another router's reply to this task; may be called by any thread."""
        self.actor_ref.tell(RouterReplied(check, node, reply))

    def conclude(self, judged: LossJudged | None) -> None:
        """Log a verdict, and count the calls if the server has crashed."""
        if judged is None:
            return
        self.events.emit(
            "lost_server_judged",
            server=judged.server.id,
            verdict=judged.verdict.value,
            own=judged.own.value if judged.own else "",
            others=",".join(f"{k}:{v.value}" for k, v in judged.replies.items()),
            calls=len(judged.calls),
        )
        if judged.verdict is Verdict.CRASHED:
            self.server_links.tell(ServerCrashed(judged.server.incarnation))
            self.count(judged)

    def count(self, judged: LossJudged) -> None:
        """Count a crash against the calls during which it happened."""
        server = judged.server
        for broken in judged.calls:
            call = broken.call
            self.server_failures.tell(
                ServerFailedDuringCall(call.fingerprint, server.id)
            )
            if call.parts:
                crash = CrashDuringCall(server.incarnation, call.parts)
                self.crashing_parts.tell(CrashConfirmed(crash, broken.at))
