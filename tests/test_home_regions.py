"""Calls of routes and workspaces with home regions stay there."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from hawthornstage.border.frames import Frame, decode_frame, encode_frame
from hawthornstage.clock import Clock
from hawthornstage.decisions.forwarding import resolve_call
from hawthornstage.decisions.home_regions import failure_domains_in, is_within
from hawthornstage.decisions.server_links import (
    FURTHER_HELPERS,
    HELPERS,
    LinkBook,
    helpers_to_ask,
)
from hawthornstage.errors import ErrorKind, Failure, response_for
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.forward import Delivery, Prompt, PromptPart
from hawthornstage.messages.server_links import (
    HelperFailed,
    HelperRegion,
    LinkFault,
    ServerLinks,
)
from hawthornstage.messages.server_selection import (
    NoServerAvailable,
    RegisteredServers,
    ServerChosen,
    Shortage,
)
from hawthornstage.messages.tunnels import (
    RequestTunnel,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from hawthornstage.platform.desired_state import (
    DesiredStateError,
    decode_desired_state,
)
from tests.conftest import StartFleet
from tests.connection_pair import REQUEST, SOON, CallerPair, sealed
from tests.delivery_world import (
    ScriptedServer,
    exchange_for,
    make_forwarder,
    read_all,
    server_at,
)
from tests.test_evacuations import arrivals, selector_with
from tests.test_forwarding import CONFIG, document, make_call
from tests.test_serving import LIMIT, make_server, want
from tests.test_tunnels import StartHelper, start_helper  # noqa: F401
from tools.cluster import wait_until
from tools.fleet import IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, desired_state

REGION_OF = {"a": "north", "b": "south", "c": "south"}
HOMES = "allowed-regions"


def regions_with(of_route: Any, of_workspace: Any) -> frozenset[str] | None:
    """Return the regions of a call, with the lists of its route and workspace."""
    routes = [dict(each) for each in CONFIG["routes"]]
    tenants = [dict(each) for each in CONFIG["tenants"]]
    for each, homes in ((routes[0], of_route), (tenants[0], of_workspace)):
        if homes != "missing":
            each[HOMES] = homes
    state = decode_desired_state(document(routes=routes, tenants=tenants))
    exchange = resolve_call(make_call(), state)
    assert not isinstance(exchange, Failure)
    return exchange.regions


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "regions"),
    [
        ("missing", "missing", None),
        (None, [], None),
        (["north"], "missing", {"north"}),
        ([], ["north", "south"], {"north", "south"}),
        (["north", "south"], ["south", "west"], {"south"}),
        (["north"], ["south"], set()),
    ],
)
def test_homes_of_route_and_workspace_both_bind(
    of_route: Any, of_workspace: Any, regions: set[str] | None
) -> None:
    assert regions_with(of_route, of_workspace) == regions


@pytest.mark.parametrize("homes", ["north", [1], {"north": True}])
def test_homes_that_are_no_list_of_names_are_refused(homes: Any) -> None:
    with pytest.raises(DesiredStateError):
        regions_with(homes, "missing")


def test_domain_without_a_region_is_in_no_home() -> None:
    assert failure_domains_in(None, REGION_OF) is None
    assert failure_domains_in(frozenset({"south"}), REGION_OF) == {"b", "c"}
    assert failure_domains_in(frozenset({""}), {}) == frozenset()
    assert is_within("", None)
    assert not is_within("", frozenset({""}))


def homes(*domains: str) -> Any:
    """Return a call whose homes hold some failure domains."""
    return want(failure_domains=frozenset(domains))


def test_only_servers_at_home_get_a_call_its_retry_or_the_rest_of_its_stream() -> None:
    selector = selector_with(s1="a", s2="b", s3="c", s4="nowhere")
    chosen = set()
    for number in range(40):
        asked = replace(homes("b", "c"), call_id=f"r{number}")
        choice = selector.choose(asked, LIMIT, 1.0)
        assert isinstance(choice, ServerChosen)
        retried = replace(
            asked, excluded=frozenset({choice.server.id}), retry=True, version=""
        )
        second = selector.choose(retried, LIMIT, 1.0)
        assert isinstance(second, ServerChosen)
        chosen |= {choice.server.id, second.server.id}
    assert chosen == {"s2", "s3"}
    nothing = replace(retried, excluded=frozenset({"s2", "s3"}))
    refusal = selector.choose(nothing, LIMIT, 1.0)
    assert isinstance(refusal, NoServerAvailable)


def test_prompts_of_calls_with_homes_prefer_one_server_there() -> None:
    prompt = Prompt(9_000, 50, (PromptPart("aa", 8_000), PromptPart("own", 1_000)))
    chosen = set()
    for number in range(8):
        selector = selector_with(s1="a", s2="b", s3="c", s4="a", s5="a")
        asked = replace(homes("b", "c"), call_id=f"r{number}", prompt=prompt)
        choice = selector.choose(asked, LIMIT, 1.0)
        assert isinstance(choice, ServerChosen)
        chosen.add(choice.server.id)
    assert len(chosen) == 1 and chosen <= {"s2", "s3"}


@pytest.mark.parametrize(
    ("domains", "evacuated", "shortage"),
    [
        ("", "", Shortage.OUTSIDE_HOMES),
        ("x", "", Shortage.OUTSIDE_HOMES),
        ("b", "b", Shortage.EVACUATED),
        ("x", "abc", Shortage.OUTSIDE_HOMES),
        ("c", "", Shortage.BUSY),
    ],
)
def test_refusal_tells_why_no_server_is_left(
    domains: str, evacuated: str, shortage: Shortage
) -> None:
    selector = selector_with(s1="a", s2="b")
    gone = make_server("s3", failure_domain="c", leaving=True)
    selector.replace_servers(RegisteredServers({**selector.servers, "s3": gone}))
    selector.replace_evacuations(Evacuations(frozenset(evacuated)))
    refusal = selector.choose(homes(*domains), LIMIT, 1.0)
    assert isinstance(refusal, NoServerAvailable)
    assert refusal.shortage is shortage


def test_refusal_outside_of_the_homes_advises_no_retry() -> None:
    response = response_for(Failure(ErrorKind.OUTSIDE_HOMES))
    assert (response.status, response.retry_after) == (503, None)


# Relays through other routers.


class OldHelper:
    """Carries calls as an older build does: without regard to regions."""

    def __init__(self, helper: Any) -> None:
        self.helper = helper

    def tell(self, message: Any) -> None:
        """Deliver a request as an older build decodes it."""
        request = message.message
        if isinstance(request, RequestTunnel):
            message = replace(message, message=replace(request, regions=None))
        self.helper.tell(message)


@pytest.mark.parametrize(
    ("region", "regions", "is_old", "carries"),
    [
        ("north", None, False, True),
        ("north", {"north", "south"}, False, True),
        ("west", {"north"}, False, False),
        ("", {"north"}, False, False),
        ("north", {"north"}, True, False),
        ("north", None, True, True),
    ],
)
def test_body_is_sent_only_to_a_router_at_home(
    region: str,
    regions: set[str] | None,
    is_old: bool,
    carries: bool,
    pair: CallerPair,
    start_helper: StartHelper,  # noqa: F811
) -> None:
    pair.caller.sendall(REQUEST + b"Content-Length: 4\r\n\r\ntext")
    pair.receive()
    server = ScriptedServer([sealed(b"done")])
    address = server.start()
    helper = start_helper(address)
    helper.region = region
    tasks = helper.tasks
    failed = {server_at(address).incarnation: LinkFault.SILENT}
    tasks.links.publish(ServerLinks(failed, True, helpers=("b",)))
    tasks.peers = OldHelper(helper) if is_old else helper
    delivery = Delivery()
    exchange = exchange_for("/open/x", arrived=Clock().monotonic())
    bound = replace(exchange, regions=frozenset(regions) if regions else None)
    failure = make_forwarder(tasks, Clock()).deliver(bound, pair.connection, delivery)
    assert (failure is None) is carries
    assert (delivery.attempts, delivery.may_have_run) == (int(carries), carries)
    if carries:
        assert read_all(pair).endswith(b"done")
    assert [b"text" in data for data in server.seen if data] == [True] * carries
    learned = [each for each in tasks.told if isinstance(each, HelperRegion)]
    assert (
        learned
        == ([HelperRegion("b", region)] if regions and region else [])[
            : 0 if is_old else 1
        ]
    )
    assert any(isinstance(each, HelperFailed) for each in tasks.told) is (
        not carries and (is_old or not region)
    )


def test_reply_names_the_region_only_if_the_request_did(
    start_helper: StartHelper,  # noqa: F811
) -> None:
    address = ScriptedServer([None]).start()
    helper = start_helper(address)
    opened = helper.request(server_at(address), SOON)
    assert isinstance(opened, TunnelOpened) and opened.region is None


def test_routers_at_home_are_asked_first_and_those_elsewhere_never() -> None:
    book = LinkBook("edge")
    book.update_routers([f"edge-{number}" for number in range(100)])
    links = book.snapshot(0.0)
    everyone = (*links.helpers, *links.further_helpers)
    assert len(everyone) == HELPERS + FURTHER_HELPERS
    near, far = everyone[9], everyone[0]
    book.helper_regions = {near: "north", far: "south", "gone": "north"}
    links, bound = book.snapshot(0.0), frozenset({"north"})
    asked = helpers_to_ask(links, "r1", "i-1@1", 100, 0.0, bound)
    assert asked[0] == near
    assert set(asked) == set(everyone) - {far}
    assert far in helpers_to_ask(links, "r1", "i-1@1", 100, 0.0)
    assert near not in helpers_to_ask(links, "r1", "i-1@1", 100, 0.0)
    book.avoid_helper(near, "", 0.0)
    assert near not in helpers_to_ask(
        book.snapshot(0.0), "r1", "i-1@1", 100, 0.0, bound
    )
    book.update_routers([near])
    assert book.helper_regions == {near: "north"}


def test_regions_pass_between_routers_and_are_left_out_where_none_bind() -> None:
    stamp = Stamp(1, 0, "a")
    for message, names_one in (
        (RequestTunnel("i-1", "i-1@1", 1.0, ("north", "south")), True),
        (TunnelOpened("h", 1, "t", "north"), True),
        (TunnelRefused(TunnelRefusal.OUTSIDE_REGIONS, "west"), True),
        (RequestTunnel("i-1", "i-1@1", 1.0), False),
        (TunnelOpened("h", 1, "t"), False),
    ):
        data = encode_frame(Frame(1, False, stamp, message))
        assert decode_frame(data).message == message
        assert (b"fregion" in data or b"gregions" in data) is names_one


# Over processes.


def test_calls_with_homes_reach_only_servers_there(start_fleet: StartFleet) -> None:
    fleet = start_fleet(routers=2, servers=2, zones=("b", "a"), regions=REGION_OF)
    state = desired_state(2, fleet.budget)
    state["routes"][2][HOMES] = ["south"]
    state["routes"][3][HOMES] = ["west"]
    fleet.publish_desired_state(state)
    wait_until(
        lambda: all("version=2" in fleet.read_log(name) for name in fleet.names),
        description="both routers to use version 2",
    )
    for number in range(10):
        router = fleet.names[number % 2]
        assert fleet.call(router, NON_IDEMPOTENT_PATH, f"a{number}").status == 200
    assert (arrivals(fleet, "desk-1"), arrivals(fleet, "desk-2")) == (0, 10)
    refused = fleet.call("edge-1", IDEMPOTENT_PATH, "n1")
    assert refused.status == 503 and b"outside_homes" in refused.body
    # The other router is in the north, and must not get the body.
    fleet.cut_from_servers("edge-1", "refused")
    assert fleet.call("edge-1", NON_IDEMPOTENT_PATH, "cut").status == 503
    assert (arrivals(fleet, "desk-1"), arrivals(fleet, "desk-2")) == (0, 10)
