"""Membership by heartbeats and gossip.

It serves to find neighbours and witnesses; safety never depends on it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from hawthornstage.messages.budget_messages import Witness
from hawthornstage.messages.members import GossipEntry, Heartbeat

# Largest number of gossip entries in a heartbeat.
MAX_GOSSIP_ENTRIES = 16


@dataclass(frozen=True)
class Member:
    """The state of a router as another one knows it.

    Args:
        node: The router's name.
        incarnation: The incarnation of its process.
        failure_domain: The failure domain that it runs in.
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
    """Times without a heartbeat after which a router is suspected or lost.

    Args:
        suspect_s: Time after which it gets no new tasks, in seconds.
        lost_s: Time after which others close its grants and reservations, in seconds.
    """

    suspect_s: float = 3.0
    lost_s: float = 30.0


@dataclass(frozen=True)
class Members:
    """This router, and by node all others seen since its start."""

    me: Member
    policy: MembershipPolicy = MembershipPolicy()
    others: dict[str, Member] = field(default_factory=dict)


def merge_members(members: Members, *reported: Member) -> Members:
    """Merge reports of routers.

    Reports of an earlier incarnation of a node and older reports are ignored.
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
    """Merge a heartbeat and the gossip that it carries."""
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
    """Return this router's heartbeat, with gossip of the others in rotation.

    Args:
        members: The view of this router.
        now: Monotonic time, in seconds.
        turn: Number of the heartbeat, which selects the gossip entries.
    """
    fresh = [
        m for m in possibly_live_members(members, now) if m.node != members.me.node
    ]
    start = turn * MAX_GOSSIP_ENTRIES % len(fresh) if fresh else 0
    rumours = tuple(
        GossipEntry(
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
    """Choose the receivers of this turn's heartbeat, in rotation.

    Each router rotates in an order of its own, so that the heartbeats of all routers
    spread evenly.
    """
    order = rendezvous_order(me, [node for node in nodes if node != me])
    start = turn * count % len(order) if order else 0
    return (order[start:] + order[:start])[:count]


def remove_member(members: Members, node: str) -> Members:
    """Remove a router that is no longer on the host list."""
    others = {key: value for key, value in members.others.items() if key != node}
    return replace(members, others=others)


def live(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers seen within `suspect_s`, this one first."""
    limit = now - members.policy.suspect_s
    others = [each for each in members.others.values() if each.last_seen_at >= limit]
    return (members.me, *others)


def newest_revision(members: Members) -> int:
    """Return the highest revision that any router is known to use."""
    others = (each.revision for each in members.others.values())
    return max(members.me.revision, *others, 0)


def possibly_live_members(members: Members, now: float) -> tuple[Member, ...]:
    """List the other routers seen within `lost_s`, which may be slow but alive."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.last_seen_at >= limit)


def lost_members(members: Members, now: float) -> tuple[Member, ...]:
    """List the routers not seen for `lost_s`, after which others clean up."""
    limit = now - members.policy.lost_s
    return tuple(each for each in members.others.values() if each.last_seen_at < limit)


def rendezvous_order(name: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their rendezvous hash for a name, highest first."""
    return sorted(nodes, key=lambda node: _rendezvous_weight(name, node), reverse=True)


def choose_witnesses(
    members: Members,
    previous: tuple[Witness, ...],
    now: float,
    *,
    count: int,
    near: bool,
) -> tuple[Witness, ...]:
    """Choose witnesses of grants, from other failure domains first.

    Previous witnesses that are still eligible are kept, as a change of witnesses
    retires the current grant.

    Args:
        members: The view of this router.
        previous: Witnesses of its last grants.
        now: Monotonic time, in seconds.
        count: Number of witnesses.
        near: Whether one witness is from this router's failure domain. It stays
            reachable when the domain is cut off, but is lost with it.
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
    """Choose the router that holds the grant of a budget for this router.

    Args:
        members: The view of this router.
        budget: The workspace.
        now: Monotonic time, in seconds.
        shared: Whether one router holds the grant for its whole failure domain.
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
