"""Decides which waiting call of a service is sent next, when its servers lack room.

It handles bursts on services with few slots: many routers find the servers full, and
each knows only what its own calls were told. The sends to a service are paced. The
interval between two of them grows with each refusal and shrinks with each call that a
server took. Waiting calls go in the order of a virtual deadline. It contains the time
itself, so a call that has waited long passes later ones of any class, size and
workspace. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

from hawthornstage.decisions.server_selection import PREFILL_TOKENS_PER_S, jitter
from hawthornstage.messages.admission import RequestRoom, RoomDenied, RoomGranted
from hawthornstage.messages.forward import Prompt

# Bounds of the interval between two sends, in seconds. Below the first one, sends are
# not paced.
MIN_INTERVAL_S = 0.02
MAX_INTERVAL_S = 0.5
# Factors of the interval after a refusal and after a call that a server took.
REFUSED_FACTOR = 1.5
ACCEPTED_FACTOR = 0.85
# Time without a refusal after which a service is not short any more, in seconds.
SHORTAGE_TTL_S = 1.5
# Most calls that wait for one service.
MAX_WAITING = 64
# Delay of the virtual deadline for each level of priority, in seconds.
PRIORITY_STEP_S = 1.0
# Delay of the virtual deadline for each waiting call of the same workspace, in seconds.
WORKSPACE_STEP_S = 0.25
# Delay of the virtual deadline as a multiple of the call's work: more calls are served
# in time if those that need little go first, but large ones must not starve.
WORK_WEIGHT = 1.0
# Time over which the returns of refused callers are spread, in seconds.
RETURN_SPREAD_S = 0.2
# Expected time of a call without a prompt, in seconds.
DEFAULT_WORK_S = 0.1
# Expected time of one output token, in seconds.
OUTPUT_TOKEN_S = 0.004


def expected_work_s(prompt: Prompt | None) -> float:
    """Return the expected time of a call on a server with room, in seconds."""
    if prompt is None:
        return DEFAULT_WORK_S
    return prompt.tokens / PREFILL_TOKENS_PER_S + prompt.max_output * OUTPUT_TOKEN_S


@dataclass(frozen=True, order=True)
class WaitingCall:
    """A call that waits for its turn.

    Args:
        virtual_deadline: Position in the order.
        request: The request for room.
    """

    virtual_deadline: float
    request: RequestRoom = field(compare=False)


@dataclass(frozen=True)
class Answer:
    """The reply to a call that waited."""

    request: RequestRoom
    reply: RoomGranted | RoomDenied


@dataclass
class ServiceRoom:
    """The pace of one service and the calls that wait for it.

    Args:
        interval_s: Interval between two sends, 0 if they are not paced.
        next_send_at: Time of the next send.
        refused_at: Time of the latest refusal.
        grown_at: Time at which the interval last grew.
        waiting: The waiting calls in their order.
    """

    interval_s: float = 0.0
    next_send_at: float = 0.0
    refused_at: float = float("-inf")
    grown_at: float = float("-inf")
    waiting: list[WaitingCall] = field(default_factory=list)

    def is_short(self, now: float) -> bool:
        """Whether sends to the service must be asked for."""
        return bool(self.waiting) or self.is_paced(now)

    def is_paced(self, now: float) -> bool:
        """Whether there was a refusal lately, and the interval has not shrunk since."""
        return self.interval_s > 0.0 and now - self.refused_at < SHORTAGE_TTL_S

    def record_refused(self, now: float) -> None:
        """Slow down; refusals of calls that were sent together count once."""
        if not self.is_paced(now):
            self.interval_s = 0.0
        self.refused_at = now
        if self.interval_s and now - self.grown_at < self.interval_s:
            return
        self.grown_at = now
        grown = max(MIN_INTERVAL_S, self.interval_s * REFUSED_FACTOR)
        self.interval_s = min(MAX_INTERVAL_S, grown)
        self.next_send_at = max(self.next_send_at, now + self.interval_s)

    def record_accepted(self) -> None:
        """Speed up."""
        self.interval_s *= ACCEPTED_FACTOR
        if self.interval_s < MIN_INTERVAL_S:
            self.interval_s = 0.0

    def request(self, request: RequestRoom, now: float) -> list[Answer]:
        """Add a call and return the answers that are known at once."""
        same = sum(w.request.workspace == request.workspace for w in self.waiting)
        insort(self.waiting, WaitingCall(virtual_deadline(request, same), request))
        answers = self.release(now)
        answers += self.deny_hopeless(now)
        if len(self.waiting) > MAX_WAITING:
            last = self.waiting.pop()
            answers.append(
                self.denial(last, f"{MAX_WAITING} calls wait before it", now)
            )
        return answers

    def release(self, now: float) -> list[Answer]:
        """Return the grants of the calls whose turn has come."""
        paced = self.is_paced(now)
        answers: list[Answer] = []
        while self.waiting and (not paced or self.next_send_at <= now):
            first = self.waiting.pop(0)
            if first.request.latest_start < now:
                answers.append(self.denial(first, "its turn came too late", now))
                continue
            answers.append(Answer(first.request, RoomGranted()))
            if paced:
                spread = 0.5 + jitter(first.request.call_id, first.request.service)
                self.next_send_at = now + self.interval_s * spread
        return answers

    def deny_hopeless(self, now: float) -> list[Answer]:
        """Remove the calls whose turn would come after their latest start."""
        kept: list[WaitingCall] = []
        answers: list[Answer] = []
        for waiting in self.waiting:
            turn_at = self.turn_at(len(kept), now)
            if turn_at <= waiting.request.latest_start:
                kept.append(waiting)
                continue
            reason = f"its turn would be {turn_at - now:.2f} s from now"
            answers.append(self.denial(waiting, reason, now))
        self.waiting = kept
        return answers

    def turn_at(self, position: int, now: float) -> float:
        """Return the expected time at which the call at a position is sent."""
        return max(now, self.next_send_at) + position * self.interval_s

    def denial(self, waiting: WaitingCall, reason: str, now: float) -> Answer:
        """Return the denial of a call, with the time in which the queue drains."""
        request = waiting.request
        drained_in_s = self.turn_at(len(self.waiting), now) - now
        spread_s = jitter(request.call_id, request.service) * RETURN_SPREAD_S
        age_s = now - self.refused_at
        detail = (
            f"service {request.service!r} is short of room: {reason}; "
            f"{len(self.waiting)} wait, one is sent every {self.interval_s:.3f} s, "
            f"last refused {age_s:.2f} s ago"
        )
        return Answer(request, RoomDenied(detail, drained_in_s + spread_s))

    def due_in_s(self, now: float) -> float | None:
        """Return the time to the next release in seconds, or None if no call waits."""
        if not self.waiting:
            return None
        return max(0.0, self.next_send_at - now)


def virtual_deadline(request: RequestRoom, same_workspace: int) -> float:
    """Return a call's place in the order; the lowest goes first.

    Args:
        request: The request for room.
        same_workspace: Calls of its workspace that wait already.
    """
    return (
        request.latest_start
        + request.priority * PRIORITY_STEP_S
        + same_workspace * WORKSPACE_STEP_S
        + request.work_s * WORK_WEIGHT
    )
