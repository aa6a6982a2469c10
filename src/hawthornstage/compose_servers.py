"""Wires the tasks that know the backend servers' links and failures.

Each function starts tasks of a router on the users' platform, and keeps them there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hawthornstage.actors.servers.crash_logs import CrashLogWriter
from hawthornstage.actors.servers.crashing_parts import CrashingPartsTask
from hawthornstage.actors.servers.failures import ServerFailuresTask
from hawthornstage.actors.servers.links import LinkProber, ServerLinksTask
from hawthornstage.actors.servers.lost_servers import LostServersTask
from hawthornstage.actors.servers.reach_checks import ReachChecks
from hawthornstage.actors.servers.tunnels import TunnelsTask

if TYPE_CHECKING:
    from hawthornstage.compose_fleet import FleetRouter


def start_failure_tasks(router: FleetRouter) -> None:
    """Start the tasks that find calls and prompt parts which crash servers."""
    node = router.settings.node
    router.server_failures = ServerFailuresTask.start(
        node, router.blocked_calls, router.peers, **router.shared
    )
    router.crash_log_writer = CrashLogWriter.start(
        node, router.store("crash_log"), **router.shared
    )
    router.crashing_parts = CrashingPartsTask.start(
        node,
        router.blocked_parts,
        router.crash_log_writer,
        router.routers,
        **router.shared,
    )


def start_links(router: FleetRouter) -> None:
    """Start the tasks that know this router's links, and serve other routers'."""
    router.server_links = ServerLinksTask.start(
        router.settings.node,
        router.server_links_known,
        LinkProber.start(),
        (router.server_notices,),
        **router.shared,
    )
    router.reach_checks = ReachChecks(
        router.settings.node,
        router.registered_servers,
        router.server_links_known,
        router.clock,
    )
    router.tunnels = TunnelsTask(
        router.settings.tunnels,
        router.reach_checks,
        router.server_links,
        registered=router.registered_servers,
        notices=router.server_notices_in_force,
        evacuations=router.evacuations_in_force,
        links=router.server_links_known,
        region=lambda: router.live_settings.value.region,
        metrics=router.metrics,
        **router.shared,
    )


def start_lost_servers(router: FleetRouter) -> None:
    """Start the task that finds out which servers crashed during calls."""
    router.lost_servers = LostServersTask.start(
        router.reach_checks,
        router.peers,
        router.server_failures,
        router.crashing_parts,
        router.server_links,
        links=router.server_links_known,
        timers=router.timers,
        **router.shared,
    )
