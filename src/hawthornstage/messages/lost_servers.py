"""Messages about servers whose connections broke during calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hawthornstage.messages.backends import BackendServer


@dataclass(frozen=True)
class LostCall:
    """A call whose connection to its server broke.

    Args:
        fingerprint: Hash of the call, equal for repetitions of the same call.
        parts: Ids of the prompt's shared parts if the server had not begun to answer;
            otherwise they cannot have crashed it, and there are none.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class ServerLost:
    """A connection to a server broke during a call, for whatever reason."""

    server: BackendServer
    call: LostCall


class Reach(Enum):
    """Whether a router reaches a server."""

    REACHED = "reached"
    # The router reaches other servers, so it is not the router's links that fail.
    UNREACHED = "unreached"
    # The router reaches no other server, either, or does not tell.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CheckReach:
    """Asks whether this router reaches a server; the reply is a `Reach`."""

    server: BackendServer


@dataclass(frozen=True)
class ServerCrashed:
    """A server is reached by no router that can tell.

    Args:
        incarnation: The server's incarnation.
    """

    incarnation: str


@dataclass(frozen=True)
class StopChecks:
    """Ends the task that checks whether servers are reached."""
