"""A caller of the routers that checks what it gets."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3

from standins.engine import answer_words
from tools.cluster import workspace_api_key


@dataclass
class CallResult:
    """What a caller got.

    Args:
        status: HTTP status code, or 0 if the connection broke.
        request_id: The router's name for the request.
        text: The answer's text.
        complete: Whether the answer ended as it should.
        error_type: The error's kind, or empty.
        ran: What a refusal says about execution.
        first_token_s: Seconds to the first token, for streams.
        token_gaps_s: Seconds between tokens, for streams.
    """

    status: int
    request_id: str = ""
    text: str = ""
    complete: bool = False
    error_type: str = ""
    ran: str = ""
    first_token_s: float = 0.0
    token_gaps_s: list[float] = field(default_factory=list)


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
    ) -> CallResult:
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
                return read_response(response)
            return read_stream(response, started)
        except urllib3.exceptions.HTTPError as error:
            return CallResult(0, error_type=type(error).__name__)

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
    ) -> CallResult:
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
            return read_response(response)
        except urllib3.exceptions.HTTPError as error:
            return CallResult(0, error_type=type(error).__name__)

    def headers(self, key: str | None) -> dict[str, str]:
        """Return the headers of a call."""
        headers = {"Authorization": f"Bearer {workspace_api_key(self.workspace)}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers


def read_response(response: urllib3.BaseHTTPResponse) -> CallResult:
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
        return CallResult(
            response.status,
            request_id,
            error_type=error.get("type", "") if isinstance(error, dict) else str(error),
            ran=error.get("ran", "") if isinstance(error, dict) else "",
        )
    text = body.decode()
    if "choices" in document:
        text = document["choices"][0]["message"]["content"]
    return CallResult(response.status, request_id, text=text, complete=True)


def read_stream(response: urllib3.BaseHTTPResponse, started: float) -> CallResult:
    """Read a streamed answer and time its tokens."""
    result = CallResult(response.status, response.headers.get("X-Request-Id", ""))
    last, rest = started, b""
    words: list[str] = []
    for chunk in response.stream(4096):
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            now = time.monotonic()
            word = apply_event(event, result)
            if not word:
                continue
            words.append(word)
            if result.first_token_s:
                result.token_gaps_s.append(now - last)
            else:
                result.first_token_s = now - started
            last = now
    response.release_conn()
    result.text = "".join(words)
    return result


def apply_event(event: bytes, result: CallResult) -> str:
    """Note what one event says, and return its text."""
    data = event.partition(b"data:")[2].strip()
    if data == b"[DONE]":
        result.complete = True
        return ""
    document = json.loads(data)
    if "error" in document:
        result.error_type, result.ran = (
            document["error"]["type"],
            document["error"]["ran"],
        )
        return ""
    choices = document.get("choices")
    return choices[0]["delta"].get("content", "") if choices else ""


def expected_text(prompt: str, max_tokens: int = 64) -> str:
    """Return the stand-in engine's answer to a prompt."""
    return "".join(answer_words(prompt, max_tokens))
