"""Backend servers as they register themselves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendServer:
    """One running backend server.

    Args:
        id: Names this server; it answers only to this name.
        service: The group that it belongs to.
        host: Its IP address.
        port: Its port.
        failure_domain: Where it runs.
        slots: Calls that it runs at once.
        leaving: Whether it must get nothing new.
        started_ms: Start of its process in milliseconds since the Unix epoch; a new
            start under an old id has lost its cache and its queue.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    started_ms: int
