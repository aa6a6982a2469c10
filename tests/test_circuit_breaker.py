"""An outage of the store is probed now and then, and its end noticed soon."""

from __future__ import annotations

from hawthornstage.decisions.circuit_breaker import (
    MAX_FAILURES,
    MAX_PROBE_INTERVAL_S,
    CircuitBreaker,
)


def calls_made(circuit: CircuitBreaker, *, clients: int, seconds: float) -> int:
    """Return how many calls several clients make while all of them fail.

    Each client tries again every 0.1 s.
    """
    made = 0
    for tick in range(int(seconds * 10)):
        now = tick / 10
        for _ in range(clients):
            if circuit.allows(now):
                made += 1
                circuit.record_failure(now)
    return made


def test_one_failure_stops_nothing() -> None:
    circuit = CircuitBreaker()
    circuit.record_failure(0.0)
    assert circuit.allows(0.0)


def test_outage_costs_few_calls_however_many_clients_there_are() -> None:
    most = MAX_FAILURES + 3 + 9 / MAX_PROBE_INTERVAL_S
    assert calls_made(CircuitBreaker(), clients=1, seconds=9.0) <= most
    assert calls_made(CircuitBreaker(), clients=6, seconds=9.0) <= most


def test_probes_go_on_for_as_long_as_the_outage_lasts() -> None:
    circuit = CircuitBreaker()
    calls_made(circuit, clients=3, seconds=60.0)
    assert not circuit.allows(60.0 - 0.05)
    assert circuit.allows(60.0 + MAX_PROBE_INTERVAL_S)


def test_probe_in_progress_holds_back_the_others() -> None:
    circuit = CircuitBreaker()
    for _ in range(MAX_FAILURES):
        circuit.record_failure(0.0)
    assert circuit.allows(0.5)
    assert not circuit.allows(0.5)


def test_successful_probe_lets_all_calls_through() -> None:
    circuit = CircuitBreaker()
    calls_made(circuit, clients=1, seconds=5.0)
    assert circuit.allows(6.0)
    circuit.record_success()
    assert all(circuit.allows(6.0) for _ in range(10))
