"""Messages between routers that share a desired state and budgets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornstage.messages.desired import DesiredState


@dataclass(frozen=True)
class DesiredStateHeartbeat:
    """Announces the version of the desired state that a router uses.

    Args:
        node: The router's name.
        version: Version of the desired state, 0 for none.
    """

    node: str
    version: int


@dataclass(frozen=True)
class RequestDesiredState:
    """Asks for the desired state; the reply is `DesiredStateOffered`."""


@dataclass(frozen=True)
class DesiredStateOffered:
    """A desired state as the operators published it.

    Args:
        document: The encoded document; empty if the sender has none.
    """

    document: bytes


@dataclass(frozen=True)
class RequestCompressedState:
    """Asks for the desired state; the reply is `CompressedStateOffered`."""


@dataclass(frozen=True)
class CompressedStateOffered:
    """A desired state as the operators published it, compressed.

    Args:
        data: The compressed document; empty if the sender has none.
    """

    data: bytes


@dataclass(frozen=True)
class ServerFailedDuringCall:
    """A server failed during a call; enough of these messages block the call.

    Args:
        fingerprint: Hash of the call, equal for repetitions of the same call.
        server: The server that failed.
    """

    fingerprint: str
    server: str


@dataclass(frozen=True)
class CallBlocked:
    """Too many servers failed during a call; no router may send it any more.

    Args:
        fingerprint: Hash of the call.
        age_s: Time since the last of these failures, in seconds; None for none, as
            earlier builds send it.
    """

    fingerprint: str
    age_s: float | None = None


@dataclass(frozen=True)
class DesiredStateInUse:
    """Announces a newly adopted desired state to this router's tasks."""

    state: DesiredState
    document: bytes


@dataclass(frozen=True)
class KnownRouters:
    """The other known routers.

    Args:
        urls: The addresses of their processes, by name: a router that starts again has
            another one, and knows nothing of what it was told before.
        settled: Whether two reads in a row found the same routers. While a fleet
            starts, few of them are known.
    """

    urls: Mapping[str, str]
    settled: bool = True
