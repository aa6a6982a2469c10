"""Which routers hold the spare tokens of a workspace.

In a large fleet, the calls of one workspace come to each router rarely. Tokens that
every router held ahead of them would lie where no call comes, and be lost with it. So a
few routers, chosen by rendezvous hashing, hold a workspace's spare tokens, and all
others get the tokens of each call from them. In a small fleet all routers are holders.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hawthornstage.decisions.membership import rendezvous_order

# Routers that hold spare tokens of one workspace.
HOLDERS_PER_WORKSPACE = 8
# Holders asked for the tokens of one call, one after the other, before the router draws
# them from the budget itself. All are asked while it cannot draw.
MAX_HOLDERS_ASKED = 3


@dataclass(frozen=True)
class HolderDirectory:
    """The holders of each workspace, as one router sees them.

    Args:
        node: This router.
        routers: All known routers; without others, none is known yet or exists.
        orders: Cache of the holders by workspace.
    """

    node: str
    routers: frozenset[str] = frozenset()
    orders: dict[str, tuple[str, ...]] = field(default_factory=dict, compare=False)

    def updated(self, others: Iterable[str]) -> HolderDirectory:
        """Return the directory with other known routers, or this one if none changed.

        Args:
            others: Names of all known routers but this one.
        """
        routers = frozenset((self.node, *others))
        return self if routers == self.routers else HolderDirectory(self.node, routers)

    @property
    def holder_count(self) -> int:
        """The number of holders of each workspace."""
        return max(1, min(len(self.routers), HOLDERS_PER_WORKSPACE))

    def holders(self, workspace: str) -> tuple[str, ...]:
        """Return the routers that hold spare tokens of a workspace."""
        order = self.orders.get(workspace)
        if order is None:
            ranked = rendezvous_order(workspace, self.routers)
            order = self.orders[workspace] = tuple(ranked[:HOLDERS_PER_WORKSPACE])
        return order

    def is_holder(self, workspace: str) -> bool:
        """Whether this router holds spare tokens of a workspace."""
        return self.node in self.holders(workspace)

    def other_holders(self, workspace: str) -> tuple[str, ...]:
        """Return the holders but this router, in an order that differs by router."""
        others = [each for each in self.holders(workspace) if each != self.node]
        return tuple(rendezvous_order(f"{workspace}\n{self.node}", others))

    def holder_to_ask(
        self, workspace: str, asked: int, *, can_draw: bool = True
    ) -> str | None:
        """Return the holder that gets the next question for the tokens of a call.

        Args:
            workspace: The workspace.
            asked: Holders asked for this call so far.
            can_draw: Whether this router can draw the tokens instead.

        Returns:
            The holder, or None if this router draws the tokens itself.
        """
        most = MAX_HOLDERS_ASKED if can_draw else HOLDERS_PER_WORKSPACE
        if self.is_holder(workspace) or asked >= most:
            return None
        others = self.other_holders(workspace)
        return others[asked] if asked < len(others) else None
