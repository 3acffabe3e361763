"""Parts of prompts as the cause of crashes."""

from __future__ import annotations

import itertools
import random

import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.crashes import crash_record
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import part_suspicion
from marlramp.core.crashes import possible_causes
from marlramp.core.crashes import run_outcomes

NOW_MS = clock.Millis(100_000.0)
FIRST = possible_causes.part_fingerprint("m", "f0")
CULPRIT = possible_causes.part_fingerprint("m", "c0")
BESIDE = possible_causes.part_fingerprint("m", "b0")
OTHER = possible_causes.part_fingerprint("m", "a0")

CRASHES_MAX = 5
"""Crashes up to which a part that causes all of them is condemned."""


GAP_MS = 400.0
"""Time between two crashes."""


def crash_ms(number: int) -> clock.Millis:
    """Returns when a crash happens."""
    return at(GAP_MS * number)


def at(milliseconds: float) -> clock.Millis:
    """Returns a time after `NOW_MS`."""
    return clock.Millis(NOW_MS + milliseconds)


def crash(number: int) -> ids.CrashId:
    return crash_reports.crash_id(f"i-{number}", 1)


def causes(
    number: int, *parts: ids.PartFingerprint
) -> possible_causes.PossibleCauses:
    """Returns a request of its own content with some parts."""
    return possible_causes.PossibleCauses(
        ids.Fingerprint(f"request-{number}"), parts
    )


def lose(
    record: crash_record.CrashRecord,
    number: int,
    *requests: possible_causes.PossibleCauses,
) -> None:
    """Loses the runs of requests that begin in one crash, and judges."""
    for request in requests:
        record.add_part_suspects(crash(number), request, crash_ms(number))
    record.judge_parts(at(GAP_MS * number + part_suspicion.SETTLE_MS))


def condemned(
    record: crash_record.CrashRecord,
) -> set[ids.PartFingerprint]:
    return set(record.ledger.parts.condemned())


@pytest.fixture
def record() -> crash_record.CrashRecord:
    """A record of an entry that has just started."""
    return crash_record.CrashRecord()


@pytest.fixture
def used_record() -> crash_record.CrashRecord:
    """A record of an entry at which 20 runs with another part survived."""
    record = crash_record.CrashRecord()
    for _ in range(20):
        record.record_survival((OTHER,), NOW_MS)
    return record


def test_part_of_all_lost_runs_is_condemned_without_other_runs(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(CRASHES_MAX):
        assert not record.is_blocked(CULPRIT)
        lose(record, number, causes(number, CULPRIT))
    assert condemned(record) == {CULPRIT}
    assert record.is_blocked(CULPRIT)
    evidence = record.ledger.parts.condemned()[CULPRIT]
    assert evidence.strikes == evidence.carriers == CRASHES_MAX


def test_crashes_at_the_same_time_condemn_no_part(
    used_record: crash_record.CrashRecord,
) -> None:
    # A popular part has requests in flight at all replicas that one event ends.
    for number in range(8):
        now_ms = at(20.0 * number)
        used_record.add_part_suspects(
            crash(number), causes(number, FIRST), now_ms
        )
    used_record.judge_parts(at(1_000.0))
    assert not used_record.is_blocked(FIRST)
    assert not used_record.runs_alone(causes(9, FIRST))
    assert used_record.ledger.parts.strikes(FIRST) == 1


def test_part_is_condemned_sooner_where_most_runs_survive(
    used_record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        assert not used_record.is_blocked(CULPRIT)
        lose(used_record, number, causes(number, CULPRIT))
    assert used_record.is_blocked(CULPRIT)


def test_first_part_that_sound_requests_share_is_not_condemned(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(20):
        record.record_survival((FIRST,), crash_ms(number))
        lose(record, number, causes(number, FIRST, CULPRIT))
    assert condemned(record) == {CULPRIT}


def test_of_parts_at_the_same_crashes_the_last_one_is_condemned(
    record: crash_record.CrashRecord,
) -> None:
    # While no sound request comes, nothing tells the first part from it.
    for number in range(2 * CRASHES_MAX):
        lose(record, number, causes(number, FIRST, CULPRIT))
    assert condemned(record) == {CULPRIT}


def test_first_part_that_crashes_replicas_is_condemned_beside_another(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(CRASHES_MAX):
        lose(record, number, causes(number, FIRST, BESIDE))
    assert condemned(record) == {BESIDE}
    for number in range(CRASHES_MAX, CRASHES_MAX + 2):
        lose(record, number, causes(number, FIRST, OTHER))
    assert FIRST in condemned(record)


def test_survival_clears_a_part_of_crashes_at_other_entries() -> None:
    records = [crash_record.CrashRecord() for _ in range(2)]
    crashes = [crash(number) for number in range(CRASHES_MAX)]
    for number, record in itertools.product(range(CRASHES_MAX), records):
        lose(record, number, causes(number, FIRST))
    assert condemned(records[0]) == {FIRST}
    now_ms = crash_ms(CRASHES_MAX)
    # A run that began long before the crashes clears none of them.
    records[1].record_survival((FIRST,), at(-5_000.0))
    assert condemned(records[1]) == {FIRST}
    records[1].record_survival((FIRST,), now_ms)
    exported = records[1].ledger.export(crashes, now_ms)
    records[0].merge(exported, now_ms)
    assert condemned(records[0]) == set()


def test_survival_clears_a_part_of_an_older_crash_that_is_learnt_late(
    record: crash_record.CrashRecord,
) -> None:
    record.record_survival((FIRST,), NOW_MS)
    suspect = crash_reports.Suspect(FIRST, begun=False, carrier="request-1")
    old = crash_reports.Crash(crash(1), 5_000.0, [suspect])
    new = crash_reports.Crash(crash(2), 0.0, [suspect])
    record.merge([old, new], at(3_000.0))
    assert record.ledger.suspects() == {FIRST: [crash(2)]}


def test_survivals_before_a_part_turned_bad_do_not_save_it(
    used_record: crash_record.CrashRecord,
) -> None:
    for _ in range(100):
        used_record.record_survival((CULPRIT,), NOW_MS)
    for number in range(CRASHES_MAX):
        lose(used_record, 4 + number, causes(number, CULPRIT))
    assert used_record.is_blocked(CULPRIT)


def test_long_answer_that_began_before_a_part_turned_bad_does_not_save_it(
    used_record: crash_record.CrashRecord,
) -> None:
    for number in range(CRASHES_MAX):
        lose(used_record, 4 + number, causes(number, CULPRIT))
    used_record.record_survival((CULPRIT,), NOW_MS)
    assert used_record.is_blocked(CULPRIT)


def test_parts_of_one_request_that_is_sent_again_are_not_condemned(
    used_record: crash_record.CrashRecord,
) -> None:
    for number in range(10):
        lose(used_record, number, causes(1, BESIDE))
    assert not used_record.is_blocked(BESIDE)


def test_part_that_was_beside_the_culprit_is_not_condemned(
    record: crash_record.CrashRecord,
) -> None:
    for number in range(4):
        lose(record, number, causes(number, CULPRIT))
    for number in range(4, 8):
        lose(
            record,
            number,
            causes(number, CULPRIT, BESIDE),
            causes(100 + number, BESIDE),
        )
    assert condemned(record) == {CULPRIT}


def test_replicas_that_crash_whatever_they_run_condemn_no_part(
    record: crash_record.CrashRecord,
) -> None:
    parts = [possible_causes.part_fingerprint("m", f"{n:x}") for n in range(40)]
    rng = random.Random(1)
    for number in range(60):
        requests = [
            causes(rng.randrange(1_000), part) for part in rng.sample(parts, 4)
        ]
        lose(record, number, *requests)
    assert condemned(record) == set()


def test_culprit_is_condemned_while_no_run_survives(
    record: crash_record.CrashRecord,
) -> None:
    # Each replica crashes soon after its start, with sound runs beside.
    for number in range(2 * CRASHES_MAX):
        sound = [causes(100 * number + n, FIRST) for n in range(1, 7)]
        lose(record, number, *sound, causes(number, FIRST, CULPRIT))
    assert condemned(record) == {CULPRIT}


def test_condemned_part_is_blocked_by_entries_that_know_no_runs(
    used_record: crash_record.CrashRecord, record: crash_record.CrashRecord
) -> None:
    for number in range(3):
        lose(used_record, number, causes(number, CULPRIT))
    exported = used_record.ledger.export(
        [crash(number) for number in range(3)], NOW_MS
    )
    record.merge(exported, NOW_MS)
    assert record.is_blocked(CULPRIT)
    assert record.ledger.digest() == used_record.ledger.digest()


def test_requests_beside_a_condemned_part_keep_no_strikes(
    used_record: crash_record.CrashRecord,
) -> None:
    victim = ids.Fingerprint("victim")
    for number in range(3):
        used_record.add_suspect(
            crash(number), victim, begun=False, now_ms=crash_ms(number)
        )
    assert used_record.is_blocked(victim)
    for number in range(3):
        lose(used_record, number, causes(number, FIRST, CULPRIT))
    assert not used_record.is_blocked(victim)
    assert not used_record.runs_alone(possible_causes.PossibleCauses(victim))
    assert not used_record.runs_alone(causes(0, FIRST))
    assert used_record.runs_alone(causes(0, CULPRIT))
    assert used_record.pop_block_changes().blocked == {}
    used_record.clear(CULPRIT)
    assert used_record.is_blocked(victim)


def test_operator_releases_a_part(
    used_record: crash_record.CrashRecord,
) -> None:
    for number in range(6):
        lose(used_record, number, causes(number, FIRST, CULPRIT))
    changes = used_record.pop_block_changes()
    assert set(changes.parts) == {CULPRIT}
    assert used_record.clear(CULPRIT) == 6
    assert used_record.pop_block_changes().released == [CULPRIT]
    used_record.tick(at(1_000.0))
    assert condemned(used_record) == set()


def test_condemned_part_outlives_the_age_of_crashes(
    used_record: crash_record.CrashRecord,
) -> None:
    for number in range(3):
        lose(used_record, number, causes(number, CULPRIT))
    lose(used_record, 9, causes(9, BESIDE))
    used_record.tick(at(3_600_000.0))
    assert used_record.is_blocked(CULPRIT)
    assert set(used_record.ledger.suspects()) == {CULPRIT}


@pytest.mark.parametrize("seed", range(5))
def test_ledgers_agree_on_parts_for_any_order_of_updates(seed: int) -> None:
    rng = random.Random(seed)
    records = [crash_record.CrashRecord() for _ in range(3)]
    crashes = [crash(number) for number in range(8)]
    for number, record in itertools.product(range(8), records):
        found = causes(rng.randrange(20), CULPRIT, BESIDE)
        lose(record, number, found)
        if rng.random() < 0.2:
            record.record_survival((BESIDE,), at(number))
    # The second round spreads what the first one made an entry condemn.
    for _ in range(3):
        sent = [
            each
            for record in records
            for each in record.ledger.export(crashes, crash_ms(8))
        ]
        for record in records:
            rng.shuffle(sent)
            record.merge(sent, crash_ms(8))
            record.judge_parts(crash_ms(9))
    assert len({record.ledger.digest() for record in records}) == 1
    assert all(CULPRIT in condemned(record) for record in records)


def test_runs_count_for_a_limited_time() -> None:
    outcomes = run_outcomes.RunOutcomes()
    fresh = outcomes.loss_probability((), NOW_MS)
    for _ in range(30):
        outcomes.record_survived(NOW_MS)
        outcomes.record_lost(crash(1), NOW_MS)
    assert outcomes.loss_probability([crash(1)], NOW_MS) < 0.05
    assert outcomes.loss_probability([crash(2)], NOW_MS) > 0.4
    later_ms = at(run_outcomes.WINDOW_MS + run_outcomes.BUCKET_MS)
    assert outcomes.loss_probability((), later_ms) == fresh


def condemn_first(record: crash_record.CrashRecord) -> None:
    """Condemns the first part, since nothing else explains the crashes."""
    for number in range(CRASHES_MAX):
        lose(record, number, causes(number, FIRST))
    record.tick(crash_ms(CRASHES_MAX))
    assert condemned(record) == {FIRST}


def test_condemned_part_is_tried_twice_at_most(
    record: crash_record.CrashRecord,
) -> None:
    condemn_first(record)
    known_ms = crash_ms(CRASHES_MAX)
    trials = []
    for wait_ms in range(0, 60_000, 100):
        now_ms = clock.Millis(known_ms + wait_ms)
        if record.part_to_try(causes(9, FIRST), now_ms) == FIRST:
            record.begin_trial(FIRST)
            trials.append(wait_ms)
    assert trials == [1_000, 7_000]


def test_trials_that_another_entry_made_count(
    record: crash_record.CrashRecord,
) -> None:
    condemn_first(record)
    record.begin_trial(FIRST)
    record.begin_trial(FIRST)
    other = crash_record.CrashRecord()
    now_ms = crash_ms(CRASHES_MAX)
    other.merge(record.ledger.export(record.pop_changed(), now_ms), now_ms)
    other.tick(now_ms)
    assert other.is_blocked(FIRST)
    assert other.part_to_try(causes(9, FIRST), at(60_000.0)) is None


def test_request_with_a_more_suspicious_part_is_no_trial(
    record: crash_record.CrashRecord,
) -> None:
    condemn_first(record)
    for number in range(CRASHES_MAX, CRASHES_MAX + 2):
        lose(record, number, causes(number, OTHER))
    now_ms = at(60_000.0)
    assert record.part_to_try(causes(9, FIRST, OTHER), now_ms) is None
    assert record.part_to_try(causes(9, FIRST, BESIDE), now_ms) == FIRST


def test_trial_that_survives_releases_a_part_at_all_entries(
    record: crash_record.CrashRecord,
) -> None:
    condemn_first(record)
    other = crash_record.CrashRecord()
    now_ms = crash_ms(CRASHES_MAX)
    other.merge(record.ledger.export(record.pop_changed(), now_ms), now_ms)
    record.begin_trial(FIRST)
    record.record_survival((FIRST,), now_ms)
    other.merge(record.ledger.export(record.pop_changed(), now_ms), now_ms)
    assert not record.is_blocked(FIRST)
    assert not other.is_blocked(FIRST)
