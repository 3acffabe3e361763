from __future__ import annotations

import random

from marlramp.core.requests import caller_wait_estimate

TIMEOUT_MS = 6_000.0


def test_callers_that_differ_in_how_long_they_wait_count_as_new(
    rng: random.Random,
) -> None:
    # The waits of callers differ by 15%. With an estimate of nearly the whole
    # timeout of the route, half of the first attempts would count as retries.
    waits = caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS)
    spent = [
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.85, 1.0)) for _ in range(500)
    ]
    assert not any(spent)


def test_retry_is_recognised_by_the_time_that_is_left() -> None:
    waits = caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS)
    assert waits.spent_ms(3_600.0) > 1_000.0


def test_estimate_adapts_to_callers_that_wait_less(rng: random.Random) -> None:
    waits = caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS)
    for _ in range(2_000):
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.5, 1.0))
    spent = [
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.5, 1.0)) for _ in range(500)
    ]
    assert sum(value > 0.0 for value in spent) < 50


def test_herd_of_retries_does_not_count_as_first_attempts() -> None:
    waits = caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS)
    spent = [waits.spent_ms(0.5 * TIMEOUT_MS) for _ in range(100)]
    assert spent[-1] > 0.15 * TIMEOUT_MS


def test_caller_that_states_no_wait_counts_as_new() -> None:
    assert (
        caller_wait_estimate.CallerWaitEstimate(TIMEOUT_MS).spent_ms(None)
        == 0.0
    )
