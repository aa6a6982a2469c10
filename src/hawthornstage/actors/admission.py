"""The task that decides which calls are admitted when this router lacks room."""

from __future__ import annotations

import math
from typing import Any

from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.actors.task import Ask, Task
from hawthornstage.actors.timers import Timers
from hawthornstage.clock import Clock
from hawthornstage.decisions.admission import Answer, ServiceRoom
from hawthornstage.decisions.load_shedding import (
    LoadLevel,
    class_shares,
    classes_of,
    lateness_limit_s,
    workspace_shares,
)
from hawthornstage.decisions.readiness import ConnectionPause
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyTo
from hawthornstage.messages.admission import (
    AdmissionPolicy,
    CallArrived,
    CheckOverload,
    ReleaseWaiting,
    RequestRoom,
    SendAccepted,
    SendRefused,
)
from hawthornstage.messages.desired import DesiredState
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

# Interval of the checks for overload, in seconds.
CHECK_INTERVAL_S = 0.2


class AdmissionTask(Task):
    """Owns the router's load level, its readiness and the calls that wait for room.

    Args:
        policy: Published: what is short now.
        ready: Published: whether the router takes new connections.
        start_delays: How late connections begin to be served.
        desired: The desired state, for the classes of calls.
        routers: Number of routers known.
        timers: Sends the messages that trigger checks and releases.
        metrics: The level and the waiting calls.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        policy: LatestValue[AdmissionPolicy],
        ready: LatestValue[bool],
        *,
        start_delays: StartDelays,
        desired: LatestValue[DesiredState | None],
        routers: LatestValue[int],
        timers: Timers,
        metrics: Metrics,
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.policy = policy
        self.ready = ready
        self.start_delays = start_delays
        self.desired = desired
        self.routers = routers
        self.timers = timers
        self.metrics = metrics
        self.clock = clock
        self.events = events
        self.load = LoadLevel()
        self.pause = ConnectionPause()
        self.rooms: dict[str, ServiceRoom] = {}
        self.replies: dict[int, ReplyTo] = {}
        self.releases: dict[str, float] = {}
        self.check_due_at = 0.0

    def on_start(self) -> None:
        """Schedule the first check."""
        self.schedule_check()

    def handle(self, message: Any) -> None:
        now = self.clock.monotonic()
        match message:
            case Ask(message=RequestRoom() as request, reply_to=reply_to):
                self.request_room(request, reply_to, now)
            case SendRefused(service):
                self.room_of(service).record_refused(now)
                self.settle_room(service, now)
            case SendAccepted(service) if service in self.rooms:
                self.rooms[service].record_accepted()
                self.settle_room(service, now)
            case ReleaseWaiting(service):
                self.releases.pop(service, None)
                if service in self.rooms:
                    self.settle_room(service, now)
            case CallArrived(workspace):
                self.load.count_call(workspace)
            case CheckOverload():
                self.check_overload(now)

    def room_of(self, service: str) -> ServiceRoom:
        """Return the pace and the waiting calls of a service."""
        return self.rooms.setdefault(service, ServiceRoom())

    def request_room(self, request: RequestRoom, reply_to: ReplyTo, now: float) -> None:
        """Let a call wait for its turn, or answer it at once."""
        room = self.room_of(request.service)
        # Callers may use the same id twice.
        self.replies[id(request)] = reply_to
        self.reply(room.request(request, now))
        self.settle_room(request.service, now)

    def settle_room(self, service: str, now: float) -> None:
        """Answer the calls whose turn has come, and schedule the next release."""
        room = self.rooms[service]
        self.reply(room.release(now))
        self.reply(room.deny_hopeless(now))
        self.schedule_release(service, room.due_in_s(now), now)
        self.metrics.calls_waiting.labels(service).set(len(room.waiting))
        self.publish(now)

    def schedule_release(
        self, service: str, due_in_s: float | None, now: float
    ) -> None:
        """Schedule the next release unless an earlier one is scheduled."""
        if due_in_s is None:
            return
        due_at = now + due_in_s
        if self.releases.get(service, math.inf) <= due_at:
            return
        self.releases[service] = due_at
        self.timers.after(due_in_s, self.actor_ref, ReleaseWaiting(service))

    def reply(self, answers: list[Answer]) -> None:
        """Reply to calls that waited."""
        for answer in answers:
            reply_to = self.replies.pop(id(answer.request), None)
            if reply_to is not None:
                reply_to.put(answer.reply)

    def check_overload(self, now: float) -> None:
        """Measure how late this router works, and adapt what is admitted.

        Callers that are refused find another router only while this one takes no new
        connections; before, they would come back to it and cost its processor twice.
        """
        late_s = max(0.0, now - self.check_due_at, self.start_delays.take())
        limit_s = lateness_limit_s(self.desired.value)
        before = self.load.level
        self.load.update(late_s if self.pause.is_paused(now) else 0.0, limit_s)
        if self.load.overloaded:
            self.load.decay_counts()
        else:
            self.load.calls.clear()
        if self.load.level != before:
            self.log_level(late_s, limit_s)
        self.pause.update(late_s, limit_s, self.routers.value - 1, now)
        self.update_readiness(now)
        self.publish(now)
        self.schedule_check()

    def log_level(self, late_s: float, limit_s: float) -> None:
        """Log a changed load level.

        Args:
            late_s: How late this task ran, in seconds.
            limit_s: How late tasks may run, in seconds.
        """
        self.events.emit(
            "admission_level",
            routine=True,
            level=round(self.load.level, 2),
            late_ms=int(late_s * 1000),
            limit_ms=int(limit_s * 1000),
            workspaces=len(self.load.calls),
        )

    def update_readiness(self, now: float) -> None:
        """Publish whether the router takes new connections."""
        ready = not self.pause.is_paused(now)
        if ready != self.ready.value:
            self.ready.publish(ready)
            self.events.emit(
                "readiness_changed",
                ready=ready,
                level=self.load.level,
                late_ms=int(self.pause.late_s * 1000),
            )

    def schedule_check(self) -> None:
        """Schedule the next check."""
        self.check_due_at = self.clock.monotonic() + CHECK_INTERVAL_S
        self.timers.after(CHECK_INTERVAL_S, self.actor_ref, CheckOverload())

    def publish(self, now: float) -> None:
        """Publish what is short now, if it has changed."""
        self.rooms = {
            service: room for service, room in self.rooms.items() if room.is_short(now)
        }
        policy = self.current_policy()
        if policy != self.policy.value:
            self.policy.publish(policy)
            self.metrics.admission_level.set(policy.level)

    def current_policy(self) -> AdmissionPolicy:
        """Return what is short now."""
        short = frozenset(self.rooms)
        if not self.load.overloaded:
            return AdmissionPolicy(short_services=short)
        return AdmissionPolicy(
            level=self.load.level,
            shares=class_shares(self.load.level, classes_of(self.desired.value)),
            workspace_shares=workspace_shares(self.load.calls),
            short_services=short,
        )
