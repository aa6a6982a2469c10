"""What a router knows of its own calls on each backend server.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hawthornstage.decisions.connection_share import CallLimit, LimitRange


@dataclass
class ServerLoad:
    """The load of one server, as far as this router knows it.

    Args:
        calls: This router's calls there without a first byte: tokens to read, by call.
        running: Number of this router's calls there.
        lateness_s: Average delay of its first bytes beyond the expected time.
        lateness_at: Time of the last update of `lateness_s`.
        failures: Consecutive failed calls.
        avoid_until: Time until which the server is avoided.
        address_reused: Whether another server has its address; reset when it
            registers again.
        prompt_parts: Time at which each prompt part was last sent there, by part.
        room_at: Time until which it has no room within the limit that it named.
        call_limit: Limit of this router's calls there.
    """

    calls: dict[str, int] = field(default_factory=dict)
    running: int = 0
    lateness_s: float = 0.0
    lateness_at: float = 0.0
    failures: int = 0
    avoid_until: float = 0.0
    address_reused: bool = False
    prompt_parts: dict[str, float] = field(default_factory=dict)
    room_at: float = 0.0
    call_limit: CallLimit = field(default_factory=CallLimit)

    def add_parts(self, parts: Iterable[str], most: int, now: float) -> None:
        """Note the prompt parts of a call, and forget those sent longest ago.

        Args:
            parts: The parts.
            most: Number of parts that are kept.
            now: Monotonic time in seconds.
        """
        for part in parts:
            self.prompt_parts.pop(part, None)
            self.prompt_parts[part] = now
        while len(self.prompt_parts) > most:
            del self.prompt_parts[next(iter(self.prompt_parts))]


@dataclass
class SentCall:
    """A call in progress.

    Args:
        server: The server's id.
        at: Time at which it was sent.
        expected_s: Expected time to its first byte on a server without a queue.
        limits: The range of the limit of calls on the server.
        first_byte_received: Whether the first byte of the answer has arrived.
    """

    server: str
    at: float
    expected_s: float
    limits: LimitRange
    first_byte_received: bool = False
