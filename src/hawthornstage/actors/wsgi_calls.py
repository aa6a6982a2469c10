"""Serves callers' requests by a WSGI application."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from hawthornstage.actors.callers import answer_error
from hawthornstage.border.caller_connection import CallerConnection
from hawthornstage.border.request_reader import RawRequest
from hawthornstage.border.wsgi import StartResponse, make_environ
from hawthornstage.decisions.reading_turns import REFUSAL_S
from hawthornstage.filters.reading_turns import ReadingPace

# Largest part of a response that is sent at once, in bytes: each has a timeout.
SEND_BYTES = 16_384
# Refusals after which the next request on the connection gets no free part of the
# processor time of reading: they cost the caller nothing.
CALLER_FAULT_STATUSES = frozenset({400, 401, 404, 413})

Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class WsgiResponse:
    """The response of one request, whose head is sent with the first part of its body.

    Args:
        caller: The connection of the caller.
        has_body: Whether a body may be sent.
    """

    def __init__(self, caller: CallerConnection, *, has_body: bool) -> None:
        self.caller = caller
        self.has_body = has_body
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.head_sent = False

    def start(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Note the head of the response, as WSGI's `start_response`."""
        self.status = int(status.partition(" ")[0])
        self.headers = tuple((name.lower(), value) for name, value in headers)

    def send(self, data: bytes) -> None:
        """Send a part of the body, and before the first one the head.

        Raises:
            OSError: The caller has left.
        """
        self.send_head()
        if self.has_body:
            for start in range(0, len(data), SEND_BYTES):
                self.caller.send_data(data[start : start + SEND_BYTES])

    def send_head(self) -> None:
        """Send the head unless it has been sent."""
        if not self.head_sent:
            self.head_sent = True
            self.caller.send_head(self.status, self.headers, close=False)


class WsgiCalls:
    """Serves requests by a WSGI application.

    Args:
        application: The application.
    """

    def __init__(self, application: Application) -> None:
        self.application = application

    def answer(
        self, raw: RawRequest, caller: CallerConnection, pace: ReadingPace
    ) -> bool:
        """Answer one request; see `Answerer`."""
        response = WsgiResponse(caller, has_body=raw.method != "HEAD")
        try:
            self.send_response(raw, response)
        except Exception as error:
            answer_error(caller, raw, error)
            return False
        if response.status in CALLER_FAULT_STATUSES:
            pace.charge(REFUSAL_S)
        else:
            pace.reset()
        return True

    def send_response(self, raw: RawRequest, response: WsgiResponse) -> None:
        """Run the application and send its response, whole.

        Raises:
            OSError: The caller has left.
        """
        body = self.application(make_environ(raw), response.start)
        try:
            for part in body:
                response.send(part)
            response.send_head()
            response.caller.send_end()
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()
