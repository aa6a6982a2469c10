"""Routers' money decisions joined by an in-memory network that a test controls.

Nothing is simulated but delivery: every decision is the product's own. Letters
lie in one bag; the test picks which arrives next, twice or never. A paused router
is one whose letters are not picked.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hawthornstage.decisions import (
    billing,
    grant_closing,
    holder,
    holder_state,
    ledger,
    witness,
)
from hawthornstage.messages import budget_messages

BUDGET = "shop"
NODES = ("r1", "r2", "r3", "r4")


@dataclass
class Letter:
    """A message on its way.

    Args:
        to: The router it goes to.
        message: The message.
        attempt: The runner's attempt that waits for the reply, or empty.
        origin: The router that gets the reply, or empty.
    """

    to: str
    message: Any
    attempt: str = ""
    origin: str = ""


@dataclass
class Write:
    """A mutation that a router wants in the ledger."""

    node: str
    mutation: Any
    attempt: str = ""


@dataclass
class Running:
    """An attempt that a runner works on."""

    request_id: str
    holder: str
    worst: int
    real: int
    grant: budget_messages.GrantRef | None = None
    billing: billing.Billing | None = None


@dataclass
class RouterState:
    """One router's decisions."""

    holder: holder_state.Holder
    witness: witness.WitnessState
    running: dict[str, Running] = field(default_factory=dict)
    unstored: dict[tuple[str, str], budget_messages.Bill] = field(default_factory=dict)
    alive: bool = True


class MoneyWorld:
    """Four routers, one ledger shard, and the letters between them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ledger = ledger.Ledger()
        self.letters: list[Letter] = []
        self.writes: list[Write] = []
        self.rounds: dict[str, grant_closing.GrantClosure] = {}
        self.answered: dict[str, list[int]] = {}
        self.refused = 0
        self.attempts = 0
        self.routers = {node: self.make_router(node) for node in NODES}

    def make_router(self, node: str) -> RouterState:
        """Return a router whose grants are witnessed by the next two."""
        place = NODES.index(node)
        following = [NODES[(place + step) % len(NODES)] for step in (1, 2)]
        witnesses = tuple(budget_messages.Witness(each, "i") for each in following)
        state = holder_state.Holder(node, "i", BUDGET, witnesses=witnesses)
        return RouterState(
            state, witness.WitnessState(budget_messages.Witness(node, "i"))
        )

    def ask(
        self, runner: str, holds: str, request_id: str, worst: int, real: int
    ) -> None:
        """Let a runner ask a holder for a reservation."""
        self.attempts += 1
        attempt = f"a{self.attempts}"
        router = self.routers[runner]
        if not router.alive:
            return
        router.running[attempt] = Running(request_id, holds, worst, min(real, worst))
        reserve = budget_messages.Reserve(BUDGET, attempt, worst, runner, 1e9)
        self.letters.append(Letter(holds, reserve, attempt, runner))

    def finish(self, runner: str, attempt: str) -> None:
        """Let a runner's engine finish, so that the billing begins."""
        running = self.routers[runner].running[attempt]
        assert running.grant is not None
        bill = budget_messages.Bill(
            BUDGET, running.grant, running.request_id, attempt, running.real
        )
        running.billing = billing.Billing(runner, bill, running.holder)
        self.step_billing(runner, attempt, billing.StartBilling())

    def release(self, runner: str, attempt: str) -> None:
        """Let a runner give up an attempt that it has not billed."""
        running = self.routers[runner].running.pop(attempt)
        grant_id = running.grant.id if running.grant else ""
        release = budget_messages.Release(BUDGET, grant_id, attempt)
        self.letters.append(Letter(running.holder, release))

    def deliver(self, letter: Letter) -> None:
        """Bring one letter to its router."""
        router = self.routers[letter.to]
        if not router.alive:
            return
        match letter.message:
            case (
                budget_messages.StoreBillCopy()
                | budget_messages.Seal()
                | budget_messages.BillsStored()
            ):
                router.witness, reply = witness.step(router.witness, letter.message)
                self.forget(router, letter.message)
                self.reply(letter, reply)
            case budget_messages.Sealed() if letter.attempt == "closer":
                self.take_seal(letter.message)
            case budget_messages.BillCopyStored() | budget_messages.BillCopyRefused():
                self.step_billing(letter.to, letter.attempt, letter.message)
            case (
                budget_messages.Reserved()
                | budget_messages.BudgetExhausted()
                | budget_messages.HolderUnavailable()
            ):
                self.take_reservation(letter)
            case ledger.BillsRecorded() | ledger.GrantNotOpen() if letter.attempt:
                self.step_billing(letter.to, letter.attempt, letter.message)
            case _:
                self.step_holder(letter.to, letter.message)

    def reply(self, letter: Letter, message: Any) -> None:
        """Send a reply, if somebody waits for one."""
        if letter.origin and message is not None:
            self.letters.append(Letter(letter.origin, message, letter.attempt))

    def forget(self, router: RouterState, message: Any) -> None:
        """Drop a runner's own copies of bills that are stored."""
        if isinstance(message, budget_messages.BillsStored):
            for request_id in message.request_ids:
                router.unstored.pop((message.grant_id, request_id), None)

    def take_reservation(self, letter: Letter) -> None:
        """Tell a runner what came of its reservation."""
        running = self.routers[letter.to].running.get(letter.attempt.partition("+")[0])
        if running is None:
            return
        if running.billing is not None:
            self.step_billing(letter.to, letter.attempt, letter.message)
        elif isinstance(letter.message, budget_messages.Reserved):
            running.grant = letter.message.grant
        else:
            self.refused += 1
            del self.routers[letter.to].running[letter.attempt]

    def step_holder(self, node: str, message: Any) -> None:
        """Let a holder take one message, and carry out the effects."""
        router = self.routers[node]
        router.holder, effects = holder.step(router.holder, message, self.now)
        for effect in effects:
            match effect:
                case holder_state.ReplyToRunner(attempt, outcome):
                    self.answer(node, attempt, outcome)
                case holder_state.SubmitMutation(mutation):
                    self.writes.append(Write(node, mutation))
                case holder_state.RecallFrom(nodes):
                    for other in nodes:
                        self.letters.append(
                            Letter(other, budget_messages.RecallTokens(BUDGET))
                        )
                case holder_state.RequestSeals(grant_id, witnesses):
                    for each in witnesses:
                        seal = budget_messages.Seal(BUDGET, grant_id, each)
                        self.letters.append(Letter(each.node, seal, "", node))
                case holder_state.AnnounceStored(grant, ids):
                    for other in NODES:
                        stored = budget_messages.BillsStored(grant.id, ids)
                        self.letters.append(Letter(other, stored))

    def answer(self, node: str, attempt: str, outcome: Any) -> None:
        """Send a holder's answer to the runner of an attempt."""
        base = attempt.partition("+")[0]
        for runner, router in self.routers.items():
            if base in router.running:
                self.letters.append(Letter(runner, outcome, attempt, node))

    def step_billing(self, runner: str, attempt: str, message: Any) -> None:
        """Let a runner's billing take one message, and carry out the effect."""
        router = self.routers[runner]
        base = attempt.partition("+")[0]
        running = router.running.get(base)
        if running is None or running.billing is None:
            return
        running.billing, effect = billing.step(running.billing, message)
        match effect:
            case billing.StoreAtWitness(bill, who):
                keep = budget_messages.StoreBillCopy(bill, who)
                self.letters.append(Letter(who.node, keep, base, runner))
            case billing.RecordInLedger(bill):
                record = ledger.RecordBills(
                    BUDGET, bill.grant.id, {bill.request_id: bill.tokens}
                )
                self.writes.append(Write(runner, record, base))
            case billing.ReserveAgain(old, old_holder, new_attempt):
                self.settle(runner, old, old_holder)
                running.holder = runner
                reserve = budget_messages.Reserve(
                    BUDGET, new_attempt, old.tokens, runner, 1e9
                )
                self.letters.append(Letter(runner, reserve, new_attempt, runner))
            case billing.BillFinal(bill, holds) | billing.BillNotFinal(bill, holds):
                del router.running[base]
                self.settle(runner, bill, holds)
                if isinstance(effect, billing.BillFinal):
                    self.answered.setdefault(bill.request_id, []).append(bill.tokens)

    def settle(self, runner: str, bill: budget_messages.Bill, holds: str) -> None:
        """Tell a holder of a bill, and keep the runner's copy."""
        self.routers[runner].unstored[(bill.grant.id, bill.request_id)] = bill
        self.letters.append(Letter(holds, budget_messages.Settle(bill, runner)))

    def write(self, entry: Write, *, answer_lost: bool = False) -> None:
        """Apply a mutation; a lost answer leaves it to be applied again."""
        self.ledger, result = ledger.apply(self.ledger, entry.mutation)
        if answer_lost:
            return
        self.writes.remove(entry)
        if entry.node == "closer":
            self.rounds.pop(entry.mutation.grant_id, None)
            return
        message = result if entry.attempt else holder_state.MutationApplied(result)
        self.letters.append(Letter(entry.node, message, entry.attempt))

    def first_writes(self) -> list[Write]:
        """Return the write that each router has to make next; their order is kept."""
        first: dict[tuple[str, str], Write] = {}
        for entry in self.writes:
            first.setdefault((entry.node, entry.attempt), entry)
        return [
            entry
            for entry in first.values()
            if entry.node == "closer" or self.routers[entry.node].alive
        ]

    def suspect_holder(self, grant_id: str) -> None:
        """Start a closing round, whether or not the holder is dead."""
        grant = self.ledger.budgets[BUDGET].grants[grant_id]
        found = grant_closing.GrantClosure(BUDGET, grant_id, grant.witnesses)
        found = self.rounds.setdefault(grant_id, found)
        for each in found.missing:
            seal = budget_messages.Seal(BUDGET, grant_id, each)
            self.letters.append(Letter(each.node, seal, "closer", each.node))
        self.submit_close(grant_closing.close_if_sealed(found))

    def take_seal(self, message: budget_messages.Sealed) -> None:
        """Note a seal for a closing round."""
        found = self.rounds.get(message.grant_id)
        if found is not None:
            self.rounds[message.grant_id], close = grant_closing.step(found, message)
            self.submit_close(close)

    def submit_close(self, close: ledger.Close | None) -> None:
        """Put the closing mutation into the ledger, once."""
        if close is None:
            return
        if all(entry.mutation != close for entry in self.writes):
            self.writes.append(Write("closer", close))

    def budget(self) -> ledger.Budget:
        """Return the budget as the ledger holds it."""
        return self.ledger.budgets.get(BUDGET, ledger.Budget())

    def check_sums(self) -> None:
        """Check that bills and open grants never exceed the top-ups."""
        budget = self.budget()
        open_grants = sum(g.amount - g.billed for g in budget.grants.values())
        assert budget.total_billed + open_grants <= budget.topped_up
        assert all(g.billed <= g.amount for g in budget.grants.values())

    def heal(self) -> None:
        """Deliver and write everything that is left, and store every copy."""
        for _ in range(60):
            self.now += 1.0
            self.drain_letters()
            for router in self.routers.values():
                if router.alive:
                    self.store_copies(router)
            if not self.letters and not self.writes:
                return
        raise AssertionError("the letters never came to an end")

    def drain_letters(self) -> None:
        """Deliver letters and make writes until none is left."""
        for _ in range(5_000):
            writes = self.first_writes()
            if self.letters:
                self.deliver(self.letters.pop(0))
            elif writes:
                self.write(writes[0])
            else:
                self.writes = []
                return
        raise AssertionError("the routers never came to rest")

    def store_copies(self, router: RouterState) -> None:
        """Let a router store the copies that it keeps, as its tasks do by time."""
        kept = [b for bills in router.witness.copies.values() for b in bills.values()]
        for bill in (*kept, *router.unstored.values()):
            record = ledger.RecordBills(
                BUDGET, bill.grant.id, {bill.request_id: bill.tokens}
            )
            self.ledger, _ = ledger.apply(self.ledger, record)
            stored = budget_messages.BillsStored(bill.grant.id, (bill.request_id,))
            for node in NODES:
                self.letters.append(Letter(node, stored))

    def check_bills(self) -> None:
        """Check that every answered request has one bill, of a real use."""
        budget = self.budget()
        for request_id, uses in self.answered.items():
            found = [
                grant.bills[request_id]
                for grant in budget.grants.values()
                if request_id in grant.bills
            ]
            if request_id in budget.recent:
                found.append(budget.recent[request_id])
            assert len(found) == 1, f"{request_id} has the bills {found}"
            assert found[0] in uses, f"{request_id} used {uses}, billed {found}"
