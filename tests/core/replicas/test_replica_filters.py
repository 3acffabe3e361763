"""Tests of the filters on replicas, of their order and of the refusals."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import fleet
from marlramp.core.configuration import version_cutoff
from marlramp.core.replicas import admission
from marlramp.core.replicas import breaker
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice

MakeReplica: TypeAlias = Callable[..., fleet.Replica]
MakeView: TypeAlias = Callable[..., replica_view.ReplicaView]

Filter = replica_filters.Filter
NOWHERE_NEAR = upstream_choice.PreferredLocations(frozenset())
PLACEMENT = replica_filters.Placement(
    regions={"dc-1": "west", "dc-2": "west", "dc-3": "east"},
    allowed_regions=frozenset({"west"}),
    evacuated=frozenset({ids.DataCentreId("dc-2")}),
)
NEEDS = replica_filters.RequestNeeds(
    engine=None,
    prompt_tokens=1,
    events=1.0,
    oldest_weights=0,
    failed=(),
    placement=PLACEMENT,
)


class NoShare:
    """A share of cold replicas that permits no request."""

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        return 0


@pytest.fixture
def make_view(make_replica: MakeReplica, time: clock.ManualClock) -> MakeView:
    """Makes views of replicas in a data centre that have named faults."""

    def make(data_centre: str, *faults: Filter) -> replica_view.ReplicaView:
        state = fleet.ReplicaState.HEALTHY
        if Filter.DRAINING in faults:
            state = fleet.ReplicaState.DRAINING
        weights = 0 if Filter.WEIGHTS in faults else 1
        replica = make_replica(
            replica_id=f"i-{data_centre}",
            data_centre=data_centre,
            state=state,
            weights=weights,
        )
        view = replica_view.ReplicaView(replica, breaker.Breaker(3, 1_500.0))
        if Filter.CLOSED in faults:
            view.availability.record_pause(5_000.0, 0.0, time.now_ms())
        if Filter.COLD in faults:
            view.cold = cold_replica.ColdReplica(
                "i", 17.0, 3_000.0, 0.0, NoShare()
            )
            view.cold.record_listed(700.0, time.now_ms())
        return view

    return make


def decide(
    views: list[replica_view.ReplicaView],
    now_ms: clock.Millis,
    **changes: bool,
) -> upstream_choice.Choice | admission.Refusal | None:
    request = admission.Request(
        wanted=NEEDS,
        elapsed_ms=0.0,
        wait_max_ms=2_000.0,
        objective_ms=400.0,
        **changes,
    )
    rng = random.Random(1)
    return admission.decide(views, request, NOWHERE_NEAR, now_ms, rng)


@pytest.mark.parametrize(
    ("data_centre", "expected"),
    [
        ("dc-1", None),
        ("dc-2", Filter.EVACUATED),
        ("dc-3", Filter.REGIONS),
        ("dc-unknown", Filter.REGIONS),
    ],
)
def test_place_of_a_replica_decides(
    data_centre: str,
    expected: Filter | None,
    make_view: MakeView,
    time: clock.ManualClock,
) -> None:
    """Guards against a data centre without a region that counts as allowed."""
    found = replica_filters.exclusion(
        make_view(data_centre), NEEDS, time.now_ms()
    )
    assert found is expected


def test_data_centre_without_a_region_serves_unbound_requests(
    make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against an evacuation elsewhere that binds all requests."""
    unbound = msgspec.structs.replace(PLACEMENT, allowed_regions=None)
    needs = msgspec.structs.replace(NEEDS, placement=unbound)
    view = make_view("dc-unknown")
    assert replica_filters.admits(view, needs, time.now_ms())


@pytest.mark.parametrize("first", list(Filter))
def test_filters_apply_in_their_order(
    first: Filter,
    engine: fleet.EngineSpec,
    make_view: MakeView,
    time: clock.ManualClock,
) -> None:
    """Guards against a later filter that hides the reason of an earlier one."""
    order = list(Filter)
    faults = order[order.index(first) :]
    data_centre = {Filter.REGIONS: "dc-3", Filter.EVACUATED: "dc-2"}
    view = make_view(data_centre.get(first, "dc-1"), *faults)
    placement = PLACEMENT
    if first is Filter.REGIONS:
        evacuated = frozenset({ids.DataCentreId("dc-3")})
        placement = msgspec.structs.replace(PLACEMENT, evacuated=evacuated)
    needs = msgspec.structs.replace(NEEDS, engine=engine, placement=placement)
    assert replica_filters.exclusion(view, needs, time.now_ms()) is first


def test_version_past_its_cutoff_is_excluded_by_weights(
    engine: fleet.EngineSpec, make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against a cutoff that names no filter."""
    cutoff = version_cutoff.VersionCutoff(2, time.now_ms())
    needs = msgspec.structs.replace(NEEDS, engine=engine, cutoffs=[cutoff])
    view = make_view("dc-1")
    found = replica_filters.exclusion(view, needs, time.now_ms())
    assert found is Filter.WEIGHTS


def test_emptying_filter_is_the_last_one_that_removed_replicas(
    make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against a reason that is not that of the last replicas."""
    elsewhere, evacuated = make_view("dc-3"), make_view("dc-2")
    cold = make_view("dc-1", Filter.COLD)

    def emptying(*views: replica_view.ReplicaView) -> Filter | None:
        return replica_filters.emptying_filter(views, NEEDS, time.now_ms())

    assert emptying() is None
    assert emptying(elsewhere) is Filter.REGIONS
    assert emptying(evacuated, elsewhere) is Filter.EVACUATED
    assert emptying(cold, evacuated, elsewhere) is Filter.COLD
    assert emptying(cold, make_view("dc-1"), elsewhere) is None


@pytest.mark.parametrize(
    ("data_centre", "reason"),
    [
        ("dc-3", admission.RefusalReason.REGIONS),
        ("dc-2", admission.RefusalReason.EVACUATED),
    ],
)
def test_refusal_names_the_filter_and_a_random_time(
    data_centre: str,
    reason: admission.RefusalReason,
    make_view: MakeView,
    time: clock.ManualClock,
) -> None:
    """Guards against callers that return together, or too early."""
    refusal = decide([make_view(data_centre)], time.now_ms())
    assert isinstance(refusal, admission.Refusal)
    assert refusal.reason is reason
    assert 1_200.0 <= refusal.retry_after_ms <= 1_800.0


@pytest.mark.parametrize("state", ["begun", "maybe_ran"])
def test_request_that_may_have_run_is_not_refused_for_its_place(
    state: str, make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against a false "not run" after an attempt that may have run."""
    views = [make_view("dc-2"), make_view("dc-3")]
    assert decide(views, time.now_ms(), **{state: True}) is None


def test_paused_replicas_elsewhere_do_not_count(
    make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against the retry time of a replica that can't be used."""
    views = [make_view("dc-1", Filter.CLOSED), make_view("dc-3")]
    refusal = decide(views, time.now_ms())
    assert isinstance(refusal, admission.Refusal)
    assert refusal.reason is admission.RefusalReason.PAUSED
    assert refusal.retry_after_ms >= 5_000.0


def test_cold_replica_without_a_share_is_no_last_resort(
    make_view: MakeView, time: clock.ManualClock
) -> None:
    """Guards against a trial at a cold replica that can't be written."""
    view = make_view("dc-1", Filter.COLD)
    view.availability.record_refusal(time.now_ms(), time.now_ms())
    assert decide([view], time.now_ms()) is None
