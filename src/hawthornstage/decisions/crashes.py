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
SUSPECT_S = 600.0
# Time after which a blocked call may run again, in seconds.
BLOCKED_S = 3_600.0
# Time after which a slot is free although nobody released it, in seconds.
SLOT_S = 120.0
# Suspects and blocked calls that a router remembers; the oldest go first.
MAX_REMEMBERED = 10_000


@dataclass(frozen=True)
class Crashes:
    """What a router knows of calls that may crash servers.

    Args:
        suspects: Time at which each call was last suspected, by fingerprint.
        blocked: Time at which each call was blocked, by fingerprint.
    """

    suspects: dict[str, float] = field(default_factory=dict)
    blocked: dict[str, float] = field(default_factory=dict)


def suspect(crashes: Crashes, fingerprint: str, now: float) -> Crashes:
    """Note that a call's server broke off."""
    return replace(crashes, suspects=_remember(crashes.suspects, fingerprint, now))


def block(crashes: Crashes, fingerprint: str, now: float) -> Crashes:
    """Note that a call broke a second server on its own."""
    return replace(crashes, blocked=_remember(crashes.blocked, fingerprint, now))


def clear(crashes: Crashes, fingerprint: str) -> Crashes:
    """Forget a suspicion; the call ran to its end."""
    kept = {key: at for key, at in crashes.suspects.items() if key != fingerprint}
    return replace(crashes, suspects=kept)


def is_suspect(crashes: Crashes, fingerprint: str, now: float) -> bool:
    """Tell whether a call may run only where no other suspect runs."""
    return _holds(crashes.suspects, fingerprint, now, SUSPECT_S)


def is_blocked(crashes: Crashes, fingerprint: str, now: float) -> bool:
    """Tell whether a call must not run."""
    return _holds(crashes.blocked, fingerprint, now, BLOCKED_S)


def _remember(times: Mapping[str, float], name: str, now: float) -> dict[str, float]:
    kept = {key: at for key, at in times.items() if key != name}
    kept[name] = now
    excess = len(kept) - MAX_REMEMBERED
    return dict(list(kept.items())[max(0, excess) :])


def _holds(times: Mapping[str, float], name: str, now: float, life: float) -> bool:
    at = times.get(name)
    return at is not None and now - at < life


@dataclass(frozen=True)
class Slot:
    """Who runs alone on a server, and who waits to.

    Args:
        attempt: The attempt that runs, or None.
        since: When it was let in.
        waiting: Attempts that wait, the oldest first.
    """

    attempt: str | None = None
    since: float = 0.0
    waiting: tuple[str, ...] = ()


def ask_slot(slot: Slot, attempt: str, now: float) -> tuple[Slot, str | None]:
    """Ask for a slot; return the attempt that may run now, if that has changed."""
    if attempt == slot.attempt:
        return slot, attempt
    waiting = tuple(each for each in slot.waiting if each != attempt)
    return _let_in(replace(slot, waiting=(*waiting, attempt)), now)


def release_slot(slot: Slot, attempt: str, now: float) -> tuple[Slot, str | None]:
    """Leave a slot or its queue; return the attempt that may run now, if any."""
    waiting = tuple(each for each in slot.waiting if each != attempt)
    slot = replace(slot, waiting=waiting)
    if attempt == slot.attempt:
        slot = replace(slot, attempt=None)
    return _let_in(slot, now)


def _let_in(slot: Slot, now: float) -> tuple[Slot, str | None]:
    occupied = slot.attempt is not None and now - slot.since < SLOT_S
    if occupied or not slot.waiting:
        return slot, None
    first, *rest = slot.waiting
    return Slot(first, now, tuple(rest)), first
