"""A stand-in for the network between routers: forwards connections or cuts them.

`POST /standin/cut` on its control port closes every connection and refuses new ones
until `POST /standin/mend`. Each `--to HOST:PORT` has its own listening port; the
response to every control call contains these ports.
"""

from __future__ import annotations

import socket
import threading
from typing import Any

from standins._http import StartResponse, option_parser, send_json, serve

# Largest number of bytes read at a time.
CHUNK_BYTES = 65_536


class Link:
    """Forwards connections from one port to one address.

    Args:
        host: Host that connections are forwarded to.
        port: Its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self.target = (host, port)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections: set[socket.socket] = set()
        self.is_cut = False
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections and forward them in both directions."""
        while True:
            inbound, _ = self.listener.accept()
            try:
                if self.is_cut:
                    raise ConnectionRefusedError
                outbound = socket.create_connection(self.target, timeout=2.0)
                outbound.settimeout(None)
            except OSError:
                inbound.close()
                continue
            with self.lock:
                self.connections |= {inbound, outbound}
            for source, sink in ((inbound, outbound), (outbound, inbound)):
                threading.Thread(
                    target=self.forward, args=(source, sink), daemon=True
                ).start()

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Copy bytes from one socket to the other until one side closes."""
        try:
            while data := source.recv(CHUNK_BYTES):
                sink.sendall(data)
        except OSError:
            pass
        for each in (source, sink):
            self.close(each)

    def close(self, connection: socket.socket) -> None:
        """Close one connection."""
        with self.lock:
            self.connections.discard(connection)
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        connection.close()

    def cut(self) -> None:
        """Close every connection and refuse new ones."""
        self.is_cut = True
        for each in list(self.connections):
            self.close(each)


class Network:
    """Controls all links over HTTP.

    Args:
        links: The links.
    """

    def __init__(self, links: list[Link]) -> None:
        self.links = links

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Any:
        """Cut or restore every link; return their ports."""
        match environ["PATH_INFO"]:
            case "/standin/cut":
                for link in self.links:
                    link.cut()
            case "/standin/mend":
                for link in self.links:
                    link.is_cut = False
        ports = [link.listener.getsockname()[1] for link in self.links]
        return send_json(start, {"ports": ports})


def main() -> None:
    """Run the stand-in."""
    options = option_parser("Stand-in for the network between routers.")
    options.add_argument("--to", action="append", required=True, help="HOST:PORT")
    arguments = options.parse_args()
    targets = [each.rsplit(":", 1) for each in arguments.to]
    serve(Network([Link(host, int(port)) for host, port in targets]), arguments.port)


if __name__ == "__main__":
    main()
