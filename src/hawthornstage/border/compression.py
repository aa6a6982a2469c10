"""Compression of large documents that routers send each other."""

from __future__ import annotations

import zlib

# Fast rather than small: the document is text that repeats itself.
LEVEL = 1
# Largest document, in bytes.
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


class CompressionError(Exception):
    """The bytes are not a compressed document of the allowed size."""


def compress(document: bytes) -> bytes:
    """Return a document in compressed form."""
    return zlib.compress(document, LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the document of a compressed form.

    Raises:
        CompressionError: The data is invalid, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not decompressor.eof:
        raise CompressionError(f"incomplete, or over {MAX_DOCUMENT_BYTES} bytes")
    return document
