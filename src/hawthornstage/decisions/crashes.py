"""Distinguishes requests that crash servers from those that shared a crashed server.

A call whose server fails becomes a suspect on every router. A suspect runs again only
on a server without other suspects, so a second server failure is caused by it, and it
is blocked. Calls that only shared the server complete and are cleared. All times are
seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

# Time after which a call is no longer a suspect, in seconds.
SUSPECT_TTL_S = 600.0
# Time after which a blocked call may run again, in seconds.
BLOCK_TTL_S = 3_600.0
# Time after which a slot that was not released counts as free, in seconds.
SLOT_TIMEOUT_S = 120.0
# Entries kept of suspects and of blocked calls each; the oldest are dropped first.
MAX_TRACKED_FINGERPRINTS = 10_000


@dataclass(frozen=True)
class CrashSuspects:
    """Calls that may crash servers, as far as a router knows.

    Args:
        suspects: Time at which each call was last suspected, by fingerprint.
        blocked: Time at which each call was blocked, by fingerprint.
    """

    suspects: dict[str, float] = field(default_factory=dict)
    blocked: dict[str, float] = field(default_factory=dict)


def add_suspect(
    crash_suspects: CrashSuspects, fingerprint: str, now: float
) -> CrashSuspects:
    """Record a call whose server failed as a suspect."""
    return replace(
        crash_suspects, suspects=_with_time(crash_suspects.suspects, fingerprint, now)
    )


def block_call(
    crash_suspects: CrashSuspects, fingerprint: str, now: float
) -> CrashSuspects:
    """Block a call whose second server failed without other suspects on it."""
    return replace(
        crash_suspects, blocked=_with_time(crash_suspects.blocked, fingerprint, now)
    )


def clear_suspect(crash_suspects: CrashSuspects, fingerprint: str) -> CrashSuspects:
    """Remove a suspect that ran to completion."""
    remaining = {
        key: at for key, at in crash_suspects.suspects.items() if key != fingerprint
    }
    return replace(crash_suspects, suspects=remaining)


def is_suspect(crash_suspects: CrashSuspects, fingerprint: str, now: float) -> bool:
    """Whether a call may run only on servers without other suspects."""
    return _is_current(crash_suspects.suspects, fingerprint, now, SUSPECT_TTL_S)


def is_blocked(crash_suspects: CrashSuspects, fingerprint: str, now: float) -> bool:
    """Whether a call must not be sent to any server."""
    return _is_current(crash_suspects.blocked, fingerprint, now, BLOCK_TTL_S)


def _with_time(times: Mapping[str, float], name: str, now: float) -> dict[str, float]:
    updated = {key: at for key, at in times.items() if key != name}
    updated[name] = now
    excess = len(updated) - MAX_TRACKED_FINGERPRINTS
    return dict(list(updated.items())[max(0, excess) :])


def _is_current(
    times: Mapping[str, float], name: str, now: float, ttl_s: float
) -> bool:
    at = times.get(name)
    return at is not None and now - at < ttl_s


@dataclass(frozen=True)
class SuspectSlot:
    """The suspect that runs alone on a server, and those that wait.

    Args:
        attempt: The attempt that holds the slot, or None.
        admitted_at: Time at which it got the slot.
        waiting: Attempts that wait for the slot, oldest first.
    """

    attempt: str | None = None
    admitted_at: float = 0.0
    waiting: tuple[str, ...] = ()


def ask_slot(
    slot: SuspectSlot, attempt: str, now: float
) -> tuple[SuspectSlot, str | None]:
    """Ask for a slot; return the attempt that may run now, if that has changed."""
    if attempt == slot.attempt:
        return slot, attempt
    waiting = tuple(each for each in slot.waiting if each != attempt)
    return _admit_next(replace(slot, waiting=(*waiting, attempt)), now)


def release_slot(
    slot: SuspectSlot, attempt: str, now: float
) -> tuple[SuspectSlot, str | None]:
    """Leave a slot or its queue; return the attempt that may run now, if any."""
    waiting = tuple(each for each in slot.waiting if each != attempt)
    slot = replace(slot, waiting=waiting)
    if attempt == slot.attempt:
        slot = replace(slot, attempt=None)
    return _admit_next(slot, now)


def _admit_next(slot: SuspectSlot, now: float) -> tuple[SuspectSlot, str | None]:
    occupied = slot.attempt is not None and now - slot.admitted_at < SLOT_TIMEOUT_S
    if occupied or not slot.waiting:
        return slot, None
    first, *rest = slot.waiting
    return SuspectSlot(first, now, tuple(rest)), first
