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
    assert kinds == set(schedule.FaultKind) - schedule.PLACEMENT_KINDS
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
