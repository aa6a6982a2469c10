"""Messages between calls and the task that knows the backend servers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.forward import (
    DEFAULT_MAX_CONNECTIONS,
    PlacementBasis,
    PooledConnection,
    Prompt,
)


@dataclass(frozen=True)
class RegisteredServers:
    """All registered servers, by id."""

    servers: Mapping[str, BackendServer]


@dataclass(frozen=True)
class RequestServer:
    """Asks for a server; the reply is `ServerChosen` or `NoServerAvailable`.

    Args:
        call_id: The call.
        service: The group to choose from.
        prompt: What is known of its prompt, or None.
        excluded: Ids of servers that were tried before.
        retry: Whether this is a try after the first.
        max_connections_per_server: Connections that one server of the group accepts from all routers.
        repeatable: Whether the call may run again, and so may use a kept connection.
    """

    call_id: str
    service: str
    prompt: Prompt | None
    excluded: frozenset[str]
    retry: bool
    max_connections_per_server: int = DEFAULT_MAX_CONNECTIONS
    repeatable: bool = False


@dataclass(frozen=True)
class ServerChosen:
    """The call goes to this server.

    Args:
        server: The server.
        basis: What decided the choice.
        pooled: A connection to it that is idle, or None; the receiver owns it now.
    """

    server: BackendServer
    basis: PlacementBasis
    pooled: PooledConnection | None = None


@dataclass(frozen=True)
class NoServerAvailable:
    """No server may get the call now."""

    reason: str


@dataclass(frozen=True)
class FirstByteReceived:
    """A server has begun to answer a call."""

    call_id: str


@dataclass(frozen=True)
class CallEnded:
    """A call has left its server.

    Args:
        call_id: The call.
        failed: Whether the server is to blame.
        refused: Whether the server said that it is full.
        address_reused: Whether another server has its address now.
        pooled: The connection, if another call may use it; the receiver owns it now.
    """

    call_id: str
    failed: bool
    refused: bool
    address_reused: bool = False
    pooled: PooledConnection | None = None
