"""Messages about requests that may crash the servers that run them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SuspectReported:
    """A server broke off while it ran this call, among others perhaps."""

    fingerprint: str
    server: str


@dataclass(frozen=True)
class SuspectCleared:
    """The call ran to its end on a server."""

    fingerprint: str


@dataclass(frozen=True)
class RequestBlocked:
    """The call broke a second server while it was the only suspect there."""

    fingerprint: str


@dataclass(frozen=True)
class RequestSlot:
    """Asks to run a suspect on a server on which no other suspect runs."""

    server: str
    attempt: str


@dataclass(frozen=True)
class SlotGranted:
    """The suspect may run on the server now."""

    server: str
    attempt: str


@dataclass(frozen=True)
class ReleaseSlot:
    """The suspect has left the server, or is no longer waiting for it."""

    server: str
    attempt: str
