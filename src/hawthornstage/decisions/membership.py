"""Who is there: used to find neighbours and witnesses, never for safety."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.messages.members import GossipEntry, Heartbeat
from hawthornstage.messages.money import Witness

# Rumours that a heartbeat carries at most.
MAX_RUMOURS = 16


@dataclass(frozen=True)
class Member:
    """A router as seen by another.

    Args:
        node: Its name.
        incarnation: Its process.
        failure_domain: Where it stands.
        heard_at: Monotonic time of its last heartbeat, in seconds.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
    """

    node: str
    incarnation: str
    failure_domain: str
    heard_at: float
    draining: bool = False
    revision: int = 0


@dataclass(frozen=True)
class MembershipPolicy:
    """Times after which a silent router is treated as away, in seconds.

    Args:
        suspect_s: It gets no new tasks.
        lost_s: What it left behind is closed.
    """

    suspect_s: float = 3.0
    lost_s: float = 30.0


@dataclass(frozen=True)
class Members:
    """All routers that were ever heard of, by node, this one included."""

    me: Member
    policy: MembershipPolicy = MembershipPolicy()
    others: dict[str, Member] = field(default_factory=dict)


def hear(members: Members, *heard: Member) -> Members:
    """Take news of routers.

    News of an earlier process of the same node, and older news, is ignored.
    """
    others = dict(members.others)
    for member in heard:
        known = others.get(member.node)
        if member.node == members.me.node or not _newer(member, known):
            continue
        others[member.node] = member
    return replace(members, others=others)


def _newer(member: Member, known: Member | None) -> bool:
    if known is None or member.incarnation > known.incarnation:
        return True
    if member.incarnation < known.incarnation:
        return False
    return (member.heard_at, member.revision) > (known.heard_at, known.revision)


def take_heartbeat(members: Members, heartbeat: Heartbeat, now: float) -> Members:
    """Take a heartbeat and the rumours that it carries."""
    sender = Member(
        heartbeat.node,
        heartbeat.incarnation,
        heartbeat.failure_domain,
        now,
        heartbeat.draining,
        heartbeat.revision,
    )
    rumours = [
        Member(
            rumour.node,
            rumour.incarnation,
            rumour.failure_domain,
            now - rumour.age_s,
            rumour.draining,
            rumour.revision,
        )
        for rumour in heartbeat.rumours
    ]
    return hear(members, sender, *rumours)


def make_heartbeat(members: Members, now: float, turn: int) -> Heartbeat:
    """Return what this router says of itself and, in turn, of others."""
    fresh = [m for m in present(members, now) if m.node != members.me.node]
    start = turn * MAX_RUMOURS % len(fresh) if fresh else 0
    rumours = tuple(
        GossipEntry(
            m.node,
            m.incarnation,
            m.failure_domain,
            m.draining,
            m.revision,
            round(now - m.heard_at, 3),
        )
        for m in (*fresh[start:], *fresh[:start])[:MAX_RUMOURS]
    )
    me = members.me
    return Heartbeat(
        me.node,
        me.incarnation,
        me.failure_domain,
        me.draining,
        me.revision,
        rumours,
    )


def targets(nodes: Iterable[str], me: str, turn: int, *, count: int) -> list[str]:
    """Choose whom to send this turn's heartbeat to; all get their turn.

    Each router has an order of its own, so that the heartbeats of all of them
    spread evenly.
    """
    order = rank(me, [node for node in nodes if node != me])
    start = turn * count % len(order) if order else 0
    return (order[start:] + order[:start])[:count]


def forget(members: Members, node: str) -> Members:
    """Drop a router that the host list no longer has."""
    others = {key: kept for key, kept in members.others.items() if key != node}
    return replace(members, others=others)


def live(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers heard of lately, this one first."""
    limit = now - members.policy.suspect_s
    others = [each for each in members.others.values() if each.heard_at >= limit]
    return (members.me, *others)


def newest_revision(members: Members) -> int:
    """Return the highest revision that any router is known to use."""
    others = (each.revision for each in members.others.values())
    return max(members.me.revision, *others, 0)


def present(members: Members, now: float) -> tuple[Member, ...]:
    """List the other routers that may be there, though perhaps slow."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.heard_at >= limit)


def lost(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers that have been silent for so long that others clean up."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.heard_at < limit)


def rank(name: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by rendezvous hashing for a name, the best first."""
    return sorted(nodes, key=lambda node: _weight(name, node), reverse=True)


def choose_witnesses(
    members: Members,
    previous: tuple[Witness, ...],
    now: float,
    *,
    count: int,
    near: bool,
) -> tuple[Witness, ...]:
    """Choose routers to witness grants: other failure domains first.

    Previous witnesses that are still fit are kept, so that grants last.

    Args:
        members: The view of this router.
        previous: Witnesses of its last grants.
        now: Monotonic time, in seconds.
        count: How many are wanted.
        near: Whether one place goes to a router of the own failure domain, which
            stays reachable when the domain is cut off, but is lost with it.
    """
    fit = {
        each.node: each
        for each in live(members, now)
        if each.node != members.me.node and not each.draining
    }
    kept = [
        each
        for each in previous
        if each.node in fit and fit[each.node].incarnation == each.incarnation
    ]
    if len(kept) >= min(count, len(fit)):
        return tuple(kept[:count])
    order = rank(members.me.node, fit)
    home = members.me.failure_domain
    far = [node for node in order if fit[node].failure_domain != home]
    own = [node for node in order if fit[node].failure_domain == home]
    first = count - 1 if near else count
    picked = [*far[:first], *own, *far[first:]]
    chosen = [Witness(node, fit[node].incarnation) for node in picked]
    return tuple(chosen[:count])


def holder_for(members: Members, budget: str, now: float, *, shared: bool) -> str:
    """Name the router that holds this router's grant of a budget.

    Args:
        members: The view of this router.
        budget: The workspace.
        now: Monotonic time, in seconds.
        shared: Whether one router holds for its whole failure domain.
    """
    if not shared:
        return members.me.node
    domain = members.me.failure_domain
    near = [
        each.node
        for each in live(members, now)
        if each.failure_domain == domain and not each.draining
    ]
    return rank(budget, near)[0] if near else members.me.node


def _weight(name: str, node: str) -> bytes:
    return hashlib.blake2b(f"{name}\n{node}".encode(), digest_size=8).digest()
