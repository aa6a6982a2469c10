"""Finds what in a desired state is wrong, or can never have an effect.

Keys are secrets: no text holds one.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from hawthornstage.messages.desired import (
    DesiredState,
    ForwardRoute,
    Idempotency,
    WorkspaceSpec,
)
from hawthornstage.messages.desired_state_check import (
    Finding,
    Group,
    Place,
    Severity,
)

# Range of priorities; 0 is the most urgent.
MIN_PRIORITY, MAX_PRIORITY = 0, 9


@dataclass(frozen=True)
class CheckOptions:
    """What is known beside the desired state.

    Args:
        regions: Regions of the deployment, or None if they are not known.
        call_tokens: Tokens of the smallest call that workspaces make.
    """

    regions: frozenset[str] | None = None
    call_tokens: int = 1


def find_faults(state: DesiredState, options: CheckOptions) -> tuple[Finding, ...]:
    """Return all findings, those of the routes first."""
    return (
        *find_in_document(state),
        *find_duplicate_names(state),
        *find_in_routes(state, options),
        *find_in_services(state),
        *find_in_workspaces(state, options),
        *find_in_limits(state),
    )


def find_in_document(state: DesiredState) -> Iterator[Finding]:
    """Find what makes the whole document useless."""
    if state.version < 1:
        yield error(Place(Group.DOCUMENT, field="version"), "must be at least 1")
    if not state.routes:
        yield error(Place(Group.ROUTES), "no route: all calls get 404")
    closed = [route for route in state.routes if not route.public]
    if state.has_workspaces and closed and not state.workspaces_by_key:
        yield error(
            Place(Group.WORKSPACES),
            f"no API key at all: calls of {len(closed)} routes get 401",
        )


def find_duplicate_names(state: DesiredState) -> Iterator[Finding]:
    """Find names that stand twice in one list."""
    groups: tuple[tuple[Group, list[str]], ...] = (
        (Group.ROUTES, [each.name for each in state.routes]),
        (Group.SERVICES, [each.name for each in state.services]),
        (Group.WORKSPACES, [each.name for each in state.workspaces]),
    )
    for group, names in groups:
        for index, name in enumerate(names):
            first = names.index(name)
            if first < index:
                yield error(
                    Place(group, index, "name"), f"{name!r} is also that of [{first}]"
                )


def find_in_routes(state: DesiredState, options: CheckOptions) -> Iterator[Finding]:
    """Find routes that can't match, can't be served or contradict themselves."""
    known = {service.name for service in state.services}
    matched: dict[tuple[str, str], int] = {}
    for index, route in enumerate(state.routes):
        pattern = (route.host, route.path_prefix)
        if pattern in matched:
            yield error(
                Place(Group.ROUTES, index, "path_prefix"),
                f"never matches: [{matched[pattern]}] has the same host and prefix",
            )
        matched.setdefault(pattern, index)
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield error(
                Place(Group.ROUTES, index, "path_prefix"),
                f"{route.path_prefix!r} does not begin and end with a slash",
            )
        yield from find_in_shares(route, index, known)
        yield from find_in_times(route, index)
        yield from find_in_priority(Place(Group.ROUTES, index, "priority"), route)
        place = Place(Group.ROUTES, index, "regions")
        yield from find_in_regions(place, route.regions, options)
        yield from find_without_region(state, route, index)


def find_in_shares(
    route: ForwardRoute, index: int, known: set[str]
) -> Iterator[Finding]:
    """Find a traffic split that sends calls nowhere."""
    place = Place(Group.ROUTES, index, "shares")
    if not route.shares:
        yield error(place, "has no service")
        return
    for share in route.shares:
        if share.service not in known:
            yield error(place, f"service {share.service!r} is not listed")
        if share.weight < 0:
            yield error(place, f"the weight of {share.service!r} is negative")
        elif share.weight == 0:
            yield warning(place, f"{share.service!r} has weight 0 and gets no calls")
    if sum(max(0.0, share.weight) for share in route.shares) <= 0:
        yield error(place, "all weights are 0")


def find_in_times(route: ForwardRoute, index: int) -> Iterator[Finding]:
    """Find limits of a route that contradict each other."""
    place = Place(Group.ROUTES, index, "timeout_s")
    if route.timeout_s <= 0:
        yield error(place, "must be positive")
    elif route.timeout_s < route.latency_objective_s:
        yield error(
            place,
            f"{route.timeout_s:g} s is shorter than the latency objective of "
            f"{route.latency_objective_s:g} s",
        )
    if route.latency_objective_s <= 0:
        yield error(
            Place(Group.ROUTES, index, "latency_objective_s"), "must be positive"
        )
    if route.max_attempts > 1 and route.idempotency is Idempotency.NON_IDEMPOTENT:
        yield warning(
            Place(Group.ROUTES, index, "max_attempts"),
            "calls that may run only once go to another server only if the first "
            "refused them",
        )


def find_in_priority(
    place: Place, spec: ForwardRoute | WorkspaceSpec
) -> Iterator[Finding]:
    """Find a priority out of range."""
    priority = spec.priority
    if priority is not None and not MIN_PRIORITY <= priority <= MAX_PRIORITY:
        yield error(place, f"{priority} is not within {MIN_PRIORITY} to {MAX_PRIORITY}")


def find_in_regions(
    place: Place, regions: frozenset[str] | None, options: CheckOptions
) -> Iterator[Finding]:
    """Find home regions that the deployment does not have."""
    if regions is None or options.regions is None:
        return
    unknown = ", ".join(sorted(regions - options.regions))
    if not regions & options.regions:
        yield error(place, f"no failure domain is in {unknown}: no call can be served")
    elif unknown:
        yield warning(place, f"no failure domain is in {unknown}")


def find_without_region(
    state: DesiredState, route: ForwardRoute, index: int
) -> Iterator[Finding]:
    """Find workspaces that share no home region with a route."""
    if route.regions is None or route.public:
        return
    excluded = [
        repr(each.name)
        for each in state.workspaces
        if each.regions is not None and not each.regions & route.regions
    ]
    if excluded:
        yield warning(
            Place(Group.ROUTES, index, "regions"),
            f"can't serve workspaces without a common region: {', '.join(excluded)}",
        )


def find_in_services(state: DesiredState) -> Iterator[Finding]:
    """Find services without a route, and sizes that are not positive."""
    used = {share.service for route in state.routes for share in route.shares}
    for index, service in enumerate(state.services):
        if service.name not in used:
            yield warning(
                Place(Group.SERVICES, index), f"no route leads to {service.name!r}"
            )
        sizes = {"max_connections": service.max_connections}
        if service.engine is not None:
            sizes["slots"] = service.engine.slots
            sizes["tokens_per_event"] = service.engine.tokens_per_event
        for field, size in sizes.items():
            if size < 1:
                yield error(
                    Place(Group.SERVICES, index, field), f"{size} is not positive"
                )


def find_in_workspaces(state: DesiredState, options: CheckOptions) -> Iterator[Finding]:
    """Find workspaces that can't call, share keys or have too small a budget."""
    owners: dict[str, int] = {}
    for index, workspace in enumerate(state.workspaces):
        yield from find_in_keys(workspace, index, owners)
        owners.update((key, index) for key in workspace.keys)
        budget = workspace.budget
        if budget is not None and budget < max(1, options.call_tokens):
            yield error(
                Place(Group.WORKSPACES, index, "budget"),
                f"{budget} tokens do not cover a single call",
            )
        place = Place(Group.WORKSPACES, index, "priority")
        yield from find_in_priority(place, workspace)
        place = Place(Group.WORKSPACES, index, "regions")
        yield from find_in_regions(place, workspace.regions, options)


def find_in_keys(
    workspace: WorkspaceSpec, index: int, owners: Mapping[str, int]
) -> Iterator[Finding]:
    """Find keys that are missing, empty or also those of an earlier workspace.

    Args:
        workspace: The workspace.
        index: Its position.
        owners: Position of the workspace of each earlier key.
    """
    place = Place(Group.WORKSPACES, index, "keys")
    if not workspace.keys:
        yield warning(place, f"{workspace.name!r} has no key and can make no calls")
    if "" in workspace.keys:
        yield error(place, "a key is empty")
    for other in sorted({owners[key] for key in workspace.keys if key in owners}):
        yield error(place, f"a key is also one of [{other}]")


def find_in_limits(state: DesiredState) -> Iterator[Finding]:
    """Find limits of callers that let nothing pass."""
    limits = state.limits
    values = {
        "header_bytes": limits.header_bytes,
        "header_timeout_s": limits.header_timeout_s,
        "idle_timeout_s": limits.idle_timeout_s,
    }
    for field, value in values.items():
        if value <= 0:
            yield error(Place(Group.LIMITS, field=field), "must be positive")
    if limits.body_bytes < 0:
        yield error(Place(Group.LIMITS, field="body_bytes"), "must not be negative")


def has_errors(findings: Iterable[Finding]) -> bool:
    """Whether at least one finding is an error."""
    return any(each.severity is Severity.ERROR for each in findings)


def error(place: Place, text: str) -> Finding:
    """Return a finding of what is wrong."""
    return Finding(place, Severity.ERROR, text)


def warning(place: Place, text: str) -> Finding:
    """Return a finding of what is most likely not meant."""
    return Finding(place, Severity.WARNING, text)
