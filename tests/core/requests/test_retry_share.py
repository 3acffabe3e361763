"""Parts of a retry budget that processes spend which are killed at any time."""

from __future__ import annotations

import collections
import random

import pytest

from marlramp import clock
from marlramp.core.requests import retry_share

RATIO = 0.2
SLACK = 100.0
WINDOW_MS = 10_000.0
STEP_MS = 100.0


class Fleet:
    """Entries that spend every retry that they may, and are killed."""

    def __init__(self, entries: int, requests_per_s: float, seed: int) -> None:
        self.time = clock.ManualClock()
        self.rng = random.Random(seed)
        self.entries = entries
        self.requests: collections.Counter[int] = collections.Counter()
        self.spent: collections.Counter[int] = collections.Counter()
        self._per_step = requests_per_s * STEP_MS / clock.MILLIS_PER_SECOND
        self._step = 0
        self._shares = [self._share(number) for number in range(entries)]

    def _share(self, number: int) -> retry_share.RetryShare:
        rank = random.Random(number).random()
        now_ms = self.time.now_ms()
        return retry_share.RetryShare(RATIO, SLACK, WINDOW_MS, now_ms, rank)

    def kill(self, number: int) -> None:
        """Replaces the process of an entry by one that has just started."""
        self._shares[number] = self._share(number)

    def kill_all(self) -> None:
        """Kills all entries."""
        for number in range(self.entries):
            self.kill(number)

    def run(self, ms: float, *, spending: bool = True) -> None:
        """Lets requests arrive, each with as many retries as are allowed."""
        for _ in range(round(ms / STEP_MS)):
            self.time.advance(STEP_MS)
            self._step += 1
            for share in self._shares:
                self._run_entry(share, spending)

    def _run_entry(self, share: retry_share.RetryShare, spending: bool) -> None:
        now_ms = self.time.now_ms()
        arrived = int(self._per_step + self.rng.random())
        for _ in range(arrived):
            share.record_request(now_ms)
        self.requests[self._step] += arrived
        while spending and share.try_spend(self.entries, now_ms):
            self.spent[self._step] += 1

    def excess(self) -> float:
        """Returns the most retries in a window beyond what is allowed."""
        steps = round(WINDOW_MS / STEP_MS)
        return max(
            _sum(self.spent, start, steps)
            - SLACK
            - RATIO
            * max(
                _sum(self.requests, start - before, steps)
                for before in (0, steps // 2, steps)
            )
            for start in range(self._step)
        )


def _sum(counts: collections.Counter[int], start: int, steps: int) -> int:
    return sum(counts[start + step] for step in range(steps))


@pytest.mark.parametrize("life_ms", [1_200.0, 2_000.0])
@pytest.mark.parametrize("requests_per_s", [0.1, 1.0, 17.0])
@pytest.mark.parametrize("entries", [1, 3, 6, 8, 12, 43, 98])
def test_entries_killed_in_quick_succession_stay_within_the_budget(
    entries: int, requests_per_s: float, life_ms: float
) -> None:
    # Each life of 1.2 s spent the whole advance at once: 25 retries too many.
    fleet = Fleet(entries, requests_per_s, seed=1)
    fleet.run(20_000.0, spending=False)
    fleet.run(1_000.0)
    for _ in range(16):
        fleet.kill_all()
        fleet.run(life_ms)
    assert fleet.excess() <= 0.0
    assert sum(fleet.spent.values()) > 0


@pytest.mark.parametrize("seed", range(8))
def test_entries_killed_at_any_time_stay_within_the_budget(seed: int) -> None:
    rng = random.Random(seed)
    fleet = Fleet(rng.randint(1, 16), rng.uniform(0.1, 20.0), seed)
    for _ in range(40):
        fleet.run(rng.uniform(100.0, 3_000.0), spending=rng.random() < 0.7)
        share = rng.choice([0.1, 0.5, 1.0])
        for number in range(fleet.entries):
            if rng.random() < share:
                fleet.kill(number)
    assert fleet.excess() <= 0.0


def test_630_entries_that_start_at_once_stay_within_the_budget() -> None:
    fleet = Fleet(630, 0.1, seed=1)
    for _ in range(6):
        fleet.run(2_000.0)
        fleet.kill_all()
    assert fleet.excess() <= 0.0


@pytest.fixture
def share(time: clock.ManualClock) -> retry_share.RetryShare:
    """The part of an entry that has just started."""
    return retry_share.RetryShare(RATIO, SLACK, WINDOW_MS, time.now_ms())


def spend_all(share: retry_share.RetryShare, now_ms: clock.Millis) -> int:
    """Spends all retries of a fleet of 4 and returns their number."""
    count = 0
    while share.try_spend(4, now_ms):
        count += 1
    return count


@pytest.mark.parametrize("entries", [1, 3, 6, 8])
def test_entry_that_has_just_started_has_a_retry(
    entries: int, share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    spent = share.try_spend(entries, time.now_ms())
    assert spent is retry_share.RetrySource.ADVANCE


def test_advance_is_repaid_before_another_retry_is_earned(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    time.advance(retry_share.ADVANCE_GROWTH_MS)
    advance = int(SLACK * retry_share.SLACK_ADVANCED / 4)
    assert spend_all(share, time.now_ms()) == advance
    retry_ms = WINDOW_MS / (SLACK * retry_share.SLACK_EARNED / 4)
    earned_ms = retry_share.ADVANCE_GROWTH_MS
    time.advance((advance + 1) * retry_ms - earned_ms - 1.0)
    assert not share.has_retry(4, time.now_ms())
    time.advance(2.0)
    assert spend_all(share, time.now_ms()) == 1


def test_requests_pay_before_the_slack_does(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    time.advance(60_000.0)
    for _ in range(50):
        share.record_request(time.now_ms())
    spent = [share.try_spend(4, time.now_ms()) for _ in range(3)]
    ratio, slack = retry_share.RetrySource.RATIO, retry_share.RetrySource.SLACK
    assert spent == [ratio, ratio, slack]


def test_savings_are_bounded_while_nothing_is_spent(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    time.advance(1_000_000.0)
    for _ in range(100):
        share.record_request(time.now_ms())
    saved = SLACK * retry_share.SLACK_SAVED / 4
    saved += 100 * RATIO * retry_share.RATIO_SAVED
    assert spend_all(share, time.now_ms()) == int(saved)


def test_refunded_retry_can_be_spent_again(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    spent = spend_all(share, time.now_ms())
    share.refund()
    assert share.spent == spent - 1
    assert spend_all(share, time.now_ms()) == 1


def test_expected_wait_ends_when_the_retry_is_earned(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    spend_all(share, time.now_ms())
    for count in (1, 2):
        time.advance(share.wait_ms(count, 4, time.now_ms()) - 1.0)
        assert share.wait_ms(count, 4, time.now_ms()) > 0.0
        time.advance(2.0)
        assert share.wait_ms(count, 4, time.now_ms()) == 0.0
        assert spend_all(share, time.now_ms()) == count


def test_requests_are_not_kept_longer_than_a_window(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    # An entry that needed no retry kept the time of each request for good.
    for _ in range(500):
        share.record_request(time.now_ms())
        time.advance(WINDOW_MS / 100.0)
    assert len(share._requests) <= 102


def test_advance_grows_over_the_first_seconds_and_is_waited_for(
    share: retry_share.RetryShare, time: clock.ManualClock
) -> None:
    first = spend_all(share, time.now_ms())
    assert first == int(SLACK * retry_share.SLACK_ADVANCED_MIN / 4)
    wait_ms = share.wait_ms(1, 4, time.now_ms())
    assert 0.0 < wait_ms <= retry_share.ADVANCE_GROWTH_MS
    time.advance(wait_ms - 1.0)
    assert not share.has_retry(4, time.now_ms())
    time.advance(2.0)
    assert share.has_retry(4, time.now_ms())
