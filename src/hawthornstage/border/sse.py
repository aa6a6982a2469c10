"""Server-sent events: splits a byte stream into events."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

# Ends a stream of chat completion chunks.
DONE_EVENT = b"data: [DONE]\n\n"
# Ends an event.
EVENT_END = b"\n\n"
# Largest event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a byte stream into whole events and leaves every byte unchanged.

    The time that it takes grows with the bytes, in however small pieces they come.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes after the last whole event."""
        return bytes(self.buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete.

        Args:
            data: The next bytes of the stream.

        Returns:
            Whole events, each with the blank line that ends it.

        Raises:
            EventTooLargeError: The incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        # The end of an event may have begun with the last byte before.
        searched = max(0, len(self.buffer) - len(EVENT_END) + 1)
        self.buffer += data
        events: list[bytes] = []
        if self.buffer.find(EVENT_END, searched) >= 0:
            *whole, self.buffer = self.buffer.split(EVENT_END)
            events = [bytes(each) + EVENT_END for each in whole]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"server-sent event exceeds {MAX_EVENT_BYTES} bytes"
            )
        return events


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
