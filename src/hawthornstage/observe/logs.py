"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import atexit
import logging
import queue
import sys
import threading
from typing import TextIO

import structlog

# Capacity of the queue, in characters; further lines are dropped and counted.
MAX_QUEUED_LENGTH = 4_000_000
# Longest wait for queued lines to be written when the process exits, in seconds.
CLOSE_TIMEOUT_S = 2.0


class LineWriter(threading.Thread):
    """Thread that owns the log file, so that no request blocks on a write.

    Args:
        file: Destination of the lines.
    """

    def __init__(self, file: TextIO) -> None:
        super().__init__(name="log", daemon=True)
        self.file = file
        self.lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.lock = threading.Lock()
        self.queued_length = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        with self.lock:
            if self.queued_length + len(text) > MAX_QUEUED_LENGTH:
                self.dropped += 1
                return
            self.queued_length += len(text)
        self.lines.put(text)

    def flush(self) -> None:
        """Do nothing, because the thread flushes after each write."""

    def run(self) -> None:
        """Write all queued lines as one batch, repeatedly, until closed."""
        while True:
            batch = [self.lines.get()]
            while not self.lines.empty():
                batch.append(self.lines.get())
            text = "".join(line for line in batch if line is not None)
            with self.lock:
                self.queued_length -= len(text)
                dropped, self.dropped = self.dropped, 0
            if dropped:
                text += f"level=warning event=log_lines_dropped count={dropped}\n"
            self.write_out(text)
            if None in batch:
                return

    def write_out(self, text: str) -> None:
        """Write lines to the file; what fails is counted as dropped.

        What the file's encoding lacks is escaped, as others may have chosen the text.
        """
        encoding = getattr(self.file, "encoding", None) or "utf-8"
        encoded = text.encode(encoding, "backslashreplace")
        try:
            self.file.write(encoded.decode(encoding))
            self.file.flush()
        except (OSError, ValueError):
            with self.lock:
                self.dropped += text.count("\n")

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        self.lines.put(None)
        self.join(CLOSE_TIMEOUT_S)


def configure_logs(level: str, file: TextIO | None = None) -> None:
    """Configure structlog to write key=value lines through a `LineWriter`.

    Args:
        level: Name of the lowest level to write.
        file: Destination, by default standard error.
    """
    writer = LineWriter(file or sys.stderr)
    writer.start()
    atexit.register(writer.close)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=writer),
        cache_logger_on_first_use=True,
    )
