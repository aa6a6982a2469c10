"""Decides where a call may go whose route or workspace has home regions.

Without homes a call may go anywhere. A failure domain without a known region is in no
home.
"""

from __future__ import annotations

from collections.abc import Mapping

from hawthornstage.messages.desired import ForwardRoute, WorkspaceSpec


def regions_of_call(
    route: ForwardRoute, workspace: WorkspaceSpec | None
) -> frozenset[str] | None:
    """Return the regions that a call may use, or None for all.

    Where route and workspace both have homes, both bind.
    """
    of_workspace = workspace.regions if workspace else None
    if route.regions is None or of_workspace is None:
        return route.regions if of_workspace is None else of_workspace
    return route.regions & of_workspace


def failure_domains_in(
    regions: frozenset[str] | None, region_of: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the failure domains in some regions, or None for all.

    Args:
        regions: The regions, or None for all.
        region_of: Region of each failure domain.
    """
    if regions is None:
        return None
    return frozenset(
        domain for domain, region in region_of.items() if region in regions
    )


def is_within(region: str | None, regions: frozenset[str] | None) -> bool:
    """Whether a router in a region may carry a call that is bound to some.

    Args:
        region: The router's region, empty or None if it has or names none.
        regions: The call's regions, or None for all.
    """
    return regions is None or (bool(region) and region in regions)
