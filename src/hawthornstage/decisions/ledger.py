"""The ledger of prepaid budgets: documents and the mutations that change them.

A shard of the ledger is one document, changed by compare-and-swap only. Every
mutation is idempotent: applied again after a lost answer, it changes nothing and
gives the same result. All amounts are tokens.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hawthornstage.messages.money import Bill, Witness

# Bills of closed grants that a shard remembers to recognise a caller's retry: at
# about 45 bytes each they stay under a third of the largest value of 1 MB.
RECENT_BILLS_PER_SHARD = 6_000
# Bills that every budget of a full shard keeps all the same.
RECENT_BILLS_PER_BUDGET = 32
# Top-up ids that a budget remembers to recognise a repeated top-up.
TOP_UP_IDS_PER_BUDGET = 64
# Closed grants that a budget remembers to refuse their late messages.
CLOSED_GRANTS_PER_BUDGET = 32


@dataclass(frozen=True)
class Grant:
    """An amount moved from a budget to one holder.

    Args:
        holder: The router that may promise the amount.
        incarnation: The holder's process.
        witnesses: Routers that keep copies of unstored bills.
        amount: What was moved; includes what has been billed since.
        sequence: Number of the last resize.
        bills: Tokens by request id.
    """

    holder: str
    incarnation: str
    witnesses: tuple[Witness, ...]
    amount: int
    sequence: int
    bills: dict[str, int] = field(default_factory=dict)

    @property
    def billed(self) -> int:
        """Tokens billed under the grant."""
        return sum(self.bills.values())


@dataclass(frozen=True)
class Budget:
    """A workspace's prepaid budget.

    Args:
        topped_up: Sum of all top-ups.
        top_ups: The newest top-ups by id.
        billed: Tokens billed under grants that are closed.
        grants: Open grants by id.
        recent: The newest bills of closed grants, by request id.
        closed: The newest closed grants' ids.
    """

    topped_up: int = 0
    top_ups: dict[str, int] = field(default_factory=dict)
    billed: int = 0
    grants: dict[str, Grant] = field(default_factory=dict)
    recent: dict[str, int] = field(default_factory=dict)
    closed: tuple[str, ...] = ()

    @property
    def available(self) -> int:
        """Tokens that no grant holds and no bill has used."""
        granted = sum(grant.amount for grant in self.grants.values())
        return self.topped_up - self.billed - granted

    @property
    def total_billed(self) -> int:
        """Tokens billed under open and closed grants."""
        return self.billed + sum(grant.billed for grant in self.grants.values())

    def has_bill(self, request_id: str) -> bool:
        """Tell whether the request was billed within the remembered window."""
        if request_id in self.recent:
            return True
        return any(request_id in grant.bills for grant in self.grants.values())


@dataclass(frozen=True)
class Ledger:
    """One shard: budgets by workspace."""

    budgets: dict[str, Budget] = field(default_factory=dict)


@dataclass(frozen=True)
class TopUp:
    """Adds to a budget; a repeated id counts once."""

    budget: str
    id: str
    tokens: int


@dataclass(frozen=True)
class Resize:
    """Opens a grant, or changes its amount by the holder's next sequence number.

    Args:
        budget: The workspace.
        grant_id: Names the grant; made by its holder.
        holder: The holder's name.
        incarnation: The holder's process.
        witnesses: Witnesses, fixed when the grant opens.
        sequence: One more than the last resize; 1 opens the grant.
        amount: Wanted amount; less is given where the budget has less.
        min_amount: An enlargement that can't reach this much changes nothing.
        headroom: Tokens wanted on top of `amount` for demand to come.
        max_share: Largest share of what is then left that `headroom` may take.
    """

    budget: str
    grant_id: str
    holder: str
    incarnation: str
    witnesses: tuple[Witness, ...]
    sequence: int
    amount: int
    min_amount: int = 0
    headroom: int = 0
    max_share: float = 0.0


@dataclass(frozen=True)
class RecordBills:
    """Records final bills under their grant; a repeated request id counts once."""

    budget: str
    grant_id: str
    bills: dict[str, int]


@dataclass(frozen=True)
class Close:
    """Closes a grant after its last bills and returns the rest to the budget."""

    budget: str
    grant_id: str
    bills: dict[str, int]


Mutation = TopUp | Resize | RecordBills | Close


@dataclass(frozen=True)
class ToppedUp:
    """The top-up is in the budget."""

    topped_up: int
    repeated: bool


@dataclass(frozen=True)
class Resized:
    """The grant has this amount now; `left` remains outside all grants."""

    amount: int
    sequence: int
    left: int
    other_holders: tuple[str, ...] = ()


@dataclass(frozen=True)
class GrantNotOpen:
    """The grant is closed or was never opened."""

    grant_id: str


@dataclass(frozen=True)
class BillsRecorded:
    """These requests are billed once, now or earlier."""

    grant_id: str
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Closed:
    """The grant is closed; `returned` went back to the budget."""

    grant_id: str
    returned: int


Result = ToppedUp | Resized | GrantNotOpen | BillsRecorded | Closed


def apply(ledger: Ledger, mutation: Mutation) -> tuple[Ledger, Result]:
    """Apply a mutation to a shard.

    Returns:
        The new shard, the same object if nothing changed, and the result.
    """
    budget = ledger.budgets.get(mutation.budget, Budget())
    match mutation:
        case TopUp():
            changed, result = _top_up(budget, mutation)
        case Resize():
            changed, result = _resize(budget, mutation)
        case RecordBills():
            changed, result = _record_bills(budget, mutation)
        case Close():
            changed, result = _close_grant(budget, mutation)
    if changed is budget:
        return ledger, result
    budgets = {**ledger.budgets, mutation.budget: changed}
    if isinstance(mutation, Close):
        budgets = _prune_recent_bills(budgets)
    return Ledger(budgets), result


def _prune_recent_bills(budgets: dict[str, Budget]) -> dict[str, Budget]:
    """Forget the oldest bills of the budgets with the most, down to the limit."""
    excess = sum(len(each.recent) for each in budgets.values())
    excess -= RECENT_BILLS_PER_SHARD
    pruned = dict(budgets)
    while excess > 0:
        name = max(pruned, key=lambda each: len(pruned[each].recent))
        recent = pruned[name].recent
        kept = max(RECENT_BILLS_PER_BUDGET, len(recent) - excess, len(recent) // 2)
        if kept >= len(recent):
            break
        excess -= len(recent) - kept
        pruned[name] = replace(pruned[name], recent=_keep_newest(recent, kept))
    return pruned


def _top_up(budget: Budget, message: TopUp) -> tuple[Budget, Result]:
    if message.id in budget.top_ups:
        return budget, ToppedUp(budget.topped_up, True)
    top_ups = _keep_newest(
        {**budget.top_ups, message.id: message.tokens}, TOP_UP_IDS_PER_BUDGET
    )
    total = budget.topped_up + message.tokens
    return replace(budget, topped_up=total, top_ups=top_ups), ToppedUp(total, False)


def _resize(budget: Budget, message: Resize) -> tuple[Budget, Result]:
    grant = budget.grants.get(message.grant_id)
    if grant is None:
        if message.sequence != 1 or message.grant_id in budget.closed:
            return budget, GrantNotOpen(message.grant_id)
        grant = Grant(message.holder, message.incarnation, message.witnesses, 0, 0)
    other_holders = tuple(
        sorted({each.holder for each in budget.grants.values()} - {message.holder})
    )
    if message.sequence != grant.sequence + 1:
        return budget, Resized(
            grant.amount, grant.sequence, budget.available, other_holders
        )
    amount = max(grant.billed, min(message.amount, grant.amount + budget.available))
    if amount < message.min_amount:
        amount = grant.amount
    else:
        left = grant.amount + budget.available - amount
        amount += max(0, min(message.headroom, int(left * message.max_share)))
    changed = replace(grant, amount=amount, sequence=message.sequence)
    budget = replace(budget, grants={**budget.grants, message.grant_id: changed})
    return budget, Resized(amount, message.sequence, budget.available, other_holders)


def _record_bills(budget: Budget, message: RecordBills) -> tuple[Budget, Result]:
    grant = budget.grants.get(message.grant_id)
    ids = tuple(message.bills)
    if grant is None:
        if all(budget.has_bill(request_id) for request_id in ids):
            return budget, BillsRecorded(message.grant_id, ids)
        return budget, GrantNotOpen(message.grant_id)
    new = _select_new_bills(budget, grant, message.bills)
    if not new:
        return budget, BillsRecorded(message.grant_id, ids)
    changed = replace(grant, bills={**grant.bills, **new})
    grants = {**budget.grants, message.grant_id: changed}
    return replace(budget, grants=grants), BillsRecorded(message.grant_id, ids)


def _close_grant(budget: Budget, message: Close) -> tuple[Budget, Result]:
    grant = budget.grants.get(message.grant_id)
    if grant is None:
        if message.grant_id in budget.closed:
            return budget, Closed(message.grant_id, 0)
        # The grant may still be opened by a delayed resize: remember it as closed.
        closed = (*budget.closed, message.grant_id)[-CLOSED_GRANTS_PER_BUDGET:]
        return replace(budget, closed=closed), Closed(message.grant_id, 0)
    bills = {**grant.bills, **_select_new_bills(budget, grant, message.bills)}
    grants = {
        key: kept for key, kept in budget.grants.items() if key != message.grant_id
    }
    spent = sum(bills.values())
    changed = replace(
        budget,
        billed=budget.billed + spent,
        grants=grants,
        recent={**budget.recent, **bills},
        closed=(*budget.closed, message.grant_id)[-CLOSED_GRANTS_PER_BUDGET:],
    )
    return changed, Closed(message.grant_id, grant.amount - spent)


def _select_new_bills(
    budget: Budget, grant: Grant, bills: dict[str, int]
) -> dict[str, int]:
    """Pick the bills that are new, and cap their sum at the grant's rest."""
    rest = grant.amount - grant.billed
    new: dict[str, int] = {}
    for request_id, tokens in bills.items():
        if budget.has_bill(request_id):
            continue
        new[request_id] = min(tokens, rest)
        rest -= new[request_id]
    return new


def _keep_newest(items: dict[str, int], limit: int) -> dict[str, int]:
    excess = len(items) - limit
    if excess <= 0:
        return items
    return dict(list(items.items())[excess:])


def tokens_by_request(bills: tuple[Bill, ...]) -> dict[str, int]:
    """Return bills as tokens by request id."""
    return {bill.request_id: bill.tokens for bill in bills}
