from __future__ import annotations

import random

from marlramp.core import caller_waits

TIMEOUT_MS = 6_000.0


def test_callers_that_differ_in_how_long_they_wait_are_taken_as_new(
    rng: random.Random,
) -> None:
    # Replays callers that differ by 15%: half of them would count as having
    # come before if they were held to nearly all of the route's time.
    waits = caller_waits.CallerWaits(TIMEOUT_MS)
    spent = [
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.85, 1.0)) for _ in range(500)
    ]
    assert not any(spent)


def test_caller_that_has_waited_is_known_by_what_is_left() -> None:
    waits = caller_waits.CallerWaits(TIMEOUT_MS)
    assert waits.spent_ms(3_600.0) > 1_000.0


def test_callers_with_less_patience_are_learnt(rng: random.Random) -> None:
    waits = caller_waits.CallerWaits(TIMEOUT_MS)
    for _ in range(2_000):
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.5, 1.0))
    spent = [
        waits.spent_ms(TIMEOUT_MS * rng.uniform(0.5, 1.0)) for _ in range(500)
    ]
    assert sum(value > 0.0 for value in spent) < 50


def test_herd_that_comes_back_does_not_pass_as_new() -> None:
    waits = caller_waits.CallerWaits(TIMEOUT_MS)
    spent = [waits.spent_ms(0.5 * TIMEOUT_MS) for _ in range(100)]
    assert spent[-1] > 0.15 * TIMEOUT_MS


def test_caller_that_says_nothing_is_new() -> None:
    assert caller_waits.CallerWaits(TIMEOUT_MS).spent_ms(None) == 0.0
