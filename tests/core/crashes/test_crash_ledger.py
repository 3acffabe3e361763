"""Blocking of requests that crash replicas, and exchange of the crashes."""

from __future__ import annotations

import itertools
import random

import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_record
from marlramp.core.crashes import crash_reports

CULPRIT = ids.Fingerprint("culprit")
NOW_MS = clock.Millis(1_000.0)

SENDS_PER_CRASH_MAX = 1.3
"""Most times that each crash is sent on average until two ledgers agree."""


def crash(number: int) -> ids.CrashId:
    return crash_reports.crash_id(f"i-{number}", 1)


def innocent(number: int) -> ids.Fingerprint:
    return ids.Fingerprint(f"innocent-{number}")


@pytest.fixture
def record() -> crash_record.CrashRecord:
    """A record without a crash."""
    return crash_record.CrashRecord()


def add_suspects(
    record: crash_record.CrashRecord,
    number: int,
    *requests: ids.Fingerprint,
    begun: bool = False,
    now_ms: float = NOW_MS,
) -> None:
    for request in requests:
        record.add_suspect(
            crash(number), request, begun=begun, now_ms=clock.Millis(now_ms)
        )


@pytest.mark.parametrize("others", [0, 4, 10])
def test_request_at_three_crashes_beside_random_others_is_blocked(
    record: crash_record.CrashRecord, others: int
) -> None:
    for number in range(3):
        assert not record.is_blocked(CULPRIT)
        chance = [innocent(100 * number + n) for n in range(others)]
        add_suspects(record, number, CULPRIT, *chance)
    blocked = record.ledger.blocked()
    assert set(blocked) == {CULPRIT}
    assert blocked[CULPRIT].strikes == 3.0
    assert blocked[CULPRIT].crash_ids == [crash(n) for n in range(3)]


def test_request_with_a_partial_answer_needs_more_crashes(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(5):
        add_suspects(record, number, CULPRIT, begun=True)
        assert not record.is_blocked(CULPRIT)
    add_suspects(record, 5, CULPRIT, begun=True)
    assert record.is_blocked(CULPRIT)


def test_request_that_followed_the_culprit_is_not_blocked(
    record: crash_record.CrashRecord,
) -> None:
    # The innocent request was retried at the replicas that the culprit reached
    # next.
    for number in range(6):
        add_suspects(record, number, CULPRIT)
    for number in range(3):
        add_suspects(record, number, innocent(1))
    assert set(record.ledger.blocked()) == {CULPRIT}


def test_crashes_that_many_requests_share_block_none(
    record: crash_record.CrashRecord,
) -> None:
    # All replicas of a service crash three times with the same 12 requests.
    for number in range(3):
        add_suspects(record, number, *[innocent(n) for n in range(12)])
    assert not record.ledger.blocked()


def test_popular_request_is_cleared_by_successful_runs(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(20):
        record.record_success(CULPRIT, NOW_MS)
        add_suspects(record, number, CULPRIT)
    assert record.ledger.strikes(CULPRIT) == 0.0
    add_suspects(record, 20, CULPRIT)
    add_suspects(record, 21, CULPRIT)
    record.record_success(CULPRIT, NOW_MS)
    assert record.ledger.strikes(CULPRIT) == 1.0


def test_request_that_crashes_most_of_its_runs_is_blocked(
    record: crash_record.CrashRecord,
) -> None:
    number = 0
    for _ in range(3):
        record.record_success(CULPRIT, NOW_MS)
        add_suspects(record, number, CULPRIT)
        add_suspects(record, number + 1, CULPRIT)
        number += 2
    assert record.is_blocked(CULPRIT)


def test_one_crash_reported_by_several_entries_is_one_strike(
    record: crash_record.CrashRecord,
) -> None:
    sent = crash_reports.Crash(
        crash(0), 50.0, [crash_reports.Suspect(CULPRIT, begun=True)]
    )
    for _ in range(4):
        record.merge([sent], NOW_MS)
        add_suspects(record, 0, CULPRIT)
    assert record.ledger.strikes(CULPRIT) == 1.0


def test_two_starts_of_one_replica_are_two_crashes(
    record: crash_record.CrashRecord,
) -> None:
    for born_ms in (1, 2):
        record.add_suspect(
            crash_reports.crash_id("i-0", born_ms),
            CULPRIT,
            begun=False,
            now_ms=NOW_MS,
        )
    assert record.ledger.strikes(CULPRIT) == 2.0


@pytest.mark.parametrize("seed", range(5))
def test_ledgers_agree_for_any_order_of_updates(seed: int) -> None:
    rng = random.Random(seed)
    records = [crash_record.CrashRecord() for _ in range(3)]
    sent: list[crash_reports.Crash] = []
    for number, one in itertools.product(range(6), records):
        add_suspects(one, number, CULPRIT, innocent(rng.randrange(4)))
        if rng.random() < 0.3:
            one.record_success(innocent(rng.randrange(4)), NOW_MS)
        sent += one.ledger.export(one.pop_changed(), NOW_MS)
    for one in records:
        for update in rng.choices(sent, k=40):
            one.merge([update], NOW_MS)
        one.merge(rng.sample(sent, len(sent)), NOW_MS)
    # Successful runs that a record holds clear more suspects once an update of
    # a crash arrives.
    for one, other in itertools.permutations(records, 2):
        crashes = other.ledger.differing(one.ledger.digests(), rng)
        one.merge(other.ledger.export(crashes, NOW_MS), NOW_MS)
    assert len({one.ledger.digest() for one in records}) == 1
    blocked_sets = [set(one.ledger.blocked()) for one in records]
    assert blocked_sets[0] == blocked_sets[1] == blocked_sets[2]


def test_crashes_of_blocked_requests_are_kept_and_others_dropped(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        add_suspects(record, number, CULPRIT)
    add_suspects(record, 3, innocent(1))
    later_ms = NOW_MS + crash_ledger.CRASH_AGE_MAX_MS + 1.0
    record.tick(clock.Millis(later_ms))
    assert record.is_blocked(CULPRIT)
    assert record.ledger.strikes(innocent(1)) == 0.0


def test_ledger_holds_at_most_crashes_max(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        add_suspects(record, number, CULPRIT)
    for number in range(3, crash_ledger.CRASHES_MAX + 50):
        add_suspects(record, number, innocent(number))
    record.tick(NOW_MS)
    known = record.ledger.export(
        [crash(n) for n in range(crash_ledger.CRASHES_MAX + 50)], NOW_MS
    )
    assert len(known) == crash_ledger.CRASHES_MAX
    assert record.is_blocked(CULPRIT)


def test_operator_releases_a_request_everywhere(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        add_suspects(record, number, CULPRIT)
    other = crash_record.CrashRecord()
    crashes = [crash(n) for n in range(3)]
    other.merge(record.ledger.export(crashes, NOW_MS), NOW_MS)
    assert other.is_blocked(CULPRIT)
    assert record.clear(CULPRIT) == 3
    other.merge(record.ledger.export(crashes, NOW_MS), NOW_MS)
    assert not other.is_blocked(CULPRIT)


def test_block_changes_are_returned_once(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        add_suspects(record, number, CULPRIT)
    assert set(record.pop_block_changes().blocked) == {CULPRIT}
    assert not record.pop_block_changes().blocked
    record.clear(CULPRIT)
    assert record.pop_block_changes().released == [CULPRIT]


@pytest.mark.parametrize("seed", range(10))
def test_empty_ledger_is_sent_each_crash_of_a_full_one_about_once(
    seed: int,
) -> None:
    full = crash_ledger.CrashLedger()
    for number in range(crash_ledger.CRASHES_MAX):
        full.add_suspect(
            crash(number), innocent(number), begun=False, now_ms=NOW_MS
        )
    started = crash_ledger.CrashLedger()
    rng = random.Random(seed)
    sent = 0
    while started.digest() != full.digest():
        crashes = full.differing(started.digests(), rng)
        sent += len(crashes)
        for each in full.export(crashes, NOW_MS):
            started.merge(each, NOW_MS)
    assert sent <= SENDS_PER_CRASH_MAX * crash_ledger.CRASHES_MAX
