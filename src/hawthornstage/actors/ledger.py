"""The task that draws tokens from the workspaces' budgets in the platform's store."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field
from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.border.draws_document import (
    DrawsDocument,
    decode_draws,
    encode_draws,
)
from hawthornstage.decisions.draws import covered
from hawthornstage.messages.draws import Draw, DrawFailed, DrawMade
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    Item,
    Put,
    StoreRefused,
    StoreSilent,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.store import StoreClient

# Where the ledger of draws lies in the store.
DRAWS_KEY = "hawthornstage/draws"
# Tries of one draw against the changes of other routers.
MAX_TRIES = 8


@dataclass(frozen=True)
class UnknownDraw:
    """A write without an answer: it may have taken effect, or may still do so.

    Args:
        mark: Shows in the ledger if it has.
        granted: What it draws.
    """

    mark: str
    granted: dict[str, int]


@dataclass
class KnownLedger:
    """The ledger as this router last saw it.

    Args:
        revision: Its revision in the store; 0 for none, None if not known.
        document: What it says.
    """

    revision: int | None = None
    document: DrawsDocument = field(default_factory=DrawsDocument)


class Ledger(Task):
    """Owns the connection over which this router draws.

    A write that was not answered is settled by the next write: both expect the same
    revision, so only one of them can take effect, and the ledger's marks tell which.

    Args:
        node: This router's name.
        store: A client that nobody else uses.
        events: Takes events.
    """

    def __init__(self, node: str, store: StoreClient, events: EventLog) -> None:
        super().__init__()
        self.node = node
        self.store = store
        self.events = events
        self.known = KnownLedger()
        self.unknown: UnknownDraw | None = None

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=Draw() as draw, reply_to=reply_to):
                reply_to.put(self.draw(draw))

    def draw(self, draw: Draw) -> DrawMade | DrawFailed:
        """Raise the counts in the ledger; what an earlier write drew comes along."""
        recovered: dict[str, int] = {}
        for _ in range(MAX_TRIES):
            if self.known.revision is None and not self.read():
                break
            add(recovered, self.settle_unknown())
            document = self.known.document
            granted = covered(document.drawn, draw.amounts, draw.budgets)
            if not any(granted.values()):
                return DrawMade(recovered, document.drawn)
            match self.write(granted):
                case Committed():
                    add(recovered, granted)
                    self.events.emit(
                        "tokens_drawn", tokens=sum(granted.values()), granted=granted
                    )
                    return DrawMade(recovered, self.known.document.drawn)
                case Conflict():
                    continue
                case StoreRefused(reason) | StoreSilent(reason):
                    self.events.emit("draw_failed", reason=reason[:120])
                    return self.partial(recovered, reason)
        return self.partial(recovered, "the ledger changed too often or was not read")

    def partial(self, recovered: dict[str, int], reason: str) -> DrawMade | DrawFailed:
        """Return what an earlier draw brought, if anything."""
        if recovered:
            return DrawMade(recovered, self.known.document.drawn)
        return DrawFailed(reason)

    def read(self) -> bool:
        """Read the ledger; False if the store did not answer."""
        match self.store.get(DRAWS_KEY):
            case Item() as item:
                self.take(item)
            case None:
                self.known = KnownLedger(0)
            case StoreRefused(reason) | StoreSilent(reason):
                self.events.emit("ledger_unread", reason=reason[:120])
                return False
        return True

    def take(self, item: Item) -> None:
        """Take in the ledger as the store has it."""
        self.known = KnownLedger(item.revision, decode_draws(item.value))

    def settle_unknown(self) -> dict[str, int]:
        """Return what an unanswered write drew, once that is certain.

        Until the ledger's revision has moved, the write may still take effect; the
        next write then decides.
        """
        unknown = self.unknown
        if unknown is None:
            return {}
        if self.known.document.marks.get(self.node) != unknown.mark:
            return {}
        self.unknown = None
        self.events.emit("draw_recovered", granted=unknown.granted)
        return unknown.granted

    def write(self, granted: dict[str, int]) -> Any:
        """Write the ledger with a draw in it."""
        mark = secrets.token_hex(6)
        document = self.known.document.with_draw(self.node, mark, granted)
        put = Put(DRAWS_KEY, encode_draws(document))
        revision = self.known.revision
        assert revision is not None
        outcome = self.store.transact({DRAWS_KEY: revision}, puts=(put,))
        match outcome:
            case Committed(made):
                self.known = KnownLedger(made, document)
                self.unknown = None
            case Conflict(items):
                self.known = KnownLedger(None)
                for item in items:
                    self.take(item)
            case StoreSilent():
                # The older unanswered write of the same revision may win as well;
                # what it drew is then given up.
                self.unknown = UnknownDraw(mark, granted)
        return outcome


def add(amounts: dict[str, int], more: dict[str, int]) -> None:
    """Add amounts by workspace."""
    for workspace, tokens in more.items():
        amounts[workspace] = amounts.get(workspace, 0) + tokens
