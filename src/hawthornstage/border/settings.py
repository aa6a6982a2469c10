"""Settings of a router: a YAML file, validated, every fault named by its path."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.faults import SettingsError, format_validation_errors


class Section(BaseModel):
    """A part of the settings; unknown names are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(Section):
    """Who this router is."""

    name: str = Field(min_length=1, pattern=r"^[A-Za-z0-9._-]+$")
    failure_domain: str = Field(min_length=1)


class ListenSettings(Section):
    """Where callers and operators connect; port 0 lets the system choose."""

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)


class PeerSettings(Section):
    """How routers talk to each other.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        secrets: Shared secrets; the first is shown, all are accepted.
        routers: `ws://IP:PORT` of each router by name.
    """

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)
    secrets: list[str] = Field(min_length=1)
    routers: dict[str, str] = {}


class PlatformSettings(Section):
    """Addresses of the platform's services."""

    key_value_url: str = Field(pattern=r"^https?://")
    host_list_url: str | None = Field(default=None, pattern=r"^https?://")
    timeout_s: float = Field(default=1.0, gt=0)


class KeySettings(Section):
    """One API key: `ID.SECRET`, of which only the digest is kept."""

    id: str = Field(min_length=1, pattern=r"^[^.\s]+$")
    owner: str = Field(min_length=1)
    sha256: str = Field(pattern=r"^[0-9a-f]{64}$")


class KeysSettings(Section):
    """API keys: of workspaces, of operators, and of the old routing setup."""

    callers: list[KeySettings] = []
    operators: list[KeySettings] = []
    old_setup: list[KeySettings] = []


class LimitSettings(Section):
    """Bounds of what a router takes on."""

    max_body_bytes: int = Field(default=4 * 1024 * 1024, gt=0)
    max_header_bytes: int = Field(default=32 * 1024, gt=0)
    max_requests: int = Field(default=256, gt=0)
    request_timeout_s: float = Field(default=30.0, gt=0)


class Sharing(StrEnum):
    """Which router holds a budget's grant."""

    ROUTER = "router"
    DOMAIN = "domain"


class BudgetSettings(Section):
    """How grants are held. No value here permits overspend.

    Args:
        sharing: One grant for each router, or one for each failure domain.
        patience_s: Longest wait for a larger grant; more means fewer false refusals.
        window_s: Time over which demand is averaged.
        horizon_s: Demand of this many seconds is held ahead.
        max_share: Largest share of what is left that is held ahead.
        idle_s: A grant without demand for so long is returned.
        witnesses: Witnesses of each grant.
        near_witness: Whether one of them is in the router's own failure domain: then
            bills stay final while the domain is cut off and the key-value service
            is away, but grants are quarantined if the domain is lost for good.
        shards: Number of ledger documents; the same on every router.
        flush_interval_s: Shortest time between two writes of a document.
    """

    sharing: Sharing = Sharing.DOMAIN
    patience_s: float = Field(default=2.0, gt=0)
    window_s: float = Field(default=60.0, gt=0)
    horizon_s: float = Field(default=180.0, gt=0)
    max_share: float = Field(default=0.2, gt=0, le=1)
    idle_s: float = Field(default=30.0, gt=0)
    witnesses: int = Field(default=2, ge=0, le=4)
    near_witness: bool = False
    shards: int = Field(default=16, ge=1, le=4096)
    flush_interval_s: float = Field(default=0.2, ge=0)


class ClaimSettings(Section):
    """How non-idempotent calls are claimed."""

    patience_s: float = Field(default=3.0, gt=0)
    shards: int = Field(default=64, ge=1, le=4096)


class StoreSettings(Section):
    """The key-value service's share for this system.

    Args:
        writes_per_second: Writes a second of all routers together.
    """

    writes_per_second: float = Field(default=300.0, gt=0)


class MembershipSettings(Section):
    """Times after which a silent router is treated as away."""

    beat_s: float = Field(default=1.0, gt=0)
    suspect_s: float = Field(default=5.0, gt=0)
    lost_s: float = Field(default=30.0, gt=0)


class DrainSettings(Section):
    """How a router shuts down.

    Args:
        notice_s: Time for the balancer to see that the router is not ready.
        limit_s: Longest wait for requests in progress.
    """

    notice_s: float = Field(default=2.0, ge=0)
    limit_s: float = Field(default=600.0, gt=0)


class Settings(Section):
    """Everything that a router reads from its file."""

    node: NodeSettings
    listen: ListenSettings
    peers: PeerSettings
    platform: PlatformSettings
    keys: KeysSettings = KeysSettings()
    limits: LimitSettings = LimitSettings()
    budgets: BudgetSettings = BudgetSettings()
    claims: ClaimSettings = ClaimSettings()
    store: StoreSettings = StoreSettings()
    membership: MembershipSettings = MembershipSettings()
    drain: DrainSettings = DrainSettings()
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file can't be read or holds wrong values.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: not YAML: {error}"]) from error
    return parse_settings(document)


def parse_settings(document: Any) -> Settings:
    """Validate settings.

    Raises:
        SettingsError: A value is wrong or missing.
    """
    if not isinstance(document, dict):
        raise SettingsError(["(top level): expected a mapping of sections"])
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error)) from error
