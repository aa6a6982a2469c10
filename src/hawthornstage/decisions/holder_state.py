"""State, messages and effects of a holder of grants.

The transitions are in `holder`. All amounts are tokens, all times seconds of
the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hawthornstage.decisions.ledger import Mutation, Result
from hawthornstage.messages.budget_messages import (
    GrantRef,
    RecallTokens,
    Release,
    Reserve,
    ReserveOutcome,
    Sealed,
    Settle,
    Witness,
)


@dataclass(frozen=True)
class GrantPolicy:
    """Sizes and time limits of grants.

    Args:
        window_s: Time constant of the average of the demand.
        horizon_s: Spare tokens to hold, as seconds of the demand.
        max_share: Largest share of the budget's rest to request as spare tokens.
        min_requests: Least spare tokens, as a number of requests like the last one.
        recall_interval_s: Shortest time between two recalls from other holders.
        idle_s: Time without demand after which a grant is closed.
        runner_grace_s: Time for which a lost runner's reservations are kept.
        max_bills: Stored bills at which a grant is replaced, which bounds the size of
            the ledger's document.
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
        witnesses: Routers that keep copies of its bills.
        amount: Tokens that the ledger moved to it.
        sequence: Number of the last resize whose result is known.
        reservations: Open reservations by attempt.
        unstored: Final bills not yet in the ledger, by request id.
        stored: Tokens of the bills that are in the ledger.
        stored_bills: Number of the bills that are in the ledger.
        retiring: Whether it takes no new reservations.
        seals: Witnesses that refuse further bills, asked after a runner was lost.
        sealed_bills: Bills that these witnesses kept, tokens by request id.
        lost_runners: Runners whose reservations end once all witnesses have sealed.
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
        """Tokens that are reserved or billed."""
        reserved = sum(reservation.tokens for reservation in self.reservations.values())
        return reserved + sum(self.unstored.values()) + self.stored

    @property
    def free(self) -> int:
        """Tokens that may still be reserved."""
        return 0 if self.retiring else self.amount - self.used

    @property
    def ref(self) -> GrantRef:
        """The reference to the grant in messages to other routers."""
        return GrantRef(self.id, self.witnesses)


@dataclass(frozen=True)
class WaitingReservation:
    """A reservation that waits for a larger grant until a monotonic deadline."""

    reserve: Reserve
    deadline: float


@dataclass(frozen=True)
class Holder:
    """The state of one router's grants of one budget.

    Args:
        node: The router's name.
        incarnation: The incarnation of its process.
        budget: The workspace.
        policy: Sizes and time limits of grants.
        witnesses: Witnesses of the next grant.
        opened: Grants opened so far.
        grants: Grants not yet closed, oldest first.
        resizing: The grant whose resize was submitted and not yet answered, or None.
        waiting: Reservations that wait for a larger grant.
        demand: Average demand at `demand_at`, in tokens per second.
        demand_at: Time of the last update of `demand`.
        last_tokens: Tokens of the last requested reservation.
        left: Tokens outside all grants at the last result of a resize.
        other_holders: Other routers that held grants of this budget then.
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
        """The grant that new reservations are made from, or None."""
        live = [grant for grant in self.grants.values() if not grant.retiring]
        return live[-1] if live else None


@dataclass(frozen=True)
class Tick:
    """Periodic message on which timeouts and grant sizes are checked."""


@dataclass(frozen=True)
class Drain:
    """The router is shutting down and returns its grants."""


@dataclass(frozen=True)
class WitnessesChanged:
    """The routers chosen as witnesses of new grants have changed."""

    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class RunnerLost:
    """A runner has been silent for longer than the grace time."""

    node: str


@dataclass(frozen=True)
class MutationApplied:
    """A submitted mutation has been applied to the ledger."""

    result: Result


HolderMessage = (
    Reserve
    | Release
    | Settle
    | RecallTokens
    | Tick
    | Drain
    | WitnessesChanged
    | RunnerLost
    | Sealed
    | MutationApplied
)


@dataclass(frozen=True)
class ReplyToRunner:
    """Effect: send the outcome of a reservation to its runner."""

    attempt: str
    outcome: ReserveOutcome


@dataclass(frozen=True)
class SubmitMutation:
    """Effect: submit a mutation to the ledger."""

    mutation: Mutation


@dataclass(frozen=True)
class RecallFrom:
    """Effect: ask other holders to return their free tokens."""

    nodes: tuple[str, ...]


@dataclass(frozen=True)
class RequestSeals:
    """Effect: ask witnesses to seal a grant, which refuses further bills."""

    grant_id: str
    witnesses: tuple[Witness, ...]


@dataclass(frozen=True)
class AnnounceStored:
    """Effect: notify runners and witnesses that bills are in the ledger."""

    grant: GrantRef
    request_ids: tuple[str, ...]


Effect = ReplyToRunner | SubmitMutation | RecallFrom | RequestSeals | AnnounceStored
