"""The state of a holder of grants, what it is told, and what it wants done.

The steps between them are in `holder`. All amounts are tokens, all times seconds of
the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.decisions.ledger import Mutation, Result
from hawthornstage.messages.money import (
    GrantRef,
    Recall,
    Release,
    Reserve,
    ReserveOutcome,
    Sealed,
    Settle,
    Witness,
)


@dataclass(frozen=True)
class GrantPolicy:
    """How large grants are and how long things may take.

    Args:
        window_s: Time over which demand is averaged.
        horizon_s: Demand of this many seconds is held ahead.
        max_share: Largest share of what is left that is asked for ahead.
        min_requests: As many requests like the last are held ahead at least.
        recall_interval_s: Shortest time between two recalls.
        idle_s: A grant without demand for so long is closed.
        runner_grace_s: How long a lost runner's reservations stay untouched.
        max_bills: A grant with more bills is replaced, to bound the document.
    """

    window_s: float = 60.0
    horizon_s: float = 180.0
    max_share: float = 0.2
    min_requests: int = 4
    recall_interval_s: float = 0.2
    idle_s: float = 30.0
    runner_grace_s: float = 30.0
    max_bills: int = 500


@dataclass(frozen=True)
class HeldReservation:
    """Tokens reserved for one attempt of a runner."""

    tokens: int
    runner: str


@dataclass(frozen=True)
class HeldGrant:
    """A grant as its holder sees it.

    Args:
        id: The grant's id.
        witnesses: Who keeps copies of its bills.
        amount: What the ledger moved to it.
        sequence: Number of the last resize whose result is known.
        reservations: Open reservations by attempt.
        unstored: Final bills not yet in the ledger, by request id.
        stored: Tokens of the bills that are in the ledger.
        stored_bills: Their number.
        retiring: Whether nothing more is promised under it.
        seals: Witnesses that refuse further bills, asked after a runner was lost.
        sealed_bills: What these witnesses kept.
        lost_runners: Runners whose promises end once the witnesses are sealed.
        closing: Whether the closing mutation was submitted.
    """

    id: str
    witnesses: tuple[Witness, ...]
    amount: int = 0
    sequence: int = 0
    reservations: dict[str, HeldReservation] = field(default_factory=dict)
    unstored: dict[str, int] = field(default_factory=dict)
    stored: int = 0
    stored_bills: int = 0
    retiring: bool = False
    seals: frozenset[str] = frozenset()
    sealed_bills: dict[str, int] = field(default_factory=dict)
    lost_runners: frozenset[str] = frozenset()
    closing: bool = False

    @property
    def used(self) -> int:
        """Tokens that are promised or billed."""
        promised = sum(reservation.tokens for reservation in self.reservations.values())
        return promised + sum(self.unstored.values()) + self.stored

    @property
    def free(self) -> int:
        """Tokens that may still be promised."""
        return 0 if self.retiring else self.amount - self.used

    @property
    def ref(self) -> GrantRef:
        """The grant's name for other routers."""
        return GrantRef(self.id, self.witnesses)


@dataclass(frozen=True)
class WaitingReservation:
    """A reservation that waits for a larger grant."""

    reserve: Reserve
    deadline: float


@dataclass(frozen=True)
class Holder:
    """The state of one router's grants of one budget.

    Args:
        node: The router's name.
        incarnation: Its process.
        budget: The workspace.
        policy: Sizes and times.
        witnesses: Whom the next grant will name.
        opened: Grants opened so far.
        grants: Grants not yet closed, oldest first.
        resizing: The grant whose resize is on its way, or None.
        waiting: Reservations that wait.
        demand: Recent demand, in tokens a second.
        demand_at: When `demand` was brought up to date.
        last_tokens: Size of the last reservation asked for.
        left: Tokens outside all grants when the ledger last answered.
        other_holders: Routers that held grants of this budget then.
        recalled_at: Time of the last recall sent.
        draining: Whether the router is shutting down.
    """

    node: str
    incarnation: str
    budget: str
    policy: GrantPolicy = GrantPolicy()
    witnesses: tuple[Witness, ...] = ()
    opened: int = 0
    grants: dict[str, HeldGrant] = field(default_factory=dict)
    resizing: str | None = None
    waiting: tuple[WaitingReservation, ...] = ()
    demand: float = 0.0
    demand_at: float = 0.0
    last_tokens: int = 0
    left: int = 0
    other_holders: tuple[str, ...] = ()
    recalled_at: float = float("-inf")
    draining: bool = False

    @property
    def current(self) -> HeldGrant | None:
        """The grant that new reservations come from."""
        live = [grant for grant in self.grants.values() if not grant.retiring]
        return live[-1] if live else None


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Drain:
    """The router is shutting down: return everything."""


@dataclass(frozen=True)
class WitnessesChanged:
    """Names the routers that are fit to witness a new grant."""

    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class RunnerLost:
    """A runner has been silent for longer than the grace time."""

    node: str


@dataclass(frozen=True)
class MutationApplied:
    """A submitted mutation has taken effect."""

    result: Result


HolderMessage = (
    Reserve
    | Release
    | Settle
    | Recall
    | Tick
    | Drain
    | WitnessesChanged
    | RunnerLost
    | Sealed
    | MutationApplied
)


@dataclass(frozen=True)
class ReplyToRunner:
    """Effect: tell the runner what came of its reservation."""

    attempt: str
    outcome: ReserveOutcome


@dataclass(frozen=True)
class SubmitMutation:
    """Effect: put a mutation into the ledger."""

    mutation: Mutation


@dataclass(frozen=True)
class RecallFrom:
    """Effect: ask other holders to return what they do not need."""

    nodes: tuple[str, ...]


@dataclass(frozen=True)
class RequestSeals:
    """Effect: ask witnesses to refuse further bills of a grant."""

    grant_id: str
    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class AnnounceStored:
    """Effect: tell runners and witnesses that bills are in the ledger."""

    grant: GrantRef
    request_ids: tuple[str, ...]


Effect = ReplyToRunner | SubmitMutation | RecallFrom | RequestSeals | AnnounceStored
