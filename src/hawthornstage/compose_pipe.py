"""Wires what serves the callers of a router on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hawthornstage.actors.callers import CallerIntake
from hawthornstage.actors.forwarded_calls import ForwardPipe
from hawthornstage.filters.admit import AdmitCall
from hawthornstage.filters.attempt_reports import AttemptReports
from hawthornstage.filters.connection_memory import ConnectionMemory
from hawthornstage.filters.forward import BlockCrashingCalls, Identify, ReserveTokens
from hawthornstage.filters.forward_attempt import Forwarder
from hawthornstage.filters.forward_choice import ServerChoice
from hawthornstage.filters.permits import Permits
from hawthornstage.filters.reading_turns import ReadingTurns
from hawthornstage.filters.server_dialer import ServerDialer
from hawthornstage.filters.server_process import ConfirmProcess
from hawthornstage.filters.server_versions import ServerVersions
from hawthornstage.filters.stream_version import ResolveStreamVersion

if TYPE_CHECKING:
    from hawthornstage.compose_fleet import FleetRouter


def make_intake(router: FleetRouter, memory: ConnectionMemory) -> CallerIntake:
    """Create what callers' connections share while they read requests.

    Args:
        router: The router, whose tasks run.
        memory: Memory of their requests, and of responses.
    """
    return CallerIntake(
        memory=memory,
        turns=ReadingTurns(router.reading_turns, router.clock),
        host=router.settings.limits,
        limits=router.read_limits,
        start_delays=router.start_delays,
        **router.shared,
    )


def make_pipe(router: FleetRouter, memory: ConnectionMemory) -> ForwardPipe:
    """Create the pipe of filters for forwarded calls.

    Args:
        router: The router, whose tasks run.
        memory: Memory of responses, and of requests.
    """
    admit = AdmitCall(
        router.admission, router.admission_policy, router.clock, router.metrics
    )
    block = BlockCrashingCalls(router.blocked_calls, router.blocked_parts, router.clock)
    reserve = ReserveTokens(router.token_accounts, router.clock, router.events)
    permits = Permits(
        router.server_notices,
        router.peers,
        router.server_notices_in_force,
        router.evacuations_in_force,
        router.clock,
    )
    stream_version = ResolveStreamVersion(
        router.stream_versions, router.peers, router.clock, router.events
    )
    choice = ServerChoice(
        router.server_selection,
        permits,
        router.clock,
        router.metrics,
        router.desired,
        lambda: router.live_settings.value.regions,
    )
    dialer = ServerDialer(
        router.server_links_known,
        router.server_links,
        router.peers,
        router.clock,
        router.events,
        router.metrics,
    )
    reports = AttemptReports(
        router.server_selection,
        router.server_failures,
        router.lost_servers,
        choice,
        permits,
        dialer,
        router.events,
        router.metrics,
    )
    versions = ServerVersions(
        router.stream_versions,
        router.version_records,
        router.recorded_versions,
        ConfirmProcess(router.clock, router.events),
        permits,
        router.registered_servers,
        router.servers_heard_at,
        router.processes_confirmed,
        router.clock,
    )
    return ForwardPipe(
        identify=Identify(router.desired),
        filters=(admit, block, stream_version, reserve),
        reserve=reserve,
        forwarder=Forwarder(
            serving=router.server_selection,
            crashing_parts=router.crashing_parts,
            choice=choice,
            admit=admit,
            block=block,
            permits=permits,
            dialer=dialer,
            versions=versions,
            reports=reports,
            memory=memory,
            registered=router.registered_servers,
            clock=router.clock,
            metrics=router.metrics,
        ),
        accepting=router.accepting,
        clock=router.clock,
        events=router.events,
        metrics=router.metrics,
    )
