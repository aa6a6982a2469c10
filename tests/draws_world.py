"""Routers that draw on shared budgets, over a store that loses answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hawthornstage.actors.ledger import LedgerTask
from hawthornstage.actors.ledger_epoch import COUNTS_PREFIX
from hawthornstage.actors.task import Ask
from hawthornstage.actors.token_accounts import (
    CheckTokenAccounts,
    ReturnAllTokens,
    TokenAccountsTask,
)
from hawthornstage.border.stored_values import decode_count
from hawthornstage.clock import ManualClock
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.desired import (
    CallerLimits,
    DesiredState,
    WorkspaceSpec,
)
from hawthornstage.messages.draws import (
    FinalTransfer,
    FinalTransferAccepted,
    RequestReservation,
    TokensReserved,
    TokensTransferred,
    TokensUsed,
)
from hawthornstage.messages.fleet import DesiredStateInUse, KnownRouters
from hawthornstage.messages.store import (
    Committed,
    Conflict,
    Item,
    LeaseGranted,
    LeaseLost,
    Listing,
    StoreNoResponse,
    StoreRefused,
)
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics

BUDGET = 200_000
WORKSPACE = "shop"


def state_with(budget: int, version: int = 1) -> DesiredState:
    """Return a desired state with one workspace."""
    terms = WorkspaceSpec(WORKSPACE, frozenset({"key"}), None, budget)
    return DesiredState(version, (), (), (terms,), CallerLimits(), True)


@dataclass
class LateWrite:
    """A write whose answer is lost and which takes effect later, if it still can."""

    due: float
    expected: dict[str, int]
    puts: tuple[Any, ...]


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the store's state."""

    revision: int
    items: dict[str, Item]


@dataclass
class FakeStore:
    """A key-value store in memory; `mood` says what becomes of the next calls.

    Moods: `well`; `refuses` does nothing; `deaf` does nothing and does not answer;
    `mute` writes and does not answer; `late` writes some time later, if it still can,
    and does not answer.
    """

    clock: ManualClock
    mood: str = "well"
    cut_off: set[str] = field(default_factory=set)
    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    holders: dict[str, int] = field(default_factory=dict)
    late: list[LateWrite] = field(default_factory=list)
    paused: bool = False
    settled: float = 0.0
    epoch: int = 1

    def copy(self) -> StoreCopy:
        """Return a copy of what is stored now."""
        return StoreCopy(self.revision, dict(self.items))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later writes and all leases are gone."""
        self.settle()
        self.epoch += 1
        self.revision = copy.revision
        self.leases.clear()
        self.items = {
            key: item for key, item in copy.items.items() if key not in self.holders
        }
        self.holders.clear()

    def settle(self) -> None:
        """Do what time has brought: late writes and ends of leases."""
        now = self.clock.monotonic()
        if self.paused:
            gone = now - self.settled
            self.leases = {
                each: (end + gone, ttl) for each, (end, ttl) in self.leases.items()
            }
        self.settled = now
        due = [write for write in self.late if write.due <= now]
        self.late = [write for write in self.late if write.due > now]
        for write in due:
            self.write(write.expected, write.puts)
        ended = {lease for lease, (end, _) in self.leases.items() if end <= now}
        for lease in ended:
            del self.leases[lease]
        for key in [k for k, lease in self.holders.items() if lease in ended]:
            self.items.pop(key, None)
            del self.holders[key]

    def write(self, expected: dict[str, int], puts: Any, removes: Any = ()) -> Any:
        """Write all or nothing."""
        for key, revision in expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                found = [self.items[k] for k in expected if k in self.items]
                return Conflict(tuple(found))
        if any(put.lease and put.lease not in self.leases for put in puts):
            return LeaseLost()
        self.revision += 1
        for put in puts:
            self.items[put.key] = Item(put.key, put.value, self.revision)
            if put.lease:
                self.holders[put.key] = put.lease
        for key in removes:
            self.items.pop(key, None)
            self.holders.pop(key, None)
        return Committed(self.revision)

    def counts(self) -> dict[str, int]:
        """Return the ledger."""
        return {
            key.removeprefix(COUNTS_PREFIX): decode_count(item.value)
            for key, item in self.items.items()
            if key.startswith(COUNTS_PREFIX)
        }


@dataclass
class FakeClient:
    """One router's client of the store."""

    store: FakeStore
    node: str
    epoch: int = 0

    def __post_init__(self) -> None:
        self.epoch = self.store.epoch

    def failure(self) -> StoreRefused | StoreNoResponse | None:
        """Return how a call fails that changes nothing.

        Each response names the store's epoch; a process knows only what it has read.
        """
        self.store.settle()
        if self.node in self.store.cut_off:
            return StoreNoResponse("cut off")
        if self.store.mood == "deaf":
            return StoreNoResponse("no answer")
        if self.store.mood not in ("mute", "late"):
            self.epoch = self.store.epoch
        if self.store.mood == "refuses":
            return StoreRefused("busy")
        return None

    def get(self, key: str) -> Any:
        """Read one item."""
        return self.failure() or self.store.items.get(key)

    def list(self, prefix: str, *, stale: bool = False) -> Any:
        """Read all items below a prefix."""
        failure = self.failure()
        if failure is not None:
            return failure
        found = [i for k, i in self.store.items.items() if k.startswith(prefix)]
        return Listing(tuple(found), self.store.revision)

    def transact(self, expected: Any, *, puts: Any = (), removes: Any = ()) -> Any:
        """Write all or nothing, as the store's mood has it."""
        failure = self.failure()
        if failure is not None:
            return failure
        match self.store.mood:
            case "mute":
                self.store.write(expected, puts, removes)
                return StoreNoResponse("the answer is lost")
            case "late":
                due = self.store.clock.monotonic() + 2.0
                self.store.late.append(LateWrite(due, dict(expected), puts))
                return StoreNoResponse("the answer is late")
        return self.store.write(expected, puts, removes)

    def grant_lease(self, ttl_s: float) -> Any:
        """Open a lease."""
        failure = self.failure()
        if failure is not None:
            return failure
        self.store.revision += 1
        lease = self.store.revision
        now = self.store.clock.monotonic()
        self.store.leases[lease] = (now + ttl_s, ttl_s)
        return LeaseGranted(lease, ttl_s)

    def renew_lease(self, lease: int) -> Any:
        """Renew a lease."""
        failure = self.failure()
        if failure is not None:
            return failure
        if lease not in self.store.leases:
            return LeaseLost()
        _, ttl_s = self.store.leases[lease]
        self.store.leases[lease] = (self.store.clock.monotonic() + ttl_s, ttl_s)
        return LeaseGranted(lease, ttl_s)


@dataclass
class Inbox:
    """Stands for a task: takes messages, which the world delivers when it likes."""

    messages: list[Any] = field(default_factory=list)

    def tell(self, message: Any) -> None:
        """Take a message."""
        self.messages.append(message)


@dataclass
class Reply:
    """Keeps one reply."""

    value: Any = None

    def put(self, reply: Any) -> None:
        """Take the reply."""
        self.value = reply


@dataclass
class OpenCall:
    """A call that runs, and what was set aside for it."""

    tokens: int


class Host:
    """One host and the router process that runs on it now."""

    def __init__(self, node: str, world: DrawsWorld) -> None:
        self.node = node
        self.world = world
        self.start()

    def start(self) -> None:
        """Start a process; the one before is dead."""
        world = self.world
        events = EventLog(self.node, world.clock)
        self.ledger_inbox, self.peer_inbox = Inbox(), Inbox()
        client: Any = FakeClient(world.store, self.node)
        self.ledger_peers = Inbox()
        peers: Any = self.ledger_peers
        self.ledger: Any = LedgerTask(
            self.node, client, peers, clock=world.clock, events=events
        )
        self.token_accounts = TokenAccountsTask(
            node=self.node,
            ledger=self.ledger_inbox,
            peers=self.peer_inbox,
            routers=LatestValue(len(world.names)),
            clock=world.clock,
            events=events,
            metrics=Metrics(),
        )
        others = {name: "" for name in world.names if name != self.node}
        self.token_accounts.handle(KnownRouters(others))
        self.ledger.handle(KnownRouters(others))
        self.adopt_state(state_with(world.budget))
        self.calls: list[OpenCall] = []

    def adopt_state(self, state: DesiredState) -> None:
        """Tell the token accounts of a desired state."""
        self.token_accounts.handle(DesiredStateInUse(state, b""))

    def pump(self) -> None:
        """Let the ledger and the purse handle what lies before them."""
        for _ in range(6):
            messages, self.ledger_inbox.messages = self.ledger_inbox.messages, []
            for message in messages:
                self.ledger.handle(message)
            self.tell_counts()
            inbox = self.token_accounts.actor_inbox
            replies = 0
            while not inbox.empty():
                self.token_accounts.handle(inbox.get().message)
                replies += 1
            if not messages and not replies:
                return

    def tell_counts(self) -> None:
        """Deliver what the ledger tells those of other routers."""
        messages, self.ledger_peers.messages = self.ledger_peers.messages, []
        for send in messages:
            host = self.world.hosts.get(send.node)
            if host is not None:
                host.ledger.handle(Ask(send.message, Reply()))

    def check(self) -> None:
        """Let the purse store a record and draw."""
        self.token_accounts.handle(CheckTokenAccounts())
        self.pump()

    def ask(self, tokens: int) -> bool:
        """Start a call if there are tokens for it."""
        reply = Reply()
        self.token_accounts.handle(Ask(RequestReservation(WORKSPACE, tokens), reply))
        self.pump()
        if reply.value is None:
            self.world.clock.advance(0.1)
            self.check()
        if not isinstance(reply.value, TokensReserved):
            return False
        self.calls.append(OpenCall(tokens))
        return True

    def end_call(self, part: float) -> None:
        """End the oldest call, which has used a part of its tokens."""
        if not self.calls:
            return
        call = self.calls.pop(0)
        used = int(call.tokens * part)
        self.world.spent += used
        self.token_accounts.handle(TokensUsed(WORKSPACE, call.tokens, used))

    def die(self) -> None:
        """Kill the process; its calls may have used all their tokens."""
        self.world.spent += sum(call.tokens for call in self.calls)
        self.calls = []


class DrawsWorld:
    """Some hosts, the store, and the count of what was really spent."""

    def __init__(self, names: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.names = names
        self.budget = BUDGET
        self.spent = 0
        self.hosts: dict[str, Host] = {}
        for name in names:
            self.hosts[name] = Host(name, self)
        for host in self.hosts.values():
            host.pump()
            host.check()

    def free(self, name: str) -> int:
        """Return what a router holds and no call has."""
        return self.hosts[name].token_accounts.token_accounts.accounts[WORKSPACE].free

    def pass_gift(self, name: str, *, lost: bool) -> None:
        """Deliver what a router asks of the others; answers may get lost."""
        host = self.hosts[name]
        messages, host.peer_inbox.messages = host.peer_inbox.messages, []
        for send in messages:
            reply = Reply()
            if lost and isinstance(send.message, FinalTransfer):
                continue
            self.hosts[send.node].token_accounts.handle(Ask(send.message, reply))
            match reply.value:
                case TokensTransferred() if not lost:
                    host.token_accounts.handle(reply.value)
                case FinalTransferAccepted():
                    send.reply_to.put(reply.value)

    def restart(self, name: str, down_s: float) -> None:
        """Kill a router and start the next one after a time."""
        self.hosts[name].die()
        self.clock.advance(down_s)
        self.store.settle()
        self.hosts[name].start()
        self.hosts[name].pump()

    def use_up(self, name: str, *, keep: int) -> None:
        """Use all of the budget but `keep` tokens on one router; the others return."""
        host = self.hosts[name]
        for each in self.hosts.values():
            if each is not host:
                each.token_accounts.handle(Ask(ReturnAllTokens(), Reply()))
                each.pump()
                each.start()
        while self.spent < self.budget - keep:
            assert host.ask(min(2_000, self.budget - keep - self.spent))
            host.end_call(1.0)
        self.clock.advance(1.0)
        host.check()

    def top_up(self, tokens: int) -> None:
        """Raise the budget everywhere."""
        self.budget += tokens
        for host in self.hosts.values():
            state = state_with(self.budget)
            host.token_accounts.handle(DesiredStateInUse(state, b""))
            host.pump()

    def counts_are_known(self) -> bool:
        """Whether a router knows a count that is as high as the stored one."""
        self.store.settle()
        stored = self.store.counts().get(WORKSPACE, 0)
        ledgers = [host.ledger for host in self.hosts.values()]
        return any(each.drawn.get(WORKSPACE, 0) >= stored for each in ledgers)

    @property
    def at_risk(self) -> int:
        """What was spent, and what open calls may still spend."""
        calls = [call for host in self.hosts.values() for call in host.calls]
        return self.spent + sum(call.tokens for call in calls)
