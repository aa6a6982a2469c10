"""Server-sent events: cutting a byte stream into events."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

DONE_EVENT = b"data: [DONE]\n\n"
# Largest event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds the limit."""


class EventSplitter:
    """Cuts a byte stream into whole events without changing a byte."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes; return the events that they complete, as they came.

        Raises:
            EventTooLargeError: An event exceeds the limit.
        """
        *events, self.rest = (self.rest + data).split(b"\n\n")
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return [event + b"\n\n" for event in events]


def read_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield whole events, each with the blank line that ends it.

    An event that the stream's end cuts off is not yielded.

    Raises:
        EventTooLargeError: An event exceeds the limit.
    """
    splitter = EventSplitter()
    for chunk in chunks:
        yield from splitter.feed(chunk.replace(b"\r\n", b"\n"))


def event_data(event: bytes) -> bytes:
    """Return an event's data, its lines joined."""
    lines = [
        line.removeprefix(b"data:").strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


def error_event(document: bytes) -> bytes:
    """Return an event that ends a stream with an error."""
    return b"event: error\ndata: " + document + b"\n\n"
