"""The thread that reloads the settings file when it changes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path

from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.host_settings import HostSettings
from hawthornstage.observe.events import EventLog
from hawthornstage.settings_errors import SettingsError

# Interval of checking the file for changes without a signal, in seconds.
POLL_INTERVAL_S = 1.0


class SettingsWatch(threading.Thread):
    """Owns the settings in use.

    Args:
        path: The settings file.
        load: Reads and validates the file.
        settings: Where the settings are published.
        changed: Set by SIGHUP to request a reload.
        events: The event log.
    """

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], HostSettings],
        settings: LatestValue[HostSettings],
        changed: threading.Event,
        events: EventLog,
    ) -> None:
        super().__init__(name="settings-watch", daemon=True)
        self.path = path
        self.load = load
        self.settings = settings
        self.changed = changed
        self.events = events
        self.content = self.read()

    def read(self) -> bytes | None:
        """Return the file's bytes, or None if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError as error:
            self.events.emit("settings_unread", reason=str(error))
            return None

    def run(self) -> None:
        """Check the file after each signal, and periodically."""
        while True:
            self.changed.wait(POLL_INTERVAL_S)
            signalled = self.changed.is_set()
            self.changed.clear()
            self.reload_if_changed(signalled=signalled)

    def reload_if_changed(self, *, signalled: bool) -> None:
        """Reload the file if it has changed or a signal requested it.

        Invalid settings are logged, and the previous ones stay in use.
        """
        content = self.read()
        if content is None or (content == self.content and not signalled):
            return
        self.content = content
        try:
            settings = self.load(self.path)
        except SettingsError as fault:
            self.events.emit("settings_refused", faults="; ".join(fault.faults))
            return
        before = self.settings.value
        self.settings.publish(settings)
        self.events.emit(
            "settings_reloaded",
            signalled=signalled,
            changed=settings != before,
            needs_restart=settings.listen_addresses != before.listen_addresses,
        )
