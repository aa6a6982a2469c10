"""Messages about tokens that a router draws from the workspaces' budgets."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RequestReservation:
    """Asks for tokens for one call; the reply is `TokensReserved` or `TokensUnavailable`.

    Args:
        workspace: Whose budget pays.
        tokens: The most that the call can use.
    """

    workspace: str
    tokens: int


@dataclass(frozen=True)
class TokensReserved:
    """The tokens are set aside."""

    tokens: int


@dataclass(frozen=True)
class TokensUnavailable:
    """The tokens are not to be had now.

    Args:
        detail: What is known, for the log.
    """

    detail: str


@dataclass(frozen=True)
class TokensUsed:
    """A call has ended.

    Args:
        workspace: Whose budget pays.
        reserved: Tokens that were set aside for it.
        used: Tokens that it really used.
    """

    workspace: str
    reserved: int
    used: int


@dataclass(frozen=True)
class SpendingBound:
    """The most that a router may have spent of a budget some time after a record.

    Args:
        base: Tokens at the time of the record.
        slope: Tokens for each second since then.
        late_slope: The same from the time on at which the record's lease has ended,
            unless it was renewed.
    """

    base: int
    slope: float
    late_slope: float


@dataclass(frozen=True)
class ClockReading:
    """One moment by a host's two clocks.

    Args:
        monotonic: Monotonic time in seconds; starts anew with the host.
        wall: Time of day in seconds; may be set forward or back.
    """

    monotonic: float
    wall: float


@dataclass(frozen=True)
class RouterRecord:
    """What a router has told the store of its tokens.

    Args:
        mark: Unique to this record.
        at: Monotonic time just before the record was sent, in seconds.
        wall: The host's time of day at the same moment, in seconds.
        granted: Tokens that this process was given, by workspace.
        gifted: Those of them that came from other routers.
        bounds: What it may have spent of them, by workspace.
    """

    mark: str
    at: float
    wall: float
    granted: dict[str, int] = field(default_factory=dict)
    gifted: dict[str, int] = field(default_factory=dict)
    bounds: dict[str, SpendingBound] = field(default_factory=dict)


@dataclass(frozen=True)
class WriteRecord:
    """Asks for a record to be stored, together with a draw.

    Args:
        record: The record, without the draw.
        amounts: Tokens to draw, by workspace.
        budgets: Each workspace's whole budget in tokens, as far as it is known.
        minimum: Tokens that the calls that wait are short of, by workspace.
        required: Whether the record is to be stored even if nothing can be drawn.
    """

    record: RouterRecord
    amounts: dict[str, int]
    budgets: dict[str, int]
    minimum: dict[str, int] = field(default_factory=dict)
    required: bool = True


@dataclass(frozen=True)
class CloseAccounts:
    """Asks for what is free to be given back, and for the record's removal.

    Args:
        free: Tokens to give back, by workspace.
    """

    free: dict[str, int]


@dataclass(frozen=True)
class RecordStored:
    """A record is stored, and the draw has been made.

    Args:
        record: The record with the draw in it.
        granted: What was drawn with it, by workspace.
        drawn: Tokens drawn by all routers since the beginning, by workspace.
    """

    record: RouterRecord
    granted: dict[str, int]
    drawn: dict[str, int]


@dataclass(frozen=True)
class NothingDrawn:
    """Nothing could be drawn, and the record was not due.

    Args:
        drawn: Tokens drawn by all routers since the beginning, by workspace.
    """

    drawn: dict[str, int]


@dataclass(frozen=True)
class RecordNotStored:
    """A record is certainly not stored and will not be.

    Args:
        reason: Why.
        drawn: Tokens drawn by all routers, as far as it is known.
    """

    reason: str
    drawn: dict[str, int]


@dataclass(frozen=True)
class RecordOutcomeUnknown:
    """A record may be stored, or may still be; the next request settles it."""

    reason: str


@dataclass(frozen=True)
class RequestTransfer:
    """A router that cannot draw asks another one for some of its tokens."""

    workspace: str
    tokens: int


@dataclass(frozen=True)
class FinalTransfer:
    """Tokens that a router gives up for good as it stops, by workspace."""

    amounts: dict[str, int]


@dataclass(frozen=True)
class FinalTransferAccepted:
    """The receiver holds the tokens that were handed over."""


@dataclass(frozen=True)
class TokensTransferred:
    """Tokens that the sender has given up for good; 0 if it has none to spare."""

    workspace: str
    tokens: int
