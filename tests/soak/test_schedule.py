from __future__ import annotations

import collections

from soak import schedule


def test_seed_determines_the_faults() -> None:
    size = schedule.Size()
    assert schedule.draw(5, size) == schedule.draw(5, size)
    assert schedule.draw(5, size) != schedule.draw(6, size)
    with_placement = schedule.draw(5, size, placement=True)
    assert with_placement == schedule.draw(5, size, placement=True)
    assert set(with_placement.faults) > set(schedule.draw(5, size).faults)


def test_every_kind_is_drawn_within_the_bounds_of_the_run() -> None:
    size = schedule.Size()
    plans = [schedule.draw(seed, size) for seed in range(60)]
    kinds = {fault.kind for plan in plans for fault in plan.faults}
    assert kinds == set(schedule.FaultKind) - schedule.ADDED_KINDS
    for plan in plans:
        assert all(0 <= f.at_ms <= size.trouble_ms for f in plan.faults)
        assert plan.calm_ms >= max(f.at_ms for f in plan.faults)


def test_evacuations_vary_in_duration_and_number_of_data_centres() -> None:
    """Guards against plans in which no evacuation outlasts its bound."""
    plans = [
        schedule.draw(seed, schedule.Size(), placement=True)
        for seed in range(60)
    ]
    drawn = [
        fault
        for plan in plans
        for fault in plan.faults
        if fault.kind in schedule.PLACEMENT_KINDS
    ]
    assert {fault.kind for fault in drawn} == schedule.PLACEMENT_KINDS
    at_once = collections.Counter(fault.at_ms for fault in drawn)
    assert set(at_once.values()) == {1, 2, 3}
    assert min(fault.for_ms for fault in drawn) < 2_000.0
    assert max(fault.for_ms for fault in drawn) > 5_000.0


def test_silences_are_single_joint_and_in_series() -> None:
    """Guards against silences that change the other faults of a seed."""
    at_once: collections.Counter[float] = collections.Counter()
    in_series = 0
    for seed in range(60):
        plain = schedule.draw(seed, schedule.Size())
        plan = schedule.draw(seed, schedule.Size(), silent=True)
        assert set(plan.faults) > set(plain.faults)
        drawn = set(plan.faults) - set(plain.faults)
        assert {fault.kind for fault in drawn} == {schedule.FaultKind.SILENT}
        assert all(800.0 <= fault.for_ms <= 1_500.0 for fault in drawn)
        at_once.update(fault.at_ms for fault in drawn)
        in_series += len(drawn) > len({fault.target for fault in drawn})
    assert {1, 2, 4, 7} == set(at_once.values())
    assert in_series > 30


def test_bytes_without_end_leave_the_other_faults_unchanged() -> None:
    for seed in range(60):
        plain = schedule.draw(seed, schedule.Size())
        plan = schedule.draw(seed, schedule.Size(), endless=True)
        drawn = set(plan.faults) - set(plain.faults)
        assert set(plan.faults) > set(plain.faults)
        assert {fault.kind for fault in drawn} == {schedule.FaultKind.ENDLESS}


def test_kills_in_quick_succession_leave_the_other_faults_unchanged() -> None:
    size = schedule.FAILING_SIZE
    for seed in range(60):
        plain = schedule.draw(seed, size)
        plan = schedule.draw(seed, size, failing=True)
        drawn = set(plan.faults) - set(plain.faults)
        assert set(plan.faults) > set(plain.faults)
        assert {fault.kind for fault in drawn} == {schedule.FaultKind.KILL}
        assert len({fault.at_ms for fault in drawn}) >= 3
