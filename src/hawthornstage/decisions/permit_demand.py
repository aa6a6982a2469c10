"""Which calls of a service ask for the permits of its servers with a limit.

A limit counts calls, whatever their size, so the largest calls are best sent to
servers with a limit while others have none: these then read the fewest tokens. A router
asks for its largest recent calls, for a few more than it got permits for of late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Time over which calls and permits are counted, in seconds.
WINDOW_S = 4.0
# Calls that ask for a permit, as a multiple of the permits granted of late, and further
# ones.
ASK_RATIO = 1.3
ASK_SLACK = 1.0


@dataclass
class PermitDemand:
    """The recent calls of one service, and the permits that this router got for them.

    Args:
        sizes: Time and prompt tokens of each call.
        asked: Times at which permits were asked for.
        denied: Times at which permits were denied.
    """

    sizes: deque[tuple[float, int]] = field(default_factory=deque)
    asked: deque[float] = field(default_factory=deque)
    denied: deque[float] = field(default_factory=deque)

    def record_call(self, tokens: int, now: float) -> None:
        """Record a call."""
        self.expire(now)
        self.sizes.append((now, tokens))

    def should_ask(self, tokens: int, chance: float, now: float) -> bool:
        """Whether a call is large enough to ask for a permit.

        Args:
            tokens: Tokens of its prompt.
            chance: A number in [0, 1), which decides between calls of one size.
            now: Monotonic time in seconds.
        """
        self.expire(now)
        granted = max(0, len(self.asked) - len(self.denied))
        wanted = granted * ASK_RATIO + ASK_SLACK
        larger = sum(size > tokens for _, size in self.sizes)
        equal = sum(size == tokens for _, size in self.sizes)
        return larger + chance * max(1, equal) < wanted

    def expire(self, now: float) -> None:
        """Forget what is older than the window."""
        since = now - WINDOW_S
        while self.sizes and self.sizes[0][0] < since:
            self.sizes.popleft()
        for times in (self.asked, self.denied):
            while times and times[0] < since:
                times.popleft()
