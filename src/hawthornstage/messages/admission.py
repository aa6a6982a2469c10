"""Messages between calls and the task that decides which of them are admitted."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class CallClass:
    """The class of a call, ordered by urgency.

    Args:
        priority: The call's priority; 0 is the most urgent.
        objective_s: Latency objective in seconds. A call with a long one loses less by
            coming back.
    """

    priority: int
    objective_s: float


@dataclass(frozen=True)
class AdmissionPolicy:
    """What is short now; published by the admission task.

    Args:
        level: Share of the calls that the router's processor can serve, 1 if all.
        shares: Share of each class that is admitted; all of a class without an entry.
        workspace_shares: Share of each workspace's calls that is admitted, if not all.
        short_services: Services whose servers lately had no room.
    """

    level: float = 1.0
    shares: Mapping[CallClass, float] = field(default_factory=dict)
    workspace_shares: Mapping[str, float] = field(default_factory=dict)
    short_services: frozenset[str] = frozenset()


@dataclass(frozen=True)
class RequestRoom:
    """Asks for leave to send a call to a service that is short of room.

    The reply is `RoomGranted` at the call's turn, or `RoomDenied`.

    Args:
        call_id: Tells the call from all others of this router.
        service: The service.
        priority: The call's priority; 0 is the most urgent.
        workspace: The workspace, or '' for none.
        deadline: Monotonic time by which the response must be complete, in seconds.
        work_s: Expected time from the send to the complete response, in seconds.
    """

    call_id: str
    service: str
    priority: int
    workspace: str
    deadline: float
    work_s: float

    @property
    def latest_start(self) -> float:
        """Monotonic time by which the call must be sent, in seconds."""
        return self.deadline - self.work_s


@dataclass(frozen=True)
class RoomGranted:
    """The call may be sent now."""


@dataclass(frozen=True)
class RoomDenied:
    """The call could not be sent before its deadline, or others go first.

    Args:
        reason: Why, with the figures that decided it.
        retry_after_s: Time after which the caller may find room, in seconds.
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True)
class SendRefused:
    """A server, or this router's own limit, had no room for a call of a service."""

    service: str


@dataclass(frozen=True)
class SendAccepted:
    """A server took a call of a service that is short of room."""

    service: str


@dataclass(frozen=True)
class CallArrived:
    """A call of a workspace arrived while the router is overloaded."""

    workspace: str


@dataclass(frozen=True)
class CheckOverload:
    """Triggers the measurement of the router's own delay."""


@dataclass(frozen=True)
class ReleaseWaiting:
    """Triggers the release of calls whose turn has come."""

    service: str
