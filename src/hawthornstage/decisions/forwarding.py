"""Resolves a call's route, workspace and service from the desired state."""

from __future__ import annotations

import hashlib

from hawthornstage.decisions.home_regions import regions_of_call
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.messages.desired import (
    DesiredState,
    ForwardRoute,
    TrafficShare,
    WorkspaceSpec,
)
from hawthornstage.messages.forward import ForwardCall, ForwardExchange


def is_newer(current: DesiredState | None, offered: DesiredState) -> bool:
    """Whether an offered state replaces the current one; versions never fall."""
    return current is None or offered.version > current.version


def resolve_call(call: ForwardCall, desired: DesiredState) -> ForwardExchange | Failure:
    """Resolve a call's route, workspace and service.

    Returns:
        The exchange, or a failure if no route matches, the key is unknown or the
        route has no service.
    """
    route = match_route(desired, call.host, call.path)
    if route is None:
        return Failure(ErrorKind.NO_ROUTE, f"host {call.host!r}, path {call.path!r}")
    workspace = None
    if desired.has_workspaces and not route.public:
        workspace = find_workspace(desired, call.key)
        if workspace is None:
            return Failure(ErrorKind.UNAUTHENTICATED)
    if not route.shares:
        return Failure(ErrorKind.NO_SERVER, f"route {route.name!r} has no services")
    return ForwardExchange(
        call=call,
        desired=desired,
        route=route,
        workspace=workspace,
        service=choose_service(route.shares, call.id),
        fingerprint=fingerprint(call, workspace),
        regions=regions_of_call(route, workspace),
    )


def match_route(desired: DesiredState, host: str, path: str) -> ForwardRoute | None:
    """Return the host's route with the longest prefix of the path, or None."""
    for route in desired.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def find_workspace(desired: DesiredState, key: str | None) -> WorkspaceSpec | None:
    """Return the workspace that an API key belongs to, or None."""
    return None if key is None else desired.workspaces_by_key.get(key)


def choose_service(shares: tuple[TrafficShare, ...], call_id: str) -> str:
    """Choose a service by weight; the same call always gets the same one."""
    total = sum(share.weight for share in shares)
    digest = hashlib.blake2b(call_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest) / 2**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service


def fingerprint(call: ForwardCall, workspace: WorkspaceSpec | None) -> str:
    """Return a hash of method, target, workspace and body, equal for repeated calls."""
    digest = hashlib.blake2b(digest_size=12)
    owner = workspace.name if workspace else ""
    for part in (call.method.encode(), call.target.encode(), owner.encode()):
        digest.update(part + b"\0")
    digest.update(call.body)
    return digest.hexdigest()
