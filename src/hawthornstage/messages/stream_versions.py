"""Messages about the software versions that began streams.

A stream must go on at servers of the version that began it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hawthornstage.messages.backends import BackendServer


@dataclass(frozen=True)
class StreamVersionNoted:
    """Tells the version that began a stream, to this router's own task or to another.

    Args:
        call_id: Id of the call that brought the first event.
        service: The service that the call was sent to.
        version: Version of the server.
    """

    call_id: str
    service: str
    version: str


# Stands for the version of a stream that began at a server whose process is not known.
UNKNOWN_VERSION = "\0"


@dataclass(frozen=True)
class StreamBeganUnconfirmed:
    """Tells this router's own task of a stream whose version is not certain.

    Args:
        call_id: Id of the call that brought the first event.
        service: The service that the call was sent to.
        server: The server, which may have started again since its entry was read.
    """

    call_id: str
    service: str
    server: BackendServer


@dataclass(frozen=True)
class ProcessReported:
    """Tells whether a server says that it is the process in the list.

    Args:
        incarnation: The process in the list.
        confirmed: Whether it says so; False also if it says nothing.
        asked_at: Monotonic time before it was asked, in seconds.
    """

    incarnation: str
    confirmed: bool
    asked_at: float


@dataclass(frozen=True)
class RequestStreamVersion:
    """Asks a router for the version of a stream; the reply is `StreamVersionReply`.

    Args:
        call_id: Id of the call that brought the first event, or empty if unknown.
        service: The service that the stream goes on at.
    """

    call_id: str
    service: str


@dataclass(frozen=True)
class StreamVersionReply:
    """What a router knows of a stream's version.

    Args:
        noted: The versions that it was told of; several if they contradict.
        recent: All versions that servers of the service had recently.
        complete: Whether it has known the service for long enough to have seen all
            versions that the stream may have begun at.
    """

    noted: tuple[str, ...]
    recent: tuple[str, ...]
    complete: bool


@dataclass(frozen=True, order=True)
class ServiceVersion:
    """A version of the software that servers of a service have or had."""

    service: str
    version: str


@dataclass(frozen=True)
class StreamBeganUnrecorded:
    """A stream began at a version that this router does not know to be recorded."""

    version: ServiceVersion


@dataclass(frozen=True)
class RecordedVersions:
    """The versions that routers had recorded in the store when this one started.

    Args:
        versions: All recently registered versions, by service.
    """

    versions: Mapping[str, frozenset[str]]


@dataclass(frozen=True)
class HandOverStreams:
    """Tells this router's own task that the router stops: others are to know its notes.

    Streams go on at other routers then, and these may be too young to conclude at which
    version.
    """


@dataclass(frozen=True)
class FindStreamVersion:
    """Asks this router's own task about a stream; the reply is `StreamVersionSources`.

    Args:
        request: The question to the other routers.
    """

    request: RequestStreamVersion


@dataclass(frozen=True)
class StreamVersionSources:
    """Where the version of a stream may be known.

    Args:
        own: What this router knows.
        holders: Other routers to ask.
    """

    own: StreamVersionReply
    holders: tuple[str, ...]
