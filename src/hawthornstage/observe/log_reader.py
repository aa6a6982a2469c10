"""Reads captured logs of any number of processes back into events."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

# Names that every line has, which are no fields of the event.
COMMON_FIELDS = frozenset({"timestamp", "level", "event", "node", "request_id"})
FIELD_PATTERN = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


def read_logs(sources: Iterable[str]) -> list[dict[str, Any]]:
    """Read the events of several logs, in the order of their times.

    Args:
        sources: Paths of files; `-` is standard input.

    Raises:
        OSError: A file cannot be read.
    """
    events = [event for source in sources for event in read_log(source)]
    return sorted(events, key=lambda event: event["stamp"]["millis"])


def read_log(source: str) -> Iterator[dict[str, Any]]:
    """Yield the events of one log; lines that are no events are passed over."""
    if source == "-":
        yield from parse_lines(sys.stdin)
        return
    with Path(source).open(encoding="utf-8", errors="replace") as file:
        yield from parse_lines(file)


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events that lines hold."""
    for number, line in enumerate(lines):
        start = line.find("timestamp=")
        if start >= 0:
            event = parse_line(line[start:], number)
            if event is not None:
                yield event


def parse_line(line: str, number: int) -> dict[str, Any] | None:
    """Return the event of a line of key=value pairs, or None."""
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
    """Return a value without its quotes."""
    if len(value) >= 2 and value.startswith('"') and value.endswith('"'):
        return value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return value
