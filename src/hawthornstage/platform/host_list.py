"""Client of the platform's list of live and leaving hosts, which lags by seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import urllib3
from pydantic import BaseModel, ValidationError
from urllib3.exceptions import HTTPError


class HostState(Enum):
    """State of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostModel(BaseModel):
    """One entry of the list in the platform's format."""

    name: str
    state: HostState


class HostListModel(BaseModel):
    """The list in the platform's format."""

    hosts: list[HostModel]


@dataclass(frozen=True)
class HostList:
    """Names of the live and the leaving hosts, some seconds out of date."""

    live: frozenset[str]
    leaving: frozenset[str]


class HostListClient:
    """HTTP client of the list; not safe for use by several tasks.

    Args:
        url: URL of the list.
        timeout: Timeout of a request, in seconds.
    """

    def __init__(self, url: str, *, timeout: float = 1.0) -> None:
        self.url = url
        self.timeout = timeout
        self.pool = urllib3.PoolManager(retries=False)

    def fetch(self) -> HostList | None:
        """Return the list, or None if the request fails or the list is invalid."""
        try:
            response = self.pool.request("GET", self.url, timeout=self.timeout)
            hosts = HostListModel.model_validate_json(response.data).hosts
        except (HTTPError, ValidationError):
            return None
        return HostList(
            frozenset(host.name for host in hosts if host.state is HostState.LIVE),
            frozenset(host.name for host in hosts if host.state is HostState.LEAVING),
        )
