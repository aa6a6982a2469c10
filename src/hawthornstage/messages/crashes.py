"""Messages about requests that may crash the servers that run them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SuspectReported:
    """A server failed during this call and possibly during others."""

    fingerprint: str
    server: str


@dataclass(frozen=True)
class SuspectCleared:
    """The call completed on a server, so it is no longer a suspect."""

    fingerprint: str


@dataclass(frozen=True)
class RequestBlocked:
    """A second server failed during the call, which was the only suspect on it."""

    fingerprint: str


@dataclass(frozen=True)
class RequestSlot:
    """Asks for a server's only slot for suspects, so that no other one runs there."""

    server: str
    attempt: str


@dataclass(frozen=True)
class SlotGranted:
    """The suspect may run on the server now."""

    server: str
    attempt: str


@dataclass(frozen=True)
class ReleaseSlot:
    """The suspect no longer runs on the server or no longer waits for its slot."""

    server: str
    attempt: str
