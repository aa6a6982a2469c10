"""Names the places of a desired state as operators write them."""

from __future__ import annotations

from collections.abc import Iterator

from hawthornstage.border.json_values import load_json
from hawthornstage.decisions.desired_state_check import error, warning
from hawthornstage.messages.desired_state_check import Finding, Group, Place
from hawthornstage.platform.desired_state import ConfigModel

GROUP_NAMES = {
    Group.ROUTES: "routes",
    Group.SERVICES: "services",
    Group.WORKSPACES: "tenants",
    Group.LIMITS: "limits",
    Group.DOCUMENT: "",
}
# Operators' names of the fields whose names differ in the code.
FIELD_NAMES = {
    "host": "hostname",
    "path_prefix": "path-prefix",
    "idempotency": "kind",
    "shares": "traffic-split",
    "timeout_s": "timeout-ms",
    "latency_objective_s": "target-latency-ms",
    "max_attempts": "max-attempts",
    "regions": "allowed-regions",
    "max_connections": "max-connections",
    "slots": "engine.slots",
    "tokens_per_event": "engine.stride",
    "keys": "api-keys",
    "budget": "prepaid",
    "header_bytes": "max-header-bytes",
    "body_bytes": "max-body-bytes",
    "header_timeout_s": "header-timeout-ms",
    "idle_timeout_s": "idle-timeout-ms",
}

# What an empty list of home regions means.
NO_RESTRICTION = "an empty list is no restriction"


def format_place(place: Place) -> str:
    """Return the path of a place, such as `routes[2].timeout-ms`."""
    path = GROUP_NAMES[place.group]
    if place.index is not None:
        path += f"[{place.index}]"
    field = format_field(place.field)
    return ".".join(each for each in (path, field) if each)


def format_field(field: str) -> str:
    """Return the operators' name of a field."""
    return FIELD_NAMES.get(field, field)


def find_in_writing(document: bytes) -> tuple[Finding, ...]:
    """Find what is wrong in how a valid desired state is written.

    Routers replace such values by others, so that they can't be told afterwards.

    Args:
        document: The JSON document.
    """
    model = ConfigModel.model_validate(load_json(document))
    return (*find_in_route_models(model), *find_in_tenant_models(model))


def find_in_route_models(model: ConfigModel) -> Iterator[Finding]:
    """Find what is wrong in how routes are written."""
    for index, route in enumerate(model.routes):
        if route.homes == []:
            yield warning(Place(Group.ROUTES, index, "regions"), NO_RESTRICTION)
        if route.max_attempts < 1:
            place = Place(Group.ROUTES, index, "max_attempts")
            yield error(place, "must be at least 1")


def find_in_tenant_models(model: ConfigModel) -> Iterator[Finding]:
    """Find what is wrong in how workspaces are written."""
    for index, tenant in enumerate(model.tenants or []):
        if tenant.homes == []:
            yield warning(Place(Group.WORKSPACES, index, "regions"), NO_RESTRICTION)
        if len(set(tenant.api_keys)) < len(tenant.api_keys):
            yield warning(Place(Group.WORKSPACES, index, "keys"), "a key stands twice")
