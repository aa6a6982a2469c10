"""The daemon of a router on the users' platform; drains on SIGTERM."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path

from hawthornstage.allocator import limit_allocator
from hawthornstage.compose_fleet import FleetRouter
from hawthornstage.observe.logs import configure_logs
from hawthornstage.platform.settings import SETTINGS_VARIABLE, load_host_settings
from hawthornstage.settings_errors import EXIT_USAGE, SettingsError


def run_fleet_router(*, metrics_port: int) -> int:
    """Run a router on the users' platform until SIGTERM or SIGINT.

    SIGHUP reloads the settings.

    Args:
        metrics_port: Port that serves metrics; 0 lets the system choose one.

    Returns:
        The exit code.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"settings: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_USAGE
    limit_allocator()
    configure_logs("info", sys.stdout)
    try:
        settings = load_host_settings(Path(path))
    except SettingsError as error:
        for line in error.faults:
            print(f"settings: {line}", file=sys.stderr)
        return EXIT_USAGE
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    changed = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: changed.set())
    router = FleetRouter(settings, metrics_port=metrics_port)
    router.watch_settings(Path(path), changed)
    router.start()
    stop_requested.wait()
    router.shut_down()
    return 0
