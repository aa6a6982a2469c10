"""Who is there: used to find neighbours and witnesses, never for safety."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.messages.members import Heartbeat, Rumour
from hawthornstage.messages.money import Witness

# Rumours that a heartbeat carries at most.
MAX_GOSSIP_ENTRIES = 16


@dataclass(frozen=True)
class Member:
    """A router as seen by another.

    Args:
        node: Its name.
        incarnation: Its process.
        failure_domain: Where it stands.
        last_seen_at: Monotonic time of its last heartbeat, in seconds.
        draining: Whether it is shutting down.
        revision: Revision of the tables that it uses.
    """

    node: str
    incarnation: str
    failure_domain: str
    last_seen_at: float
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


def merge_members(members: Members, *reported: Member) -> Members:
    """Take news of routers.

    News of an earlier process of the same node, and older news, is ignored.
    """
    others = dict(members.others)
    for member in reported:
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
    return (member.last_seen_at, member.revision) > (known.last_seen_at, known.revision)


def merge_heartbeat(members: Members, heartbeat: Heartbeat, now: float) -> Members:
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
    return merge_members(members, sender, *rumours)


def make_heartbeat(members: Members, now: float, turn: int) -> Heartbeat:
    """Return what this router says of itself and, in turn, of others."""
    fresh = [
        m for m in possibly_live_members(members, now) if m.node != members.me.node
    ]
    start = turn * MAX_GOSSIP_ENTRIES % len(fresh) if fresh else 0
    rumours = tuple(
        Rumour(
            m.node,
            m.incarnation,
            m.failure_domain,
            m.draining,
            m.revision,
            round(now - m.last_seen_at, 3),
        )
        for m in (*fresh[start:], *fresh[:start])[:MAX_GOSSIP_ENTRIES]
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


def heartbeat_targets(
    nodes: Iterable[str], me: str, turn: int, *, count: int
) -> list[str]:
    """Choose whom to send this turn's heartbeat to; all get their turn.

    Each router has an order of its own, so that the heartbeats of all of them
    spread evenly.
    """
    order = rendezvous_order(me, [node for node in nodes if node != me])
    start = turn * count % len(order) if order else 0
    return (order[start:] + order[:start])[:count]


def remove_member(members: Members, node: str) -> Members:
    """Drop a router that the host list no longer has."""
    others = {key: kept for key, kept in members.others.items() if key != node}
    return replace(members, others=others)


def live(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers heard of lately, this one first."""
    limit = now - members.policy.suspect_s
    others = [each for each in members.others.values() if each.last_seen_at >= limit]
    return (members.me, *others)


def newest_revision(members: Members) -> int:
    """Return the highest revision that any router is known to use."""
    others = (each.revision for each in members.others.values())
    return max(members.me.revision, *others, 0)


def possibly_live_members(members: Members, now: float) -> tuple[Member, ...]:
    """List the other routers that may be there, though perhaps slow."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.last_seen_at >= limit)


def lost_members(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers that have been silent for so long that others clean up."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.last_seen_at < limit)


def rendezvous_order(name: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by rendezvous hashing for a name, the best first."""
    return sorted(nodes, key=lambda node: _rendezvous_weight(name, node), reverse=True)


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
    eligible = {
        each.node: each
        for each in live(members, now)
        if each.node != members.me.node and not each.draining
    }
    retained = [
        each
        for each in previous
        if each.node in eligible and eligible[each.node].incarnation == each.incarnation
    ]
    if len(retained) >= min(count, len(eligible)):
        return tuple(retained[:count])
    order = rendezvous_order(members.me.node, eligible)
    own_domain = members.me.failure_domain
    other_domain_nodes = [
        node for node in order if eligible[node].failure_domain != own_domain
    ]
    same_domain_nodes = [
        node for node in order if eligible[node].failure_domain == own_domain
    ]
    other_domain_count = count - 1 if near else count
    picked = [
        *other_domain_nodes[:other_domain_count],
        *same_domain_nodes,
        *other_domain_nodes[other_domain_count:],
    ]
    chosen = [Witness(node, eligible[node].incarnation) for node in picked]
    return tuple(chosen[:count])


def choose_holder(members: Members, budget: str, now: float, *, shared: bool) -> str:
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
    same_domain_nodes = [
        each.node
        for each in live(members, now)
        if each.failure_domain == domain and not each.draining
    ]
    return (
        rendezvous_order(budget, same_domain_nodes)[0]
        if same_domain_nodes
        else members.me.node
    )


def _rendezvous_weight(name: str, node: str) -> bytes:
    return hashlib.blake2b(f"{name}\n{node}".encode(), digest_size=8).digest()
