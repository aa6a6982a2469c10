"""Runs a router on the users' platform whose links to some ports can be cut.

`python -m tools.cut_router FILE PORT` is `src/fleet_router.py`, with its metrics at a
port, but for connections to the ports that FILE lists while it exists: they are
refused, or time out in silence.
"""

from __future__ import annotations

import errno
import json
import socket
import sys
import time
from pathlib import Path
from typing import Any

from hawthornstage.fleet_daemon import run_fleet_router

# Longest wait of a blocking connection without a timeout in silence, in seconds.
SILENCE_S = 30.0


class LinkCut:
    """Replaces the ways to connect of all sockets.

    Args:
        path: The file that lists the ports.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.connect = socket.socket.connect
        self.connect_ex = socket.socket.connect_ex

    def install(self) -> None:
        """Make all sockets connect through this object."""
        cut = self

        def connect(connection: socket.socket, address: Any) -> None:
            match cut.fault_of(address):
                case "refused":
                    raise ConnectionRefusedError(errno.ECONNREFUSED, "link is cut")
                case "silent":
                    time.sleep(connection.gettimeout() or SILENCE_S)
                    raise TimeoutError("timed out")
            cut.connect(connection, address)

        def connect_ex(connection: socket.socket, address: Any) -> int:
            match cut.fault_of(address):
                case "refused":
                    return errno.ECONNREFUSED
                case "silent":
                    return errno.ETIMEDOUT
            return cut.connect_ex(connection, address)

        socket.socket.connect = connect  # type: ignore[method-assign]
        socket.socket.connect_ex = connect_ex  # type: ignore[method-assign]

    def fault_of(self, address: Any) -> str | None:
        """Return how the link to an address fails, or None if it works."""
        try:
            cut = json.loads(self.path.read_text())
        except (FileNotFoundError, ValueError):
            return None
        if isinstance(address, tuple) and address[1] in cut["ports"]:
            return cut["fault"]
        return None


if __name__ == "__main__":
    LinkCut(Path(sys.argv.pop(1))).install()
    raise SystemExit(run_fleet_router(metrics_port=int(sys.argv.pop(1))))
