"""Admission: refuses or delays calls while the router or the servers lack room."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.clock import Clock
from hawthornstage.decisions.admission import expected_work_s
from hawthornstage.decisions.load_shedding import is_admitted, return_delay_s
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.latest_value import LatestValue
from hawthornstage.messages.admission import (
    AdmissionPolicy,
    CallArrived,
    CallClass,
    RequestRoom,
    RoomDenied,
    SendAccepted,
    SendRefused,
)
from hawthornstage.messages.forward import ForwardExchange
from hawthornstage.observe.metrics import Metrics


@dataclass(frozen=True)
class AdmitCall:
    """Admits a call, lets it wait, or refuses it; passes all while nothing is short.

    Args:
        task: Task that owns the load level and the waiting calls.
        policy: What is short now.
        clock: Source of time and timeouts.
        metrics: Counts refused and delayed calls.
    """

    task: pykka.ActorRef
    policy: LatestValue[AdmissionPolicy]
    clock: Clock
    metrics: Metrics

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Admit a call before its tokens are reserved and its server is chosen."""
        policy = self.policy.value
        if policy.level < 1.0:
            refusal = self.shed(exchange, policy)
            if refusal is not None:
                return refusal
        if exchange.service not in policy.short_services:
            return exchange
        return self.wait_for_room(exchange)

    def shed(
        self, exchange: ForwardExchange, policy: AdmissionPolicy
    ) -> Failure | None:
        """Return the refusal of a call that an overloaded router leaves out."""
        call = exchange.call
        workspace = workspace_name(exchange)
        self.task.tell(CallArrived(workspace))
        call_class = CallClass(exchange.priority, exchange.route.latency_objective_s)
        output = call.prompt.max_output if call.prompt else 0
        if is_admitted(policy, call.id, call_class, workspace, output):
            return None
        self.metrics.admission.labels("shed").inc()
        detail = f"level {policy.level:.2f}, priority {exchange.priority}"
        return Failure(ErrorKind.LOAD_SHED, detail, return_delay_s(call.id))

    def wait_for_room(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Wait for the call's turn at a service that is short of room.

        Without a reply the call goes on: the servers decide then.
        """
        began = self.clock.monotonic()
        request = room_request(exchange)
        longest_s = max(0.0, request.latest_start - began)
        reply = ask(self.task, request, self.clock, timeout=longest_s)
        waited_s = self.clock.monotonic() - began
        if isinstance(reply, RoomDenied):
            self.metrics.admission.labels("denied").inc()
            return Failure(ErrorKind.SERVERS_BUSY, reply.reason, reply.retry_after_s)
        self.metrics.admission.labels("delayed").inc()
        self.metrics.admission_wait.observe(waited_s)
        return replace(exchange, waited_s=exchange.waited_s + waited_s)

    def has_time_to_wait(self, exchange: ForwardExchange) -> bool:
        """Whether a call could be served in time if it were sent later than now."""
        return self.clock.monotonic() < room_request(exchange).latest_start

    def note_refused(self, exchange: ForwardExchange) -> None:
        """Report that there was no room for a call."""
        self.task.tell(SendRefused(exchange.service))

    def note_accepted(self, exchange: ForwardExchange) -> None:
        """Report that a server took a call, if its service is short of room."""
        if exchange.service in self.policy.value.short_services:
            self.task.tell(SendAccepted(exchange.service))


def room_request(exchange: ForwardExchange) -> RequestRoom:
    """Return the request for room of a call."""
    return RequestRoom(
        call_id=exchange.unique_id,
        service=exchange.service,
        priority=exchange.priority,
        workspace=workspace_name(exchange),
        deadline=exchange.deadline,
        work_s=expected_work_s(exchange.call.prompt),
    )


def workspace_name(exchange: ForwardExchange) -> str:
    """Return the name of a call's workspace, or '' for none."""
    return exchange.workspace.name if exchange.workspace else ""
