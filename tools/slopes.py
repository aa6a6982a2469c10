"""Measures the unit costs from which docs/CAPACITY.md derives its figures.

`python -m tools.slopes documents` measures the stored documents, `python -m
tools.slopes decisions` the decisions made for every request.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Any

import fire

from hawthornstage.border.documents import CLAIMS_CODEC, LEDGER_CODEC
from hawthornstage.border.frames import Frame, decode_frame, encode_frame
from hawthornstage.decisions import (
    claims,
    holder,
    holder_state,
    ledger,
    placement,
    witness,
)
from hawthornstage.messages import budget_messages
from hawthornstage.messages.events import Stamp
from hawthornstage.messages.tables import Pool, PoolKind, Priority, Server

WITNESSES = (
    budget_messages.Witness("r101", "001a23ff57400-a5264e7f"),
    budget_messages.Witness("r202", "001a23ff57400-a5264e7f"),
)


def mean_us(action: Callable[[], Any], times: int) -> float:
    """Return the mean duration of an action, in microseconds.

    Args:
        action: Called without arguments.
        times: Number of calls.
    """
    started = time.perf_counter()
    for _ in range(times):
        action()
    return (time.perf_counter() - started) / times * 1e6


def request_id() -> str:
    """Return a request id in the format that routers generate."""
    return uuid.uuid4().hex[:24]


def make_ledger(budgets: int, grants: int, bills: int) -> ledger.Ledger:
    """Return a ledger shard of a given size.

    Args:
        budgets: Number of budgets in the shard.
        grants: Number of budgets with an open grant.
        bills: Number of recent bills, spread over the budgets with a grant.
    """
    shard_budgets: dict[str, ledger.Budget] = {}
    for number in range(budgets):
        open_grants: dict[str, ledger.Grant] = {}
        if number < grants:
            name = f"r1/001a23ff57400-a5264e7f/workspace-{number}/1"
            open_grants[name] = ledger.Grant("r1", "001a23ff", WITNESSES, 9_000, 4)
        recent = {}
        if grants and number < grants:
            recent = {request_id(): 420 for _ in range(bills // grants)}
        shard_budgets[f"workspace-{number}"] = ledger.Budget(
            1_000_000, {"invoice-1": 1_000_000}, 1_000, open_grants, recent
        )
    return ledger.Ledger(shard_budgets)


class UnitCostCommands:
    """Commands that measure unit costs on this machine."""

    def documents(self) -> None:
        """Measure the sizes and codec times of ledger and claim documents."""
        print("ledger: budgets  grants  bills   bytes  encode ms  decode ms")
        for size in ((100, 0, 0), (900, 0, 0), (900, 30, 0), (900, 30, 6_000)):
            shard = make_ledger(*size)
            data = LEDGER_CODEC.encode(shard)
            encode = mean_us(lambda shard=shard: LEDGER_CODEC.encode(shard), 10) / 1000
            decode = mean_us(lambda data=data: LEDGER_CODEC.decode(data), 10) / 1000
            print(
                f"        {size[0]:>7}  {size[1]:>6}  {size[2]:>5}  {len(data):>6}"
                f"  {encode:>9.2f}  {decode:>9.2f}"
            )
        outcome = claims.Outcome(201, "application/json", b"x" * 60)
        entry = claims.ClaimEntry(
            uuid.uuid4().hex,
            "f" * 24,
            1e9,
            "r1",
            claims.ClaimState.FINISHED,
            outcome,
        )
        shard = claims.ClaimShard({uuid.uuid4().hex: entry for _ in range(1_000)})
        data = CLAIMS_CODEC.encode(shard)
        took = mean_us(lambda: CLAIMS_CODEC.encode(shard), 10) / 1000
        print(f"claims: 1000 finished claims: {len(data)} bytes, encode {took:.2f} ms")

    def decisions(self) -> None:
        """Measure the decisions and frames of one request, in microseconds."""
        print(f"holder, reserve and settle: {mean_us(HolderCycle().run, 2_000):.0f} us")
        print(f"witness, keep and forget: {mean_us(WitnessCycle().run, 2_000):.0f} us")
        for count in (5, 100, 600):
            place = mean_us(PlacementCycle(count).run, 500)
            print(f"placement among {count} servers: {place:.0f} us")
        bill = WitnessCycle().bill()
        keep = Frame(
            1,
            False,
            Stamp(1, 1, "r1"),
            budget_messages.StoreBillCopy(bill, WITNESSES[0]),
        )
        data = encode_frame(keep)
        encode = mean_us(lambda: encode_frame(keep), 2_000)
        decode = mean_us(lambda: decode_frame(data), 2_000)
        print(
            f"frame of {len(data)} bytes: encode {encode:.0f} us,"
            f" decode {decode:.0f} us"
        )


class HolderCycle:
    """Benchmark of a holder whose grant covers every reservation."""

    def __init__(self) -> None:
        self.state = holder_state.Holder("r1", "i", "shop", witnesses=WITNESSES)
        self.step(budget_messages.Reserve("shop", "first", 10**9, "r1", 1.0))
        self.step(holder_state.MutationApplied(ledger.Resized(10**9, 1, 10**9)))
        [grant] = self.state.grants.values()
        self.ref = grant.ref
        self.step(budget_messages.Release("shop", grant.id, "first"))
        self.number = 0

    def step(self, message: holder_state.HolderMessage) -> None:
        """Apply one message to the holder's state."""
        self.state, _ = holder.step(self.state, message, 1.0)

    def run(self) -> None:
        """Reserve, settle and process the ledger's confirmation of the bill."""
        self.number += 1
        attempt = f"a{self.number}"
        self.step(budget_messages.Reserve("shop", attempt, 500, "r1", 1.0))
        bill = budget_messages.Bill("shop", self.ref, attempt, attempt, 300)
        self.step(budget_messages.Settle(bill, "r1"))
        self.step(
            holder_state.MutationApplied(ledger.BillsRecorded(self.ref.id, (attempt,)))
        )


class WitnessCycle:
    """Benchmark of a witness that stores no other copies of bills."""

    def __init__(self) -> None:
        self.state = witness.WitnessState(WITNESSES[0])

    def bill(self) -> budget_messages.Bill:
        """Return a bill with a new request id."""
        grant = budget_messages.GrantRef("r1/001a23ff57400-a5264e7f/shop/1", WITNESSES)
        return budget_messages.Bill("shop", grant, request_id(), uuid.uuid4().hex, 300)

    def run(self) -> None:
        """Store a copy of a bill and delete it once the bill is recorded."""
        bill = self.bill()
        keep = budget_messages.StoreBillCopy(bill, WITNESSES[0])
        self.state, _ = witness.step(self.state, keep)
        stored = budget_messages.BillsStored(bill.grant.id, (bill.request_id,))
        self.state, _ = witness.step(self.state, stored)


class PlacementCycle:
    """Benchmark of placement in a pool.

    Args:
        count: Number of servers in the pool.
    """

    def __init__(self, count: int) -> None:
        servers = tuple(Server(f"s{n}", "http://-") for n in range(count))
        self.pool = Pool("engines", PoolKind.ENGINE, servers)
        self.state = placement.Placement()

    def run(self) -> None:
        """Place a call on a server and finish it."""
        place = placement.PlacementRequest(
            self.pool, Priority.HIGH, "p", frozenset(), 8, 0.3
        )
        self.state, outcome = placement.place(self.state, place, 1.0)
        assert isinstance(outcome, placement.Placed)
        finished = placement.CallFinished(outcome.server.name, 1.0, False)
        self.state = placement.finish_call(self.state, finished, 1.0)


if __name__ == "__main__":
    fire.Fire(UnitCostCommands)
