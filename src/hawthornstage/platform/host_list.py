"""Client of the platform's lagging list of live and leaving hosts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import urllib3
from pydantic import BaseModel, ValidationError
from urllib3.exceptions import HTTPError


class HostState(Enum):
    """What the list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostModel(BaseModel):
    """One entry of the list as the platform sends it."""

    name: str
    state: HostState


class HostListModel(BaseModel):
    """The list as the platform sends it."""

    hosts: list[HostModel]


@dataclass(frozen=True)
class HostList:
    """The hosts that the platform knows, as of some seconds ago."""

    live: frozenset[str]
    leaving: frozenset[str]


class HostListClient:
    """One connection to the list; used by one task only.

    Args:
        url: Address of the list.
        timeout: Longest wait for an answer, in seconds.
    """

    def __init__(self, url: str, *, timeout: float = 1.0) -> None:
        self.url = url
        self.timeout = timeout
        self.pool = urllib3.PoolManager(retries=False)

    def fetch(self) -> HostList | None:
        """Return the list, or None if it cannot be had."""
        try:
            response = self.pool.request("GET", self.url, timeout=self.timeout)
            hosts = HostListModel.model_validate_json(response.data).hosts
        except (HTTPError, ValidationError):
            return None
        return HostList(
            frozenset(host.name for host in hosts if host.state is HostState.LIVE),
            frozenset(host.name for host in hosts if host.state is HostState.LEAVING),
        )
