"""A router's settings: a YAML file, validated; each error names the setting's path."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.settings_errors import SettingsError, format_validation_errors


class SettingsSection(BaseModel):
    """Base of the sections; unknown names are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(SettingsSection):
    """Identity of this router.

    Args:
        name: Name of the router; unique among the routers.
        failure_domain: Failure domain that it runs in.
    """

    name: str = Field(min_length=1, pattern=r"^[A-Za-z0-9._-]+$")
    failure_domain: str = Field(min_length=1)


class ListenSettings(SettingsSection):
    """Address for callers and operators.

    Args:
        host: Address to listen on.
        port: Port to listen on; 0 lets the system choose.
    """

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)


class PeerSettings(SettingsSection):
    """Connections between routers.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        secrets: Shared secrets; the first is sent, all are accepted.
        routers: Address of each router by name, as `ws://IP:PORT`.
    """

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)
    secrets: list[str] = Field(min_length=1)
    routers: dict[str, str] = {}


class PlatformSettings(SettingsSection):
    """The platform's services.

    Args:
        key_value_url: URL of the key-value service.
        host_list_url: URL of the host list, or None if there is none.
        timeout_s: Timeout of calls to these services, in seconds.
    """

    key_value_url: str = Field(pattern=r"^https?://")
    host_list_url: str | None = Field(default=None, pattern=r"^https?://")
    timeout_s: float = Field(default=1.0, gt=0)


class ApiKeySettings(SettingsSection):
    """One API key of the form `ID.SECRET`; only its digest is stored.

    Args:
        id: The part of the key before the dot.
        owner: Workspace, operator or setup that the key belongs to.
        sha256: SHA-256 digest of the whole key, in lower-case hex.
    """

    id: str = Field(min_length=1, pattern=r"^[^.\s]+$")
    owner: str = Field(min_length=1)
    sha256: str = Field(pattern=r"^[0-9a-f]{64}$")


class ApiKeysSettings(SettingsSection):
    """API keys by who uses them.

    Args:
        callers: Keys of workspaces.
        operators: Keys of operators.
        old_setup: Keys of the old routing setup.
    """

    callers: list[ApiKeySettings] = []
    operators: list[ApiKeySettings] = []
    old_setup: list[ApiKeySettings] = []


class LimitSettings(SettingsSection):
    """Limits on requests.

    Args:
        max_body_bytes: Largest request body, in bytes.
        max_header_bytes: Largest request head, in bytes.
        max_requests: Most concurrent requests.
        request_timeout_s: Longest time for a request's head, for each part of its body
            and between two requests, in seconds.
        body_memory_bytes: Memory of all large request bodies together, in bytes. A body
            never takes more than half of what is free of it.
        max_chat_elements: Most JSON elements of a chat request: strings, and what
            begins or separates values.
    """

    max_body_bytes: int = Field(default=4 * 1024 * 1024, gt=0)
    max_header_bytes: int = Field(default=32 * 1024, gt=0)
    max_requests: int = Field(default=256, gt=0)
    request_timeout_s: float = Field(default=30.0, gt=0)
    body_memory_bytes: int = Field(default=64 * 1024 * 1024, gt=0)
    max_chat_elements: int = Field(default=65_536, gt=0)


class GrantSharing(StrEnum):
    """Whether routers share a budget's grant: each has one, or each failure domain."""

    ROUTER = "router"
    DOMAIN = "domain"


class BudgetSettings(SettingsSection):
    """Grants of workspaces' budgets. No value here permits overspending.

    Args:
        sharing: Whether each router or each failure domain has a grant.
        patience_s: Longest wait for a larger grant, in seconds; a longer wait causes
            fewer refusals of requests that the budget covers.
        window_s: Time over which demand is averaged, in seconds.
        horizon_s: Time for which a grant covers the expected demand, in seconds.
        max_share: Largest share of the remaining budget that is granted in advance.
        idle_s: Time without demand after which a grant is returned, in seconds.
        witnesses: Number of witnesses of each grant.
        near_witness: Whether one witness is in the router's own failure domain. Bills
            then stay final while the domain is cut off and the key-value service is
            unavailable, but grants are quarantined if the domain is lost for good.
        shards: Number of ledger documents; must be the same on every router.
        flush_interval_s: Shortest time between two writes of a document, in seconds.
    """

    sharing: GrantSharing = GrantSharing.DOMAIN
    patience_s: float = Field(default=2.0, gt=0)
    window_s: float = Field(default=60.0, gt=0)
    horizon_s: float = Field(default=180.0, gt=0)
    max_share: float = Field(default=0.2, gt=0, le=1)
    idle_s: float = Field(default=30.0, gt=0)
    witnesses: int = Field(default=2, ge=0, le=4)
    near_witness: bool = False
    shards: int = Field(default=16, ge=1, le=4096)
    flush_interval_s: float = Field(default=0.2, ge=0)


class ClaimSettings(SettingsSection):
    """Claims of non-idempotent calls.

    Args:
        patience_s: Longest wait for the key-value service, in seconds.
        shards: Number of claim documents; must be the same on every router.
    """

    patience_s: float = Field(default=3.0, gt=0)
    shards: int = Field(default=64, ge=1, le=4096)


class StoreSettings(SettingsSection):
    """This system's share of the key-value service.

    Args:
        writes_per_second: Most writes per second of all routers together.
    """

    writes_per_second: float = Field(default=300.0, gt=0)


class MembershipSettings(SettingsSection):
    """Heartbeats between routers, and timeouts of routers that send none.

    Args:
        beat_s: Interval between heartbeats, in seconds.
        suspect_s: Time after which a silent router gets no new tasks, in seconds.
        lost_s: Time after which a silent router's grants are closed, in seconds.
    """

    beat_s: float = Field(default=1.0, gt=0)
    suspect_s: float = Field(default=5.0, gt=0)
    lost_s: float = Field(default=30.0, gt=0)


class DrainSettings(SettingsSection):
    """Shutdown of a router.

    Args:
        notice_s: Time for the load balancer to detect that the router is not ready, in
            seconds.
        limit_s: Longest wait for requests in progress, in seconds.
    """

    notice_s: float = Field(default=2.0, ge=0)
    limit_s: float = Field(default=600.0, gt=0)


class Settings(SettingsSection):
    """All settings of a router."""

    node: NodeSettings
    listen: ListenSettings
    peers: PeerSettings
    platform: PlatformSettings
    keys: ApiKeysSettings = ApiKeysSettings()
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
        SettingsError: The file can't be read or holds invalid values.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: invalid YAML: {error}"]) from error
    return parse_settings(document)


def parse_settings(document: Any) -> Settings:
    """Validate settings.

    Raises:
        SettingsError: A value is invalid or missing.
    """
    if not isinstance(document, dict):
        raise SettingsError(["(top level): expected a mapping of sections"])
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error)) from error
