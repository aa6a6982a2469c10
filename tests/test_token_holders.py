"""Routers that hold a workspace's tokens, and those that ask them."""

from __future__ import annotations

import pytest

from hawthornstage.actors.task import Ask
from hawthornstage.actors.token_accounts import HOLDER_TIMEOUT_S
from hawthornstage.decisions.draws import add_drawn
from hawthornstage.decisions.router_processes import process_address
from hawthornstage.decisions.token_holders import (
    HOLDERS_PER_WORKSPACE,
    MAX_HOLDERS_ASKED,
    HolderDirectory,
)
from hawthornstage.messages.draws import (
    RequestCallTokens,
    RequestReservation,
    TokensReserved,
    TokensUsed,
)
from hawthornstage.messages.fleet import KnownRouters
from hawthornstage.messages.members import PeerUnreachable
from tests.draws_world import WORKSPACE, DrawsWorld, Host, Reply

NAMES = tuple(f"edge-{number}" for number in range(24))


def directory(node: str, names: tuple[str, ...] = NAMES) -> HolderDirectory:
    """Return a router's view of the holders."""
    return HolderDirectory(node, frozenset(names))


@pytest.fixture
def world() -> DrawsWorld:
    """Return 24 routers, of which eight hold the workspace's tokens."""
    return DrawsWorld(NAMES)


def asker(world: DrawsWorld) -> Host:
    """Return a router that holds no tokens of the workspace."""
    return next(
        host
        for host in world.hosts.values()
        if not host.token_accounts.holders.is_holder(WORKSPACE)
    )


def questions(host: Host) -> list[tuple[str, int]]:
    """Return the holders that a router has asked, and for how much."""
    return [
        (send.node, send.message.tokens)
        for send in host.peer_inbox.messages
        if isinstance(send.message, RequestCallTokens)
    ]


def deliver(world: DrawsWorld, host: Host) -> None:
    """Let the holders answer a router's questions."""
    messages, host.peer_inbox.messages = host.peer_inbox.messages, []
    for send in messages:
        holder = world.hosts[send.node]
        reply = Reply()
        holder.token_accounts.handle(Ask(send.message, reply))
        holder.pump()
        if reply.value is not None:
            send.reply_to.put(reply.value)
    host.pump()


def test_routers_agree_on_a_few_holders() -> None:
    for workspace in ("shop-a", "shop-b"):
        views = {directory(name).holders(workspace) for name in NAMES}
        assert len(views) == 1
        assert len(views.pop()) == HOLDERS_PER_WORKSPACE


def test_small_fleet_has_only_holders() -> None:
    small = NAMES[:HOLDERS_PER_WORKSPACE]
    assert all(directory(name, small).is_holder("shop-a") for name in small)
    assert directory(small[0], small).holder_to_ask("shop-a", 0) is None


def test_askers_spread_over_the_holders() -> None:
    first = {directory(name).holder_to_ask("shop-a", 0) for name in NAMES}
    assert len(first - {None}) >= HOLDERS_PER_WORKSPACE / 2


def test_only_holders_draw_ahead(world: DrawsWorld) -> None:
    for _ in range(3):
        world.clock.advance(3.0)
        for host in world.hosts.values():
            host.check()
    holding = {
        name
        for name, host in world.hosts.items()
        if host.token_accounts.held_workspaces()
    }
    accounts = {
        name: host.token_accounts.token_accounts.accounts.get(WORKSPACE)
        for name, host in world.hosts.items()
    }
    free = {name for name, account in accounts.items() if account and account.free}
    assert free == holding
    assert len(free) == HOLDERS_PER_WORKSPACE


def test_nothing_is_drawn_ahead_while_few_routers_are_known(world: DrawsWorld) -> None:
    name = next(n for n in NAMES if directory(n).is_holder(WORKSPACE))
    host = world.hosts[name]
    host.start()
    known = KnownRouters({"edge-0": "", "edge-1": ""}, settled=False)
    host.token_accounts.handle(known)
    before = world.store.counts().get(WORKSPACE, 0)
    for _ in range(10):
        world.clock.advance(0.5)
        host.check()
    assert world.store.counts().get(WORKSPACE, 0) <= before
    host.token_accounts.handle(KnownRouters(dict.fromkeys(NAMES, "")))
    world.clock.advance(0.5)
    host.check()
    assert world.free(name) > 0


def test_first_call_of_a_router_that_knows_few_others_draws_for_the_next(
    world: DrawsWorld,
) -> None:
    host = world.hosts[NAMES[0]]
    host.start()
    host.token_accounts.handle(KnownRouters({}, settled=False))
    host.pump()
    host.check()
    assert host.ask(700)
    assert world.free(NAMES[0]) > 0


def test_count_is_told_to_the_other_holders(world: DrawsWorld) -> None:
    name = next(n for n in NAMES if directory(n).is_holder(WORKSPACE))
    host = world.hosts[name]
    host.ledger_peers.messages.clear()
    host.ledger.tell_counts(9, {WORKSPACE: 5})
    told = {send.node for send in host.ledger_peers.messages}
    assert told == set(directory(name).other_holders(WORKSPACE))


def test_call_gets_its_tokens_from_a_holder(world: DrawsWorld) -> None:
    host = asker(world)
    reply = Reply()
    before = world.store.counts().get(WORKSPACE, 0)
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 700), reply))
    assert [tokens for _, tokens in questions(host)] == [700]
    deliver(world, host)
    assert reply.value is not None
    assert reply.value.tokens == 700
    # The asker has drawn nothing itself.
    assert world.store.counts().get(WORKSPACE, 0) >= before
    assert host.token_accounts.token_accounts.accounts[WORKSPACE].gifted == 700


def test_rest_of_a_call_serves_the_next_one(world: DrawsWorld) -> None:
    host = asker(world)
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 700), Reply()))
    deliver(world, host)
    account = host.token_accounts.token_accounts.accounts[WORKSPACE]
    assert account.open == 700
    host.token_accounts.handle(TokensUsed(WORKSPACE, 700, 500))
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 900), Reply()))
    assert [tokens for _, tokens in questions(host)] == [700]


def test_router_with_many_calls_asks_for_tokens_ahead_of_them(
    world: DrawsWorld,
) -> None:
    world.top_up(10_000_000)
    host = asker(world)
    tokens, unasked = 5_000, 0
    for _ in range(40):
        reply = Reply()
        host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, tokens), reply))
        unasked += not questions(host)
        deliver(world, host)
        assert isinstance(reply.value, TokensReserved)
        host.token_accounts.handle(TokensUsed(WORKSPACE, tokens, tokens))
        world.clock.advance(0.05)
    assert unasked >= 10


def test_all_holders_are_asked_while_the_store_is_away(world: DrawsWorld) -> None:
    host = asker(world)
    holders = host.token_accounts.holders.other_holders(WORKSPACE)
    world.store.mood = "refuses"
    for each in world.hosts.values():
        world.clock.advance(0.01)
        each.token_accounts.handle_write_failure("refused", world.clock.monotonic())
    for name in holders[:MAX_HOLDERS_ASKED]:
        spare = world.free(name)
        world.hosts[name].token_accounts.token_accounts = add_drawn(
            world.hosts[name].token_accounts.token_accounts, {WORKSPACE: -spare}
        )
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 700), reply))
    for _ in range(MAX_HOLDERS_ASKED + 1):
        deliver(world, host)
    assert isinstance(reply.value, TokensReserved)


def test_silent_and_unreachable_holders_are_passed_over(world: DrawsWorld) -> None:
    host = asker(world)
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 700), reply))
    [silent] = host.peer_inbox.messages
    host.peer_inbox.messages = []
    world.clock.advance(HOLDER_TIMEOUT_S)
    host.check()
    [second] = host.peer_inbox.messages
    assert second.node != silent.node
    host.peer_inbox.messages = []
    second.reply_to.put(PeerUnreachable(second.node, "gone"))
    host.pump()
    [third] = host.peer_inbox.messages
    assert len({silent.node, second.node, third.node}) == MAX_HOLDERS_ASKED
    # After the last one it draws for itself.
    third.reply_to.put(PeerUnreachable(third.node, "gone"))
    host.peer_inbox.messages = []
    host.pump()
    assert reply.value is not None
    assert reply.value.tokens == 700


def test_holder_that_is_back_under_its_name_holds_tokens_and_hears_of_counts(
    world: DrawsWorld,
) -> None:
    """Guards: counts were told to the process before, and its tokens are gone."""
    host = asker(world)
    name = host.token_accounts.holders.other_holders(WORKSPACE)[0]
    world.restart(name, 1.0)
    urls = {**dict.fromkeys(NAMES, ""), name: process_address(name, 81, "second")}
    for each in world.hosts.values():
        others = {n: url for n, url in urls.items() if n != each.node}
        for task in (each.token_accounts, each.ledger):
            task.handle(KnownRouters(others))
    for each in world.hosts.values():
        world.clock.advance(0.5)
        each.check()
    stored = world.store.counts()[WORKSPACE]
    assert world.hosts[name].ledger.drawn[WORKSPACE] == stored
    reply = Reply()
    host.token_accounts.handle(Ask(RequestReservation(WORKSPACE, 700), reply))
    assert questions(host)[0][0] in directory(host.node).other_holders(WORKSPACE)
    deliver(world, host)
    assert reply.value == TokensReserved(700)
    assert world.at_risk <= world.budget
