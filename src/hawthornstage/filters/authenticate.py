"""Authenticate: finds the workspace of an API key."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, replace

from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.request import Exchange


@dataclass(frozen=True)
class StoredKey:
    """An API key as stored in the settings.

    Args:
        owner: The workspace, operator or routing setup that the key belongs to.
        sha256: Hex SHA-256 digest of the whole key, `ID.SECRET`.
    """

    owner: str
    sha256: str


class KeyRing:
    """The API keys of one kind of client; a key has the form `ID.SECRET`.

    Args:
        keys: Stored keys by their public id.
    """

    def __init__(self, keys: Mapping[str, StoredKey]) -> None:
        self.keys = dict(keys)

    def owner_of(self, credentials: str) -> str | None:
        """Return the owner of a key, or None if the key is invalid.

        An unknown id is compared too, so that response times do not reveal valid ids.
        """
        name = credentials.partition(".")[0]
        stored = self.keys.get(name)
        digest = hashlib.sha256(credentials.encode()).hexdigest()
        expected = stored.sha256 if stored else "0" * 64
        if not hmac.compare_digest(digest, expected):
            return None
        return stored.owner if stored else None


@dataclass(frozen=True)
class Authenticate:
    """Sets the workspace of an exchange.

    Args:
        keys: The API keys of the callers.
    """

    keys: KeyRing

    def apply(self, exchange: Exchange) -> Exchange | Failure:
        """Look up the workspace by the API key of the caller."""
        owner = self.keys.owner_of(exchange.request.credentials)
        if owner is None:
            return Failure(ErrorKind.UNAUTHENTICATED)
        return replace(exchange, workspace=owner)

    def undo(self, exchange: Exchange) -> None:
        """Do nothing: `apply` acquires nothing."""
