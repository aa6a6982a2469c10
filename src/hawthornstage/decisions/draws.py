"""Token accounts: the tokens that a router holds of each budget and may spend.

The ledger in the store counts, for each workspace, the tokens that routers have
drawn. A router draws before it reserves tokens for calls: the count is raised by
compare-and-swap and never exceeds the budget.

A router spends at most what its last record allows. The bound grows faster once the
record is late, when an outage has outlasted the record's lease. A record whose write
has an unknown outcome limits spending like a stored one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.messages.draws import RouterRecord

# Time constant of the average of the demand, in seconds.
DEMAND_TAU_S = 5.0
# Weight of one call in the moving average of call sizes.
CALL_TOKENS_WEIGHT = 0.1
# Assumed size of a call before the first one, in tokens.
INITIAL_CALL_TOKENS = 5_000.0
# Largest fraction of the free tokens that one transfer moves to another router.
MAX_TRANSFER_FRACTION = 0.5


@dataclass(frozen=True)
class TokenAccount:
    """The tokens that this router holds of one workspace's budget.

    Args:
        granted: Tokens received, drawn from the ledger or transferred by other routers.
        gifted: The part of `granted` that other routers transferred.
        spent: Tokens that calls have used or that were transferred to other routers.
        open: Tokens reserved for calls in progress.
        rate: Average demand at `rated_at`, in tokens per second.
        rated_at: Monotonic time of the last update of `rate`, in seconds.
        mean_call_tokens: Average size of a call, in tokens.
        drawn: Tokens drawn by all routers, as last read from the ledger.
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
        """Tokens neither spent nor reserved."""
        return self.granted - self.spent - self.open

    def rate_at(self, now: float) -> float:
        """Return the demand decayed to now, in tokens per second."""
        return self.rate * math.exp(-max(0.0, now - self.rated_at) / DEMAND_TAU_S)


@dataclass(frozen=True)
class TokenAccounts:
    """The token accounts of a router, with the records that bound its spending.

    Args:
        accounts: Token accounts by workspace.
        stored: The last record that is known to be stored.
        sent: A record whose write has not been confirmed or refused, or None.
    """

    accounts: dict[str, TokenAccount] = field(default_factory=dict)
    stored: RouterRecord | None = None
    sent: RouterRecord | None = None


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
    """Return the most tokens of a budget that may be spent or reserved by now.

    Tokens that other routers transferred after a record are not part of it and may be
    spent on top of its bound.
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


def bound_at(record: RouterRecord, workspace: str, now: float) -> float:
    """Return the tokens that a record allows at a time of its writer's clock."""
    bound = record.bounds.get(workspace)
    if bound is None:
        return 0.0
    age = now - record.at
    late = max(0.0, age - record.late_after_s)
    return bound.base + bound.slope * (age - late) + bound.late_slope * late


def reservable_tokens(
    token_accounts: TokenAccounts, workspace: str, now: float
) -> float:
    """Return the tokens that may be reserved now."""
    account = account_of(token_accounts, workspace)
    allowed = limit(token_accounts, workspace, now) - account.spent - account.open
    return min(account.free, allowed)


def give_call_tokens(
    token_accounts: TokenAccounts, workspace: str, tokens: int, now: float
) -> tuple[TokenAccounts, bool]:
    """Transfer the tokens of a call to the router that serves it.

    They count as spent and as demand of this router.

    Returns:
        The new state, and False if too few tokens can be transferred.
    """
    token_accounts, reserved = reserve_tokens(token_accounts, workspace, tokens, now)
    if not reserved:
        return token_accounts, False
    return record_usage(token_accounts, workspace, tokens, tokens, now), True


def reserve_tokens(
    token_accounts: TokenAccounts, workspace: str, tokens: int, now: float
) -> tuple[TokenAccounts, bool]:
    """Reserve tokens for a call.

    Returns:
        The new state, and False if too few tokens can be reserved.
    """
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
    """Release a call's reservation and count the tokens that it used."""
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
    """Add tokens drawn from the ledger, by workspace."""
    for workspace, tokens in granted.items():
        account = account_of(token_accounts, workspace)
        account = replace(account, granted=account.granted + tokens)
        token_accounts = with_account(token_accounts, workspace, account)
    return token_accounts


def update_drawn_totals(
    token_accounts: TokenAccounts, drawn: dict[str, int]
) -> TokenAccounts:
    """Store the totals that all routers have drawn, by workspace."""
    for workspace, tokens in drawn.items():
        account = replace(account_of(token_accounts, workspace), drawn=tokens)
        token_accounts = with_account(token_accounts, workspace, account)
    return token_accounts


def transfer_in(
    token_accounts: TokenAccounts, workspace: str, tokens: int
) -> TokenAccounts:
    """Add tokens that another router has transferred."""
    account = account_of(token_accounts, workspace)
    account = replace(
        account, granted=account.granted + tokens, gifted=account.gifted + tokens
    )
    return with_account(token_accounts, workspace, account)


def transfer_out(
    token_accounts: TokenAccounts, workspace: str, tokens: int, now: float
) -> tuple[TokenAccounts, int]:
    """Transfer tokens to another router; they count as spent at this one.

    Returns:
        The new state and the tokens transferred, which may be fewer than asked for.
    """
    account = account_of(token_accounts, workspace)
    transferable = min(
        reservable_tokens(token_accounts, workspace, now),
        account.free * MAX_TRANSFER_FRACTION,
    )
    transferred = max(0, min(tokens, int(transferable)))
    account = replace(account, spent=account.spent + transferred)
    return with_account(token_accounts, workspace, account), transferred


def transfer_all(
    token_accounts: TokenAccounts, workspaces: Iterable[str], now: float
) -> tuple[TokenAccounts, dict[str, int]]:
    """Transfer all reservable tokens of some workspaces to another router.

    They count as spent here.

    Returns:
        The new state and the tokens transferred, by workspace.
    """
    amounts: dict[str, int] = {}
    for workspace in workspaces:
        account = account_of(token_accounts, workspace)
        transferable = int(reservable_tokens(token_accounts, workspace, now))
        if transferable > 0:
            amounts[workspace] = transferable
            token_accounts = with_account(
                token_accounts,
                workspace,
                replace(account, spent=account.spent + transferable),
            )
    return token_accounts, amounts


def deduct_returns(
    token_accounts: TokenAccounts, amounts: dict[str, int]
) -> TokenAccounts:
    """Deduct the tokens that return to the ledger: the negative amounts."""
    for workspace, amount in amounts.items():
        if amount < 0:
            token_accounts = add_drawn(token_accounts, {workspace: amount})
    return token_accounts


def restore_returns(
    token_accounts: TokenAccounts, amounts: dict[str, int]
) -> TokenAccounts:
    """Undo `deduct_returns` after the ledger has not accepted the return."""
    returned = {name: -amount for name, amount in amounts.items() if amount < 0}
    return add_drawn(token_accounts, returned)
