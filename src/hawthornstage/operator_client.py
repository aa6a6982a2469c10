"""Client of the routers' operator API, for the command line and programs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import urllib3
from urllib3.exceptions import HTTPError

from hawthornstage.border.json_values import load_json

# Timeout of one request to a router, in seconds.
TIMEOUT_S = 10.0


class OperatorError(Exception):
    """A router refused a request, or no router responded.

    Args:
        message: The router's error message, or the cause of the failure.
        status: HTTP status code, or 0 if no router responded.
        document: The response's JSON document, or None.
    """

    def __init__(self, message: str, status: int = 0, document: Any = None) -> None:
        super().__init__(message)
        self.status = status
        self.document = document


@dataclass(frozen=True)
class OperatorClient:
    """Sends requests to routers, authenticated with an operator's key.

    Args:
        routers: Base URLs, such as `http://10.0.0.1:8080`.
        key: The operator's key.
    """

    routers: tuple[str, ...]
    key: str

    def get(self, path: str, **query: Any) -> Any:
        """Send a GET request to the first reachable router."""
        return self.send_to_first_reachable("GET", path, query=query)

    def post(self, path: str, body: bytes, **query: Any) -> Any:
        """Send a POST request to the first reachable router."""
        return self.send_to_first_reachable("POST", path, body=body, query=query)

    def get_all(self, path: str, **query: Any) -> dict[str, Any]:
        """Send a GET request to every router.

        Returns:
            Each router's document, or its `OperatorError`, by base URL.
        """
        answers: dict[str, Any] = {}
        for router in self.routers:
            try:
                answers[router] = self.send_request(router, "GET", path, b"", query)
            except OperatorError as error:
                answers[router] = error
        return answers

    def send_to_first_reachable(
        self, method: str, path: str, *, body: bytes = b"", query: dict[str, Any]
    ) -> Any:
        """Send a request to the routers in turn until one responds.

        Raises:
            OperatorError: The router that responded refuses, or none responded.
        """
        last_error = OperatorError(
            "no router is configured: use --routers or HAWTHORNSTAGE_ROUTERS"
        )
        for router in self.routers:
            try:
                return self.send_request(router, method, path, body, query)
            except OperatorError as error:
                if error.status:
                    raise
                last_error = error
        raise last_error

    def send_request(
        self, router: str, method: str, path: str, body: bytes, query: dict[str, Any]
    ) -> Any:
        """Send a request to one router.

        Raises:
            OperatorError: The router can't be reached or refuses the request.
        """
        url = f"{router.rstrip('/')}/operator/v1/{path}"
        if query:
            url += "?" + urlencode(query)
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            response = urllib3.request(
                method,
                url,
                body=body or None,
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
            )
            document = load_json(response.data)
        except (HTTPError, ValueError) as error:
            raise OperatorError(f"{router}: {error}") from error
        if response.status != 200:
            message = document.get("error", f"status {response.status}")
            raise OperatorError(str(message), response.status, document)
        return document
