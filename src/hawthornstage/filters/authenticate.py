"""Authenticate: finds the workspace that an API key belongs to."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, replace

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import Exchange


@dataclass(frozen=True)
class StoredKey:
    """An API key as the settings hold it.

    Args:
        owner: The workspace, operator or setup that it names.
        sha256: Hex digest of the whole key.
    """

    owner: str
    sha256: str


class KeyRing:
    """API keys by their public part; a key reads `ID.SECRET`.

    Args:
        keys: Stored keys by id.
    """

    def __init__(self, keys: Mapping[str, StoredKey]) -> None:
        self.keys = dict(keys)

    def owner_of(self, credentials: str) -> str | None:
        """Return whom a key names, or None if it is not known."""
        name = credentials.partition(".")[0]
        stored = self.keys.get(name)
        digest = hashlib.sha256(credentials.encode()).hexdigest()
        expected = stored.sha256 if stored else "0" * 64
        if not hmac.compare_digest(digest, expected):
            return None
        return stored.owner if stored else None


@dataclass(frozen=True)
class Authenticate:
    """Sets the workspace.

    Args:
        keys: The callers' keys.
    """

    keys: KeyRing

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Look up the caller's key."""
        owner = self.keys.owner_of(exchange.request.credentials)
        if owner is None:
            return Failure(ErrorKind.UNAUTHENTICATED)
        return replace(exchange, workspace=owner)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: nothing was taken."""
