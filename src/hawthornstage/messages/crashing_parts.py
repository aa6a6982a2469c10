"""Messages about prompt parts that crash the servers which begin to answer them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashDuringCall:
    """A server crashed before it had begun to answer a call.

    Args:
        server: The incarnation of the server; a restart begins another one.
        parts: Ids of the prompt's shared parts.
    """

    server: str
    parts: tuple[str, ...]


@dataclass(frozen=True)
class CrashConfirmed:
    """A crash during a call, told once it is certain.

    Args:
        crash: The crash.
        at: Monotonic time at which the connection broke, in seconds.
    """

    crash: CrashDuringCall
    at: float


@dataclass(frozen=True)
class AnswerBegan:
    """A server has begun to answer a call, so none of its parts crashes servers.

    Args:
        answered: Ids of the prompt's shared parts.
    """

    answered: tuple[str, ...]


@dataclass(frozen=True)
class PartBlocked:
    """A router has blocked a part, so one that starts must block it as well.

    Args:
        blocked: Id of the part.
    """

    blocked: str


# What routers tell each other; the fields' names tell the classes apart in the store.
CrashNews = CrashDuringCall | AnswerBegan | PartBlocked


@dataclass(frozen=True)
class CrashLogEntry:
    """One piece of news in a router's log.

    Args:
        number: Counts the router's entries from 1.
        news: What happened.
        age_s: Time since it happened when the log was written, in seconds.
    """

    number: int
    news: CrashNews
    age_s: float = 0.0


@dataclass(frozen=True)
class CrashLog:
    """The latest entries of one router, in order.

    Args:
        process: Identifies the router's process, whose entries it numbers.
        entries: The entries.
    """

    process: str
    entries: tuple[CrashLogEntry, ...] = ()


@dataclass(frozen=True)
class CrashLogRead:
    """The log of a router as read from the store.

    Args:
        node: The router's name.
        log: Its log.
    """

    node: str
    log: CrashLog


@dataclass(frozen=True)
class WriteCrashLog:
    """Asks for a log to be stored; the reply is `CrashLogWritten`."""

    log: CrashLog


@dataclass(frozen=True)
class CrashLogWritten:
    """Tells whether a log is stored for certain."""

    stored: bool
