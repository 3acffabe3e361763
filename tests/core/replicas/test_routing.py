from __future__ import annotations

import collections
import random

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.replicas import breaker
from marlramp.core.replicas import routing
from marlramp.core.requests import retries


def candidate(number: int, **changes: object) -> routing.Candidate:
    plain = routing.Candidate(
        ids.VmId(f"vm-{number}"), 8, 0, None, 0.0, 100.0, False, True
    )
    return msgspec.structs.replace(plain, **changes)


def test_busy_upstream_gets_fewer_requests(rng: random.Random) -> None:
    candidates = [candidate(0, in_flight=8), candidate(1), candidate(2)]
    chosen = collections.Counter(
        found.vm_id
        for _ in range(300)
        if (found := routing.choose(candidates, rng))
    )
    assert chosen[ids.VmId("vm-0")] == 0


def test_old_report_counts_less_than_a_fresh_one() -> None:
    fresh = candidate(0, reported_load=8.0)
    old = candidate(0, reported_load=8.0, report_age_ms=10_000.0)
    assert routing.predicted_ms(old) < routing.predicted_ms(fresh)


def test_own_count_is_never_underestimated() -> None:
    known = candidate(0, in_flight=6, reported_load=0.0)
    assert routing.predicted_ms(known) == routing.predicted_ms(
        candidate(0, in_flight=6)
    )


def test_prefix_holder_is_preferred(rng: random.Random) -> None:
    candidates = [candidate(n) for n in range(9)]
    candidates.append(candidate(9, holds_prefix=True))
    for _ in range(50):
        found = routing.choose(candidates, rng)
        assert found is not None
        assert found.vm_id == "vm-9"


def test_open_breakers_exclude_an_upstream(rng: random.Random) -> None:
    candidates = [candidate(0, breaker_allows=False), candidate(1)]
    for _ in range(50):
        found = routing.choose(candidates, rng)
        assert found is not None
        assert found.vm_id == "vm-1"


def test_panic_needs_most_breakers_open() -> None:
    assert not routing.panics(2, 4)
    assert routing.panics(1, 4)


def test_breaker_opens_and_lets_one_trial_through(
    time: clock.ManualClock,
) -> None:
    circuit = breaker.Breaker(3, 1_000.0)
    for _ in range(3):
        assert circuit.allows(time.now_ms())
        circuit.record_failure(time.now_ms())
    assert not circuit.allows(time.now_ms())
    time.advance(1_000.0)
    assert circuit.allows(time.now_ms())
    circuit.record_start(time.now_ms())
    assert not circuit.allows(time.now_ms())
    circuit.record_success()
    assert circuit.state(time.now_ms()) is breaker.BreakerState.CLOSED


def test_only_proof_allows_a_non_idempotent_retry() -> None:
    lost = errors.CallError(errors.ErrorKind.UPSTREAM_LOST)
    proven = errors.CallError(errors.ErrorKind.UPSTREAM_LOST, ran=errors.Ran.NO)
    assert retries.retry_reason(lost, idempotent=False) is None
    assert retries.retry_reason(lost, idempotent=True) is not None
    assert retries.retry_reason(proven, idempotent=False) is not None


def test_retry_budget_is_a_fraction_of_requests() -> None:
    budget = retries.RetryBudget(0.125, 2.0)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    for _ in range(8):
        budget.record_request()
    assert [budget.try_spend() for _ in range(2)] == [True, False]
