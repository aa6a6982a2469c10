"""The composition root: creates and connects the parts of a router."""

from __future__ import annotations

import random
import secrets as system_secrets
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import pykka
import urllib3
from prometheus_client import generate_latest

from hawthornstage.actors import budgets as budgets_task
from hawthornstage.actors.ask import ask
from hawthornstage.actors.budgets import Budgets, DrainBudgets, HolderOptions
from hawthornstage.actors.caller_connections import CallerConnections
from hawthornstage.actors.caller_listener import CallerListener
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.actors.callers import CallerIntake, StopSignal
from hawthornstage.actors.chat_parser import ChatParser
from hawthornstage.actors.connection_memory import ConnectionMemoryTask
from hawthornstage.actors.documents import DocumentKind, Documents
from hawthornstage.actors.grant_closer import GrantCloser, Sweep
from hawthornstage.actors.members import Membership, SendHeartbeat, StartDraining
from hawthornstage.actors.peers.task import Peers
from hawthornstage.actors.reading_turns import ReadingTurnsTask
from hawthornstage.actors.reservations import CheckReservations, Reservations
from hawthornstage.actors.servers.crash_guard import CrashGuard
from hawthornstage.actors.servers.placement import (
    HostListTask,
    LoadReportTask,
    PlacementTask,
    Poll,
)
from hawthornstage.actors.settlements import Resend, Settlements
from hawthornstage.actors.tables import (
    Refresh,
    SetMembershipTask,
    TablesTask,
    TablesWatch,
)
from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.actors.timers import Timers
from hawthornstage.actors.witnesses import CheckCopies, Witnesses
from hawthornstage.actors.wsgi_calls import WsgiCalls
from hawthornstage.border import old_setup_api, operator_api
from hawthornstage.border.caller_api import CallerApi
from hawthornstage.border.documents import CLAIMS_KIND, LEDGER_KIND, TABLES_KIND
from hawthornstage.border.old_setup_api import OldSetupApi
from hawthornstage.border.operator_api import OperatorApi
from hawthornstage.border.peer_connection import PeerIdentity
from hawthornstage.border.read_limits import REQUEST_TIMEOUT_S, ReadLimits
from hawthornstage.border.settings import ApiKeySettings, GrantSharing, Settings
from hawthornstage.border.wsgi import StartResponse, send_response
from hawthornstage.clock import Clock
from hawthornstage.decisions.holder_state import GrantPolicy
from hawthornstage.decisions.membership import Member, Members, MembershipPolicy
from hawthornstage.filters.accept import Accept, AdmissionGate
from hawthornstage.filters.attempt import Attempt, SharedRetryBudget
from hawthornstage.filters.authenticate import Authenticate, KeyRing, StoredKey
from hawthornstage.filters.choose_server import ChooseServer
from hawthornstage.filters.claim import Claim
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.dispatch import Dispatch
from hawthornstage.filters.isolate import Isolate
from hawthornstage.filters.match_route import MatchRoute
from hawthornstage.filters.reading_turns import ReadingTurns
from hawthornstage.filters.relay import Relay
from hawthornstage.filters.reserve import ReservationClient, Reserve
from hawthornstage.filters.settle import BillFinaliser, OutcomeRecorder, Settle
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages import budget_messages, crashes, members
from hawthornstage.messages.host_settings import HostLimits, SocketAddress
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.host_list import HostListClient
from hawthornstage.platform.key_value import KeyValueClient

# Intervals of the messages that trigger the tasks' periodic work, in seconds.
BUDGET_FAST_TICK_INTERVAL_S = 0.1
MAINTENANCE_INTERVAL_S = 1.0
GRANT_SWEEP_INTERVAL_S = 10.0
TABLES_REFRESH_INTERVAL_S = 2.0
HOST_LIST_POLL_INTERVAL_S = 1.0
LOAD_POLL_INTERVAL_S = 0.2
# Timeout for the return of all grants at shutdown, in seconds.
RETURN_GRANTS_TIMEOUT_S = 10.0
# Fractions of the fleet's write rate allotted to each kind of document.
LEDGER_WRITE_SHARE, CLAIMS_WRITE_SHARE, TABLES_WRITE_SHARE = 0.6, 0.35, 0.05
# Connections beyond the request limit, whose requests are rejected once it is reached.
OVERLOAD_CONNECTIONS = 8
# Timeouts at shutdown for accepting the last connections, and for their responses and
# those that are being sent, in seconds.
CLOSE_LISTENER_TIMEOUT_S = 0.5
LAST_RESPONSES_TIMEOUT_S = 1.0


@dataclass
class Tasks:
    """References to a router's running tasks."""

    ledger: pykka.ActorRef
    claims: pykka.ActorRef
    tables_documents: pykka.ActorRef
    peers: Peers
    witnesses: pykka.ActorRef
    budgets: pykka.ActorRef
    settlements: pykka.ActorRef
    closer: pykka.ActorRef
    servers: pykka.ActorRef
    load: pykka.ActorRef
    tables: pykka.ActorRef
    membership: pykka.ActorRef
    reservations: pykka.ActorRef
    crash_guard: pykka.ActorRef
    host_list: pykka.ActorRef | None


class Router:
    """A router: its tasks, its request pipe and its servers.

    Args:
        settings: The validated settings.
        clock: The clock of all tasks; by default the system's.
    """

    def __init__(self, settings: Settings, *, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.random = random.Random()
        self.stopping = threading.Event()
        self.watching = threading.Event()
        self.callers_stopping = StopSignal()
        self.events = EventLog(settings.node.name, self.clock)
        self.metrics = Metrics()
        self.local_router = budget_messages.Witness(
            settings.node.name, new_incarnation(self.clock)
        )
        self.dispatcher = MessageDispatcher()
        self.timers = Timers(self.clock)
        self.gate = AdmissionGate(settings.limits.max_requests)
        self.tasks = self.start_tasks()
        self.register()
        self.schedule_periodic_messages()
        self.reservation_client = self.make_treasury()
        self.bill_finaliser = self.make_cashier()
        self.front = self.make_front()
        self.old_setup_api = self.make_old_setup_api()
        self.operator_api = self.make_operator_api()
        self.callers = self.make_callers()

    def start_tasks(self) -> Tasks:
        """Start every task with references to the tasks that it sends messages to."""
        options = self.holder_options()
        peers = self.make_peers()
        flush = self.settings.budgets.flush_interval_s
        ledger = self.documents(LEDGER_KIND, interval=flush, share=LEDGER_WRITE_SHARE)
        claims = self.documents(CLAIMS_KIND, interval=0.0, share=CLAIMS_WRITE_SHARE)
        tables_documents = self.documents(
            TABLES_KIND, interval=0.0, share=TABLES_WRITE_SHARE
        )
        shared: dict[str, Any] = {"clock": self.clock, "events": self.events}
        budgets = Budgets.start(
            self.local_router, options, documents=ledger, peers=peers, **shared
        )
        settlements = Settlements.start(
            self.local_router.node,
            options.shards,
            documents=ledger,
            peers=peers,
            **shared,
        )
        keys = tuple(f"hawthornstage/ledger/{n}" for n in range(options.shards))
        closer = GrantCloser.start(keys, documents=ledger, peers=peers, **shared)
        servers = PlacementTask.start(self.clock, self.events)
        load = LoadReportTask.start(servers)
        tables = TablesTask.start(
            documents=tables_documents,
            peers=peers,
            subscribers=(load,),
            watching=self.watching,
            metrics=self.metrics,
            **shared,
        )
        crash_guard = CrashGuard.start(self.local_router.node, peers, **shared)
        membership = Membership.start(
            self.initial_members(),
            dict(self.settings.peers.routers),
            peers=peers,
            subscribers=(
                budgets,
                closer,
                tables,
                crash_guard,
                servers,
                ledger,
                claims,
                tables_documents,
            ),
            metrics=self.metrics,
            **shared,
        )
        tables.tell(SetMembershipTask(membership))
        witnesses = Witnesses.start(
            self.local_router, options.shards, documents=ledger, **shared
        )
        return Tasks(
            ledger,
            claims,
            tables_documents,
            peers,
            witnesses,
            budgets,
            settlements,
            closer,
            servers,
            load,
            tables,
            membership,
            Reservations.start(settlements, self.clock, self.events),
            crash_guard,
            self.start_host_list(servers),
        )

    def holder_options(self) -> HolderOptions:
        """Return the settings under which this router holds grants."""
        budget_settings = self.settings.budgets
        policy = GrantPolicy(
            window_s=budget_settings.window_s,
            horizon_s=budget_settings.horizon_s,
            max_share=budget_settings.max_share,
            idle_s=budget_settings.idle_s,
        )
        return HolderOptions(
            policy,
            budget_settings.witnesses,
            budget_settings.near_witness,
            budget_settings.shards,
        )

    def documents(
        self, kind: DocumentKind, *, interval: float, share: float
    ) -> pykka.ActorRef:
        """Start the task for one kind of document.

        Args:
            kind: The kind of document.
            interval: Shortest time between two writes of a document, in seconds.
            share: Fraction of the fleet's write rate.
        """
        return Documents.start(
            self.store(),
            kind,
            clock=self.clock,
            timers=self.timers,
            interval=interval,
            fleet_rate=share * self.settings.store.writes_per_second,
            random_fraction=self.random.random,
        )

    def store(self) -> KeyValueClient:
        """Return a new client of the key-value service."""
        platform = self.settings.platform
        return KeyValueClient(platform.key_value_url, timeout=platform.timeout_s)

    def make_peers(self) -> Peers:
        """Create the task that owns the connections to and from other routers."""
        settings = self.settings.peers
        return Peers(
            PeerIdentity(self.local_router.node, settings.secrets[0]),
            SocketAddress(settings.host, settings.port),
            secrets=tuple(settings.secrets),
            dispatcher=self.dispatcher,
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
        )

    def initial_members(self) -> Members:
        """Return a membership view that contains only this router."""
        membership_settings = self.settings.membership
        local_router = Member(
            self.local_router.node,
            self.local_router.incarnation,
            self.settings.node.failure_domain,
            self.clock.monotonic(),
        )
        policy = MembershipPolicy(
            suspect_s=membership_settings.suspect_s, lost_s=membership_settings.lost_s
        )
        return Members(local_router, policy)

    def start_host_list(self, servers: pykka.ActorRef) -> pykka.ActorRef | None:
        """Start the task that polls the host list, if the settings have its URL."""
        url = self.settings.platform.host_list_url
        if url is None:
            return None
        client = HostListClient(url, timeout=self.settings.platform.timeout_s)
        return HostListTask.start(client, servers)

    def register(self) -> None:
        """Register the tasks that receive the messages of other routers, by type."""
        tasks, dispatcher = self.tasks, self.dispatcher
        dispatcher.register(
            tasks.budgets,
            (
                budget_messages.Reserve,
                budget_messages.Release,
                budget_messages.Settle,
                budget_messages.RecallTokens,
            ),
        )
        dispatcher.register(
            tasks.witnesses,
            (
                budget_messages.StoreBillCopy,
                budget_messages.Seal,
                budget_messages.BillsStored,
            ),
        )
        dispatcher.register(tasks.settlements, (budget_messages.BillsStored,))
        dispatcher.register(tasks.membership, (members.Heartbeat,))
        dispatcher.register(
            tasks.crash_guard,
            (
                crashes.RequestSlot,
                crashes.ReleaseSlot,
                crashes.SuspectReported,
                crashes.SuspectCleared,
                crashes.RequestBlocked,
            ),
        )
        dispatcher.register(
            tasks.tables, (members.RequestTables, members.TablesOffered)
        )

    def schedule_periodic_messages(self) -> None:
        """Schedule the messages that trigger the tasks' periodic work."""
        every, tasks = self.timers.every, self.tasks
        every(BUDGET_FAST_TICK_INTERVAL_S, tasks.budgets, budgets_task.FastTick())
        every(MAINTENANCE_INTERVAL_S, tasks.budgets, budgets_task.SlowTick())
        every(MAINTENANCE_INTERVAL_S, tasks.settlements, Resend())
        every(MAINTENANCE_INTERVAL_S, tasks.witnesses, CheckCopies())
        every(MAINTENANCE_INTERVAL_S, tasks.reservations, CheckReservations())
        every(GRANT_SWEEP_INTERVAL_S, tasks.closer, Sweep())
        every(TABLES_REFRESH_INTERVAL_S, tasks.tables, Refresh())
        every(LOAD_POLL_INTERVAL_S, tasks.load, Poll())
        every(self.settings.membership.beat_s, tasks.membership, SendHeartbeat())
        if tasks.host_list is not None:
            every(HOST_LIST_POLL_INTERVAL_S, tasks.host_list, Poll())

    def make_treasury(self) -> ReservationClient:
        """Create the client that reserves tokens with the holders of grants."""
        return ReservationClient(
            node=self.local_router.node,
            shared=self.settings.budgets.sharing is GrantSharing.DOMAIN,
            patience_s=self.settings.budgets.patience_s,
            peers=self.tasks.peers,
            membership=self.tasks.membership,
            settlements=self.tasks.settlements,
            clock=self.clock,
        )

    def make_cashier(self) -> BillFinaliser:
        """Create the part that makes bills final."""
        return BillFinaliser(
            node=self.local_router.node,
            reservation_client=self.reservation_client,
            shards=self.settings.budgets.shards,
            documents=self.tasks.ledger,
            peers=self.tasks.peers,
            settlements=self.tasks.settlements,
            clock=self.clock,
        )

    def make_old_setup_api(self) -> OldSetupApi:
        """Create the API for the old routing setup."""
        return OldSetupApi(
            keys=key_ring(self.settings.keys.old_setup),
            reservation_client=self.reservation_client,
            bill_finaliser=self.bill_finaliser,
            reservations=self.tasks.reservations,
            claims=self.tasks.claims,
            claim_shards=self.settings.claims.shards,
            clock=self.clock,
            events=self.events,
        )

    def make_front(self) -> CallerApi:
        """Create the request pipe with its filters."""
        shared: dict[str, Any] = {"clock": self.clock, "events": self.events}
        reserve = Reserve(self.reservation_client, self.events)
        choose = ChooseServer(self.tasks.servers, self.random.random, **shared)
        connections = urllib3.PoolManager(
            num_pools=200, maxsize=self.settings.limits.max_requests, retries=False
        )
        isolate = Isolate(self.tasks.crash_guard, self.clock)
        attempt = Attempt(
            choose,
            isolate,
            Dispatch(connections, self.events),
            SharedRetryBudget(),
            self.random.random,
            metrics=self.metrics,
            **shared,
        )
        claims = self.settings.claims
        parser = ChatParser.start(self.settings.limits.max_chat_elements)
        return CallerApi(
            gate=self.gate,
            accept=Accept(parser, self.clock),
            filters=(
                Authenticate(key_ring(self.settings.keys.callers)),
                MatchRoute(self.tasks.tables, **shared),
                Claim(
                    self.local_router.node,
                    self.tasks.claims,
                    claims.shards,
                    claims.patience_s,
                    **shared,
                ),
                reserve,
                attempt,
                Relay(self.clock, self.metrics),
                Settle(
                    self.bill_finaliser,
                    OutcomeRecorder(self.tasks.claims, claims.shards),
                    reserve,
                    choose,
                    isolate,
                    metrics=self.metrics,
                    **shared,
                ),
            ),
            events=self.events,
            metrics=self.metrics,
            max_body_bytes=self.settings.limits.max_body_bytes,
        )

    def make_operator_api(self) -> OperatorApi:
        """Create the operators' API."""
        return OperatorApi(
            keys=key_ring(self.settings.keys.operators),
            tables=self.tasks.tables,
            tables_documents=self.tasks.tables_documents,
            ledger=self.tasks.ledger,
            shards=self.settings.budgets.shards,
            claims=self.tasks.claims,
            claim_shards=self.settings.claims.shards,
            budgets=self.tasks.budgets,
            membership=self.tasks.membership,
            events=self.events,
            clock=self.clock,
        )

    def make_callers(self) -> CallerListener:
        """Create the listener for callers and operators."""
        shared: dict[str, Any] = {"clock": self.clock, "events": self.events}
        limits = self.settings.limits
        scarce = LatestValue(False)
        memory = ConnectionMemoryTask.start(
            limits.body_memory_bytes, scarce=scarce, **shared
        )
        turns = ReadingTurnsTask.start(self.timers, **shared)
        connections = limits.max_requests + OVERLOAD_CONNECTIONS
        intake = CallerIntake(
            memory=ConnectionMemory(memory, self.clock),
            turns=ReadingTurns(turns, self.clock),
            host=HostLimits(max_connections=connections),
            limits=self.read_limits,
            start_delays=StartDelays(),
            **shared,
        )
        address = SocketAddress(self.settings.listen.host, self.settings.listen.port)
        answerer = WsgiCalls(self.application)
        return CallerListener(
            address,
            intake,
            answerer,
            self.callers_stopping,
            CallerConnections(**shared),
            scarce,
        )

    def read_limits(self) -> ReadLimits:
        """Return the limits on reading one request."""
        limits = self.settings.limits
        return ReadLimits(
            first_byte_timeout_s=limits.request_timeout_s,
            read_timeout_s=limits.request_timeout_s,
            body_bytes=limits.max_body_bytes,
            header_bytes=limits.max_header_bytes,
            request_timeout_s=max(REQUEST_TIMEOUT_S, limits.request_timeout_s),
        )

    def application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Dispatch a request to the handler of its path."""
        path = environ.get("PATH_INFO", "/")
        if path == "/healthz":
            return send_response(start_response, 200, "text/plain", b"ok\n")
        if path == "/readyz":
            return self.serve_readiness(start_response)
        if path == "/metrics":
            body = generate_latest(self.metrics.registry)
            return send_response(start_response, 200, "text/plain; version=0.0.4", body)
        if path.startswith(operator_api.PREFIX):
            return self.operator_api(environ, start_response)
        if path.startswith(old_setup_api.PREFIX):
            return self.old_setup_api(environ, start_response)
        return self.front(environ, start_response)

    def serve_readiness(self, start_response: StartResponse) -> Iterable[bytes]:
        """Respond with 200 if the load balancer may send requests, else with 503."""
        if self.stopping.is_set():
            return send_response(start_response, 503, "text/plain", b"draining\n")
        if not self.metrics.revision.collect()[0].samples[0].value:
            return send_response(start_response, 503, "text/plain", b"no tables yet\n")
        return send_response(start_response, 200, "text/plain", b"ready\n")

    def start(self) -> None:
        """Start serving; does not block."""
        self.timers.start()
        self.tasks.peers.start()
        TablesWatch(
            self.store(), self.tasks.tables, self.watching, self.stopping
        ).start()
        self.tasks.membership.tell(SendHeartbeat())
        self.callers.start()
        self.events.emit(
            "router_started",
            incarnation=self.local_router.incarnation,
            port=self.callers.port,
        )

    def shut_down(self) -> None:
        """Finish the requests in progress, return all grants, and stop."""
        drain = self.settings.drain
        self.stopping.set()
        self.events.emit("draining")
        self.tasks.membership.tell(StartDraining())
        # The load balancer needs time to see that this router is no longer ready.
        self.sleep(drain.notice_s)
        self.gate.close()
        whole = self.gate.wait_until_idle(self.clock, drain.limit_s)
        done = ask(
            self.tasks.budgets,
            DrainBudgets(),
            self.clock,
            timeout=RETURN_GRANTS_TIMEOUT_S,
        )
        self.events.emit("stopped", whole=whole, returned=done is not None)
        self.callers_stopping.close_idle()
        self.callers.close(CLOSE_LISTENER_TIMEOUT_S)
        self.callers.wait_ended(LAST_RESPONSES_TIMEOUT_S)
        self.tasks.peers.stop()

    def sleep(self, seconds: float) -> None:
        """Wait for a time measured by this router's clock, in seconds."""
        condition = threading.Condition()
        deadline = self.clock.monotonic() + seconds
        with condition:
            while (remaining := deadline - self.clock.monotonic()) > 0:
                self.clock.wait(condition, remaining)


def new_incarnation(clock: Clock) -> str:
    """Return a unique id of this process; later processes of a host compare greater."""
    return f"{int(clock.wall() * 1000):013x}-{system_secrets.token_hex(4)}"


def key_ring(keys: list[ApiKeySettings]) -> KeyRing:
    """Return a key ring of the keys in the settings."""
    return KeyRing({key.id: StoredKey(key.owner, key.sha256) for key in keys})
