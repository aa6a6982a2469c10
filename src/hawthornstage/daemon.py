"""The router daemon: loads the settings, serves, and drains on SIGTERM."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path

from hawthornstage.border.settings import load_settings
from hawthornstage.compose import Router
from hawthornstage.observe.logs import configure_logs
from hawthornstage.settings_errors import EXIT_USAGE, SettingsError


def run_router(settings_path: Path) -> int:
    """Run a router until SIGTERM or SIGINT.

    Args:
        settings_path: The YAML file with its settings.

    Returns:
        The exit code.
    """
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        for line in error.faults:
            print(f"settings: {line}", file=sys.stderr)
        return EXIT_USAGE
    configure_logs(settings.log_level)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    router = Router(settings)
    router.start()
    stop_requested.wait()
    router.shut_down()
    return 0
