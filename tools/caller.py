"""A caller of the routers that checks what it gets."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3

from standins.engine import answer_words
from tools.cluster import key_of


@dataclass
class Answer:
    """What a caller got.

    Args:
        status: HTTP status code, or 0 if the connection broke.
        request_id: The router's name for the request.
        text: The answer's text.
        whole: Whether the answer ended as it should.
        kind: The error's kind, or empty.
        ran: What a refusal says about execution.
        first_s: Seconds to the first token, for streams.
        gaps_s: Seconds between tokens, for streams.
    """

    status: int
    request_id: str = ""
    text: str = ""
    whole: bool = False
    kind: str = ""
    ran: str = ""
    first_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)


@dataclass
class Caller:
    """Calls routers as one workspace.

    Args:
        workspace: Whose key is used.
        pool: Connections; one caller may be used by many threads.
    """

    workspace: str
    pool: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(maxsize=300, retries=False)
    )

    def chat(
        self,
        router: str,
        prompt: str,
        *,
        purpose: str = "chat",
        max_tokens: int = 64,
        stream: bool = True,
        key: str | None = None,
        timeout: float = 60.0,
    ) -> Answer:
        """Ask a model."""
        body = {
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        headers = {"X-Purpose": purpose, "Content-Type": "application/json"}
        url = router + "/v1/chat/completions"
        started = time.monotonic()
        try:
            response = self.pool.request(
                "POST",
                url,
                body=json.dumps(body),
                headers={**headers, **self.headers(key)},
                timeout=urllib3.Timeout(connect=2.0, read=timeout),
                preload_content=False,
            )
            if response.status != 200 or not stream:
                return read_whole(response)
            return read_stream(response, started)
        except urllib3.exceptions.HTTPError as error:
            return Answer(0, kind=type(error).__name__)

    def service(
        self,
        router: str,
        purpose: str,
        *,
        method: str = "GET",
        path: str = "",
        body: bytes = b"",
        key: str | None = None,
        timeout: float = 30.0,
    ) -> Answer:
        """Call a plain service."""
        try:
            response = self.pool.request(
                method,
                f"{router}/v1/services/{purpose}/{path}",
                body=body,
                headers=self.headers(key),
                timeout=urllib3.Timeout(connect=2.0, read=timeout),
                preload_content=False,
            )
            return read_whole(response)
        except urllib3.exceptions.HTTPError as error:
            return Answer(0, kind=type(error).__name__)

    def headers(self, key: str | None) -> dict[str, str]:
        """Return the headers of a call."""
        headers = {"Authorization": f"Bearer {key_of(self.workspace)}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers


def read_whole(response: urllib3.BaseHTTPResponse) -> Answer:
    """Read an answer that is not streamed."""
    body = response.read()
    response.release_conn()
    request_id = response.headers.get("X-Request-Id", "")
    try:
        document: Any = json.loads(body)
    except ValueError:
        document = {}
    if response.status >= 400:
        error = document.get("error", {})
        return Answer(
            response.status,
            request_id,
            kind=error.get("type", "") if isinstance(error, dict) else str(error),
            ran=error.get("ran", "") if isinstance(error, dict) else "",
        )
    text = body.decode()
    if "choices" in document:
        text = document["choices"][0]["message"]["content"]
    return Answer(response.status, request_id, text=text, whole=True)


def read_stream(response: urllib3.BaseHTTPResponse, started: float) -> Answer:
    """Read a streamed answer and time its tokens."""
    answer = Answer(response.status, response.headers.get("X-Request-Id", ""))
    last, rest = started, b""
    words: list[str] = []
    for chunk in response.stream(4096):
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            now = time.monotonic()
            word = take_event(event, answer)
            if not word:
                continue
            words.append(word)
            if answer.first_s:
                answer.gaps_s.append(now - last)
            else:
                answer.first_s = now - started
            last = now
    response.release_conn()
    answer.text = "".join(words)
    return answer


def take_event(event: bytes, answer: Answer) -> str:
    """Note what one event says, and return its text."""
    data = event.partition(b"data:")[2].strip()
    if data == b"[DONE]":
        answer.whole = True
        return ""
    document = json.loads(data)
    if "error" in document:
        answer.kind, answer.ran = document["error"]["type"], document["error"]["ran"]
        return ""
    choices = document.get("choices")
    return choices[0]["delta"].get("content", "") if choices else ""


def expected_text(prompt: str, max_tokens: int = 64) -> str:
    """Return the stand-in engine's answer to a prompt."""
    return "".join(answer_words(prompt, max_tokens))
