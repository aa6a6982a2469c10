"""A router fleet for language-model capacity on prepaid token budgets."""

from __future__ import annotations

import importlib
from typing import Any

__all__ = ["FleetRouter", "Router", "Settings", "load_settings"]

# The module of each public name. Modules are imported on first use, so that a daemon
# does not import parts that it does not need.
MODULES_BY_NAME = {
    "FleetRouter": "hawthornstage.compose_fleet",
    "Router": "hawthornstage.compose",
    "Settings": "hawthornstage.border.settings",
    "load_settings": "hawthornstage.border.settings",
}


def __getattr__(name: str) -> Any:
    if name not in MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(MODULES_BY_NAME[name]), name)
