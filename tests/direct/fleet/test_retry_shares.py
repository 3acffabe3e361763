"""Entries together stay within one retry budget, in virtual time."""

from __future__ import annotations

import pytest

from marlramp.core import rendezvous
from marlramp.core.requests import retry_share
from tests.direct.fleet import virtual_fleet

RATIO = 0.2
SLACK = 104.0
ENTRIES = 43
WINDOW_MS = 10_000.0
STEP_MS = 50.0
REQUEST_MS = 2_000.0
"""Time between two requests that one entry receives."""
INCARNATION = 1_000


class RetryingEntries:
    """Entries that retry requests whenever their budget allows it."""

    def __init__(self, fleet: virtual_fleet.VirtualFleet) -> None:
        self.fleet = fleet
        self.spent_ms: list[float] = []
        self.received_ms: list[float] = []
        self._request_ms = 0.0
        self._shares = {name: self._share(name) for name in fleet.entries}

    def _share(self, name: str) -> retry_share.RetryShare:
        started_ms = self.fleet.time.now_ms()
        rank = rendezvous.fraction(name)
        return retry_share.RetryShare(RATIO, SLACK, WINDOW_MS, started_ms, rank)

    def run(self, ms: float) -> None:
        """Lets all entries retry for a period."""
        end_ms = self.fleet.time.now_ms() + ms
        while self.fleet.time.now_ms() < end_ms:
            self._spend()
            self.fleet.run(STEP_MS)

    def _spend(self) -> None:
        now_ms = self.fleet.time.now_ms()
        received = now_ms - self._request_ms >= REQUEST_MS
        if received:
            self._request_ms = now_ms
        for name, share in self._shares.items():
            known = self.fleet.entries[name].sync.estimated_entries()
            if received:
                share.record_request(now_ms)
                self.received_ms.append(now_ms)
            while share.try_spend(known, now_ms):
                self.spent_ms.append(now_ms)

    def restart(self) -> None:
        """Stops all entries and restarts them."""
        for number, name in enumerate(list(self.fleet.entries)):
            self.fleet.stop(name)
            now_ms = self.fleet.time.now_ms()
            self.fleet.start(number, INCARNATION + round(now_ms))
            self._shares[name] = self._share(name)

    def most_slack(self) -> float:
        """Returns the most retries in any window beyond the ratio."""
        return max(
            _between(self.spent_ms, start_ms)
            - RATIO * _between(self.received_ms, start_ms)
            for start_ms in sorted(set(self.spent_ms))
        )


def _between(times_ms: list[float], start_ms: float) -> int:
    return sum(start_ms <= ms < start_ms + WINDOW_MS for ms in times_ms)


def test_entries_that_start_at_once_spend_no_more_than_the_slack() -> None:
    # Entries that knew no other entry assumed a fleet of 8 entries.
    entries = RetryingEntries(virtual_fleet.VirtualFleet(ENTRIES))
    entries.run(25_000.0)
    assert 0.0 < entries.most_slack() <= SLACK


def test_entries_that_restart_do_not_spend_their_parts_again() -> None:
    # A restarted entry did not know what it had spent before.
    entries = RetryingEntries(virtual_fleet.VirtualFleet(ENTRIES))
    for pause_ms in (14_000.0, 4_000.0, 4_500.0, 15_000.0):
        entries.run(pause_ms)
        entries.restart()
    entries.run(15_000.0)
    assert 0.0 < entries.most_slack() <= SLACK


@pytest.mark.parametrize("count", [6, 43, 98])
def test_starting_entries_divide_by_no_fewer_than_there_are(count: int) -> None:
    fleet = virtual_fleet.VirtualFleet(count)
    for _ in range(60):
        fleet.run(STEP_MS)
        parts = [
            1.0 / entry.sync.estimated_entries()
            for entry in fleet.entries.values()
        ]
        assert sum(parts) < 1.1
    assert sum(parts) > 0.9


def test_regions_that_restart_cut_off_from_each_other_share_the_slack() -> None:
    fleet = virtual_fleet.VirtualFleet(42)
    ones = fleet.in_data_centre("dc-0")
    fleet.cut_between(ones, set(fleet.entries) - set(ones))
    entries = RetryingEntries(fleet)
    entries.run(6_000.0)
    entries.restart()
    entries.run(12_000.0)
    assert 0.0 < entries.most_slack() <= SLACK
