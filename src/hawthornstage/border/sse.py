"""Server-sent events: splits a byte stream into events."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

# Ends a stream of chat completion chunks.
DONE_EVENT = b"data: [DONE]\n\n"
# Largest event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a byte stream into whole events and leaves every byte unchanged.

    `rest` holds the bytes after the last whole event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete.

        Args:
            data: The next bytes of the stream.

        Returns:
            Whole events, each with the blank line that ends it.

        Raises:
            EventTooLargeError: The incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        *events, self.rest = (self.rest + data).split(b"\n\n")
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"server-sent event exceeds {MAX_EVENT_BYTES} bytes"
            )
        return [event + b"\n\n" for event in events]


def read_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield whole events, each with the blank line that ends it.

    CRLF within one chunk becomes LF. An incomplete event at the end of the stream is
    dropped.

    Args:
        chunks: The stream's bytes.

    Raises:
        EventTooLargeError: An event exceeds `MAX_EVENT_BYTES`.
    """
    splitter = EventSplitter()
    for chunk in chunks:
        yield from splitter.feed(chunk.replace(b"\r\n", b"\n"))


def event_data(event: bytes) -> bytes:
    """Return the event's data lines, joined by newlines."""
    lines = [
        line.removeprefix(b"data:").strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


def error_event(document: bytes) -> bytes:
    """Return the `error` event that ends a failed stream.

    Args:
        document: The error's JSON document, on one line.
    """
    return b"event: error\ndata: " + document + b"\n\n"
