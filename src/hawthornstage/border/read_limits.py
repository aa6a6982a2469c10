"""Limits on reading a request, which may change while it is read."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from hawthornstage.clock import Clock

# Longest time in which a request arrives, in seconds, unless it is set.
REQUEST_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class ReadLimits:
    """Limits on reading one request, which may change while it is read.

    Args:
        first_byte_timeout_s: Longest wait for the first byte, in seconds.
        read_timeout_s: Longest time from the first byte to the complete head, and
            after it longest wait for each part of the body, in seconds.
        body_bytes: Largest body, in bytes.
        header_bytes: Largest head, in bytes.
        request_timeout_s: Longest time from the first byte to the end of the body, in
            seconds.
    """

    first_byte_timeout_s: float
    read_timeout_s: float
    body_bytes: int
    header_bytes: int = 16_384
    request_timeout_s: float = REQUEST_TIMEOUT_S


@dataclass(frozen=True)
class LimitsChanged:
    """Wakes a task that waits for a caller: its limits may be others now."""


class RequestTimes:
    """Times by which a request and its parts must have arrived.

    They follow the limits in force, which are read each time.

    Args:
        clock: The runtime's clock.
        limits: Returns the limits on the request that are in force.
    """

    def __init__(self, clock: Clock, limits: Callable[[], ReadLimits]) -> None:
        self.clock = clock
        self.limits = limits
        # Times at which the wait for the next part and the request itself began.
        self.waits_since = clock.monotonic()
        self.begun_at = math.inf

    def begin(self) -> None:
        """Note the first byte of the request."""
        self.begun_at = self.waits_since = self.clock.monotonic()

    def extend(self) -> None:
        """Give the caller time for the next part of the request."""
        self.waits_since = self.clock.monotonic()

    @property
    def ends_at(self) -> float:
        """Monotonic time by which the whole request must have arrived, in seconds."""
        return self.begun_at + self.limits().request_timeout_s

    @property
    def deadline(self) -> float:
        """Monotonic time by which its next part must arrive, in seconds."""
        limits = self.limits()
        if self.begun_at == math.inf:
            return self.waits_since + limits.first_byte_timeout_s
        return min(self.waits_since + limits.read_timeout_s, self.ends_at)
