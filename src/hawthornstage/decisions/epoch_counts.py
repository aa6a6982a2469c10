"""Agreement on the drawn tokens after the store was restored from a copy.

The counts of the copy lack the draws made after it. Each router remembers the counts as
it last knew them, and merges them into the store: where it knows a higher count than
anyone before it, the difference is added. No router draws until all that are known have
done so, or until those that have not must be taken for gone.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

# Time after which routers that have not merged their counts are not waited for, in
# seconds.
MERGE_TIMEOUT_S = 4.0


@dataclass(frozen=True)
class EpochCounts:
    """What the routers have agreed on since the store was restored.

    Args:
        base: Tokens of each workspace that were drawn before the restoration, as far as
            it is known.
        merged: Routers whose counts are part of `base`.
        settled: Whether routers may draw.
    """

    base: Mapping[str, int] = field(default_factory=dict)
    merged: tuple[str, ...] = ()
    settled: bool = False


def missing_tokens(epoch: EpochCounts, known: Mapping[str, int]) -> dict[str, int]:
    """Return the tokens by which known counts exceed the agreed ones, by workspace."""
    return {
        workspace: tokens - epoch.base.get(workspace, 0)
        for workspace, tokens in known.items()
        if tokens > epoch.base.get(workspace, 0)
    }


def with_merged(
    epoch: EpochCounts, missing: Mapping[str, int], node: str | None
) -> EpochCounts:
    """Return the agreement after some missing tokens were added to the counts.

    Args:
        epoch: The agreement so far.
        missing: The added tokens by workspace.
        node: The router, if all that it knows is now part of the agreement.
    """
    base = dict(epoch.base)
    for workspace, tokens in missing.items():
        base[workspace] = base.get(workspace, 0) + tokens
    merged = epoch.merged
    if node is not None and node not in merged:
        merged = (*merged, node)
    return EpochCounts(base, merged, epoch.settled)


def may_settle(
    epoch: EpochCounts, routers: Collection[str] | None, waited_s: float
) -> bool:
    """Whether draws may begin.

    Args:
        epoch: The agreement so far.
        routers: The routers that were known before the restoration, or None if that is
            not known.
        waited_s: Time since this router learned of the restoration, in seconds.
    """
    all_merged = routers is not None and set(routers) <= set(epoch.merged)
    return all_merged or waited_s >= MERGE_TIMEOUT_S
