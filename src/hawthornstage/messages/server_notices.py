"""What backend servers say of themselves in their responses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerNotice:
    """What a server says of itself in the head of a response.

    Args:
        calls_per_s: Calls per second that it accepts from all routers together, or
            None if it names no limit.
        invalid: Values that cannot be used, for the log.
    """

    calls_per_s: float | None = None
    invalid: tuple[str, ...] = ()


SILENT_NOTICE = ServerNotice()
