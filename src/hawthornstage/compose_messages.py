"""Wires which messages the tasks of a router on the users' platform get, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hawthornstage.actors.desired_states import FetchNewerVersion, SendVersion
from hawthornstage.actors.evacuations import CheckEvacuations
from hawthornstage.actors.fleet_members import MembershipTick
from hawthornstage.actors.ledger import CheckEpoch
from hawthornstage.actors.peers.messages import PeerMet
from hawthornstage.actors.servers.crashing_parts import CheckCrashLog
from hawthornstage.actors.servers.version_records import CheckVersionRecords
from hawthornstage.actors.store_call_log import LogStoreCalls
from hawthornstage.actors.token_accounts import CheckTokenAccounts
from hawthornstage.messages.call_leases import (
    CallLeaseEnded,
    FragileAnnounced,
    RequestCallLease,
)
from hawthornstage.messages.connection_memory import CheckProcessMemory
from hawthornstage.messages.draws import (
    CountsStored,
    FinalTransfer,
    RequestCallTokens,
    RequestTransfer,
)
from hawthornstage.messages.evacuations import EvacuationsAnnounced
from hawthornstage.messages.fleet import (
    CallBlocked,
    DesiredStateHeartbeat,
    RequestCompressedState,
    RequestDesiredState,
    ServerFailedDuringCall,
)
from hawthornstage.messages.health import CheckTasks
from hawthornstage.messages.server_limits import LimitAnnounced, RequestPermit
from hawthornstage.messages.server_links import ProbeLinks
from hawthornstage.messages.server_notices import ClosedAnnounced, LeavingAnnounced
from hawthornstage.messages.shared_watches import RequestChanges
from hawthornstage.messages.slow_start import EndSlowStarts
from hawthornstage.messages.stream_versions import (
    RequestStreamVersion,
    StreamVersionNoted,
)
from hawthornstage.messages.tunnels import RequestTunnel

if TYPE_CHECKING:
    from hawthornstage.compose_fleet import FleetRouter

# Intervals of the messages that trigger the tasks' periodic work, in seconds.
MEMBERS_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
FETCH_CHECK_INTERVAL_S = 0.25
TOKEN_ACCOUNTS_CHECK_INTERVAL_S = 0.1
CRASH_LOG_CHECK_INTERVAL_S = 0.1
EPOCH_CHECK_INTERVAL_S = 0.5
LINK_PROBE_INTERVAL_S = 0.5
EVACUATIONS_CHECK_INTERVAL_S = 2.0
VERSION_RECORDS_CHECK_INTERVAL_S = 2.0
STORE_CALLS_LOG_INTERVAL_S = 10.0
MEMORY_CHECK_INTERVAL_S = 0.5
SLOW_START_CHECK_INTERVAL_S = 0.25
HEALTH_CHECK_INTERVAL_S = 2.5


def register_messages(router: FleetRouter) -> None:
    """Register the tasks for the messages of other routers."""
    register = router.dispatcher.register
    register(
        router.desired_states,
        (DesiredStateHeartbeat, RequestDesiredState, RequestCompressedState),
    )
    register(router.token_accounts, (RequestCallTokens, RequestTransfer, FinalTransfer))
    register(router.ledger, (CountsStored,))
    register(router.server_failures, (ServerFailedDuringCall, CallBlocked))
    register(
        router.server_notices,
        (
            FragileAnnounced,
            CallLeaseEnded,
            ClosedAnnounced,
            LeavingAnnounced,
            LimitAnnounced,
            RequestCallLease,
            RequestPermit,
        ),
    )
    register(router.members, (PeerMet,))
    register(router.tunnels, (RequestTunnel,))
    register(router.evacuations, (EvacuationsAnnounced,))
    register(router.shared_watches, (RequestChanges,))
    register(router.stream_versions, (StreamVersionNoted, RequestStreamVersion))


def schedule_periodic_work(router: FleetRouter) -> None:
    """Schedule the messages that trigger the tasks' periodic work."""
    router.members.tell(MembershipTick())
    every = router.timers.every
    every(HEALTH_CHECK_INTERVAL_S, router.health, CheckTasks())
    every(MEMBERS_INTERVAL_S, router.members, MembershipTick())
    every(HEARTBEAT_INTERVAL_S, router.desired_states, SendVersion())
    every(FETCH_CHECK_INTERVAL_S, router.desired_states, FetchNewerVersion())
    every(TOKEN_ACCOUNTS_CHECK_INTERVAL_S, router.token_accounts, CheckTokenAccounts())
    every(EPOCH_CHECK_INTERVAL_S, router.ledger, CheckEpoch())
    every(LINK_PROBE_INTERVAL_S, router.server_links, ProbeLinks())
    every(
        VERSION_RECORDS_CHECK_INTERVAL_S,
        router.version_records,
        CheckVersionRecords(),
    )
    every(EVACUATIONS_CHECK_INTERVAL_S, router.evacuations, CheckEvacuations())
    every(SLOW_START_CHECK_INTERVAL_S, router.server_notices, EndSlowStarts())
    every(CRASH_LOG_CHECK_INTERVAL_S, router.crashing_parts, CheckCrashLog())
    every(MEMORY_CHECK_INTERVAL_S, router.connection_memory, CheckProcessMemory())
    every(STORE_CALLS_LOG_INTERVAL_S, router.store_call_log, LogStoreCalls())
