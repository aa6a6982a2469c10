"""A faulty server as a process of its own: its answers have bodies without end.

The first line of its output is its port; one more line follows for each request.
"""

from __future__ import annotations

import asyncio

from kit.http import encode_answer, encode_chunk, read_request

# Chunks of one byte each, which are no answer.
ENDLESS = encode_chunk(b"z") * 700


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request with bytes until the caller closes."""
    try:
        request = await read_request(reader)
        if request is None:
            return
        request_id = request.headers.get("x-request-id", "")
        print(request_id, flush=True)
        headers = [("X-Request-Id", request_id), ("X-Response-Seal", "seal")]
        writer.write(encode_answer(200, headers, None))
        while not writer.transport.is_closing():
            writer.write(ENDLESS)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until killed."""
    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
