"""Decodes the desired state that operators publish in the platform's store."""

from __future__ import annotations

import math

from pydantic import BaseModel, Field, ValidationError

from hawthornstage.border.json_values import load_json
from hawthornstage.messages.desired import (
    CallerLimits,
    DesiredState,
    EngineSpec,
    ForwardRoute,
    Idempotency,
    ServiceSpec,
    TrafficShare,
    WorkspaceSpec,
)
from hawthornstage.messages.slow_start import SlowStartTerms
from hawthornstage.platform.header_text import encode_value
from hawthornstage.platform.writable_text import EscapedText
from hawthornstage.settings_errors import format_validation_errors

# Key of the current desired state, and the prefix to watch.
DESIRED_STATE_PREFIX = "op/"
DESIRED_STATE_KEY = "op/config"


class DesiredStateError(Exception):
    """The document is not a valid desired state.

    Args:
        faults: One line for each error: its path and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class ShareModel(BaseModel):
    """One service of a route's traffic split."""

    service: EscapedText
    weight: float


def to_regions(homes: list[str] | None) -> frozenset[str] | None:
    """Return home regions; None if there are none, as with an empty list."""
    return frozenset(homes) if homes else None


class RouteModel(BaseModel):
    """A route in the operators' format."""

    name: EscapedText
    hostname: str
    path_prefix: str = Field(alias="path-prefix")
    kind: str
    timeout_ms: float = Field(alias="timeout-ms")
    objective_ms: float = Field(alias="target-latency-ms", default=500.0)
    priority: int = 5
    service: EscapedText | None = None
    split: list[ShareModel] = Field(alias="traffic-split", default=[])
    max_attempts: int = Field(alias="max-attempts", default=1)
    public: bool = False
    resumable: bool = False
    homes: list[EscapedText] | None = Field(alias="allowed-regions", default=None)

    def to_route(self) -> ForwardRoute:
        """Convert to the route that the rest of the code uses."""
        shares = tuple(TrafficShare(each.service, each.weight) for each in self.split)
        if not shares and self.service:
            shares = (TrafficShare(self.service, 1.0),)
        stream = self.kind == "streaming"
        repeatable = self.kind == "idempotent" or (stream and self.resumable)
        return ForwardRoute(
            name=self.name,
            host=self.hostname.lower(),
            path_prefix=self.path_prefix,
            idempotency=Idempotency.IDEMPOTENT
            if repeatable
            else Idempotency.NON_IDEMPOTENT,
            stream=stream,
            resumable=stream and self.resumable,
            public=self.public,
            shares=shares,
            max_attempts=max(1, self.max_attempts),
            timeout_s=self.timeout_ms / 1000,
            latency_objective_s=self.objective_ms / 1000,
            priority=self.priority,
            regions=to_regions(self.homes),
        )


class EngineModel(BaseModel):
    """Properties of a service's engines."""

    slots: int = 1
    # The documented "capacity" is the size of the KV cache in tokens.
    kv_capacity: int = Field(alias="kv-capacity", default=0)
    # The documented "stride" is the number of output tokens in one event.
    stride: int = 1


class ServiceModel(BaseModel):
    """A service in the operators' format."""

    name: EscapedText
    max_connections: int = Field(alias="max-connections", default=100)
    engine: EngineModel | None = None
    cold_s: float = Field(alias="cold-s", default=0.0)
    cold_per_s: float = Field(alias="cold-per-s", default=0.0)

    def to_service(self) -> ServiceSpec:
        """Convert to the service that the rest of the code uses."""
        engine = None
        if self.engine is not None:
            engine = EngineSpec(
                slots=self.engine.slots,
                kv_cache_tokens=self.engine.kv_capacity,
                tokens_per_event=self.engine.stride,
            )
        slow_start = None
        if 0.0 < self.cold_per_s < math.inf:
            slow_start = SlowStartTerms(self.cold_per_s, max(0.0, self.cold_s))
        return ServiceSpec(self.name, self.max_connections, engine, slow_start)


class LimitsModel(BaseModel):
    """Size and time limits of callers' requests."""

    header_bytes: int = Field(alias="max-header-bytes", default=16_384)
    body_bytes: int = Field(alias="max-body-bytes", default=4 * 1024 * 1024)
    header_timeout_ms: float = Field(alias="header-timeout-ms", default=3_000.0)
    idle_timeout_ms: float = Field(alias="idle-timeout-ms", default=15_000.0)

    def to_limits(self) -> CallerLimits:
        """Convert to limits in bytes and seconds."""
        return CallerLimits(
            header_bytes=self.header_bytes,
            body_bytes=self.body_bytes,
            header_timeout_s=self.header_timeout_ms / 1000,
            idle_timeout_s=self.idle_timeout_ms / 1000,
        )


class TenantModel(BaseModel):
    """A workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = Field(alias="api-keys", default=[])
    priority: int | None = None
    # Total tokens that the workspace may use over the day.
    prepaid: int | None = None
    homes: list[EscapedText] | None = Field(alias="allowed-regions", default=None)

    def to_workspace(self) -> WorkspaceSpec:
        """Convert to the workspace that the rest of the code uses.

        Its name is the one that servers get, in the log and the store, too.
        """
        return WorkspaceSpec(
            encode_value(self.name),
            frozenset(self.api_keys),
            self.priority,
            self.prepaid,
            to_regions(self.homes),
        )


class ConfigModel(BaseModel):
    """The whole document."""

    version: int
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel = LimitsModel()
    tenants: list[TenantModel] | None = None


def decode_desired_state(document: bytes) -> DesiredState:
    """Decode a desired state.

    Args:
        document: The JSON document.

    Raises:
        DesiredStateError: The document is invalid; the message gives the reason.
    """
    try:
        model = ConfigModel.model_validate(load_json(document))
    except ValidationError as error:
        raise DesiredStateError(format_validation_errors(error)) from error
    except ValueError as error:
        raise DesiredStateError([str(error)]) from error
    return DesiredState(
        version=model.version,
        routes=tuple(each.to_route() for each in model.routes),
        services=tuple(each.to_service() for each in model.services),
        workspaces=tuple(each.to_workspace() for each in model.tenants or []),
        limits=model.limits.to_limits(),
        has_workspaces=model.tenants is not None,
    )
