from __future__ import annotations

from soak import schedule


def test_a_seed_gives_the_same_faults_again() -> None:
    size = schedule.Size()
    assert schedule.draw(5, size) == schedule.draw(5, size)
    assert schedule.draw(5, size) != schedule.draw(6, size)


def test_every_kind_is_drawn_within_the_bounds_of_the_run() -> None:
    size = schedule.Size()
    plans = [schedule.draw(seed, size) for seed in range(60)]
    kinds = {fault.kind for plan in plans for fault in plan.faults}
    assert kinds == set(schedule.FaultKind)
    for plan in plans:
        assert all(0 <= f.at_ms <= size.trouble_ms for f in plan.faults)
        assert plan.calm_ms >= max(f.at_ms for f in plan.faults)
