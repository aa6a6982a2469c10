"""Decodes chunked bodies; streams have hundreds of small chunks a second."""

from __future__ import annotations

import re
from collections.abc import Iterable
from enum import Enum, auto

# A chunk's size, with extensions, which are ignored.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
# Longest line of a size or a trailer field, and longest trailer, in bytes.
MAX_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 16_384
# Chunks after which a body is refused whose chunks are smaller than this on average, in
# bytes: each costs far more to decode than it brings.
MAX_SMALL_CHUNKS = 1_024
SMALL_CHUNK_BYTES = 4
LINE_END = b"\r\n"
# The sizes of small chunks as they are mostly written.
PLAIN_SIZES = {b"%x" % size: size for size in range(1, 256)}


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

    The time that it takes grows with the bytes only: what has been decoded is dropped
    once for each call of `feed`, not for each chunk.

    Args:
        refuse_small: Whether a body in very many tiny chunks is refused.
    """

    def __init__(self, *, refuse_small: bool = True) -> None:
        self.refuse_small = refuse_small
        self.expected = Expected.SIZE
        self.buffer = b""
        # Bytes of the buffer that are decoded.
        self.position = 0
        self.chunk_left = 0
        self.chunks = 0
        self.body_bytes = 0
        self.trailer_bytes = 0

    @property
    def finished(self) -> bool:
        """Whether the whole body has been decoded."""
        return self.expected is Expected.NOTHING

    @property
    def rest(self) -> bytes:
        """The bytes received that are not decoded; all after the body's end."""
        return self.buffer[self.position :]

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the part of the body that they complete.

        Raises:
            ChunkError: The bytes are invalid, a line does not end, or the body is in
                very many tiny chunks.
        """
        self.buffer = self.rest + data
        self.position = 0
        decoded = bytearray()
        while self.step(decoded):
            pass
        return bytes(decoded)

    def step(self, decoded: bytearray) -> bool:
        """Decode the next element; return False if more bytes are needed."""
        match self.expected:
            case Expected.SIZE:
                self.read_whole_chunks(decoded)
                return self.read_size()
            case Expected.DATA:
                return self.read_data(decoded)
            case Expected.DATA_END:
                return self.read_data_end()
            case Expected.TRAILER:
                return self.read_trailer()
            case Expected.NOTHING:
                return False

    def read_line(self) -> bytes | None:
        """Take one line without its end, or return None if it is incomplete."""
        end = self.buffer.find(LINE_END, self.position)
        line_bytes = (end if end >= 0 else len(self.buffer)) - self.position
        if line_bytes > MAX_LINE_BYTES:
            raise ChunkError(f"a line exceeds {MAX_LINE_BYTES} bytes")
        if end < 0:
            return None
        line = self.buffer[self.position : end]
        self.position = end + len(LINE_END)
        return line

    def read_whole_chunks(self, decoded: bytearray) -> None:
        """Decode the chunks that have arrived completely, up to an unusual one.

        The other steps come to the same result, in several times the time.
        """
        buffer, position = self.buffer, self.position
        while (end := buffer.find(LINE_END, position)) >= 0:
            line = buffer[position:end]
            size = PLAIN_SIZES.get(line) or parse_size(line)
            start = end + len(LINE_END)
            if not size or not buffer.startswith(LINE_END, start + size):
                break
            self.count_chunk(size)
            decoded += buffer[start : start + size]
            position = start + size + len(LINE_END)
        self.position = position

    def read_size(self) -> bool:
        """Read the size of the next chunk."""
        line = self.read_line()
        if line is None:
            return False
        size = parse_size(line)
        if size is None:
            raise ChunkError(f"invalid chunk size {line[:20]!r}")
        self.count_chunk(size)
        self.chunk_left = size
        self.expected = Expected.DATA if self.chunk_left else Expected.TRAILER
        return True

    def count_chunk(self, size: int) -> None:
        """Count a chunk, and refuse the body if most of it is sizes of chunks."""
        if not self.refuse_small:
            return
        self.chunks += 1
        self.body_bytes += size
        small = self.body_bytes < self.chunks * SMALL_CHUNK_BYTES
        if self.chunks > MAX_SMALL_CHUNKS and small:
            raise ChunkError(f"more than {MAX_SMALL_CHUNKS} chunks, most of them tiny")

    def read_data(self, decoded: bytearray) -> bool:
        """Take what has arrived of the current chunk."""
        part = self.buffer[self.position : self.position + self.chunk_left]
        if not part:
            return False
        self.position += len(part)
        self.chunk_left -= len(part)
        decoded += part
        if not self.chunk_left:
            self.expected = Expected.DATA_END
        return True

    def read_data_end(self) -> bool:
        """Read the line end after a chunk."""
        if len(self.buffer) - self.position < len(LINE_END):
            return False
        if not self.buffer.startswith(LINE_END, self.position):
            raise ChunkError("a chunk is longer than its size")
        self.position += len(LINE_END)
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


def parse_size(line: bytes) -> int | None:
    """Return the size that a line states, in bytes, or None if it is invalid."""
    if len(line) > MAX_LINE_BYTES:
        return None
    found = SIZE_LINE.fullmatch(line)
    return None if found is None else int(found[1], 16)


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk; empty data would end the body and gives b''."""
    if not data:
        return b""
    return b"%x\r\n%b\r\n" % (len(data), data)


def is_chunked(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether headers, which the parser has validated, announce a chunked body."""
    return any(
        name == b"transfer-encoding" and value.lower() == b"chunked"
        for name, value in headers
    )
