"""Wires the watches of the store of a router on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hawthornstage.actors.desired_states import DesiredStateWatch
from hawthornstage.actors.servers.crash_logs import CrashLogsWatch
from hawthornstage.actors.servers.registry import ServerRegistry

if TYPE_CHECKING:
    from hawthornstage.compose_fleet import FleetRouter


def watch_store(router: FleetRouter) -> None:
    """Start the watches of the store, each with its own connection."""
    shared = (router.store_bounds, router.clock, router.events, router.share_watch)
    DesiredStateWatch(
        router.store("desired_state"),
        router.desired_states,
        *shared,
        followers=(router.evacuations,),
    ).start()
    ServerRegistry(
        router.store("servers"),
        (
            router.server_selection,
            router.stream_versions,
            router.version_records,
            router.server_links,
            router.lost_servers,
        ),
        router.registered_servers,
        router.routers,
        *shared,
        slow_starts=router.server_notices,
        last_heard=router.servers_heard_at,
    ).start()
    CrashLogsWatch(
        router.store("crash_logs"), router.crashing_parts, router.routers, *shared
    ).start()
