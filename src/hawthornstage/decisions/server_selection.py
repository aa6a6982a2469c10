"""Chooses a backend server for a forwarded call.

A server's time to the first byte is estimated from the calls that this router has sent
there, from how late its latest answers were, and from how overdue the next ones are. A
prompt's shared parts are assumed to be cached where this router sent them before; the
first time, rendezvous hashing makes all routers send equal parts to the same server. A
server that names a limit gets no parts that way while others name none, and no call
until it may have room. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hawthornstage.decisions.connection_share import LimitRange, most_calls
from hawthornstage.decisions.permit_demand import PermitDemand
from hawthornstage.decisions.server_eligibility import (
    ServerEligibility,
    digest,
    is_at_home,
    jitter,
)
from hawthornstage.decisions.server_loads import SentCall, ServerLoad
from hawthornstage.messages.backends import BackendServer
from hawthornstage.messages.evacuations import Evacuations
from hawthornstage.messages.forward import PlacementBasis, Prompt
from hawthornstage.messages.server_notices import ServerNotices
from hawthornstage.messages.server_selection import (
    CallEnded,
    NoServerAvailable,
    RegisteredServers,
    RequestServer,
    ServerAtLimit,
    ServerChosen,
)

# Assumed speed of an engine in prompt tokens per second.
PREFILL_TOKENS_PER_S = 45_000.0
# Time constant of the decay of a server's lateness, in seconds.
LATENESS_TAU_S = 1.5
# Weight of a new observation in the average lateness.
LATENESS_WEIGHT = 0.4
# A failing server is avoided for this time, doubled with each failure, in seconds.
INITIAL_AVOIDANCE_S = 0.4
MAX_AVOIDANCE_S = 6.0
# Time for which a server is assumed to cache a prompt part, in seconds.
PROMPT_CACHE_TTL_S = 30.0
# Prompt parts kept for all servers together, and fewest for each of them; the memory of
# one is some 250 bytes, as its id has a bounded length.
MAX_PROMPT_PARTS = 16_384
MIN_PROMPT_PARTS = 64
# Preferred servers that are cached.
MAX_PREFERRED = 4_096
# Time that each running call adds to the estimate, in seconds.
CALL_COST_S = 0.004
# Time that a server in another failure domain adds to the estimate, in seconds.
CROSS_DOMAIN_COST_S = 0.004

# Service, prompt part, and the failure domains in the call's homes.
PromptKey = tuple[str, str, frozenset[str] | None]


@dataclass
class ServerSelector:
    """Chooses servers by their registrations and this router's calls on them.

    Args:
        failure_domain: This router's failure domain.
        registered: Registered servers.
        loads: Load of each server, by id.
        sent: Calls in progress, by id.
        preferred: Cache of the preferred servers.
        notices: What servers have said of themselves.
        evacuations: The failure domains that get nothing new.
        permit_demand: Recent calls and permits of the services with a limited server.
    """

    failure_domain: str
    registered: RegisteredServers = RegisteredServers({})
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    sent: dict[str, SentCall] = field(default_factory=dict)
    preferred: dict[PromptKey, str] = field(default_factory=dict)
    notices: ServerNotices = ServerNotices()
    evacuations: Evacuations = Evacuations()
    permit_demand: dict[str, PermitDemand] = field(default_factory=dict)

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """The registered servers, by id."""
        return self.registered.servers

    @property
    def eligibility(self) -> ServerEligibility:
        """Decides which servers may get a call, by what is known now."""
        return ServerEligibility(
            self.registered, self.notices, self.evacuations, self.loads
        )

    def replace_servers(self, registered: RegisteredServers) -> None:
        """Replace the registered servers; a restarted one starts with an empty load."""
        servers = registered.servers
        for name, server in servers.items():
            known = self.servers.get(name)
            if known is None or known.started_ms != server.started_ms:
                self.loads[name] = ServerLoad()
        for name in self.loads.keys() - servers.keys():
            del self.loads[name]
        self.registered = registered
        self.preferred.clear()

    def choose(
        self, want: RequestServer, limit: int, now: float
    ) -> ServerChosen | NoServerAvailable:
        """Choose the server with the shortest estimated time to a first byte.

        Args:
            want: The call.
            limit: Number of this router's calls on a server that it knows nothing of.
            now: Monotonic time in seconds.
        """
        outcome = self.eligibility.eligible(want, limit, now)
        if isinstance(outcome, NoServerAvailable):
            return outcome
        eligible = self.leave_to_larger(outcome, want, now)
        not_avoided = [s for s in eligible if self.loads[s.id].avoid_until <= now]
        preferred = self.preferred_server(
            want.service, want.prompt, want.failure_domains
        )
        estimates = {
            s.id: self.estimate(s, want, preferred, now)
            for s in not_avoided or eligible
        }
        server = min(not_avoided or eligible, key=lambda each: estimates[each.id])
        load = self.loads[server.id]
        basis = PlacementBasis(
            wait_s=estimates[server.id],
            candidates=len(estimates),
            uncached_tokens=self.tokens_to_read(server, want.prompt, preferred, now),
            running=load.running,
            last_answer_age_s=now - load.lateness_at if load.lateness_at else None,
        )
        limits = LimitRange(limit, most_calls(want.max_connections_per_server))
        self.record_sent(server, want, preferred, limits, now)
        return ServerChosen(server, basis)

    def replace_notices(self, notices: ServerNotices) -> None:
        """Replace what servers have said of themselves."""
        self.notices = notices
        self.preferred.clear()

    def replace_evacuations(self, evacuations: Evacuations) -> None:
        """Replace the failure domains that get nothing new."""
        self.evacuations = evacuations
        self.preferred.clear()

    def record_no_room(self, at_limit: ServerAtLimit, now: float) -> None:
        """Record that a server has no room for some time."""
        load = self.loads.get(at_limit.server)
        if load is not None:
            load.room_at = now + at_limit.retry_after_s
            service = self.servers[at_limit.server].service
            self.demand_of(service).denied.append(now)

    def demand_of(self, service: str) -> PermitDemand:
        """Return the recent calls and permits of a service."""
        return self.permit_demand.setdefault(service, PermitDemand())

    def is_limited(self, server: BackendServer) -> bool:
        """Whether a server has named a limit, or is cold."""
        return self.notices.is_limited(server.incarnation)

    def leave_to_larger(
        self, servers: list[BackendServer], want: RequestServer, now: float
    ) -> list[BackendServer]:
        """Leave out servers with a limit if they are better left to larger calls.

        Args:
            servers: Servers with room.
            want: The call.
            now: Monotonic time in seconds.
        """
        unlimited = [each for each in servers if not self.is_limited(each)]
        if len(unlimited) == len(servers):
            return servers
        demand = self.demand_of(want.service)
        tokens = want.prompt.tokens if want.prompt else 0
        if not want.permits_denied:
            demand.record_call(tokens, now)
        chance = jitter(want.call_id, want.service)
        if unlimited and not demand.should_ask(tokens, chance, now):
            return unlimited
        return servers

    def estimate(
        self, server: BackendServer, want: RequestServer, preferred: str, now: float
    ) -> float:
        """Return the estimated time to a first byte, in seconds.

        Args:
            server: The server.
            want: The call.
            preferred: The server that all routers prefer for its prompt.
            now: Monotonic time in seconds.
        """
        load = self.loads[server.id]
        wait = max(self.lateness(load, now), self.overdue(load, now))
        wait += sum(load.calls.values()) / PREFILL_TOKENS_PER_S
        wait += load.running * CALL_COST_S
        if server.failure_domain != self.failure_domain:
            wait += CROSS_DOMAIN_COST_S
        if want.prompt is None:
            return wait + jitter(want.call_id, server.id) * CROSS_DOMAIN_COST_S
        tokens = self.tokens_to_read(server, want.prompt, preferred, now)
        return wait + tokens / PREFILL_TOKENS_PER_S

    def lateness(self, load: ServerLoad, now: float) -> float:
        """Return a server's lateness decayed to now, in seconds."""
        return load.lateness_s * math.exp(-(now - load.lateness_at) / LATENESS_TAU_S)

    def overdue(self, load: ServerLoad, now: float) -> float:
        """Return by how much a server's latest first byte is overdue, in seconds."""
        pending = (self.sent[call_id] for call_id in load.calls)
        return max((now - sent.at - sent.expected_s for sent in pending), default=0.0)

    def tokens_to_read(
        self, server: BackendServer, prompt: Prompt | None, preferred: str, now: float
    ) -> int:
        """Return the prompt tokens that a server is assumed not to have cached."""
        if prompt is None:
            return 0
        load = self.loads[server.id]
        tokens = prompt.tokens
        for part in prompt.shared_parts:
            sent_at = load.prompt_parts.get(part.id)
            known = sent_at is not None and now - sent_at < PROMPT_CACHE_TTL_S
            if not known and server.id != preferred:
                break
            tokens -= part.tokens
        return max(0, tokens)

    def preferred_server(
        self,
        service: str,
        prompt: Prompt | None,
        failure_domains: frozenset[str] | None = None,
    ) -> str:
        """Return the id of the server that all routers prefer for a prompt's parts.

        It is '' for a prompt without shared parts.

        Args:
            service: The service.
            prompt: The prompt's declared size, or None.
            failure_domains: Failure domains to consider, or None for all.
        """
        if prompt is None or not prompt.shared_parts:
            return ""
        part = prompt.shared_parts[-1].id
        key = (service, part, failure_domains)
        known = self.preferred.get(key)
        if known is None:
            if len(self.preferred) >= MAX_PREFERRED:
                self.preferred.clear()
            known = self.preferred[key] = rendezvous(
                part, self.staying(service, failure_domains)
            )
        return known

    def staying(
        self, service: str, failure_domains: frozenset[str] | None = None
    ) -> list[str]:
        """Return the ids of a service's servers that are expected to stay.

        Those that name a limit are left out while there are others. Cold ones are not:
        they are warm soon, and calls would then have to move back.

        Args:
            service: The service.
            failure_domains: Failure domains to consider, or None for all.
        """
        staying = [
            server
            for server in self.servers.values()
            if server.service == service
            and is_at_home(server, failure_domains)
            and not server.leaving
            and server.incarnation not in self.notices.leaving
            and not self.eligibility.is_evacuated(server)
            and not self.loads[server.id].address_reused
        ]
        named = self.notices.calls_per_s
        unlimited = [each for each in staying if each.incarnation not in named]
        return [server.id for server in unlimited or staying]

    def record_sent(
        self,
        server: BackendServer,
        want: RequestServer,
        preferred: str,
        limits: LimitRange,
        now: float,
    ) -> None:
        """Record a call that is sent to a server."""
        load = self.loads[server.id]
        if self.is_limited(server):
            self.demand_of(server.service).asked.append(now)
        tokens = self.tokens_to_read(server, want.prompt, preferred, now)
        if want.prompt is not None:
            most = max(MIN_PROMPT_PARTS, MAX_PROMPT_PARTS // len(self.loads))
            load.add_parts(want.prompt.shared_ids, most, now)
        load.calls[want.call_id] = tokens
        load.running += 1
        expected = tokens / PREFILL_TOKENS_PER_S
        self.sent[want.call_id] = SentCall(server.id, now, expected, limits)

    def record_first_byte(self, call_id: str, now: float) -> None:
        """Record the first byte of an answer, and its lateness."""
        sent = self.sent.get(call_id)
        load = self.loads.get(sent.server) if sent else None
        if sent is None or load is None or sent.first_byte_received:
            return
        sent.first_byte_received = True
        load.calls.pop(call_id, None)
        late = max(0.0, now - sent.at - sent.expected_s)
        previous = self.lateness(load, now)
        load.lateness_s = previous + LATENESS_WEIGHT * (late - previous)
        load.lateness_at = now

    def record_end(self, ended: CallEnded, now: float) -> str | None:
        """Record the end of a call.

        Returns:
            The id of its server, or None if that is no longer registered.
        """
        sent = self.sent.pop(ended.call_id, None)
        load = self.loads.get(sent.server) if sent else None
        if sent is None or load is None:
            return None
        load.calls.pop(ended.call_id, None)
        running = load.running
        load.running = max(0, running - 1)
        if ended.address_reused:
            load.address_reused = True
            self.preferred.clear()
        if ended.failed or ended.refused:
            # Refusals do not add up as failures do: a full server is a sound one.
            load.failures = 1 if ended.refused else load.failures + 1
            pause = INITIAL_AVOIDANCE_S * 2 ** min(load.failures - 1, 6)
            load.avoid_until = now + min(pause, MAX_AVOIDANCE_S)
            load.call_limit.lower_after_refusal(sent.limits, running)
        elif sent.first_byte_received:
            load.failures = 0
            load.call_limit.raise_after_success(sent.limits, running)
        return sent.server


def rendezvous(name: str, servers: Iterable[str]) -> str:
    """Return the server with the highest rendezvous hash for a name, or ''."""
    return max(servers, key=lambda server: digest(name, server), default="")
