"""Telling a request that crashes servers from those that were on them by chance.

A call whose server breaks off becomes a suspect on every router. A suspect is run
again only where no other suspect runs, so that a second broken server is its own
doing: then it is blocked. Calls that only shared a server run to their end and are
cleared. All times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

# Time after which a suspect is forgotten, in seconds.
SUSPECT_TTL_S = 600.0
# Time after which a blocked call may run again, in seconds.
BLOCK_TTL_S = 3_600.0
# Time after which a slot is free although nobody released it, in seconds.
SLOT_TIMEOUT_S = 120.0
# Suspects and blocked calls that a router remembers; the oldest go first.
MAX_TRACKED_FINGERPRINTS = 10_000


@dataclass(frozen=True)
class CrashSuspects:
    """What a router knows of calls that may crash servers.

    Args:
        suspects: Time at which each call was last suspected, by fingerprint.
        blocked: Time at which each call was blocked, by fingerprint.
    """

    suspects: dict[str, float] = field(default_factory=dict)
    blocked: dict[str, float] = field(default_factory=dict)


def add_suspect(
    crash_suspects: CrashSuspects, fingerprint: str, now: float
) -> CrashSuspects:
    """Note that a call's server broke off."""
    return replace(
        crash_suspects, suspects=_with_time(crash_suspects.suspects, fingerprint, now)
    )


def block_call(
    crash_suspects: CrashSuspects, fingerprint: str, now: float
) -> CrashSuspects:
    """Note that a call broke a second server on its own."""
    return replace(
        crash_suspects, blocked=_with_time(crash_suspects.blocked, fingerprint, now)
    )


def clear_suspect(crash_suspects: CrashSuspects, fingerprint: str) -> CrashSuspects:
    """Forget a suspicion; the call ran to its end."""
    kept = {
        key: at for key, at in crash_suspects.suspects.items() if key != fingerprint
    }
    return replace(crash_suspects, suspects=kept)


def is_suspect(crash_suspects: CrashSuspects, fingerprint: str, now: float) -> bool:
    """Tell whether a call may run only where no other suspect runs."""
    return _is_current(crash_suspects.suspects, fingerprint, now, SUSPECT_TTL_S)


def is_blocked(crash_suspects: CrashSuspects, fingerprint: str, now: float) -> bool:
    """Tell whether a call must not run."""
    return _is_current(crash_suspects.blocked, fingerprint, now, BLOCK_TTL_S)


def _with_time(times: Mapping[str, float], name: str, now: float) -> dict[str, float]:
    kept = {key: at for key, at in times.items() if key != name}
    kept[name] = now
    excess = len(kept) - MAX_TRACKED_FINGERPRINTS
    return dict(list(kept.items())[max(0, excess) :])


def _is_current(
    times: Mapping[str, float], name: str, now: float, ttl_s: float
) -> bool:
    at = times.get(name)
    return at is not None and now - at < ttl_s


@dataclass(frozen=True)
class SuspectSlot:
    """Who runs alone on a server, and who waits to.

    Args:
        attempt: The attempt that runs, or None.
        admitted_at: When it was let in.
        waiting: Attempts that wait, the oldest first.
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
