"""The tokens that a router holds of each budget, and how much of them it may spend.

The ledger in the store counts, for each workspace, the tokens that routers have
drawn. A router draws before it promises: the count is raised by compare-and-swap
and never exceeds the budget.

A router keeps to the bound of its last record. The bound grows faster from
`LATE_AFTER_S` after the record on, when an outage has outlasted its lease. A record
that may or may not be stored binds as one that is.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from hawthornstage.messages.draws import Record

# Time over which demand is averaged, in seconds.
DEMAND_TAU_S = 5.0
# Weight of a call in the average size of calls.
CALL_TOKENS_WEIGHT = 0.1
# Size of a call before any was seen, in tokens.
INITIAL_CALL_TOKENS = 5_000.0
# Part of what is free that a router gives to another one at a time.
MAX_TRANSFER_FRACTION = 0.5
# Time after a record from which its bound grows faster, in seconds; longer than its
# lease.
LATE_AFTER_S = 3.8


@dataclass(frozen=True)
class TokenAccount:
    """One workspace's tokens at this router.

    Args:
        granted: Tokens that it was given, by the ledger or by other routers.
        gifted: Those of them that came from other routers.
        spent: Tokens that calls have used, or that went to other routers.
        open: Tokens that are set aside for calls.
        rate: Tokens used a second, averaged.
        rated_at: Monotonic time of the average.
        mean_call_tokens: Average size of a call, in tokens.
        drawn: Tokens drawn by all routers, as far as it is known.
    """

    granted: int = 0
    gifted: int = 0
    spent: int = 0
    open: int = 0
    rate: float = 0.0
    rated_at: float = 0.0
    mean_call_tokens: float = INITIAL_CALL_TOKENS
    drawn: int = 0

    @property
    def free(self) -> int:
        """Tokens that no call has."""
        return self.granted - self.spent - self.open

    def rate_at(self, now: float) -> float:
        """Return the demand as it has faded until now, in tokens a second."""
        return self.rate * math.exp(-max(0.0, now - self.rated_at) / DEMAND_TAU_S)


@dataclass(frozen=True)
class TokenAccounts:
    """All that a router holds.

    Args:
        accounts: By workspace.
        stored: The last record that is known to be stored.
        sent: A record that may be stored, or may still be.
    """

    accounts: dict[str, TokenAccount] = field(default_factory=dict)
    stored: Record | None = None
    sent: Record | None = None


def account_of(token_accounts: TokenAccounts, workspace: str) -> TokenAccount:
    """Return a workspace's account."""
    return token_accounts.accounts.get(workspace) or TokenAccount()


def with_account(
    token_accounts: TokenAccounts, workspace: str, account: TokenAccount
) -> TokenAccounts:
    """Replace a workspace's account."""
    return replace(
        token_accounts, accounts={**token_accounts.accounts, workspace: account}
    )


def limit(token_accounts: TokenAccounts, workspace: str, now: float) -> float:
    """Return the most that may be spent or set aside of a budget until now.

    What other routers gave since a record is not in it, and so may be spent beyond.
    """
    gifted = account_of(token_accounts, workspace).gifted
    records = [
        each
        for each in (token_accounts.stored, token_accounts.sent)
        if each is not None
    ]
    limits = (
        bound_at(each, workspace, now) + gifted - each.gifted.get(workspace, 0)
        for each in records
    )
    return min(limits, default=0.0)


def bound_at(record: Record, workspace: str, now: float) -> float:
    """Return what a record allows at a time of its own clock."""
    bound = record.bounds.get(workspace)
    if bound is None:
        return 0.0
    age = now - record.at
    late = max(0.0, age - LATE_AFTER_S)
    return bound.base + bound.slope * (age - late) + bound.late_slope * late


def reservable_tokens(
    token_accounts: TokenAccounts, workspace: str, now: float
) -> float:
    """Return the tokens that may be set aside now."""
    account = account_of(token_accounts, workspace)
    allowed = limit(token_accounts, workspace, now) - account.spent - account.open
    return min(account.free, allowed)


def reserve_tokens(
    token_accounts: TokenAccounts, workspace: str, tokens: int, now: float
) -> tuple[TokenAccounts, bool]:
    """Set tokens aside for a call; False if there is no room for them."""
    if reservable_tokens(token_accounts, workspace, now) < tokens:
        return token_accounts, False
    account = account_of(token_accounts, workspace)
    mean_call_tokens = account.mean_call_tokens + CALL_TOKENS_WEIGHT * (
        tokens - account.mean_call_tokens
    )
    account = replace(
        account, open=account.open + tokens, mean_call_tokens=mean_call_tokens
    )
    return with_account(token_accounts, workspace, account), True


def record_usage(
    token_accounts: TokenAccounts, workspace: str, reserved: int, used: int, now: float
) -> TokenAccounts:
    """Note that a call has ended, and what it used."""
    account = account_of(token_accounts, workspace)
    account = replace(
        account,
        spent=account.spent + used,
        open=account.open - reserved,
        rate=account.rate_at(now) + used / DEMAND_TAU_S,
        rated_at=now,
    )
    return with_account(token_accounts, workspace, account)


def add_drawn(token_accounts: TokenAccounts, granted: dict[str, int]) -> TokenAccounts:
    """Take in what was drawn from the ledger."""
    for workspace, tokens in granted.items():
        account = account_of(token_accounts, workspace)
        account = replace(account, granted=account.granted + tokens)
        token_accounts = with_account(token_accounts, workspace, account)
    return token_accounts


def update_drawn_totals(
    token_accounts: TokenAccounts, drawn: dict[str, int]
) -> TokenAccounts:
    """Take in what all routers have drawn."""
    for workspace, tokens in drawn.items():
        account = replace(account_of(token_accounts, workspace), drawn=tokens)
        token_accounts = with_account(token_accounts, workspace, account)
    return token_accounts


def transfer_in(
    token_accounts: TokenAccounts, workspace: str, tokens: int
) -> TokenAccounts:
    """Take in what another router has given."""
    account = account_of(token_accounts, workspace)
    account = replace(
        account, granted=account.granted + tokens, gifted=account.gifted + tokens
    )
    return with_account(token_accounts, workspace, account)


def transfer_out(
    token_accounts: TokenAccounts, workspace: str, tokens: int, now: float
) -> tuple[TokenAccounts, int]:
    """Give tokens to another router; here they count as spent."""
    account = account_of(token_accounts, workspace)
    spare = min(
        reservable_tokens(token_accounts, workspace, now),
        account.free * MAX_TRANSFER_FRACTION,
    )
    given = max(0, min(tokens, int(spare)))
    account = replace(account, spent=account.spent + given)
    return with_account(token_accounts, workspace, account), given


def transfer_all(
    token_accounts: TokenAccounts, now: float
) -> tuple[TokenAccounts, dict[str, int]]:
    """Take out all that may be given to another router; here it counts as spent."""
    amounts: dict[str, int] = {}
    for workspace, account in token_accounts.accounts.items():
        spare = int(reservable_tokens(token_accounts, workspace, now))
        if spare > 0:
            amounts[workspace] = spare
            token_accounts = with_account(
                token_accounts, workspace, replace(account, spent=account.spent + spare)
            )
    return token_accounts, amounts


def deduct_returns(
    token_accounts: TokenAccounts, amounts: dict[str, int]
) -> TokenAccounts:
    """Take out what is to go back to the ledger: the negative amounts."""
    for workspace, amount in amounts.items():
        if amount < 0:
            token_accounts = add_drawn(token_accounts, {workspace: amount})
    return token_accounts


def restore_returns(
    token_accounts: TokenAccounts, amounts: dict[str, int]
) -> TokenAccounts:
    """Undo `deduct_returns`, because the ledger did not take it."""
    returned = {name: -amount for name, amount in amounts.items() if amount < 0}
    return add_drawn(token_accounts, returned)


def deduct_free_tokens(
    token_accounts: TokenAccounts,
) -> tuple[TokenAccounts, dict[str, int]]:
    """Take out all that is free, to give it back."""
    free = {
        name: each.free
        for name, each in token_accounts.accounts.items()
        if each.free > 0
    }
    return deduct_returns(
        token_accounts, {name: -tokens for name, tokens in free.items()}
    ), free
