"""The task that holds the desired state, and the one that watches the store for it."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

import pykka

from hawthornstage.actors.peers import Send
from hawthornstage.actors.task import Ask, Task
from hawthornstage.clock import Clock
from hawthornstage.decisions.forwarding import newer
from hawthornstage.latest import Latest
from hawthornstage.mailbox import Forward
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.fleet import (
    DesiredStateInUse,
    DesiredStateOffered,
    DesiredStateWanted,
    StateBeat,
)
from hawthornstage.messages.store import Changes, HistoryLost, Item, Listing
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.desired_state import (
    DESIRED_STATE_KEY,
    DESIRED_STATE_PREFIX,
    DesiredStateError,
    decode_desired_state,
)
from hawthornstage.platform.store import StoreClient

# Longest wait of one watch, in seconds.
WATCH_WAIT_S = 10.0
# Pause after a failed call to the store, in seconds.
RETRY_PAUSE_S = 0.25


@dataclass(frozen=True)
class DocumentSeen:
    """The store or another router has this desired state."""

    document: bytes
    source: str


class DesiredStates(Task):
    """Owns the desired state in use; its version never falls.

    Args:
        node: This router's name.
        in_use: Where the state is published.
        peers: Reaches the other routers.
        subscribers: Get `DesiredStateInUse`.
        events: Takes events.
    """

    def __init__(
        self,
        node: str,
        in_use: Latest[DesiredState | None],
        *,
        peers: pykka.ActorRef,
        subscribers: tuple[pykka.ActorRef, ...],
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.in_use = in_use
        self.peers = peers
        self.subscribers = subscribers
        self.events = events
        self.document = b""

    def handle(self, message: Any) -> None:
        match message:
            case DocumentSeen(document, source):
                self.consider(document, source)
            case DesiredStateOffered(document) if document:
                self.consider(document, "router")
            case Ask(message=DesiredStateWanted(), reply_to=reply_to):
                reply_to.put(DesiredStateOffered(self.document))
            case Ask(message=StateBeat() as beat, reply_to=reply_to):
                reply_to.put(self.beat())
                self.hear(beat)
            case StateBeat():
                self.hear(message)

    def beat(self) -> StateBeat:
        """Return what this router tells the others."""
        state = self.in_use.value
        return StateBeat(self.node, state.version if state else 0)

    def hear(self, beat: StateBeat) -> None:
        """Ask a router that is ahead for its desired state."""
        if beat.version > self.beat().version:
            reply_to = Forward(self.actor_ref.tell)
            self.peers.tell(Send(beat.node, DesiredStateWanted(), reply_to))

    def consider(self, document: bytes, source: str) -> None:
        """Adopt a document if it is newer than the one in use."""
        if document == self.document:
            return
        try:
            state = decode_desired_state(document)
        except DesiredStateError as error:
            self.events.emit(
                "desired_state_refused", source=source, reason=str(error)[:200]
            )
            return
        current = self.in_use.value
        if not newer(current, state):
            return
        self.in_use.publish(state)
        self.document = document
        self.events.emit(
            "desired_state_adopted",
            version=state.version,
            before=current.version if current else 0,
            source=source,
            budgets={each.name: each.budget for each in state.workspaces},
        )
        for subscriber in self.subscribers:
            subscriber.tell(DesiredStateInUse(state, document))


class DesiredStateWatch(threading.Thread):
    """Owns the watch for the desired state.

    Args:
        store: A client that nobody else uses.
        task: Gets `DocumentSeen`.
        clock: The runtime's clock.
        events: Takes events.
    """

    def __init__(
        self, store: StoreClient, task: pykka.ActorRef, clock: Clock, events: EventLog
    ) -> None:
        super().__init__(name="desired-state-watch", daemon=True)
        self.store = store
        self.task = task
        self.clock = clock
        self.events = events
        self.revision: int | None = None
        self.lost = False

    def run(self) -> None:
        """Read, then watch from there; read again after each gap."""
        while True:
            if not self.step():
                pause(self.clock, RETRY_PAUSE_S)

    def step(self) -> bool:
        """Make one call; False if the store did not answer."""
        if self.revision is None:
            outcome = self.store.list(DESIRED_STATE_PREFIX)
        else:
            outcome = self.store.watch(
                DESIRED_STATE_PREFIX, self.revision, WATCH_WAIT_S
            )
        match outcome:
            case Listing(items, revision) | Changes(items, revision):
                self.regained()
                self.revision = revision
                for item in items:
                    if isinstance(item, Item) and item.key == DESIRED_STATE_KEY:
                        self.task.tell(DocumentSeen(item.value, "store"))
                return True
            case HistoryLost():
                self.events.emit("watch_restarted", prefix=DESIRED_STATE_PREFIX)
                self.revision = None
                return True
            case failure:
                self.note_loss(failure.reason)
                return False

    def note_loss(self, reason: str) -> None:
        """Log the first failure of a series."""
        if not self.lost:
            self.lost = True
            self.events.emit(
                "store_lost", what=DESIRED_STATE_PREFIX, reason=reason[:120]
            )

    def regained(self) -> None:
        """Log the end of a series of failures."""
        if self.lost:
            self.lost = False
            self.events.emit("store_regained", what=DESIRED_STATE_PREFIX)


def pause(clock: Clock, seconds: float) -> None:
    """Wait on the runtime's clock."""
    condition = threading.Condition()
    with condition:
        clock.wait(condition, seconds)
