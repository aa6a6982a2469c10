"""Messages about tokens that a router draws from the workspaces' budgets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SetAside:
    """Asks for tokens for one call; the reply is `Aside` or `Short`.

    Args:
        workspace: Whose budget pays.
        tokens: The most that the call can use.
    """

    workspace: str
    tokens: int


@dataclass(frozen=True)
class Aside:
    """The tokens are set aside."""

    tokens: int


@dataclass(frozen=True)
class Short:
    """The tokens are not to be had now.

    Args:
        exhausted: Whether the budget itself does not cover the call.
        detail: What is known, for the log.
    """

    exhausted: bool
    detail: str


@dataclass(frozen=True)
class Used:
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
class Draw:
    """Asks for a draw from the ledger; negative amounts are given back.

    Args:
        amounts: Tokens by workspace.
        budgets: Each workspace's whole budget in tokens, as far as it is known.
    """

    amounts: dict[str, int]
    budgets: dict[str, int]


@dataclass(frozen=True)
class DrawMade:
    """What a draw brought.

    Args:
        granted: Tokens that this router holds now, by workspace.
        drawn: Tokens drawn by all routers since the beginning, by workspace.
    """

    granted: dict[str, int]
    drawn: dict[str, int]


@dataclass(frozen=True)
class DrawFailed:
    """The store did not answer; nothing is held that was not held before."""

    reason: str


@dataclass(frozen=True)
class TokensWanted:
    """A router that cannot draw asks another one for some of its tokens."""

    workspace: str
    tokens: int


@dataclass(frozen=True)
class TokensGiven:
    """Tokens that the sender has given up for good; 0 if it has none to spare."""

    workspace: str
    tokens: int
