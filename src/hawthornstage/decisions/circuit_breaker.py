"""Stops calls to a service that does not respond, except for a probe now and then."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

# Consecutive failures that open the circuit.
MAX_FAILURES = 2
# Interval of the probes while the circuit is open, doubled with each that fails, in
# seconds.
FIRST_PROBE_INTERVAL_S = 0.25
MAX_PROBE_INTERVAL_S = 0.5


@dataclass
class CircuitBreaker:
    """The circuit that all clients of one service in a process share.

    Times are seconds of the monotonic clock.

    Args:
        failures: Consecutive failures.
        probe_at: Time from which the next probe is allowed.
        interval_s: Time from a failed probe to the next.
    """

    failures: int = 0
    probe_at: float = float("-inf")
    interval_s: float = FIRST_PROBE_INTERVAL_S
    lock: threading.Lock = field(default_factory=threading.Lock)

    def allows(self, now: float) -> bool:
        """Return whether a call may be made; an allowed probe counts as begun."""
        with self.lock:
            if self.failures < MAX_FAILURES:
                return True
            if now < self.probe_at:
                return False
            self.probe_at = now + self.interval_s
            return True

    def record_success(self) -> None:
        """Close the circuit."""
        with self.lock:
            self.failures = 0
            self.interval_s = FIRST_PROBE_INTERVAL_S

    def record_failure(self, now: float) -> None:
        """Count a failure; it opens the circuit or postpones the next probe."""
        with self.lock:
            self.failures += 1
            if self.failures < MAX_FAILURES:
                return
            self.probe_at = max(self.probe_at, now + self.interval_s)
            self.interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self.interval_s)
