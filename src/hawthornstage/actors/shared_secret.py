"""Reads the routers' shared secret from the store."""

from __future__ import annotations

import secrets

from hawthornstage.actors.store_watch import sleep
from hawthornstage.clock import Clock
from hawthornstage.messages.store import Committed, Conflict, Item, Put
from hawthornstage.platform.store import StoreClient

# Key of the secret in the store.
SHARED_SECRET_STORE_KEY = "hawthornstage/secret"
# Interval between two attempts to read it, in seconds.
POLL_INTERVAL_S = 0.5
# Random bytes of a new secret.
SECRET_BYTES = 16


def load_shared_secret(store: StoreClient, clock: Clock) -> str:
    """Read the secret, for as long as it takes; the first router creates it.

    Args:
        store: A client of the store.
        clock: Source of pauses.
    """
    while True:
        match store.get(SHARED_SECRET_STORE_KEY):
            case Item(value=value):
                return value.decode("ascii")
            case None:
                new_secret = secrets.token_hex(SECRET_BYTES)
                put = Put(SHARED_SECRET_STORE_KEY, new_secret.encode())
                match store.transact({SHARED_SECRET_STORE_KEY: 0}, puts=(put,)):
                    case Committed():
                        return new_secret
                    case Conflict():
                        continue
        sleep(clock, POLL_INTERVAL_S)
