"""Backend servers as registered in the store."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class BackendServer:
    """One running backend server.

    Args:
        id: Unique id; the server accepts only requests addressed to this id.
        service: The service that it belongs to.
        host: Its IP address.
        port: Its port.
        failure_domain: The server's failure domain.
        slots: Calls that it runs concurrently.
        leaving: Whether it must receive no new calls.
        started_ms: Start time of its process, in milliseconds since the Unix epoch; a
            process that restarts under the same id has lost its cache and its queue.
        version: Version of its software, an opaque text; empty if it names none.
        cold_left_s: Time until it is warm, in seconds, when its entry was read; None if
            that is not known.
        invalid: Values of its entry that were not used as they are, for the log.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    started_ms: int
    version: str = ""
    cold_left_s: float | None = field(default=0.0, compare=False)
    invalid: tuple[str, ...] = field(default=(), compare=False)

    @property
    def incarnation(self) -> str:
        """Identifies the server's process, also if a restart keeps the id."""
        return f"{self.id}@{self.started_ms}"


def server_of(incarnation: str) -> str:
    """Return the id of the server whose process an incarnation identifies."""
    return incarnation.rpartition("@")[0]
