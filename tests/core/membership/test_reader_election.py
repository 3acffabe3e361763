from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.membership import reader_election

NAMES = [f"entry-{n}" for n in range(98)]
DATA_CENTRES = {name: f"dc-{n % 5}" for n, name in enumerate(NAMES)}


def election_of(
    name: str, time: clock.ManualClock
) -> reader_election.ReaderElection:
    return reader_election.ReaderElection(
        name, DATA_CENTRES[name], time.now_ms(), is_seed=False
    )


class Fleet:
    """Elections of all entries; readers that the store serves send beacons."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.elections = {name: election_of(name, time) for name in NAMES}
        self.served = set(NAMES)
        self.alive = set(NAMES)

    def readers(self) -> set[str]:
        """Returns the entries that read now."""
        now_ms = self.time.now_ms()
        return {
            name
            for name in self.alive
            if self.elections[name].is_reader(self.others(name), now_ms)
        }

    def others(self, name: str) -> dict[str, str]:
        """Returns the data centres of all other entries that are alive."""
        return {other: DATA_CENTRES[other] for other in self.alive - {name}}

    def run(self, ms: float) -> int:
        """Lets time pass; returns the maximum number of concurrent readers."""
        most = 0
        for _ in range(int(ms / 100.0)):
            self.time.advance(100.0)
            reading = self.readers()
            most = max(most, len(reading))
            for reader in reading & self.served:
                self.send_beacon(reader, served=True)
        return most

    def send_beacon(self, reader: str, *, served: bool) -> None:
        """Delivers a reader's beacon to all other entries."""
        for name in self.alive - {reader}:
            now_ms = self.time.now_ms()
            self.elections[name].record_beacon(
                reader, 100.0, now_ms, served=served
            )


@pytest.fixture
def fleet(time: clock.ManualClock) -> Fleet:
    found = Fleet(time)
    found.run(2_000.0)
    return found


def test_few_read_while_the_store_serves_all(fleet: Fleet) -> None:
    assert fleet.run(5_000.0) == reader_election.READERS


def test_few_read_while_the_store_rejects_a_third(fleet: Fleet) -> None:
    first = fleet.readers()
    fleet.served -= first | set(NAMES[::3])
    # A rejected reader continues until an entry before it is served.
    most = fleet.run(20_000.0)
    assert most <= 16
    assert fleet.readers() & fleet.served


def test_standby_reads_soon_after_all_readers_crashed(fleet: Fleet) -> None:
    fleet.alive -= fleet.readers()
    fleet.run(200.0)
    assert fleet.readers() & fleet.served


def test_last_entry_reads_if_the_store_serves_no_other(fleet: Fleet) -> None:
    ordered = fleet.elections[NAMES[0]]._order(fleet.others(NAMES[0]))
    fleet.served = {ordered[-1]}
    waited_ms = (
        reader_election.READER_BEACON_AGE_MS
        + 8 * reader_election.STANDBY_STEP_MS
    )
    fleet.run(waited_ms)
    assert ordered[-1] in fleet.readers()


def test_store_that_serves_no_entry_is_down(fleet: Fleet) -> None:
    others = set(NAMES) - {"entry-1"}
    election = fleet.elections["entry-1"]
    assert not election.store_serves_none(others, fleet.time.now_ms())
    fleet.served = set()
    fleet.run(reader_election.READER_STORE_AGE_MS + 200.0)
    assert election.store_serves_none(others, fleet.time.now_ms())


def test_isolated_entry_does_not_report_the_store_down(fleet: Fleet) -> None:
    fleet.time.advance(60_000.0)
    election = fleet.elections["entry-1"]
    assert not election.store_serves_none(set(), fleet.time.now_ms())


def test_starting_entry_waits_for_the_seeds(time: clock.ManualClock) -> None:
    seed = reader_election.ReaderElection(
        "entry-1", "dc-1", time.now_ms(), is_seed=True
    )
    other = election_of("entry-2", time)
    assert seed.is_reader({}, time.now_ms())
    assert not other.is_reader({}, time.now_ms())
    time.advance(reader_election.FIRST_WAIT_MS)
    assert other.is_reader({}, time.now_ms())


def test_readers_are_in_different_data_centres(fleet: Fleet) -> None:
    first, second = fleet.readers()
    assert DATA_CENTRES[first] != DATA_CENTRES[second]


def test_standbys_read_at_once_when_the_store_fails_all_readers(
    fleet: Fleet,
) -> None:
    readers = fleet.readers()
    fleet.served -= readers
    for reader in readers:
        fleet.send_beacon(reader, served=False)
    fleet.time.advance(100.0)
    assert fleet.readers() & fleet.served


def test_one_working_reader_is_enough(fleet: Fleet) -> None:
    first, second = fleet.readers()
    fleet.send_beacon(first, served=False)
    fleet.send_beacon(second, served=True)
    assert fleet.readers() == {first, second}


def test_store_that_serves_another_entry_is_not_down(fleet: Fleet) -> None:
    first, second = fleet.readers()
    fleet.served = {second}
    fleet.run(2.0 * reader_election.READER_STORE_AGE_MS)
    now_ms = fleet.time.now_ms()
    others = fleet.alive - {first}
    assert not fleet.elections[first].store_serves_none(others, now_ms)


def test_beacons_of_entries_that_are_gone_are_dropped(
    time: clock.ManualClock,
) -> None:
    election = election_of("entry-0", time)
    for number in range(100):
        election.record_beacon(
            f"gone-{number}", -1e9, time.now_ms(), served=True
        )
    time.advance(reader_election.READER_STORE_AGE_MS + 1.0)
    assert election.store_serves_none({"gone-0"}, time.now_ms())
    election.record_beacon("entry-1", 0.0, time.now_ms(), served=True)
    assert list(election._beacons) == ["entry-1"]
