"""A stand-in for a requester, by the users' PROTOCOL page."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass, field

EVENT = re.compile(r"id: (\d+)\ndata: (\S+) (\S+)\n\n")


@dataclass
class Answer:
    """What came back on one requester attempt.

    Args:
        request_id: Its id.
        status: The status, or 0 if there was none.
        headers: The headers, names in lower case.
        body: The body as far as it came.
        complete: Whether it came to its end.
        sent_at: When the request was sent, monotonic seconds.
        ended_at: When the answer ended.
    """

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0

    @property
    def events(self) -> list[tuple[int, str, str]]:
        """The whole events: number, server and version."""
        text = self.body.decode()
        return [(int(n), name, version) for n, name, version in EVENT.findall(text)]


def ask(
    address: tuple[str, int],
    path: str,
    request_id: str,
    *,
    host: str,
    key: str,
    method: str = "POST",
    body: bytes = b"x",
    budget_ms: int = 10_000,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Send one request on a new channel, and read its answer."""
    answer = Answer(request_id, sent_at=time.monotonic())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Time-Budget: {budget_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    try:
        with socket.create_connection(address, timeout=1.0) as connection:
            connection.settimeout(budget_ms / 1000)
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            read_answer(connection, answer)
    except (OSError, ValueError):
        pass
    answer.ended_at = time.monotonic()
    return answer


def read_answer(connection: socket.socket, answer: Answer) -> None:
    """Read one answer into `answer`."""
    file = connection.makefile("rb")
    first = file.readline()
    if not first:
        return
    status = int(first.split()[1])
    while (line := file.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    answer.status = status
    if answer.headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(answer.headers.get("content-length", "0"))
        answer.body = file.read(length)
        answer.complete = len(answer.body) == length
        return
    while True:
        size = int(file.readline().split(b";")[0], 16)
        data = file.read(size)
        answer.body += data
        file.readline()
        if size == 0:
            answer.complete = True
            return
        if len(data) < size:
            return
