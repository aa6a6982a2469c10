"""The task that owns the desired state, and the thread that watches it in the store."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import pykka

from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.shared_watches import MakeWatchShare
from hawthornstage.actors.store_watch import StoreWatch
from hawthornstage.actors.task import Ask, Recipient, Task
from hawthornstage.border.compression import (
    CompressionError,
    compress,
    decompress,
)
from hawthornstage.clock import Clock
from hawthornstage.decisions.forwarding import is_newer
from hawthornstage.decisions.peer_links import neighbour_processes
from hawthornstage.decisions.router_processes import changed_processes
from hawthornstage.latest_value import LatestValue
from hawthornstage.mailbox import ReplyCallback
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.fleet import (
    CompressedStateOffered,
    DesiredStateHeartbeat,
    DesiredStateInUse,
    DesiredStateOffered,
    KnownRouters,
    RequestCompressedState,
    RequestDesiredState,
)
from hawthornstage.messages.host_settings import StoreBounds
from hawthornstage.messages.store import Item, ItemsChanged, ItemsListed, Removal
from hawthornstage.observe.events import EventLog
from hawthornstage.platform.desired_state import (
    DESIRED_STATE_KEY,
    DESIRED_STATE_PREFIX,
    DesiredStateError,
    decode_desired_state,
)
from hawthornstage.platform.store import StoreClient

# Time for the store to deliver a version before it is fetched from a router, and time
# until it is fetched again, in seconds.
STORE_HEAD_START_S = 0.3
FETCH_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class DesiredStateReceived:
    """An encoded desired state.

    Args:
        document: Its bytes.
        source: Where it comes from, for the log.
    """

    document: bytes
    source: str


@dataclass(frozen=True)
class SendVersion:
    """Triggers the periodic heartbeat to one neighbour."""


@dataclass(frozen=True)
class FetchNewerVersion:
    """Triggers the check whether a newer version has to be fetched from a router."""


@dataclass(frozen=True)
class NewerVersion:
    """A version newer than the one in use, of which a heartbeat told.

    Args:
        node: The router that has it.
        version: The version.
        fetch_at: Monotonic time from which it is fetched from there, in seconds.
    """

    node: str
    version: int
    fetch_at: float


class DesiredStateTask(Task):
    """Owns the desired state in use, whose version never decreases.

    It tells its neighbours of each version at once, and one of them in turn of the
    version in use periodically, so that a router without the store gets it as well.
    The document itself is fetched from a router only if the store does not deliver it
    soon, and from one at a time: it may be large, and links slow.

    Args:
        node: This router's name.
        in_use: Where the state is published.
        peers: Sends messages to other routers.
        subscribers: Get `DesiredStateInUse`.
        clock: The runtime's clock.
        events: The event log.
    """

    def __init__(
        self,
        node: str,
        in_use: LatestValue[DesiredState | None],
        *,
        peers: Recipient,
        subscribers: tuple[pykka.ActorRef, ...],
        clock: Clock,
        events: EventLog,
    ) -> None:
        super().__init__()
        self.node = node
        self.clock = clock
        self.in_use = in_use
        self.peers = peers
        self.subscribers = subscribers
        self.events = events
        self.document = b""
        self.compressed = b""
        # Addresses of the neighbours' processes, by name.
        self.neighbours: dict[str, str] = {}
        self.heartbeats = 0
        self.newer: NewerVersion | None = None

    def handle(self, message: Any) -> None:
        match message:
            case DesiredStateReceived(document, source):
                self.adopt_if_newer(document, source)
            case DesiredStateOffered(document) if document:
                self.adopt_if_newer(document, "router")
            case Ask(message=RequestDesiredState(), reply_to=reply_to):
                reply_to.put(DesiredStateOffered(self.document))
            case CompressedStateOffered(data) if data:
                self.adopt_compressed(data)
            case Ask(message=RequestCompressedState(), reply_to=reply_to):
                reply_to.put(CompressedStateOffered(self.compressed_document()))
            case Ask(message=DesiredStateHeartbeat() as heartbeat, reply_to=reply_to):
                reply_to.put(self.heartbeat())
                self.handle_heartbeat(heartbeat)
            case DesiredStateHeartbeat():
                self.handle_heartbeat(message)
            case SendVersion() if self.neighbours:
                self.heartbeats += 1
                names = list(self.neighbours)
                self.send_heartbeat(names[self.heartbeats % len(names)])
            case FetchNewerVersion():
                self.fetch_newer()
            case KnownRouters(urls):
                self.update_neighbours(urls)

    def update_neighbours(self, urls: Mapping[str, str]) -> None:
        """Replace the neighbours; processes that are new get a heartbeat at once."""
        before = self.neighbours
        self.neighbours = neighbour_processes(self.node, urls)
        if self.in_use.value is not None:
            for node in sorted(changed_processes(before, self.neighbours)):
                self.send_heartbeat(node)

    def heartbeat(self) -> DesiredStateHeartbeat:
        """Return this router's heartbeat, which carries its desired state's version."""
        state = self.in_use.value
        return DesiredStateHeartbeat(self.node, state.version if state else 0)

    def send_heartbeat(self, node: str) -> None:
        """Send a heartbeat to a router, whose reply is its own heartbeat."""
        reply_to = ReplyCallback(self.actor_ref.tell)
        self.peers.tell(Send(node, self.heartbeat(), reply_to))

    def handle_heartbeat(self, heartbeat: DesiredStateHeartbeat) -> None:
        """Note the latest router that told of the newest version."""
        if heartbeat.version <= self.heartbeat().version:
            return
        fetch_at = self.clock.monotonic() + STORE_HEAD_START_S
        if self.newer is not None:
            if heartbeat.version < self.newer.version:
                return
            fetch_at = min(fetch_at, self.newer.fetch_at)
        self.newer = NewerVersion(heartbeat.node, heartbeat.version, fetch_at)

    def fetch_newer(self) -> None:
        """Fetch the newer version if the store has had time to deliver it."""
        now = self.clock.monotonic()
        if self.newer is None or now < self.newer.fetch_at:
            return
        self.newer = replace(self.newer, fetch_at=now + FETCH_TIMEOUT_S)
        reply_to = ReplyCallback(self.actor_ref.tell)
        self.peers.tell(Send(self.newer.node, RequestCompressedState(), reply_to))

    def compressed_document(self) -> bytes:
        """Return the compressed document, empty if there is none."""
        if self.document and not self.compressed:
            self.compressed = compress(self.document)
        return self.compressed

    def adopt_compressed(self, data: bytes) -> None:
        """Adopt a compressed document if it is newer than the one in use."""
        try:
            document = decompress(data)
        except CompressionError as error:
            self.events.emit(
                "desired_state_refused", source="router", reason=str(error)
            )
            return
        self.adopt_if_newer(document, "router")

    def adopt_if_newer(self, document: bytes, source: str) -> None:
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
        if not is_newer(current, state):
            return
        self.in_use.publish(state)
        self.document = document
        self.compressed = b""
        if self.newer is not None and self.newer.version <= state.version:
            self.newer = None
        self.events.emit(
            "desired_state_adopted",
            version=state.version,
            before=current.version if current else 0,
            source=source,
            budgets={each.name: each.budget for each in state.workspaces},
        )
        for subscriber in self.subscribers:
            subscriber.tell(DesiredStateInUse(state, document))
        for node in self.neighbours:
            self.send_heartbeat(node)


class DesiredStateWatch(StoreWatch):
    """Owns the watch for the desired state and the operators' other keys.

    Args:
        store: A client used by this thread only.
        task: Gets `DesiredStateReceived`.
        bounds: Returns the times within which changes in the store must take effect.
        clock: The runtime's clock.
        events: The event log.
        share: Makes this watch's part in sharing, or None if it is not shared.
        followers: Get `ItemsListed` and `ItemsChanged` of all keys below the prefix.
    """

    def __init__(
        self,
        store: StoreClient,
        task: pykka.ActorRef,
        bounds: Callable[[], StoreBounds],
        clock: Clock,
        events: EventLog,
        share: MakeWatchShare | None = None,
        *,
        followers: tuple[pykka.ActorRef, ...] = (),
    ) -> None:
        super().__init__(DESIRED_STATE_PREFIX, store, bounds, clock, events, share)
        self.task = task
        self.followers = followers

    def effect_bound(self) -> float:
        """Return the time from a write until it is in force, in seconds."""
        bounds = self.bounds()
        return min(bounds.desired_state_s, bounds.evacuation_s)

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Pass the listed desired state to the task, and all items to the followers.

        Followers come first: a router without a desired state sends nothing.
        """
        for follower in self.followers:
            follower.tell(ItemsListed(items, self.epoch, self.revision))
        self.pass_desired_state(items)

    def apply_changes(self, changes: tuple[Item | Removal, ...]) -> None:
        """Pass changes of the desired state to the task, and all to the followers."""
        self.pass_desired_state(changes)
        for follower in self.followers:
            follower.tell(ItemsChanged(changes, self.epoch, self.revision))

    def pass_desired_state(self, changes: tuple[Item | Removal, ...]) -> None:
        """Pass each version of the desired state to the task."""
        for change in changes:
            if isinstance(change, Item) and change.key == DESIRED_STATE_KEY:
                self.task.tell(DesiredStateReceived(change.value, "store"))
