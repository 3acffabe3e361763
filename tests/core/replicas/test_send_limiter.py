"""Tests of the send times that a limiter reserves, and of its assignment."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from marlramp import clock
from marlramp.core.membership import members
from marlramp.core.replicas import limiter_assignment
from marlramp.core.replicas import send_limit
from marlramp.core.replicas import send_limiter
from tests import processor_time

WINDOW_MS = 4_000.0
EXCESS_SHARE = 1.5
EXCESS_REQUESTS = 5


def at(ms: float) -> clock.Millis:
    return clock.Millis(ms)


@hypothesis.given(
    per_s=strategies.floats(0.25, 60.0),
    pauses_ms=strategies.lists(strategies.floats(0.0, 600.0), max_size=120),
    wait_max_ms=strategies.floats(0.0, 1_500.0),
)
@hypothesis.settings(deadline=None)
@processor_time.at_most(processor_time.EXAMPLE_MS)
def test_no_window_holds_more_than_the_limit_and_a_short_burst(
    per_s: float, pauses_ms: list[float], wait_max_ms: float
) -> None:
    limiter = send_limiter.SendLimiter(at(0), per_s)
    now_ms = 0.0
    sent = []
    for pause_ms in pauses_ms:
        now_ms += pause_ms
        wait_ms = limiter.reserve(at(now_ms), per_s, wait_max_ms)
        if wait_ms is not None:
            sent.append(now_ms + wait_ms)
    most = max(
        (sum(a <= b < a + WINDOW_MS for b in sent) for a in sent), default=0
    )
    burst = max(1.0, per_s * send_limiter.BURST_MS / 1_000.0)
    assert most <= per_s * WINDOW_MS / 1_000.0 + burst + 1


def test_request_that_cannot_wait_reserves_nothing() -> None:
    limiter = send_limiter.SendLimiter(at(0), 1.0)
    assert limiter.reserve(at(100), 1.0, 800.0) is None
    assert limiter.reserve(at(100), 1.0, 900.0) == pytest.approx(900.0)
    assert limiter.next_in_ms(at(100), 1.0) == pytest.approx(1_900.0)


def test_request_reserved_elsewhere_counts() -> None:
    limiter = send_limiter.SendLimiter(at(0), 1.0)
    limiter.record_reservation(at(2_000), 1.0)
    assert limiter.next_in_ms(at(2_000), 1.0) == pytest.approx(1_000.0)


@pytest.mark.parametrize("known", [2, 3, 8, 44])
def test_sides_of_a_partition_together_stay_within_the_allowed_excess(
    known: int,
) -> None:
    for part in range(1, known):
        rates = [
            send_limiter.partition_rate(10.0, alive, known)
            for alive in (part, known - part)
        ]
        assert sum(rates) <= 10.0 * EXCESS_SHARE
    assert send_limiter.partition_rate(10.0, known, known) == 10.0


@pytest.mark.parametrize("per_s", [0.25, 0.5, 1.0, 2.0, 6.0, 20.0, 60.0])
def test_standby_that_misses_the_reservations_stays_within_the_excess(
    per_s: float,
) -> None:
    # A primary that is alive but not heard reserves the whole limit meanwhile.
    standby = send_limiter.unheard_primary_rate(per_s, per_s)
    window_s = WINDOW_MS / 1_000.0
    most = sum(
        rate * window_s + max(1.0, rate * send_limiter.BURST_MS / 1_000.0)
        for rate in (per_s, standby)
    )
    assert most <= per_s * window_s * EXCESS_SHARE + EXCESS_REQUESTS


def test_limit_of_zero_allows_trial_requests() -> None:
    assert send_limiter.partition_rate(0.0, 1, 1) == send_limiter.TRIAL_PER_S
    window_s = WINDOW_MS / 1_000.0
    assert send_limiter.TRIAL_PER_S * window_s + 1 <= EXCESS_REQUESTS


def member(number: int, data_centre: str) -> members.Member:
    return members.Member(
        f"entry-{number}", members.MemberKind.ENTRY, data_centre, "h", 1
    )


def test_limiters_are_in_the_replicas_region_if_any_entry_is() -> None:
    regions = {"dc-0": "north", "dc-1": "north", "dc-2": "south"}
    entries = [member(n, f"dc-{n % 3}") for n in range(9)]
    names = limiter_assignment.limiters_of("i-1", "dc-2", entries, regions)
    assert len(names) == limiter_assignment.LIMITERS
    assert set(names) <= {"entry-2", "entry-5", "entry-8"}
    north = [entry for entry in entries if entry.data_centre != "dc-2"]
    assert limiter_assignment.limiters_of("i-1", "dc-2", north, regions)
    assert limiter_assignment.limiters_of("i-1", "dc-2", [], regions) == []


def test_standby_limiter_takes_over_from_the_first() -> None:
    entries = [member(n, "dc-0") for n in range(9)]
    first, second = limiter_assignment.limiters_of("i-1", "dc-0", entries, {})
    rest = [entry for entry in entries if entry.vm_id != first]
    assert limiter_assignment.limiters_of("i-1", "dc-0", rest, {})[0] == second


SIX = {f"dc-{n}": f"region-{n // 2}" for n in range(6)}
"""Two data centres in each of three regions."""


def data_centre_of(vm_id: str) -> str:
    return f"dc-{int(vm_id.removeprefix('entry-')) % 6}"


def test_standby_limiter_survives_the_loss_of_the_first_ones_data_centre() -> (
    None
):
    entries = [member(n, f"dc-{n % 6}") for n in range(18)]
    for number in range(60):
        limiters = limiter_assignment.limiters_of(
            f"i-{number}", "dc-2", entries, SIX, 1
        )
        assert {data_centre_of(vm_id) for vm_id in limiters} == {"dc-2", "dc-3"}
        plain = limiter_assignment.limiters_of(
            f"i-{number}", "dc-2", entries, SIX, 0
        )
        assert plain[0] == limiters[0]


def test_standby_limiter_is_elsewhere_if_the_region_has_one_data_centre() -> (
    None
):
    entries = [member(n, f"dc-{n % 6}") for n in range(18) if n % 6 != 3]
    for number in range(60):
        first, second = limiter_assignment.limiters_of(
            f"i-{number}", "dc-2", entries, SIX, 1
        )
        assert data_centre_of(first) == "dc-2"
        assert SIX[data_centre_of(second)] != "region-1"


def test_limiters_share_a_data_centre_if_there_is_no_other() -> None:
    entries = [member(n, "dc-0") for n in range(4)]
    names = limiter_assignment.limiters_of("i-1", "dc-0", entries, {}, 1)
    assert names == limiter_assignment.limiters_of("i-1", "dc-0", entries, {})
    assert len(names) == limiter_assignment.LIMITERS


def test_entries_agree_on_the_limiters_whatever_their_order_of_entries() -> (
    None
):
    # Each entry lists itself last.
    entries = [member(n, f"dc-{n % 6}") for n in range(12)]
    for number in range(20):
        expected = limiter_assignment.limiters_of(
            f"i-{number}", "dc-4", entries, SIX, 1
        )
        assert expected == limiter_assignment.limiters_of(
            f"i-{number}", "dc-4", entries[::-1], SIX, 1
        )


def test_less_urgent_requests_wait_for_less_of_their_time() -> None:
    waits = [send_limit.wait_max_ms(200.0, rank) for rank in (0, 1, 2, 9)]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] == 200.0
    assert send_limit.wait_max_ms(-5.0, 0) == 0.0


def test_pending_reservations_add_to_the_expected_wait() -> None:
    limit = send_limit.SendLimit(per_s=2.0, next_ms=100.0)
    assert limit.may_reserve(at(0), 100.0)
    limit.pending = 1
    assert not limit.may_reserve(at(0), 500.0)
    assert limit.may_reserve(at(0), 600.0)
    limit.reserve_from_ms = 50.0
    assert not limit.may_reserve(at(0), 1_000.0)
