"""Replays the load patterns that admission is designed for."""

from __future__ import annotations

import pytest

from marlramp.experiments import overload
from marlramp.experiments import overload_plan


def run_replay(**changes: object) -> list[overload_plan.Second]:
    plan = overload_plan.Plan(**changes)  # type: ignore[arg-type]
    return overload.Replay(plan).run()


def served_in_time(seconds: list[overload_plan.Second], engines: int) -> float:
    """Returns the answers in time as a part of the engines' capacity."""
    capacity = overload.CAPACITY_PER_ENGINE * engines * len(seconds)
    return overload_plan.total(seconds).in_time / capacity


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.3, 2.0, 4.0])
def test_overload_without_an_end_leaves_most_of_the_capacity_in_time(
    load: float, seed: int
) -> None:
    seconds = run_replay(load=load, seconds=12.0, seed=seed)
    # Below 0.1 if late requests are not queued at the back: then almost all
    # answers are late.
    assert served_in_time(seconds, engines=6) > 0.4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_herd_after_an_outage_does_not_keep_the_others_late(
    seed: int,
) -> None:
    seconds = run_replay(load=0.75, seconds=16.0, outage_s=2.0, seed=seed)
    # The outage lasts from 4 to 6 s, and refused callers retry until 8 s.
    after = overload_plan.total(seconds[8:14])
    assert after.in_time > 0.8 * after.arrived


def test_entries_with_stale_views_serve_more_than_if_nobody_yields() -> None:
    size = {"entries": 24, "engines": 10, "load": 1.3, "seconds": 12.0}
    shipped = overload_plan.total(run_replay(**size))
    baseline = overload_plan.total(
        run_replay(**size, policy=overload_plan.Policy.SEND_ALL)
    )
    assert shipped.in_time > 2 * baseline.in_time


def test_many_entries_that_share_full_engines_serve_a_third_in_time() -> None:
    size = {"entries": 43, "engines": 20, "load": 1.6, "seconds": 12.0}
    served = overload_plan.total(run_replay(**size))
    # 0.22 if each entry learns on its own how far off its view of each engine
    # is.
    assert served.in_time > 0.3 * served.arrived


def test_calm_load_is_served_in_time() -> None:
    calm = overload_plan.total(run_replay(load=0.6, seconds=10.0))
    assert calm.in_time > 0.97 * calm.arrived
    assert calm.refused == calm.left == 0


def test_same_seed_gives_the_same_results() -> None:
    assert run_replay(seconds=3.0) == run_replay(seconds=3.0)


@pytest.mark.parametrize(
    ("changes", "name"),
    [({"engines": 0}, "engines"), ({"outage_s": 30.0}, "outage_s")],
)
def test_plan_that_cannot_be_replayed_is_refused(
    changes: dict[str, object], name: str
) -> None:
    with pytest.raises(ValueError, match=name):
        overload_plan.check(overload_plan.Plan(**changes))  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_evacuation_during_a_burst_keeps_the_other_engines_in_time(
    seed: int,
) -> None:
    # A third of the engines is evacuated at 4 s and gets no more requests.
    seconds = run_replay(
        engines=21,
        entries=42,
        load=1.2,
        seconds=16.0,
        evacuation_s=8.0,
        seed=seed,
    )
    assert served_in_time(seconds[6:12], engines=14) > 0.4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_data_centre_that_returns_under_load_gets_no_herd(
    seed: int,
) -> None:
    # Every entry prefers the idle engines that return at 8 s.
    plan = overload_plan.Plan(
        engines=21,
        entries=42,
        load=0.9,
        seconds=16.0,
        evacuation_s=4.0,
        seed=seed,
    )
    replay = overload.Replay(plan)
    seconds = replay.run()
    most = max(map(overload.most_in_a_second, replay.cold_arrivals.values()))
    assert most < 1.5 * plan.cold_per_s + 5
    after = overload_plan.total(seconds[10:14])
    assert after.in_time > 0.8 * after.arrived


def test_limited_sends_to_cold_engines_leave_more_callers_in_time() -> None:
    # Without the limits, idle engines get more requests than they can begin in
    # time.
    size = {
        "engines": 21,
        "entries": 42,
        "load": 0.9,
        "seconds": 12.0,
        "evacuation_s": 3.0,
    }
    shipped = overload_plan.total(run_replay(**size)[6:8])
    unlimited = overload_plan.total(run_replay(**size, limits_cold=False)[6:8])
    assert shipped.in_time > 1.1 * unlimited.in_time
