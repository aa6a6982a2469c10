"""Decides right before a send whether a server still accepts calls.

A server's entry in the store and what it says of itself are separate sources of one
fact; either is enough to send it nothing. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers


@dataclass(frozen=True)
class NotAccepting:
    """A server must get no call.

    Args:
        reason: Why, for the log.
        source: Where this is known from: `store`, `server` or `operator`.
        age_s: Time since it became known, or None if that was not recorded.
    """

    reason: str
    source: str
    age_s: float | None

    def __str__(self) -> str:
        age = "" if self.age_s is None else f", known for {self.age_s:.3f} s"
        return f"{self.reason} (source: {self.source}{age})"


def why_not_accepting(
    server: BackendServer,
    registered: RegisteredServers,
    notices: ServerNotices,
    evacuations: Evacuations,
    now: float,
) -> NotAccepting | None:
    """Return why a server must get no call, or None if it may.

    Args:
        server: The server as it was chosen.
        registered: The servers that may get calls.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        now: Monotonic time.
    """
    current = registered.servers.get(server.id)
    if current is None:
        return NotAccepting("it is not registered", "store", None)
    if current.incarnation != server.incarnation:
        return NotAccepting("it has started again", "store", None)
    if not registered.accepts_calls(server.id, now):
        since = registered.leaving_since.get(server.id)
        age_s = None if since is None else now - since
        return NotAccepting("it is leaving", "store", age_s)
    if current.failure_domain in evacuations.failure_domains:
        domain = current.failure_domain
        return NotAccepting(f"domain {domain!r} is evacuated", "operator", None)
    incarnation = server.incarnation
    if incarnation in notices.leaving:
        age_s = now - notices.leaving[incarnation]
        return NotAccepting("it said that it leaves", "server", age_s)
    if not notices.accepts_calls(incarnation, now):
        left_s = notices.closed_until[incarnation] - now
        return NotAccepting(
            f"it wants no calls of this router for {left_s:.3f} s", "server", None
        )
    return None
