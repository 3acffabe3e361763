"""Tests of how entries divide what a cold replica tolerates."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from marlramp import clock
from marlramp.core.replicas import cold_shares
from tests import processor_time

RATE_PER_S = 17.0
BOUND = RATE_PER_S * 1.5 + 5
"""Requests within a second below which all entries together must stay."""


class Fleet:
    """The entries that all shares of a test know, and their clock."""

    def __init__(self, count: int) -> None:
        self.names = [f"entry-{n}" for n in range(count)]
        self.changes = 0
        self.expects_others = False
        self.time = clock.ManualClock()

    def shares(self, own: str) -> cold_shares.ColdShares:
        return cold_shares.ColdShares(
            own,
            lambda: self.names,
            lambda: self.changes,
            lambda: self.expects_others,
            self.time,
        )


def started(fleet: Fleet) -> list[cold_shares.ColdShares]:
    shares = [fleet.shares(name) for name in fleet.names]
    fleet.time.advance(cold_shares.START_MS)
    return shares


@hypothesis.given(
    count=strategies.integers(1, 200),
    per_s=strategies.floats(0.1, 400.0),
    replica_id=strategies.text(max_size=8),
)
@hypothesis.settings(deadline=None)
@processor_time.at_most(processor_time.EXAMPLE_MS)
def test_shares_of_equal_views_stay_within_the_tolerated_rate(
    count: int, per_s: float, replica_id: str
) -> None:
    """Guards against shares that add up to more than the rate."""
    names = [f"entry-{n}" for n in range(count)]
    shares = [cold_shares.share_of(n, names, replica_id, per_s) for n in names]
    assert sum(shares) <= per_s
    if per_s >= 1.0:
        assert sum(shares) > 0
        assert max(shares) - min(shares) <= 1


@pytest.mark.parametrize(
    ("count", "total"), [(1, 17), (3, 15), (7, 14), (42, 17), (150, 17)]
)
def test_shares_use_the_tolerated_rate_but_for_the_rounding(
    count: int, total: int
) -> None:
    """Guards against shares that are rounded down to 0 in a large fleet."""
    fleet = Fleet(count)
    assert sum(s.per_s("i-1", RATE_PER_S) for s in started(fleet)) == total


def test_shares_follow_entries_that_join_and_leave() -> None:
    """Guards against shares that are kept from an earlier membership."""
    fleet = Fleet(3)
    (first, *_) = started(fleet)
    assert first.per_s("i-1", RATE_PER_S) == 5
    fleet.names = [f"entry-{n}" for n in range(8)]
    fleet.changes += 1
    assert first.per_s("i-1", RATE_PER_S) == 2
    fleet.names = ["entry-0"]
    fleet.changes += 1
    assert first.per_s("i-1", RATE_PER_S) == 17


def test_shares_of_one_entry_differ_between_replicas_and_rates() -> None:
    """Guards against one entry that holds the share of every replica."""
    fleet = Fleet(150)
    (first, *_) = started(fleet)
    held = sum(first.per_s(f"i-{n}", RATE_PER_S) for n in range(300))
    assert 10 <= held <= 70
    assert first.per_s("i-1", 150.0) == 1


def test_shares_are_kept_while_the_entries_are_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the cost of new shares at each change of an agent."""
    fleet = Fleet(150)
    (first, *_) = started(fleet)
    share = first.per_s("i-1", RATE_PER_S)
    monkeypatch.delattr(cold_shares, "share_of")
    fleet.changes += 1
    assert first.per_s("i-1", RATE_PER_S) == share


def test_starting_entry_does_not_claim_the_rate_of_a_lone_one() -> None:
    """Guards against a starting entry that takes itself for the only one."""
    fleet = Fleet(1)
    first = fleet.shares("entry-0")
    fleet.time.advance(cold_shares.START_MS - 1.0)
    assert max(first.per_s(f"i-{n}", RATE_PER_S) for n in range(200)) == 1
    fleet.time.advance(1.0)
    assert first.per_s("i-1", RATE_PER_S) == 17
    fleet.expects_others = True
    assert max(first.per_s(f"i-{n}", RATE_PER_S) for n in range(200)) == 1


@pytest.mark.parametrize("count", [3, 42, 64, 150, 200])
def test_entries_that_start_together_stay_within_the_bound(count: int) -> None:
    """Guards against assumed shares that add up to more than the bound."""
    fleet = Fleet(count)
    shares = [fleet.shares(name) for name in fleet.names]
    totals = [
        sum(s.per_s(f"i-{n}", RATE_PER_S) for s in shares) for n in range(200)
    ]
    assert max(totals) < BOUND
