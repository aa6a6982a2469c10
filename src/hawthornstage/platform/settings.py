"""The settings file that the platform writes for each process."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, Field, ValidationError, field_validator

from hawthornstage.border.json_values import load_json
from hawthornstage.messages.host_settings import (
    HostLimits,
    HostSettings,
    SocketAddress,
    StoreBounds,
)
from hawthornstage.messages.slow_start import SlowStartBounds
from hawthornstage.settings_errors import SettingsError, format_validation_errors

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "HAWTHORNSTAGE_SETTINGS"


class ListenModel(BaseModel):
    """Listen addresses as `IP:PORT`."""

    front: str
    ready: str


class BoundsModel(BaseModel):
    """Those of the platform's guaranteed limits that the router uses."""

    grace_s: float = Field(alias="grace-s", default=8.0)
    retry_ratio: float = Field(alias="retry-ratio", default=0.2)
    retry_slack: float = Field(alias="retry-slack", default=50.0)
    budget_window_s: float = Field(alias="budget-window-s", default=10.0)
    stable_window_ms: float = Field(alias="stable-window-ms", default=3_000.0)
    drain_ms: float = Field(alias="drain-ms", default=2_000.0)
    config_ms: float = Field(alias="config-ms", default=2_000.0)
    evacuate_ms: float = Field(alias="evacuate-ms", default=5_000.0)
    cold_overage: float = Field(alias="cold-overage", default=1.5, ge=0.0)
    cold_slack: float = Field(alias="cold-slack", default=5.0, ge=0.0)

    def to_store_bounds(self) -> StoreBounds:
        """Convert the bounds that concern changes in the store."""
        return StoreBounds(
            settled_s=self.stable_window_ms / 1000,
            drain_s=self.drain_ms / 1000,
            desired_state_s=self.config_ms / 1000,
            evacuation_s=self.evacuate_ms / 1000,
        )


class StoreModel(BaseModel):
    """Address of the platform's store as `IP:PORT`."""

    address: str


class LimitsModel(BaseModel):
    """What a process may take of its host, and what callers' connections may."""

    memory_mb: float = Field(alias="memory-mb", default=136.0, gt=0)
    max_fds: int = Field(alias="max-fds", default=1_638, gt=0)
    max_connections: int | None = Field(alias="max-connections", default=None, gt=0)
    pool_mb: float | None = Field(alias="connection-pool-mb", default=None, gt=0)

    def to_limits(self) -> HostLimits:
        """Convert to limits in bytes."""
        pool = None if self.pool_mb is None else int(self.pool_mb * 1_000_000)
        return HostLimits(
            memory_bytes=int(self.memory_mb * 1_000_000),
            descriptors=self.max_fds,
            max_connections=self.max_connections,
            pool_bytes=pool,
        )


class SettingsModel(BaseModel):
    """The whole file; unknown fields are ignored."""

    node_name: str = Field(alias="node-name")
    ip: str
    zone: str
    # Region of each zone, this router's own among them.
    zones: dict[str, str] = {}
    region: str = ""
    listen: ListenModel
    port_range: tuple[int, int] = Field(alias="port-range")
    bounds: BoundsModel = BoundsModel()
    limits: LimitsModel = LimitsModel()
    platform: StoreModel

    @field_validator("port_range")
    @classmethod
    def check_port_range(cls, ports: tuple[int, int]) -> tuple[int, int]:
        """Check that the range has a port for peers and one for tunnels."""
        if not ports[0] < ports[1]:
            raise ValueError("two ports are needed, the first below the second")
        return ports

    def regions(self) -> dict[str, str]:
        """Return the region of each failure domain that has one."""
        named = {self.zone: self.region, **self.zones}
        return {domain: region for domain, region in named.items() if region}

    def to_settings(self) -> HostSettings:
        """Convert to the settings that the rest of the code uses."""
        return HostSettings(
            node=self.node_name,
            failure_domain=self.zone,
            regions=self.regions(),
            callers=to_address(self.listen.front),
            readiness=to_address(self.listen.ready),
            peers=SocketAddress(self.ip, self.port_range[0]),
            tunnels=SocketAddress(self.ip, self.port_range[1]),
            store=self.platform.address,
            store_bounds=self.bounds.to_store_bounds(),
            grace_s=self.bounds.grace_s,
            retry_ratio=self.bounds.retry_ratio,
            retry_slack=self.bounds.retry_slack,
            retry_window_s=self.bounds.budget_window_s,
            limits=self.limits.to_limits(),
            slow_start_bounds=SlowStartBounds(
                self.bounds.cold_overage, self.bounds.cold_slack
            ),
        )


def to_address(text: str) -> SocketAddress:
    """Parse `IP:PORT`.

    Raises:
        ValueError: The port is not an integer.
    """
    host, _, port = text.rpartition(":")
    return SocketAddress(host, int(port))


def load_host_settings(path: Path) -> HostSettings:
    """Read and validate the settings file.

    Args:
        path: Path of the JSON file.

    Raises:
        SettingsError: The file cannot be read or is invalid; lists each error.
    """
    try:
        return SettingsModel.model_validate(load_json(path.read_bytes())).to_settings()
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error)) from error
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
