"""Decides which calls an overloaded router refuses before it works on them.

Callers are hashed to routers, so one router may get many times the calls that its
processor can serve. A router measures how late its tasks run. While they are late, the
admitted level falls by a factor; when they are punctual, it rises by steps. The least
urgent class is refused first, and in each class those of a workspace that sends more
than its fair share. A part of each class and workspace is always admitted. Times are
seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.server_selection import jitter
from hawthornstage.messages.admission import AdmissionPolicy, CallClass
from hawthornstage.messages.desired import DesiredState

# Times that a call waits for a turn of a task before it reaches a server.
TURNS_PER_CALL = 4
# Latency objective if the desired state has no route, in seconds.
DEFAULT_OBJECTIVE_S = 1.0
# Factor of the level while tasks are late, and its step when they are punctual again.
OVERLOADED_FACTOR = 0.7
RECOVERY_STEP = 0.1
MIN_LEVEL = 0.1
# Share of each class and workspace that is admitted at any level.
MIN_SHARE = 0.1
# A workspace is refused more if it sends this many times the mean of all workspaces.
FAIR_MULTIPLE = 2.0
# Part of the counted calls that is kept at each check.
COUNT_DECAY = 0.8
# Factor of the admitted share for large calls.
LARGE_CALL_SHARE = 0.8
# Output from which a call is large, in tokens.
LARGE_OUTPUT_TOKENS = 256
# Time over which the returns of refused callers are spread, in seconds.
RETURN_SPREAD_S = 0.1


def lateness_limit_s(desired: DesiredState | None) -> float:
    """Return how late the router's tasks may run, in seconds.

    With more, a call misses its objective in the router alone.
    """
    routes = desired.routes if desired else ()
    objectives = (route.latency_objective_s for route in routes)
    shortest_s = min(objectives, default=DEFAULT_OBJECTIVE_S)
    return shortest_s / TURNS_PER_CALL


@dataclass
class LoadLevel:
    """The share of calls that the router's processor can serve.

    Args:
        level: The share.
        previous_late_s: Lateness at the check before.
        calls: Recent calls of each workspace, counted while the router is overloaded.
    """

    level: float = 1.0
    previous_late_s: float = 0.0
    calls: Counter[str] = field(default_factory=Counter)

    @property
    def overloaded(self) -> bool:
        """Whether calls are refused."""
        return self.level < 1.0

    def update(self, late_s: float, limit_s: float) -> None:
        """Adapt the level to how late a task ran; one late check alone is no overload.

        Args:
            late_s: Lateness in seconds.
            limit_s: How late tasks may run, in seconds.
        """
        persistent_s = min(late_s, self.previous_late_s)
        self.previous_late_s = late_s
        if persistent_s > limit_s:
            self.level = max(MIN_LEVEL, self.level * OVERLOADED_FACTOR)
        elif persistent_s < limit_s / 2:
            self.level = min(1.0, self.level + RECOVERY_STEP)

    def count_call(self, workspace: str) -> None:
        """Count a call that arrived."""
        self.calls[workspace] += 1

    def decay_counts(self) -> None:
        """Let the calls that were counted before weigh less."""
        kept = {name: count * COUNT_DECAY for name, count in self.calls.items()}
        self.calls = Counter({n: c for n, c in kept.items() if c >= 1.0})


def class_shares(level: float, classes: Iterable[CallClass]) -> dict[CallClass, float]:
    """Return the admitted share of each class; the least urgent give way first."""
    by_urgency = sorted(classes, key=lambda each: (each.priority, each.objective_s))
    room = level * len(by_urgency)
    return {
        each: min(1.0, max(MIN_SHARE, room - place))
        for place, each in enumerate(by_urgency)
    }


def classes_of(desired: DesiredState | None) -> set[CallClass]:
    """Return the classes of calls that the desired state allows."""
    if desired is None:
        return set()
    own = {each.priority for each in desired.workspaces}
    return {
        CallClass(route.priority if priority is None else priority, objective)
        for route in desired.routes
        for objective in (route.latency_objective_s,)
        for priority in own or {None}
    }


def workspace_shares(calls: Mapping[str, float]) -> dict[str, float]:
    """Return the admitted share of the workspaces that send more than is fair."""
    if len(calls) < 2:
        return {}
    fair = FAIR_MULTIPLE * sum(calls.values()) / len(calls)
    return {
        name: max(MIN_SHARE, fair / count)
        for name, count in calls.items()
        if name and count > fair
    }


def is_admitted(
    policy: AdmissionPolicy,
    call_id: str,
    call_class: CallClass,
    workspace: str,
    output_tokens: int,
) -> bool:
    """Whether an overloaded router serves a call.

    Args:
        policy: What is short now.
        call_id: Id of the call, by which one of many alike is picked.
        call_class: The call's class.
        workspace: The call's workspace, or '' for none.
        output_tokens: Most tokens of the response, each of which has to be relayed.
    """
    share = policy.shares.get(call_class, 1.0)
    share *= policy.workspace_shares.get(workspace, 1.0)
    if share < 1.0 and output_tokens >= LARGE_OUTPUT_TOKENS:
        share *= LARGE_CALL_SHARE
    return jitter(call_id, "admission") < max(MIN_SHARE, share)


def return_delay_s(call_id: str) -> float:
    """Return the time after which a refused caller may try another router."""
    return jitter(call_id, "return") * RETURN_SPREAD_S
