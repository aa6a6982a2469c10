"""The little HTTP/1.1 that the stand-ins speak."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Request:
    """A request as received, with header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer as a client received it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request or of an answer with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length") or 0))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request on a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, head[1], body)


def encode_answer(
    status: int, headers: list[tuple[str, str]], body: bytes | None
) -> bytes:
    """Return an answer with a length, or the head of one in chunks without a body."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk; b'' is the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def json_answer(
    status: int, document: Any, headers: Sequence[tuple[str, str]] = ()
) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(document).encode()
    all_headers = [("Content-Type", "application/json"), *headers]
    return encode_answer(status, all_headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as the end of a process does."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and return what comes back."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            await read_answer(reader, answer)
    except TimeoutError:
        answer.error = f"nothing more within {timeout_s} s"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer; what has arrived stays in `answer` if it breaks off."""
    head = await read_head(reader)
    if head is None:
        answer.error = "closed without an answer"
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if head[1].get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        answer.body = await read_body(reader, head[1])
    answer.complete = True
