"""Decodes chunked bodies; streams have hundreds of small chunks a second."""

from __future__ import annotations

import re
from enum import Enum, auto

# A chunk's size, with extensions, which are ignored.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
# Longest line of a size or a trailer field, and longest trailer, in bytes.
MAX_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 16_384
LINE_END = b"\r\n"


class ChunkError(Exception):
    """The bytes are not a valid chunked body."""


class Expected(Enum):
    """What the decoder expects next."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    NOTHING = auto()


class ChunkedDecoder:
    """Decodes one chunked body.

    `rest` holds the bytes after the body once `finished` is true.
    """

    def __init__(self) -> None:
        self.expected = Expected.SIZE
        self.buffer = b""
        self.chunk_left = 0
        self.trailer_bytes = 0

    @property
    def finished(self) -> bool:
        """Whether the whole body has been decoded."""
        return self.expected is Expected.NOTHING

    @property
    def rest(self) -> bytes:
        """The bytes received after the end of the body."""
        return self.buffer

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the part of the body that they complete.

        Raises:
            ChunkError: The bytes are invalid, or a line does not end.
        """
        self.buffer += data
        parts: list[bytes] = []
        while self.step(parts):
            pass
        return b"".join(parts)

    def step(self, parts: list[bytes]) -> bool:
        """Decode the next element; return False if more bytes are needed."""
        match self.expected:
            case Expected.SIZE:
                return self.read_size()
            case Expected.DATA:
                return self.read_data(parts)
            case Expected.DATA_END:
                return self.read_data_end()
            case Expected.TRAILER:
                return self.read_trailer()
            case Expected.NOTHING:
                return False

    def read_line(self) -> bytes | None:
        """Take one line without its end, or return None if it is incomplete."""
        line, end, rest = self.buffer.partition(LINE_END)
        if len(line) > MAX_LINE_BYTES:
            raise ChunkError(f"a line exceeds {MAX_LINE_BYTES} bytes")
        if not end:
            return None
        self.buffer = rest
        return line

    def read_size(self) -> bool:
        """Read the size of the next chunk."""
        line = self.read_line()
        if line is None:
            return False
        found = SIZE_LINE.fullmatch(line)
        if found is None:
            raise ChunkError(f"invalid chunk size {line[:20]!r}")
        self.chunk_left = int(found[1], 16)
        self.expected = Expected.DATA if self.chunk_left else Expected.TRAILER
        return True

    def read_data(self, parts: list[bytes]) -> bool:
        """Take what has arrived of the current chunk."""
        if not self.buffer:
            return False
        part = self.buffer[: self.chunk_left]
        self.buffer = self.buffer[len(part) :]
        self.chunk_left -= len(part)
        parts.append(part)
        if not self.chunk_left:
            self.expected = Expected.DATA_END
        return True

    def read_data_end(self) -> bool:
        """Read the line end after a chunk."""
        if len(self.buffer) < len(LINE_END):
            return False
        if not self.buffer.startswith(LINE_END):
            raise ChunkError("a chunk is longer than its size")
        self.buffer = self.buffer[len(LINE_END) :]
        self.expected = Expected.SIZE
        return True

    def read_trailer(self) -> bool:
        """Skip trailer fields until the empty line that ends the body."""
        line = self.read_line()
        if line is None:
            return False
        self.trailer_bytes += len(line)
        if self.trailer_bytes > MAX_TRAILER_BYTES:
            raise ChunkError(f"the trailer exceeds {MAX_TRAILER_BYTES} bytes")
        if not line:
            self.expected = Expected.NOTHING
        return True


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk; empty data would end the body and gives b''."""
    if not data:
        return b""
    return b"%x\r\n%b\r\n" % (len(data), data)
