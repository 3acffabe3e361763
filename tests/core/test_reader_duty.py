from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core import reader_duty

NAMES = [f"entry-{n}" for n in range(98)]


class Fleet:
    """Every entry's duty; those that read and are answered give signs."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.duties = {
            name: reader_duty.ReaderDuty(name, time.now_ms(), is_seed=False)
            for name in NAMES
        }
        self.served = set(NAMES)
        self.alive = set(NAMES)

    def readers(self) -> set[str]:
        """Returns who reads now."""
        now_ms = self.time.now_ms()
        return {
            name
            for name in self.alive
            if self.duties[name].is_reader(self.alive - {name}, now_ms)
        }

    def run(self, ms: float) -> int:
        """Lets time pass; returns the most that read at once."""
        most = 0
        for _ in range(int(ms / 100.0)):
            self.time.advance(100.0)
            reading = self.readers()
            most = max(most, len(reading))
            for reader in reading & self.served:
                for name in self.alive - {reader}:
                    now_ms = self.time.now_ms()
                    self.duties[name].take(reader, 100.0, now_ms)
        return most


@pytest.fixture
def fleet(time: clock.ManualClock) -> Fleet:
    found = Fleet(time)
    found.run(2_000.0)
    return found


def test_few_read_while_the_store_serves_all(fleet: Fleet) -> None:
    assert fleet.run(5_000.0) == reader_duty.READERS


def test_few_read_while_the_store_turns_a_third_away(fleet: Fleet) -> None:
    first = fleet.readers()
    fleet.served -= first | set(NAMES[::3])
    # Each that is turned away goes on trying, until one before it is served.
    most = fleet.run(20_000.0)
    assert most <= 16
    assert fleet.readers() & fleet.served


def test_somebody_reads_soon_after_all_readers_went(fleet: Fleet) -> None:
    fleet.alive -= fleet.readers()
    fleet.run(200.0)
    assert fleet.readers() & fleet.served


def test_all_read_in_the_end_while_the_store_serves_one(fleet: Fleet) -> None:
    ordered = fleet.duties[NAMES[0]]._order(set(NAMES))
    fleet.served = {ordered[-1]}
    waited_ms = reader_duty.READER_HEARD_MS + 8 * reader_duty.STANDBY_STEP_MS
    fleet.run(waited_ms)
    assert ordered[-1] in fleet.readers()


def test_store_that_answers_nobody_is_down(fleet: Fleet) -> None:
    others = set(NAMES) - {"entry-1"}
    duty = fleet.duties["entry-1"]
    assert not duty.store_serves_none(others, fleet.time.now_ms())
    fleet.served = set()
    fleet.run(reader_duty.READER_STORE_AGE_MS + 200.0)
    assert duty.store_serves_none(others, fleet.time.now_ms())


def test_entry_that_hears_no_other_blames_itself(fleet: Fleet) -> None:
    fleet.time.advance(60_000.0)
    duty = fleet.duties["entry-1"]
    assert not duty.store_serves_none(set(), fleet.time.now_ms())


def test_entry_that_starts_waits_for_the_seeds(time: clock.ManualClock) -> None:
    seed = reader_duty.ReaderDuty("entry-1", time.now_ms(), is_seed=True)
    other = reader_duty.ReaderDuty("entry-2", time.now_ms(), is_seed=False)
    assert seed.is_reader(set(), time.now_ms())
    assert not other.is_reader(set(), time.now_ms())
    time.advance(reader_duty.FIRST_WAIT_MS)
    assert other.is_reader(set(), time.now_ms())
