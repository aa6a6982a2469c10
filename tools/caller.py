"""Client that calls routers and records the result of each call."""

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
    """The outcome of one call as the caller observed it.

    Args:
        status: HTTP status code, or 0 if the connection failed.
        request_id: Request id assigned by the router.
        text: Text of the response.
        complete: Whether a successful response was received to its end.
        error_type: Type from the error document or name of the connection error, or
            empty.
        ran: The error document's `ran` field: whether the call was executed.
        first_token_s: Seconds to the first token, for streams.
        token_gaps_s: Seconds between consecutive tokens, for streams.
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
    """Calls routers with the API key of one workspace.

    Args:
        workspace: Workspace whose API key is sent.
        pool: Connection pool; thread-safe, so threads may share a caller.
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
        """Send a chat completion request.

        Args:
            router: Base URL of a router, or of an engine.
            prompt: Content of the user message.
            purpose: Value of `X-Purpose`, which routes match.
            max_tokens: Limit of the completion, in tokens.
            stream: Whether the response is streamed.
            key: Idempotency key, or None to send none.
            timeout: Longest wait for each read, in seconds.
        """
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
        """Send a request to a plain service.

        Args:
            router: Base URL of a router.
            purpose: Purpose in the path, which routes match.
            method: HTTP method.
            path: Rest of the path, after the purpose.
            body: Request body.
            key: Idempotency key, or None to send none.
            timeout: Longest wait for each read, in seconds.
        """
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
        """Return the authorization header and, with a key, the idempotency key."""
        headers = {"Authorization": f"Bearer {workspace_api_key(self.workspace)}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers


def read_response(response: urllib3.BaseHTTPResponse) -> CallResult:
    """Read a response that is not streamed, or an error response."""
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
    """Read a streamed response and measure the times of its tokens.

    Args:
        response: A response whose body has not been read.
        started: Monotonic time at which the request was sent, in seconds.
    """
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
    """Apply one server-sent event to a result and return the event's text."""
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
    """Return the text with which the stand-in engine answers a prompt."""
    return "".join(answer_words(prompt, max_tokens))
