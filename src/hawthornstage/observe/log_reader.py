"""Parses captured logs of any number of processes back into events."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

# Keys of a line that are not fields of its event.
COMMON_FIELDS = frozenset({"timestamp", "level", "event", "node", "request_id"})
FIELD_PATTERN = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


def read_logs(sources: Iterable[str]) -> list[dict[str, Any]]:
    """Read the events of several logs, ordered by time.

    Args:
        sources: Paths of log files; `-` is standard input.

    Raises:
        OSError: A file cannot be read.
    """
    events = [event for source in sources for event in read_log(source)]
    return sorted(events, key=lambda event: event["stamp"]["millis"])


def read_log(source: str) -> Iterator[dict[str, Any]]:
    """Yield the events of one log and skip other lines.

    Args:
        source: Path of the log file; `-` is standard input.

    Raises:
        OSError: The file cannot be read.
    """
    if source == "-":
        yield from parse_lines(sys.stdin)
        return
    with Path(source).open(encoding="utf-8", errors="replace") as file:
        yield from parse_lines(file)


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of a log's lines; text before the timestamp is ignored."""
    for number, line in enumerate(lines):
        start = line.find("timestamp=")
        if start >= 0:
            event = parse_line(line[start:], number)
            if event is not None:
                yield event


def parse_line(line: str, number: int) -> dict[str, Any] | None:
    """Parse a line of key=value pairs.

    Args:
        line: The line.
        number: Its number, which orders events of the same millisecond.

    Returns:
        The event, or None if the line has no event name or no valid timestamp.
    """
    pairs = {name: unquote(value) for name, value in FIELD_PATTERN.findall(line)}
    if "event" not in pairs or "timestamp" not in pairs:
        return None
    try:
        at = datetime.fromisoformat(pairs["timestamp"])
    except ValueError:
        return None
    return {
        "stamp": {
            "millis": int(at.timestamp() * 1000),
            "counter": number,
            "node": pairs.get("node", ""),
        },
        "name": pairs["event"],
        "request_id": pairs.get("request_id", ""),
        "fields": {k: v for k, v in pairs.items() if k not in COMMON_FIELDS},
    }


def unquote(value: str) -> str:
    """Remove a value's quotes and its escapes."""
    if len(value) >= 2 and value.startswith('"') and value.endswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value
