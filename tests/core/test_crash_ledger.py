"""Which requests are condemned for crashes of replicas."""

from __future__ import annotations

import itertools
import random

import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.core import crash_record

CULPRIT = ids.Fingerprint("culprit")
NOW_MS = clock.Millis(1_000.0)

TOLD_AT_MOST = 1.3
"""Times that each crash is told in the mean while ledgers become alike."""


def crash(number: int) -> ids.CrashId:
    return crash_ledger.crash_id(f"i-{number}", 1)


def innocent(number: int) -> ids.Fingerprint:
    return ids.Fingerprint(f"innocent-{number}")


@pytest.fixture
def record() -> crash_record.CrashRecord:
    """A record without a crash."""
    return crash_record.CrashRecord()


def note(
    record: crash_record.CrashRecord,
    number: int,
    *requests: ids.Fingerprint,
    begun: bool = False,
    now_ms: float = NOW_MS,
) -> None:
    for request in requests:
        record.note_crash(
            crash(number), request, begun=begun, now_ms=clock.Millis(now_ms)
        )


@pytest.mark.parametrize("others", [0, 4, 10])
def test_request_at_three_crashes_with_others_by_chance_is_condemned(
    record: crash_record.CrashRecord, others: int
) -> None:
    for number in range(3):
        assert not record.is_condemned(CULPRIT)
        chance = [innocent(100 * number + n) for n in range(others)]
        note(record, number, CULPRIT, *chance)
    condemned = record.ledger.condemned()
    assert set(condemned) == {CULPRIT}
    assert condemned[CULPRIT].strikes == 3.0
    assert condemned[CULPRIT].crash_ids == [crash(n) for n in range(3)]


def test_request_that_brought_events_needs_more_crashes(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(5):
        note(record, number, CULPRIT, begun=True)
        assert not record.is_condemned(CULPRIT)
    note(record, 5, CULPRIT, begun=True)
    assert record.is_condemned(CULPRIT)


def test_request_that_followed_the_culprit_is_not_condemned(
    record: crash_record.CrashRecord,
) -> None:
    # It was repeated to the replicas that the culprit reached next.
    for number in range(6):
        note(record, number, CULPRIT)
    for number in range(3):
        note(record, number, innocent(1))
    assert set(record.ledger.condemned()) == {CULPRIT}


def test_crashes_of_many_requests_alike_condemn_none(
    record: crash_record.CrashRecord,
) -> None:
    # A whole service ends three times under the same twelve requests.
    for number in range(3):
        note(record, number, *[innocent(n) for n in range(12)])
    assert not record.ledger.condemned()


def test_popular_request_is_cleared_by_runs_that_end_well(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(20):
        record.note_good(CULPRIT, NOW_MS)
        note(record, number, CULPRIT)
    assert record.ledger.strikes(CULPRIT) == 0.0
    note(record, 20, CULPRIT)
    note(record, 21, CULPRIT)
    record.note_good(CULPRIT, NOW_MS)
    assert record.ledger.strikes(CULPRIT) == 1.0


def test_request_that_crashes_most_of_its_runs_is_condemned(
    record: crash_record.CrashRecord,
) -> None:
    number = 0
    for _ in range(3):
        record.note_good(CULPRIT, NOW_MS)
        note(record, number, CULPRIT)
        note(record, number + 1, CULPRIT)
        number += 2
    assert record.is_condemned(CULPRIT)


def test_one_crash_told_by_several_entries_is_one_strike(
    record: crash_record.CrashRecord,
) -> None:
    told = crash_ledger.Crash(
        crash(0), 50.0, [crash_ledger.Suspect(CULPRIT, begun=True)]
    )
    for _ in range(4):
        record.merge([told], NOW_MS)
        note(record, 0, CULPRIT)
    assert record.ledger.strikes(CULPRIT) == 1.0


def test_two_starts_of_one_replica_are_two_crashes(
    record: crash_record.CrashRecord,
) -> None:
    for born_ms in (1, 2):
        record.note_crash(
            crash_ledger.crash_id("i-0", born_ms),
            CULPRIT,
            begun=False,
            now_ms=NOW_MS,
        )
    assert record.ledger.strikes(CULPRIT) == 2.0


@pytest.mark.parametrize("seed", range(5))
def test_ledgers_agree_whatever_order_news_come_in(seed: int) -> None:
    rng = random.Random(seed)
    records = [crash_record.CrashRecord() for _ in range(3)]
    told: list[crash_ledger.Crash] = []
    for number, one in itertools.product(range(6), records):
        note(one, number, CULPRIT, innocent(rng.randrange(4)))
        if rng.random() < 0.3:
            one.note_good(innocent(rng.randrange(4)), NOW_MS)
        told += one.ledger.told(one.take_untold(), NOW_MS)
    for one in records:
        for news in rng.choices(told, k=40):
            one.merge([news], NOW_MS)
        one.merge(rng.sample(told, len(told)), NOW_MS)
    # Runs that a ledger held clear more once news of a crash come.
    for one, other in itertools.permutations(records, 2):
        crashes = other.ledger.differing(one.ledger.digests(), rng)
        one.merge(other.ledger.told(crashes, NOW_MS), NOW_MS)
    assert len({one.ledger.digest() for one in records}) == 1
    verdicts = [set(one.ledger.condemned()) for one in records]
    assert verdicts[0] == verdicts[1] == verdicts[2]


def test_crashes_of_the_condemned_are_kept_and_others_forgotten(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        note(record, number, CULPRIT)
    note(record, 3, innocent(1))
    later_ms = NOW_MS + crash_ledger.CRASH_AGE_MAX_MS + 1.0
    record.tick(clock.Millis(later_ms))
    assert record.is_condemned(CULPRIT)
    assert record.ledger.strikes(innocent(1)) == 0.0


def test_ledger_holds_a_bounded_number_of_crashes(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        note(record, number, CULPRIT)
    for number in range(3, crash_ledger.CRASHES_MAX + 50):
        note(record, number, innocent(number))
    record.tick(NOW_MS)
    known = record.ledger.told(
        [crash(n) for n in range(crash_ledger.CRASHES_MAX + 50)], NOW_MS
    )
    assert len(known) == crash_ledger.CRASHES_MAX
    assert record.is_condemned(CULPRIT)


def test_operator_releases_a_request_everywhere(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        note(record, number, CULPRIT)
    other = crash_record.CrashRecord()
    crashes = [crash(n) for n in range(3)]
    other.merge(record.ledger.told(crashes, NOW_MS), NOW_MS)
    assert other.is_condemned(CULPRIT)
    assert record.clear(CULPRIT) == 3
    other.merge(record.ledger.told(crashes, NOW_MS), NOW_MS)
    assert not other.is_condemned(CULPRIT)


def test_verdicts_are_told_once(record: crash_record.CrashRecord) -> None:
    for number in range(3):
        note(record, number, CULPRIT)
    assert set(record.take_verdicts().condemned) == {CULPRIT}
    assert not record.take_verdicts().condemned
    record.clear(CULPRIT)
    assert record.take_verdicts().released == [CULPRIT]


@pytest.mark.parametrize("seed", range(10))
def test_ledger_that_starts_beside_a_full_one_is_told_each_crash_about_once(
    seed: int,
) -> None:
    full = crash_ledger.CrashLedger()
    for number in range(crash_ledger.CRASHES_MAX):
        full.note(crash(number), innocent(number), begun=False, now_ms=NOW_MS)
    started = crash_ledger.CrashLedger()
    rng = random.Random(seed)
    told = 0
    while started.digest() != full.digest():
        crashes = full.differing(started.digests(), rng)
        told += len(crashes)
        for each in full.told(crashes, NOW_MS):
            started.merge(each, NOW_MS)
    assert told <= TOLD_AT_MOST * crash_ledger.CRASHES_MAX
