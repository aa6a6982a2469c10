"""Messages between routers that share a desired state and budgets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornstage.messages.desired import DesiredState


@dataclass(frozen=True)
class DesiredStateHeartbeat:
    """A heartbeat: which desired state a router uses.

    Args:
        node: The router.
        version: The desired state's version, 0 for none.
    """

    node: str
    version: int


@dataclass(frozen=True)
class RequestDesiredState:
    """Asks for the desired state; the reply is `DesiredStateOffered`."""


@dataclass(frozen=True)
class DesiredStateOffered:
    """A desired state as the operators wrote it.

    Args:
        document: Its bytes; empty if the sender knows none.
    """

    document: bytes


@dataclass(frozen=True)
class ServerFailedDuringCall:
    """A server broke off under a call; enough of these block the call.

    Args:
        fingerprint: Hash of what makes two calls the same call.
        server: The server that broke off.
    """

    fingerprint: str
    server: str


@dataclass(frozen=True)
class DesiredStateInUse:
    """The desired state that this router uses from now on."""

    state: DesiredState
    document: bytes


@dataclass(frozen=True)
class KnownRouters:
    """Addresses of the other routers, by name."""

    urls: Mapping[str, str]
