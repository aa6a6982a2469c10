"""The settings file that the platform writes for each process."""

from __future__ import annotations

import json
from pathlib import Path

from pydantic import BaseModel, Field, ValidationError

from hawthornstage.faults import SettingsError, format_validation_errors
from hawthornstage.messages.node import HostSettings, SocketAddress

# Names the file's path in the process's environment.
SETTINGS_VARIABLE = "HAWTHORNSTAGE_SETTINGS"


class ListenModel(BaseModel):
    """Addresses to listen on."""

    front: str
    ready: str


class BoundsModel(BaseModel):
    """Bounds of the platform's promises, as far as they are used."""

    grace_s: float = Field(alias="grace-s", default=8.0)
    retry_ratio: float = Field(alias="retry-ratio", default=0.2)
    retry_slack: float = Field(alias="retry-slack", default=50.0)
    budget_window_s: float = Field(alias="budget-window-s", default=10.0)


class StoreModel(BaseModel):
    """The platform's store."""

    address: str


class SettingsModel(BaseModel):
    """The whole file; fields that are not known are ignored."""

    node_name: str = Field(alias="node-name")
    ip: str
    zone: str
    listen: ListenModel
    port_range: tuple[int, int] = Field(alias="port-range")
    bounds: BoundsModel = BoundsModel()
    platform: StoreModel

    def to_settings(self) -> HostSettings:
        """Return the settings for the rest of the product."""
        return HostSettings(
            node=self.node_name,
            failure_domain=self.zone,
            callers=to_address(self.listen.front),
            readiness=to_address(self.listen.ready),
            peers=SocketAddress(self.ip, self.port_range[0]),
            store=self.platform.address,
            grace_s=self.bounds.grace_s,
            retry_ratio=self.bounds.retry_ratio,
            retry_slack=self.bounds.retry_slack,
            retry_window_s=self.bounds.budget_window_s,
        )


def to_address(text: str) -> SocketAddress:
    """Split `IP:PORT`."""
    host, _, port = text.rpartition(":")
    return SocketAddress(host, int(port))


def load_host_settings(path: Path) -> HostSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: The file cannot be read or is wrong; lists each fault.
    """
    try:
        return SettingsModel.model_validate(json.loads(path.read_bytes())).to_settings()
    except ValidationError as error:
        raise SettingsError(format_validation_errors(error)) from error
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
