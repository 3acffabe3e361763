from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core import reader_duty

NAMES = [f"entry-{n}" for n in range(98)]
PLACES = {name: f"dc-{n % 5}" for n, name in enumerate(NAMES)}


def duty_of(name: str, time: clock.ManualClock) -> reader_duty.ReaderDuty:
    return reader_duty.ReaderDuty(
        name, PLACES[name], time.now_ms(), is_seed=False
    )


class Fleet:
    """Every entry's duty; those that read and are answered give signs."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.duties = {name: duty_of(name, time) for name in NAMES}
        self.served = set(NAMES)
        self.alive = set(NAMES)

    def readers(self) -> set[str]:
        """Returns who reads now."""
        now_ms = self.time.now_ms()
        return {
            name
            for name in self.alive
            if self.duties[name].is_reader(self.others(name), now_ms)
        }

    def others(self, name: str) -> dict[str, str]:
        """Returns the data centres of all other entries alive."""
        return {other: PLACES[other] for other in self.alive - {name}}

    def run(self, ms: float) -> int:
        """Lets time pass; returns the most that read at once."""
        most = 0
        for _ in range(int(ms / 100.0)):
            self.time.advance(100.0)
            reading = self.readers()
            most = max(most, len(reading))
            for reader in reading & self.served:
                self.tell(reader, served=True)
        return most

    def tell(self, reader: str, *, served: bool) -> None:
        """Has all others hear a reader's sign."""
        for name in self.alive - {reader}:
            now_ms = self.time.now_ms()
            self.duties[name].take(reader, 100.0, now_ms, served=served)


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
    ordered = fleet.duties[NAMES[0]]._order(fleet.others(NAMES[0]))
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
    seed = reader_duty.ReaderDuty(
        "entry-1", "dc-1", time.now_ms(), is_seed=True
    )
    other = duty_of("entry-2", time)
    assert seed.is_reader({}, time.now_ms())
    assert not other.is_reader({}, time.now_ms())
    time.advance(reader_duty.FIRST_WAIT_MS)
    assert other.is_reader({}, time.now_ms())


def test_two_readers_are_in_two_data_centres(fleet: Fleet) -> None:
    first, second = fleet.readers()
    assert PLACES[first] != PLACES[second]


def test_others_read_at_once_when_the_store_fails_all_readers(
    fleet: Fleet,
) -> None:
    readers = fleet.readers()
    fleet.served -= readers
    for reader in readers:
        fleet.tell(reader, served=False)
    fleet.time.advance(100.0)
    assert fleet.readers() & fleet.served


def test_one_reader_that_works_is_enough(fleet: Fleet) -> None:
    first, second = fleet.readers()
    fleet.tell(first, served=False)
    fleet.tell(second, served=True)
    assert fleet.readers() == {first, second}


def test_store_that_answers_another_entry_is_not_down(fleet: Fleet) -> None:
    first, second = fleet.readers()
    fleet.served = {second}
    fleet.run(2.0 * reader_duty.READER_STORE_AGE_MS)
    now_ms = fleet.time.now_ms()
    others = fleet.alive - {first}
    assert not fleet.duties[first].store_serves_none(others, now_ms)
