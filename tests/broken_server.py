"""A server whose responses are cut off, or are none."""

from __future__ import annotations

import re
import socket
import struct
import threading

# Body of a whole response, and the part of it that a broken one has.
WHOLE, PART = b'{"amount": 1200}', b'{"amount": 12'
# Most bytes of one read, and of what the kernel receives ahead of the reads.
READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 16_384


class BrokenServer:
    """Accepts connections, each served by a thread of its own.

    Args:
        shape: `reset` responds to a request that is still being sent, with a part of a
            response that has no length, and resets the connection; `end` does the same
            but ends its response in order before; else it is the status of a response.
    """

    def __init__(self, shape: str) -> None:
        self.shape = shape
        self.calls = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        # Connections inherit it, so that a long upload cannot be written at once.
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Accept connections until the test ends."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Serve one request."""
        with connection:
            data = b""
            while b"\r\n\r\n" not in data:
                received = connection.recv(READ_BYTES)
                if not received:
                    return
                data += received
            head, _, body = data.partition(b"\r\n\r\n")
            self.calls += 1
            found = re.search(rb"(?i)x-request-id: *([^\r\n]+)", head)
            headers = b"X-Response-Seal: s\r\nX-Request-Id: %b\r\n" % (
                found[1] if found else b""
            )
            if self.shape in ("reset", "end"):
                connection.sendall(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + PART)
                if self.shape == "end":
                    connection.shutdown(socket.SHUT_WR)
                reset(connection)
                return
            length = re.search(rb"(?i)content-length: *(\d+)", head)
            while len(body) < (int(length[1]) if length else 0):
                body += connection.recv(READ_BYTES)
            headers += b"Content-Length: %d\r\n\r\n" % len(WHOLE)
            status = b"HTTP/1.1 %b Strange\r\n" % self.shape.encode()
            connection.sendall(status + headers + WHOLE)

    def close(self) -> None:
        """Accept no more connections."""
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
