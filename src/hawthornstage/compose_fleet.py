"""The composition root of a router on the users' platform."""

from __future__ import annotations

import secrets
import threading
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from hawthornstage.actors.admission import AdmissionTask
from hawthornstage.actors.caller_connections import CallerConnections
from hawthornstage.actors.caller_limits import CallerLimitsTask
from hawthornstage.actors.caller_listener import CallerListener
from hawthornstage.actors.caller_workers import StartDelays
from hawthornstage.actors.callers import StopSignal
from hawthornstage.actors.connection_memory import ConnectionMemoryTask
from hawthornstage.actors.desired_states import (
    DesiredStateTask,
)
from hawthornstage.actors.evacuations import EvacuationsTask
from hawthornstage.actors.fleet_members import FleetMembers
from hawthornstage.actors.forwarded_calls import ForwardedCalls, read_limits
from hawthornstage.actors.health import HealthTask
from hawthornstage.actors.ledger import LedgerTask
from hawthornstage.actors.peers.task import Peers
from hawthornstage.actors.probe_server import MetricsPage, ProbeServer, ReadinessPage
from hawthornstage.actors.reading_turns import ReadingTurnsTask
from hawthornstage.actors.servers.notices import ServerNoticesTask
from hawthornstage.actors.servers.process_checks import ProcessChecks
from hawthornstage.actors.servers.selection import ServerSelectionTask
from hawthornstage.actors.servers.stream_versions import StreamVersionsTask
from hawthornstage.actors.servers.version_records import VersionRecordsTask
from hawthornstage.actors.settings_watch import SettingsWatch
from hawthornstage.actors.shared_secret import (
    SHARED_SECRET_STORE_KEY,
    load_shared_secret,
)
from hawthornstage.actors.shared_watches import SharedWatches, WatchShare
from hawthornstage.actors.store_call_log import (
    StoreCallEnded,
    StoreCallLog,
)
from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.actors.timers import Timers
from hawthornstage.actors.token_accounts import TokenAccountsTask
from hawthornstage.border.peer_connection import PeerIdentity
from hawthornstage.border.read_limits import ReadLimits
from hawthornstage.clock import Clock
from hawthornstage.compose_messages import register_messages, schedule_periodic_work
from hawthornstage.compose_pipe import make_intake, make_pipe
from hawthornstage.compose_servers import (
    start_failure_tasks,
    start_links,
    start_lost_servers,
)
from hawthornstage.compose_watches import watch_store
from hawthornstage.decisions.circuit_breaker import CircuitBreaker
from hawthornstage.decisions.connection_limits import derive_limits
from hawthornstage.decisions.crashing_parts import BlockedParts
from hawthornstage.decisions.retry_share import RetryLimits, RetryShare
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.server_failures import BlockedCalls
from hawthornstage.decisions.server_selection import ServerSelector
from hawthornstage.decisions.watch_sharing import WatchReaders
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.fleet_shutdown import FleetShutdown
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.admission import AdmissionPolicy
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.host_settings import (
    HostSettings,
    SocketAddress,
    StoreBounds,
)
from hawthornstage.messages.lost_servers import StopChecks
from hawthornstage.messages.server_links import ServerLinks
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import RegisteredServers
from hawthornstage.messages.store import Put
from hawthornstage.messages.stream_versions import ServiceVersion
from hawthornstage.messages.tunnels import StopTunnels
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.settings import load_host_settings
from hawthornstage.platform.store import StoreClient
from hawthornstage.store_epoch import StoreEpoch

# Random bytes that tell the processes of one router apart.
PROCESS_BYTES = 6
# Number of routers assumed to share the fleet's retries and budgets until the store
# has listed them.
INITIAL_ROUTER_COUNT = 16


class FleetRouter:
    """A router on the users' platform: its tasks, its request pipe and its servers.

    Args:
        settings: The validated settings.
        metrics_port: Port that serves metrics, on the host's own address.
        clock: The clock of all tasks; by default the system's.
    """

    def __init__(
        self,
        settings: HostSettings,
        *,
        metrics_port: int,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.url = process_address(
            settings.peers.host, settings.peers.port, secrets.token_hex(PROCESS_BYTES)
        )
        self.live_settings = LatestValue(settings)
        self.clock = clock or Clock()
        # Nothing reads the events of this router but the log.
        self.events = EventLog(settings.node, self.clock, buffer_bytes=0)
        self.metrics = Metrics()
        self.desired: LatestValue[DesiredState | None] = LatestValue(None)
        self.blocked_calls = LatestValue(BlockedCalls())
        self.blocked_parts = LatestValue(BlockedParts())
        self.registered_servers = LatestValue(RegisteredServers({}))
        self.servers_heard_at = LatestValue(float("-inf"))
        self.processes_confirmed: LatestValue[Mapping[str, float]] = LatestValue({})
        self.recorded_versions: LatestValue[frozenset[ServiceVersion]] = LatestValue(
            frozenset()
        )
        self.server_notices_in_force = LatestValue(ServerNotices())
        self.evacuations_in_force = LatestValue(Evacuations())
        self.server_links_known = LatestValue(ServerLinks())
        self.routers = LatestValue(INITIAL_ROUTER_COUNT)
        self.watch_readers = LatestValue(WatchReaders(settings.node))
        self.admission_policy = LatestValue(AdmissionPolicy())
        self.accepting = LatestValue(True)
        self.memory_scarce = LatestValue(False)
        self.faulty_tasks: LatestValue[tuple[str, ...]] = LatestValue(())
        self.start_delays = StartDelays()
        self.store_circuit = CircuitBreaker()
        self.store_epoch = StoreEpoch(self.events)
        self.stopping = StopSignal()
        self.caller_connections = CallerConnections(**self.shared)
        self.timers = Timers(self.clock)
        self.dispatcher = MessageDispatcher()
        self.readiness = ProbeServer(
            settings.readiness,
            ReadinessPage(
                self.stopping, self.desired, self.accepting, self.faulty_tasks
            ),
        )
        metrics = SocketAddress(settings.callers.host, metrics_port)
        self.metrics_http = ProbeServer(
            metrics,
            MetricsPage(
                self.metrics, self.desired, self.routers, self.server_notices_in_force
            ),
        )

    def start(self) -> None:
        """Start serving; blocks until the shared secret is read from the store."""
        self.readiness.start()
        self.metrics_http.start()
        self.timers.start()
        self.store_call_log = StoreCallLog.start(metrics=self.metrics, **self.shared)
        secret = load_shared_secret(self.store("secret"), self.clock)
        self.start_tasks(secret)
        self.peers.start()
        self.tunnels.start()
        self.reach_checks.start()
        watch_store(self)
        self.events.emit("router_started", metrics_port=self.metrics_http.port)

    def start_tasks(self, secret: str) -> None:
        """Start every task with references to the tasks that it sends messages to.

        Args:
            secret: The routers' shared secret.
        """
        node = self.settings.node
        self.peers = Peers(
            PeerIdentity(node, secret, self.url),
            self.settings.peers,
            secrets=(secret,),
            dispatcher=self.dispatcher,
            metrics=self.metrics,
            **self.shared,
        )
        self.start_token_accounts()
        start_failure_tasks(self)
        self.server_selection = ServerSelectionTask.start(
            ServerSelector(self.settings.failure_domain),
            RetryShare(self.retry_terms),
            self.routers,
            metrics=self.metrics,
            **self.shared,
        )
        self.server_notices = ServerNoticesTask.start(
            node,
            self.server_notices_in_force,
            (self.server_selection,),
            self.peers,
            slow_start_bounds=lambda: self.live_settings.value.slow_start_bounds,
            **self.shared,
        )
        caller_limits = CallerLimitsTask.start(
            self.read_limits, self.caller_connections
        )
        self.desired_states = DesiredStateTask.start(
            node,
            self.desired,
            peers=self.peers,
            subscribers=(self.token_accounts, self.server_notices, caller_limits),
            **self.shared,
        )
        self.evacuations = EvacuationsTask.start(
            node,
            self.evacuations_in_force,
            (self.server_selection, self.server_notices),
            self.peers,
            lambda: frozenset(self.live_settings.value.regions),
            metrics=self.metrics,
            **self.shared,
        )
        start_links(self)
        start_lost_servers(self)
        self.admission = AdmissionTask.start(
            self.admission_policy,
            self.accepting,
            start_delays=self.start_delays,
            desired=self.desired,
            routers=self.routers,
            timers=self.timers,
            metrics=self.metrics,
            **self.shared,
        )
        self.connection_memory = ConnectionMemoryTask.start(
            derive_limits(self.settings.limits).pool_bytes,
            host_bytes=lambda: self.live_settings.value.limits.memory_bytes,
            scarce=self.memory_scarce,
            **self.shared,
        )
        self.reading_turns = ReadingTurnsTask.start(self.timers, **self.shared)
        self.stream_versions = StreamVersionsTask.start(
            self.peers,
            ProcessChecks.start(ConfirmProcess(self.clock, self.events), self.clock),
            self.processes_confirmed,
            **self.shared,
        )
        self.version_records = VersionRecordsTask.start(
            node,
            self.store("versions"),
            self.stream_versions,
            self.recorded_versions,
            **self.shared,
        )
        self.shared_watches = SharedWatches.start(
            node, self.watch_readers, **self.shared
        )
        self.start_members(secret)
        self.start_health_checks()
        self.store_epoch.subscribe(
            self.members,
            self.ledger,
            self.crash_log_writer,
            self.crashing_parts,
            self.version_records,
        )
        register_messages(self)
        schedule_periodic_work(self)
        memory = ConnectionMemory(self.connection_memory, self.clock)
        self.callers = CallerListener(
            self.settings.callers,
            make_intake(self, memory),
            ForwardedCalls(make_pipe(self, memory), self.stopping),
            self.stopping,
            self.caller_connections,
            self.memory_scarce,
        )
        self.callers.start()

    @property
    def shared(self) -> dict[str, Any]:
        """The arguments that all tasks share."""
        return {"clock": self.clock, "events": self.events}

    def start_token_accounts(self) -> None:
        """Start the tasks that hold and draw tokens."""
        node = self.settings.node
        self.ledger = LedgerTask.start(
            node, self.store("ledger"), self.peers, **self.shared
        )
        self.token_accounts = TokenAccountsTask.start(
            node=node,
            ledger=self.ledger,
            peers=self.peers,
            routers=self.routers,
            metrics=self.metrics,
            **self.shared,
        )

    def start_members(self, secret: str) -> None:
        """Start the task that registers this router and finds the others.

        Args:
            secret: The routers' shared secret.
        """
        self.members = FleetMembers.start(
            self.settings.node,
            self.url,
            store=self.store("members"),
            peers=self.peers,
            routers=self.routers,
            subscribers=(
                self.ledger,
                self.token_accounts,
                self.server_failures,
                self.desired_states,
                self.server_notices,
                self.stream_versions,
                self.server_links,
                self.evacuations,
                self.shared_watches,
                self.version_records,
            ),
            secret=Put(SHARED_SECRET_STORE_KEY, secret.encode()),
            **self.shared,
        )

    def start_health_checks(self) -> None:
        """Start the task that checks the tasks without which no call is served."""
        watched = {
            "server_selection": self.server_selection,
            "token_accounts": self.token_accounts,
            "stream_versions": self.stream_versions,
            "admission": self.admission,
            "connection_memory": self.connection_memory,
            "reading_turns": self.reading_turns,
        }
        self.health = HealthTask.start(watched, self.faulty_tasks, **self.shared)

    def read_limits(self) -> ReadLimits:
        """Return the limits on reading one request of the desired state in use."""
        return read_limits(self.desired.value)

    def retry_terms(self) -> RetryLimits:
        """Return the current settings of the fleet's retries."""
        settings = self.live_settings.value
        return RetryLimits(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )

    def share_watch(self, prefix: str) -> WatchShare:
        """Return a watch's part in sharing what it reads with other routers."""
        return WatchShare(
            prefix,
            self.shared_watches,
            self.watch_readers,
            self.peers,
            **self.shared,
        )

    def store_bounds(self) -> StoreBounds:
        """Return the current times within which changes in the store take effect."""
        return self.live_settings.value.store_bounds

    def store(self, client: str) -> StoreClient:
        """Return a new client of the store whose calls are counted.

        Args:
            client: Name of the part that uses it, for the counts.
        """

        def count(kind: str, outcome: str) -> None:
            self.store_call_log.tell(StoreCallEnded(client, kind, outcome))

        return StoreClient(
            lambda: self.live_settings.value.store,
            count=count,
            circuit=self.store_circuit,
            clock=self.clock,
            epochs=self.store_epoch,
        )

    def watch_settings(self, path: Path, changed: threading.Event) -> None:
        """Reload the settings whenever the file changes or `changed` is set."""
        SettingsWatch(
            path, load_host_settings, self.live_settings, changed, self.events
        ).start()

    def shut_down(self) -> None:
        """Stop accepting calls, finish those in progress and return the tokens held."""
        shutdown = FleetShutdown(
            self.stopping,
            self.callers,
            self.tunnels,
            self.token_accounts,
            self.stream_versions,
            self.members,
            **self.shared,
        )
        shutdown.run(self.live_settings.value.grace_s)
        self.peers.stop()
        self.tunnels.tell(StopTunnels())
        self.reach_checks.tell(StopChecks())
        self.readiness.stop()
        self.metrics_http.stop()
