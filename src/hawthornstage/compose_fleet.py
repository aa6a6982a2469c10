"""The composition root of a router on the users' platform."""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import pykka
from cheroot import wsgi
from prometheus_client import generate_latest

from hawthornstage.actors.ask import ask
from hawthornstage.actors.breaks_task import ServerFailuresTask
from hawthornstage.actors.callers import CallerListener, ForwardPipe, StopSignal
from hawthornstage.actors.desired_states import DesiredStateTask, DesiredStateWatch
from hawthornstage.actors.fleet_members import Deregister, FleetMembers, MembershipTick
from hawthornstage.actors.ledger import LedgerTask
from hawthornstage.actors.peers import PeerIdentity, PeerLink, Peers
from hawthornstage.actors.purse import (
    CheckTokenAccounts,
    ReturnAllTokens,
    StopDrawingAhead,
    TokenAccountsTask,
)
from hawthornstage.actors.server_registry import ServerRegistry
from hawthornstage.actors.serving_task import ServerSelectionTask
from hawthornstage.actors.settings_watch import SettingsWatch
from hawthornstage.actors.store_watch import sleep
from hawthornstage.actors.task import MessageDispatcher
from hawthornstage.actors.timers import Timers
from hawthornstage.border.peer_server import PeerServer
from hawthornstage.border.wsgi import StartResponse, send
from hawthornstage.clock import Clock
from hawthornstage.decisions.retry_share import RetryShare, RetryTerms
from hawthornstage.decisions.serving import Serving
from hawthornstage.filters.forward import BlockCrashing, Identify, ReserveTokens
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.latest import Latest
from hawthornstage.messages.desired import DesiredState
from hawthornstage.messages.draws import TokensHandedOver, TokensWanted
from hawthornstage.messages.fleet import CallBroke, DesiredStateWanted, StateBeat
from hawthornstage.messages.node import HostSettings, SocketAddress
from hawthornstage.messages.store import Committed, Conflict, Item, Put
from hawthornstage.observe.events import EventLog
from hawthornstage.observe.metrics import Metrics
from hawthornstage.platform.settings import load_host_settings
from hawthornstage.platform.store import StoreClient

# Periods of the tasks' own work, in seconds.
MEMBERS_TURN_S = 1.0
PURSE_CHECK_S = 0.1
# Routers that share the fleet's retries as long as no others are known.
UNKNOWN_ROUTERS = 16
# Where the routers' shared secret lies in the store.
SECRET_KEY = "hawthornstage/secret"
# Pause between two tries to read it, in seconds.
SECRET_PAUSE_S = 0.5
# Time after SIGTERM until new connections are refused, in seconds: the balancer
# needs two answers a second apart to see that this router is not ready any more.
NOTICE_S = 2.6
# Time before the end of the grace period at which the process ends, in seconds.
GRACE_MARGIN_S = 0.8
# Longest wait for the return of tokens at the end, in seconds.
RETURN_S = 0.6


class FleetRouter:
    """One router on the users' platform: its tasks, its pipe and its servers.

    Args:
        settings: The checked settings.
        metrics_port: Where metrics are served, on the host's own address.
        clock: The runtime's clock.
    """

    def __init__(
        self,
        settings: HostSettings,
        *,
        metrics_port: int,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.live_settings = Latest(settings)
        self.clock = clock or Clock()
        self.events = EventLog(settings.node, self.clock)
        self.metrics = Metrics()
        self.desired: Latest[DesiredState | None] = Latest(None)
        self.routers = Latest(UNKNOWN_ROUTERS)
        self.stopping = StopSignal()
        self.timers = Timers(self.clock)
        self.dispatcher = MessageDispatcher()
        self.readiness = self.make_http(settings.readiness, self.ready)
        metrics = SocketAddress(settings.callers.host, metrics_port)
        self.metrics_http = self.make_http(metrics, self.show_metrics)

    def start(self) -> None:
        """Start serving; waits until the store has told the shared secret."""
        serve(self.readiness, "readiness")
        serve(self.metrics_http, "metrics")
        self.timers.start()
        secret = self.shared_secret()
        self.start_tasks(PeerIdentity(self.settings.node, secret))
        self.peer_server = PeerServer(
            self.settings.peers.host,
            self.settings.peers.port,
            secrets=(secret,),
            dispatcher=self.dispatcher,
            events=self.events,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.peer_server.start()
        self.watch_store()
        self.events.emit("router_started", metrics_port=self.metrics_http.bind_addr[1])

    def shared_secret(self) -> str:
        """Return the routers' shared secret; the first router makes it."""
        store = self.store()
        while True:
            match store.get(SECRET_KEY):
                case Item(value=value):
                    return value.decode("ascii")
                case None:
                    made = secrets.token_hex(16)
                    put = Put(SECRET_KEY, made.encode())
                    match store.transact({SECRET_KEY: 0}, puts=(put,)):
                        case Committed():
                            return made
                        case Conflict():
                            continue
            sleep(self.clock, SECRET_PAUSE_S)

    def start_tasks(self, identity: PeerIdentity) -> None:
        """Start every task; each gets the addresses of those it talks to."""
        shared: dict[str, Any] = {"clock": self.clock, "events": self.events}
        node = self.settings.node
        self.peers = Peers.start(
            identity, self.dispatcher, self.link_maker(identity), self.timers
        )
        ledger = LedgerTask.start(node, self.store(), self.clock, self.events)
        self.purse = TokenAccountsTask.start(
            ledger=ledger,
            peers=self.peers,
            routers=self.routers,
            metrics=self.metrics,
            **shared,
        )
        self.breaks = ServerFailuresTask.start(self.peers, **shared)
        self.states = DesiredStateTask.start(
            node,
            self.desired,
            peers=self.peers,
            subscribers=(self.purse,),
            events=self.events,
        )
        self.serving = ServerSelectionTask.start(
            Serving(self.settings.failure_domain),
            RetryShare(self.retry_terms),
            self.routers,
            metrics=self.metrics,
            **shared,
        )
        peers = self.settings.peers
        self.members = FleetMembers.start(
            node,
            f"ws://{peers.host}:{peers.port}",
            store=self.store(),
            peers=self.peers,
            desired=self.desired,
            routers=self.routers,
            subscribers=(self.purse, self.breaks),
            reply_handler=self.states,
            events=self.events,
        )
        self.dispatcher.register(self.states, (StateBeat, DesiredStateWanted))
        self.dispatcher.register(self.purse, (TokensWanted, TokensHandedOver))
        self.dispatcher.register(self.breaks, (CallBroke,))
        self.members.tell(MembershipTick())
        self.timers.every(MEMBERS_TURN_S, self.members, MembershipTick())
        self.timers.every(PURSE_CHECK_S, self.purse, CheckTokenAccounts())
        self.callers = CallerListener(
            self.settings.callers, self.make_pipe(), self.stopping
        )
        self.callers.start()

    def retry_terms(self) -> RetryTerms:
        """Return the terms of the fleet's retries as they are set now."""
        settings = self.live_settings.value
        return RetryTerms(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )

    def watch_store(self) -> None:
        """Start the watches, each with a connection of its own."""
        DesiredStateWatch(self.store(), self.states, self.clock, self.events).start()
        ServerRegistry(self.store(), self.serving, self.clock, self.events).start()

    def store(self) -> StoreClient:
        """Return a client of the store for one task."""

        def count(kind: str, outcome: str) -> None:
            self.metrics.store_calls.labels(kind, outcome).inc()
            if outcome.isdigit():
                self.metrics.store_answered.set(self.clock.wall())

        return StoreClient(lambda: self.live_settings.value.store, count=count)

    def watch_settings(self, path: Path, changed: threading.Event) -> None:
        """Read the settings again whenever the file changes or `changed` is set."""
        SettingsWatch(
            path, load_host_settings, self.live_settings, changed, self.events
        ).start()

    def link_maker(
        self, identity: PeerIdentity
    ) -> Callable[[str, str], pykka.ActorRef]:
        """Return what starts the link to one other router."""

        def start(name: str, url: str) -> pykka.ActorRef:
            return PeerLink.start(
                name, url, identity, self.clock, self.events, self.metrics
            )

        return start

    def make_pipe(self) -> ForwardPipe:
        """Wire the filters of a forwarded call."""
        reserve = ReserveTokens(self.purse, self.clock, self.events)
        return ForwardPipe(
            identify=Identify(self.desired),
            filters=(BlockCrashing(self.breaks, self.clock), reserve),
            reserve=reserve,
            forwarder=Forwarder(
                self.serving, self.breaks, self.clock, self.events, self.metrics
            ),
            desired=self.desired,
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
        )

    def make_http(
        self, address: SocketAddress, application: Callable[..., Iterable[bytes]]
    ) -> wsgi.Server:
        """Return a small HTTP server for the platform's own questions."""
        server = wsgi.Server(
            (address.host, address.port), application, numthreads=2, timeout=5
        )
        server.prepare()
        return server

    def ready(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Say whether the balancer should send connections here."""
        if self.stopping.closing:
            return send(start_response, 503, "text/plain", b"stopping\n")
        if self.desired.value is None:
            return send(start_response, 503, "text/plain", b"no desired state yet\n")
        return send(start_response, 200, "text/plain", b"ready\n")

    def show_metrics(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Show the metrics in the format of Prometheus."""
        state = self.desired.value
        self.metrics.desired_version.set(state.version if state else 0)
        self.metrics.known_routers.set(self.routers.value)
        body = generate_latest(self.metrics.registry)
        return send(start_response, 200, "text/plain; version=0.0.4", body)

    def shut_down(self) -> None:
        """Take nothing new, finish what is at work, give tokens back."""
        grace_s = self.live_settings.value.grace_s
        deadline = self.clock.monotonic() + grace_s - GRACE_MARGIN_S
        self.events.emit("stopping", at_work=self.callers.at_work)
        self.stopping.close_after_response()
        self.purse.tell(StopDrawingAhead())
        sleep(self.clock, NOTICE_S)
        self.callers.close()
        self.stopping.close_idle()
        left = deadline - self.clock.monotonic() - RETURN_S
        whole = self.callers.wait_idle(self.clock, left)
        returned = ask(self.purse, ReturnAllTokens(), self.clock, timeout=RETURN_S)
        self.members.tell(Deregister())
        self.events.emit("stopped", whole=whole, returned=bool(returned))
        self.peer_server.stop()
        self.readiness.stop()
        self.metrics_http.stop()


def serve(server: wsgi.Server, name: str) -> None:
    """Run an HTTP server in a thread of its own."""
    threading.Thread(target=server.serve, name=name, daemon=True).start()
