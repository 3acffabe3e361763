from __future__ import annotations

from marlramp.core.configuration import event_time
from marlramp.core.configuration import named_versions

BOUND_MS = 8_000.0


def version(
    number: int, earliest_ms: float, latest_ms: float | None = None
) -> named_versions.NamedVersion:
    if latest_ms is None:
        latest_ms = earliest_ms
    return named_versions.NamedVersion(
        number, event_time.EventTime(earliest_ms, latest_ms)
    )


def test_missed_version_is_merged_with_a_newer_one() -> None:
    known = [version(1, 0.0), version(3, 5_000.0)]
    merged = named_versions.merge(known, version(2, 3_000.0))
    assert [each.version for each in merged] == [1, 2, 3]


def test_report_of_another_process_narrows_the_announcement() -> None:
    known = [version(2, 1_000.0, 5_000.0)]
    (merged,) = named_versions.merge(known, version(2, 4_200.0, 6_000.0))
    assert merged.named == event_time.EventTime(4_200.0, 5_000.0)


def test_outage_delays_a_version_that_has_not_taken_effect() -> None:
    outage = named_versions.Outage()
    for sign_ms in (20_000.0, 21_500.0, 23_000.0):
        outage.record_sign(BOUND_MS, sign_ms)
    delayed = outage.apply_to(version(2, 15_000.0))
    assert delayed.counts_from_ms == 23_000.0


def test_outage_does_not_delay_a_version_that_was_in_force_before() -> None:
    outage = named_versions.Outage()
    outage.record_sign(BOUND_MS, 20_000.0)
    in_force = outage.apply_to(version(2, 11_000.0))
    assert in_force.counts_from_ms == 11_000.0


def test_outage_longer_than_the_bound_delays_a_version_announced_before() -> (
    None
):
    outage = named_versions.Outage()
    for sign_ms in range(20_000, 32_000, 1_500):
        outage.record_sign(BOUND_MS, float(sign_ms))
    delayed = outage.apply_to(version(2, 19_500.0))
    assert delayed.counts_from_ms == 30_500.0


def test_received_age_replaces_the_estimate_from_an_outage() -> None:
    estimated = named_versions.NamedVersion(2, None, outage_ms=30_000.0)
    (merged,) = named_versions.merge([estimated], version(2, 12_000.0))
    assert merged.counts_from_ms == 12_000.0


def test_uncertainty_matters_until_a_version_is_certainly_in_force() -> None:
    known = version(2, 1_000.0, 1_400.0)
    assert known.needs_refinement(BOUND_MS, 30.0, 9_200.0)
    assert not known.needs_refinement(BOUND_MS, 30.0, 9_500.0)
    assert not version(2, 1_000.0, 1_010.0).needs_refinement(
        BOUND_MS, 30.0, 2_000.0
    )
    assert named_versions.NamedVersion(2, None).needs_refinement(
        BOUND_MS, 30.0, 2_000.0
    )


def test_version_found_to_be_in_force_is_not_delayed_by_an_outage() -> None:
    outage = named_versions.Outage()
    outage.record_sign(BOUND_MS, 20_000.0)
    delayed = outage.apply_to(version(2, 13_000.0))
    # Another process reports that the version was announced before the
    # earliest time known so far.
    (merged,) = named_versions.merge([delayed], version(2, 9_000.0, 9_100.0))
    assert outage.apply_to(merged).counts_from_ms == 9_000.0


def test_version_not_yet_in_effect_is_kept_beside_many_newer_ones() -> None:
    known: list[named_versions.NamedVersion] = []
    for number in range(2, 10):
        known = named_versions.merge(known, version(number, 500.0 * number))
    assert known[0].version == 2


def test_version_delayed_by_an_outage_is_uncertain_until_it_takes_effect() -> (
    None
):
    # The report came long after the announcement and named an outage.
    receipt = event_time.unsolicited(4_000.0, 40_000.0)
    named = receipt.dated(event_time.Ages(20_000.0, 21_000.0))
    reported = named_versions.NamedVersion(
        2, named, 35_000.0, outage_reported=True
    )
    assert reported.needs_refinement(BOUND_MS, 30.0, 40_100.0)
    assert not reported.needs_refinement(BOUND_MS, 30.0, 44_000.0)
