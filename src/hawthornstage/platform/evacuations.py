"""Reads the keys by which operators evacuate failure domains."""

from __future__ import annotations

from hawthornstage.border.json_values import load_json

# Prefix of the keys, followed by the failure domain.
EVACUATIONS_PREFIX = "op/evacuate/"


def is_evacuation(key: str) -> bool:
    """Whether a key is meant to evacuate a failure domain."""
    return key.startswith(EVACUATIONS_PREFIX)


def decode_failure_domain(key: str) -> str | None:
    """Return the failure domain that a key evacuates, or None if it names none."""
    return key.removeprefix(EVACUATIONS_PREFIX) or None


def is_expected_value(value: bytes) -> bool:
    """Whether a key has a value of the documented form; it counts in any case."""
    try:
        return isinstance(load_json(value), dict)
    except ValueError:
        return False
