"""Messages about the tokens that a router draws from workspace budgets.

All amounts are tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RequestReservation:
    """Asks to reserve tokens for one call.

    The reply is `TokensReserved` or `TokensUnavailable`.

    Args:
        workspace: The workspace that pays for the call.
        tokens: Upper bound of what the call can use.
        time_left_s: Time until the call's deadline, in seconds.
    """

    workspace: str
    tokens: int
    time_left_s: float = 0.0


@dataclass(frozen=True)
class RequestCallTokens:
    """Asks a holder for the tokens of one call.

    The reply is `TokensTransferred`, with 0 tokens if the holder cannot provide them.

    Args:
        workspace: The workspace that pays for the call.
        tokens: Tokens that the sender lacks for the call.
    """

    workspace: str
    tokens: int


@dataclass(frozen=True)
class TokensReserved:
    """The requested tokens are reserved for the call."""

    tokens: int


@dataclass(frozen=True)
class TokensUnavailable:
    """The requested tokens cannot be reserved at present.

    Args:
        detail: Explanation for the log.
    """

    detail: str


@dataclass(frozen=True)
class TokensUsed:
    """Reports the actual use of a call that has ended.

    Args:
        workspace: The workspace that pays for the call.
        reserved: Tokens reserved for the call.
        used: Tokens that the call used.
    """

    workspace: str
    reserved: int
    used: int


@dataclass(frozen=True)
class SpendingBound:
    """Upper bound of a router's spending as a function of a record's age.

    Args:
        base: Bound at the time of the record, in tokens.
        slope: Growth of the bound until the record is late, in tokens per second.
        late_slope: Growth from then on, in tokens per second.
    """

    base: int
    slope: float
    late_slope: float


@dataclass(frozen=True)
class ClockReading:
    """The same instant on a host's monotonic and wall clocks.

    Args:
        monotonic: Monotonic time in seconds; resets when the host restarts.
        wall: Wall time in seconds; may be adjusted in either direction.
    """

    monotonic: float
    wall: float


@dataclass(frozen=True)
class RouterRecord:
    """A router's token accounts as written to the store.

    Args:
        mark: Unique id of this record.
        at: Monotonic time just before the record was sent, in seconds.
        wall: The host's wall time at the same instant, in seconds.
        granted: Tokens that this process has received, by workspace.
        gifted: The part of `granted` that other routers transferred, by workspace.
        bounds: Upper bounds of what the process has spent, by workspace.
        late_after_s: Age from which the bounds grow faster, in seconds; the record's
            lease ends before.
        epoch: The store's epoch in which it was written.
    """

    mark: str
    at: float
    wall: float
    granted: dict[str, int] = field(default_factory=dict)
    gifted: dict[str, int] = field(default_factory=dict)
    bounds: dict[str, SpendingBound] = field(default_factory=dict)
    late_after_s: float = 3.8
    epoch: int = 0


@dataclass(frozen=True)
class WriteRecord:
    """Asks to store a record and to draw tokens in the same transaction.

    Args:
        record: The record before the draw.
        amounts: Tokens to draw, by workspace.
        budgets: Total budgets in tokens, by workspace, as far as they are known.
        minimum: Smallest useful draw, by workspace: the tokens that the smallest
            waiting call lacks.
        required: Whether to store the record even if nothing can be drawn.
    """

    record: RouterRecord
    amounts: dict[str, int]
    budgets: dict[str, int]
    minimum: dict[str, int] = field(default_factory=dict)
    required: bool = True


@dataclass(frozen=True)
class CloseAccounts:
    """Asks to return unreserved tokens to the budgets and to remove the record.

    Args:
        free: Tokens to return, by workspace.
    """

    free: dict[str, int]


@dataclass(frozen=True)
class RecordStored:
    """The record is stored and the draw is committed.

    Args:
        record: The stored record, which includes the draw.
        granted: Tokens drawn with this record, by workspace.
        drawn: Total tokens drawn by all routers so far, by workspace.
    """

    record: RouterRecord
    granted: dict[str, int]
    drawn: dict[str, int]


@dataclass(frozen=True)
class NothingDrawn:
    """Nothing could be drawn and the record did not have to be stored.

    Args:
        drawn: Total tokens drawn by all routers so far, by workspace.
    """

    drawn: dict[str, int]


@dataclass(frozen=True)
class RecordNotStored:
    """The record is definitely not stored and cannot be stored later.

    Args:
        reason: Why the write had no effect.
        drawn: Total tokens drawn by all routers, by workspace, as far as it is known.
    """

    reason: str
    drawn: dict[str, int]


@dataclass(frozen=True)
class RecordOutcomeUnknown:
    """The record may have been stored or may still be; the next write resolves it."""

    reason: str


@dataclass(frozen=True)
class RecordForfeited:
    """The store was restored from a copy after a record was sent to it.

    Nothing that the record drew is granted, and nothing that it returned comes back:
    whether the copy holds the write does not matter then.

    Args:
        reason: What happened, for the log.
        drawn: Total tokens drawn by all routers, by workspace, as far as it is known.
    """

    reason: str
    drawn: dict[str, int]


RecordOutcome = (
    RecordStored
    | RecordNotStored
    | RecordOutcomeUnknown
    | RecordForfeited
    | NothingDrawn
)


@dataclass(frozen=True)
class CountsStored:
    """Tells other routers of changed counts, which the store may lose.

    Args:
        epoch: The store's epoch.
        revision: The store's revision of the change.
        counts: Tokens drawn by all routers so far, by workspace.
    """

    epoch: int
    revision: int
    counts: dict[str, int]


@dataclass(frozen=True)
class RequestTransfer:
    """Asks another router to transfer tokens, if the sender cannot draw any."""

    workspace: str
    tokens: int


@dataclass(frozen=True)
class FinalTransfer:
    """Transfers a stopping router's remaining tokens permanently, by workspace."""

    amounts: dict[str, int]


@dataclass(frozen=True)
class FinalTransferAccepted:
    """The receiver holds the tokens of a `FinalTransfer`."""


@dataclass(frozen=True)
class TokensTransferred:
    """Transfers tokens permanently; 0 if the sender has none to spare."""

    workspace: str
    tokens: int
