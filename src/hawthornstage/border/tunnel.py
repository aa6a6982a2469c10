"""The bytes of a tunnel between two routers.

The router that needs the tunnel sends the token, then the bytes for the server; the
other one replies with one byte, then sends the server's bytes in chunks. The last chunk
tells that the server closed its connection in order: a tunnel that ends without it has
broken, and what was received may lack a part.
"""

from __future__ import annotations

import socket

from hawthornstage.border.chunked_body import ChunkedDecoder, ChunkError

# Length of a token, in ASCII characters.
TOKEN_LENGTH = 32
ACCEPTED = b"+"
LAST_CHUNK = b"0\r\n\r\n"


def send_token(connection: socket.socket, token: str) -> None:
    """Send the token of a tunnel, and wait until it is accepted.

    Args:
        connection: A blocking socket with a timeout.
        token: The token.

    Raises:
        OSError: The token is not accepted.
    """
    connection.sendall(token.encode("ascii"))
    if connection.recv(1) != ACCEPTED:
        raise ConnectionRefusedError("the tunnel was not accepted")


class TunnelReader:
    """Takes the server's bytes out of a tunnel."""

    def __init__(self) -> None:
        # Each read of the other router is a chunk, however little a server sends.
        self.decoder = ChunkedDecoder(refuse_small=False)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the parts of the server's bytes, b'' last if the server has closed.

        Args:
            data: Bytes from the tunnel; b'' when it has ended.

        Raises:
            OSError: The tunnel broke.
        """
        if self.decoder.finished:
            return [b""]
        if not data:
            raise ConnectionResetError("the tunnel broke")
        try:
            decoded = self.decoder.feed(data)
        except ChunkError as error:
            raise ConnectionResetError(f"invalid tunnel: {error}") from error
        parts = [decoded] if decoded else []
        return [*parts, b""] if self.decoder.finished else parts
