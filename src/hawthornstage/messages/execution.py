"""What is known of whether a backend server has run a request."""

from __future__ import annotations

from enum import Enum


class ExecutionState(Enum):
    """Whether a request may have been executed by a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
