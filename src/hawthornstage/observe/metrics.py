"""Metrics in the format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


class Metrics:
    """The metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "hawthornstage_requests_total",
            "Requests by route and answer",
            ["route", "answer"],
            registry=self.registry,
        )
        self.in_progress = Gauge(
            "hawthornstage_requests_in_progress",
            "Requests now in the pipe",
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "hawthornstage_first_byte_seconds",
            "Time from arrival to the server's first byte",
            registry=self.registry,
            buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.42, 1, 2, 5, 10, 30),
        )
        self.billed = Counter(
            "hawthornstage_billed_tokens_total",
            "Tokens in final bills of this router's requests",
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "hawthornstage_call_seconds",
            "Time of a forwarded call from its arrival to its end",
            ["route", "outcome"],
            registry=self.registry,
            buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15),
        )
        self.attempts = Counter(
            "hawthornstage_attempts_total",
            "Sends of forwarded calls by service, registered server and outcome",
            ["service", "server", "outcome"],
            registry=self.registry,
        )
        self.attempt_labels: set[tuple[str, str, str]] = set()
        self.estimate_error = Histogram(
            "hawthornstage_wait_estimate_error_seconds",
            "First byte of an answer, less the estimate when its server was chosen",
            registry=self.registry,
            buckets=(-0.2, -0.05, -0.01, 0.01, 0.05, 0.2, 0.5, 1, 2),
        )
        self.permits = Counter(
            "hawthornstage_permits_total",
            "Requests for a permit to send a call to a server with a limit",
            ["outcome"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "hawthornstage_store_calls_total",
            "Calls to the platform's store by the part that calls, kind and outcome",
            ["client", "kind", "outcome"],
            registry=self.registry,
        )
        self.free_tokens = Gauge(
            "hawthornstage_free_tokens",
            "Drawn tokens that no call has, by workspace",
            ["workspace"],
            registry=self.registry,
        )
        self.undrawn_tokens = Gauge(
            "hawthornstage_undrawn_tokens",
            "Tokens of a budget that no router has drawn, as far as it is known",
            ["workspace"],
            registry=self.registry,
        )
        self.record_age = Gauge(
            "hawthornstage_record_age_seconds",
            "Age of this router's last stored record",
            registry=self.registry,
        )
        self.store_answered = Gauge(
            "hawthornstage_store_answered_timestamp_seconds",
            "Wall time of the store's last answer",
            registry=self.registry,
        )
        self.admission = Counter(
            "hawthornstage_admission_total",
            "Calls that were shed, denied room or delayed",
            ["outcome"],
            registry=self.registry,
        )
        self.admission_wait = Histogram(
            "hawthornstage_admission_wait_seconds",
            "Time for which delayed calls waited for room",
            registry=self.registry,
            buckets=(0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
        )
        self.admission_level = Gauge(
            "hawthornstage_admission_level",
            "Share of the calls that the router's processor can serve",
            registry=self.registry,
        )
        self.admission_level.set(1.0)
        self.calls_waiting = Gauge(
            "hawthornstage_calls_waiting",
            "Calls that wait for room, by service",
            ["service"],
            registry=self.registry,
        )
        self.desired_version = Gauge(
            "hawthornstage_desired_state_version",
            "Version of the desired state in use, 0 if none is known",
            registry=self.registry,
        )
        self.known_routers = Gauge(
            "hawthornstage_known_routers",
            "Routers that share retries and budgets, this one included",
            registry=self.registry,
        )
        self.retries = Counter(
            "hawthornstage_retries_total",
            "Tries after the first",
            registry=self.registry,
        )
        self.cold_servers = Gauge(
            "hawthornstage_cold_servers",
            "Servers that get calls only within the limit of a slow start",
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "hawthornstage_peer_bytes_total",
            "Bytes of frames between routers",
            ["direction"],
            registry=self.registry,
        )
        self.peer_connections = Gauge(
            "hawthornstage_peer_connections",
            "Connections between this router and others",
            ["direction"],
            registry=self.registry,
        )
        self.tunnels = Counter(
            "hawthornstage_tunnels_total",
            "Tunnels to backend servers by side (used, served) and outcome",
            ["side", "outcome"],
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "hawthornstage_evacuated",
            "Whether a failure domain is evacuated, as far as this router knows",
            ["failure_domain"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "hawthornstage_tables_revision",
            "Revision of the tables in use",
            registry=self.registry,
        )
        self.tables_confirmed = Gauge(
            "hawthornstage_tables_confirmed_timestamp_seconds",
            "Wall time at which the revision was last seen to be the newest",
            registry=self.registry,
        )
        self.live_routers = Gauge(
            "hawthornstage_live_routers",
            "Routers heard of lately, this one included",
            registry=self.registry,
        )

    def count_attempt(self, service: str, server: str, outcome: str) -> None:
        """Count one attempt of a forwarded call."""
        self.attempts.labels(service, server, outcome).inc()
        self.attempt_labels.add((service, server, outcome))

    def forget_servers(self, registered: Iterable[str]) -> None:
        """Remove the series of unregistered servers, which bounds the label sets."""
        known = frozenset(registered)
        for labels in [each for each in self.attempt_labels if each[1] not in known]:
            self.attempt_labels.discard(labels)
            self.attempts.remove(*labels)
