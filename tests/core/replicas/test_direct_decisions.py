from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp.core.configuration import fleet
from marlramp.core.replicas import breaker
from marlramp.core.replicas import engine_load
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import upstream_choice
from marlramp.core.requests import event_stream
from marlramp.core.requests import retry_share
from marlramp.core.weights import swap_schedule

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

WANTED = replica_filters.RequestNeeds(
    engine=None, prompt_tokens=0, events=1.0, oldest_weights=0, failed=()
)
REPORT = replica_view.LoadReport(
    address="127.0.0.1:1", weights=1, running=0, waiting=0, pace=1.0, opens=True
)

ANYWHERE = upstream_choice.PreferredLocations(frozenset())


def view_of(replica: fleet.Replica) -> replica_view.ReplicaView:
    return replica_view.ReplicaView(replica, breaker.Breaker(3, 1_500.0))


def ids_of(choices: list[upstream_choice.Choice]) -> list[str]:
    return [choice.view.replica.replica_id for choice in choices]


@pytest.fixture
def needs(engine: fleet.EngineSpec) -> replica_filters.RequestNeeds:
    return msgspec.structs.replace(
        WANTED, engine=engine, prompt_tokens=900, events=18.0, oldest_weights=1
    )


def test_engine_without_weights_receives_no_requests(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    empty = view_of(make_replica(replica_id="i-0", weights=0))
    loaded = view_of(make_replica())
    loaded.record_load(15, 4, time.now_ms())
    ranked = upstream_choice.rank(
        [empty, loaded], needs, ANYWHERE, time.now_ms()
    )
    assert ids_of(ranked) == ["i-1"]


def test_engine_on_an_outdated_version_receives_no_requests(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    newer = msgspec.structs.replace(needs, oldest_weights=2)
    old = view_of(make_replica())
    assert upstream_choice.rank([old], newer, ANYWHERE, time.now_ms()) == []


def test_retried_request_avoids_replicas_that_most_breakers_exclude(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    views = [view_of(make_replica(replica_id=f"i-{n}")) for n in range(3)]
    for view in views[1:]:
        for _ in range(3):
            view.record_incomplete(time.now_ms())
    first = upstream_choice.rank(views, WANTED, ANYWHERE, time.now_ms())
    assert len(first) == len(views)
    retried = msgspec.structs.replace(WANTED, avoids_lost=True)
    ranked = upstream_choice.rank(views, retried, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-0"]


@pytest.mark.parametrize(
    ("failed", "heard_ms", "expected"),
    [(True, 0.0, []), (False, 0.0, ["i-1"]), (True, 1_900.0, ["i-1"])],
)
def test_retried_request_avoids_a_replica_that_failed_and_is_out_of_contact(
    make_replica: MakeReplica,
    time: clock.ManualClock,
    failed: bool,
    heard_ms: float,
    expected: list[str],
) -> None:
    view = view_of(make_replica())
    started_ms = time.now_ms()
    view.report, view.reported_ms = REPORT, started_ms
    if failed:
        view.record_incomplete(started_ms)
    view.heard_ms = started_ms + heard_ms
    time.advance(2_000.0)
    retried = msgspec.structs.replace(WANTED, avoids_lost=True)
    ranked = upstream_choice.rank([view], retried, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == expected


def fail_all(
    views: list[replica_view.ReplicaView], now_ms: clock.Millis
) -> None:
    """Records failures that open the breakers of all replicas."""
    for view in views:
        for _ in range(3):
            view.record_incomplete(now_ms)


@pytest.mark.parametrize("reported", [True, False])
def test_engines_that_failed_and_are_not_heard_receive_no_first_attempts(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
    reported: bool,
) -> None:
    """Guards against attempts spent where all breakers are open."""
    views = [view_of(make_replica(replica_id=f"i-{n}")) for n in range(3)]
    for view in views:
        if reported:
            view.report, view.reported_ms = REPORT, time.now_ms()
    fail_all(views, time.now_ms())
    time.advance(1_000.0)
    fail_all(views, time.now_ms())
    time.advance(600.0)
    assert upstream_choice.rank(views, needs, ANYWHERE, time.now_ms()) == []
    # A report shows that an engine is back.
    views[1].report, views[1].reported_ms = REPORT, time.now_ms()
    ranked = upstream_choice.rank(views, needs, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-1"]
    # So does a trial, once the agents would have reported the other engines. A
    # trial before that spent an attempt of its caller.
    time.advance(1_000.0)
    ranked = upstream_choice.rank(views, needs, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-1"]
    time.advance(replica_view.WEIGHTS_KNOWN_MS - 2_600.0)
    views[1].reported_ms = time.now_ms()
    ranked = upstream_choice.rank(views, needs, ANYWHERE, time.now_ms())
    assert sorted(ids_of(ranked)) == ["i-0", "i-1", "i-2"]


def test_open_breakers_of_engines_in_contact_are_ignored(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    views = [view_of(make_replica(replica_id=f"i-{n}")) for n in range(3)]
    fail_all(views, time.now_ms())
    time.advance(900.0)
    for view in views:
        view.report, view.reported_ms = REPORT, time.now_ms()
    ranked = upstream_choice.rank(views, needs, ANYWHERE, time.now_ms())
    assert len(ranked) == len(views)


def test_open_breakers_of_plain_replicas_are_ignored(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    views = [
        view_of(make_replica(replica_id=f"d-{n}", weights=None))
        for n in range(3)
    ]
    fail_all(views, time.now_ms())
    time.advance(1_000.0)
    ranked = upstream_choice.rank(views, WANTED, ANYWHERE, time.now_ms())
    assert len(ranked) == len(views)


def test_draining_replica_receives_no_requests(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    leaving = view_of(make_replica(state=fleet.ReplicaState.DRAINING))
    assert (
        upstream_choice.rank([leaving], WANTED, ANYWHERE, time.now_ms()) == []
    )


def test_change_of_weights_in_an_old_report_costs_nothing_once_it_was_due(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    """Guards against an engine without an agent that is avoided for long."""
    closing = view_of(make_replica(replica_id="i-0"))
    closing.report = msgspec.structs.replace(REPORT, closes_in_ms=600.0)
    closing.reported_ms = time.now_ms()
    time.advance(60_000.0)
    closing.heard_ms = time.now_ms()
    busy = view_of(make_replica())
    busy.record_load(8, 0, time.now_ms())
    ranked = upstream_choice.rank(
        [closing, busy], needs, ANYWHERE, time.now_ms()
    )
    assert ids_of(ranked) == ["i-0", "i-1"]


def test_request_that_outlasts_a_closing_engine_goes_elsewhere(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    closing = view_of(make_replica(replica_id="i-0"))
    closing.report = msgspec.structs.replace(REPORT, closes_in_ms=600.0)
    closing.reported_ms = time.now_ms()
    busy = view_of(make_replica())
    busy.record_load(8, 0, time.now_ms())
    views = [closing, busy]
    long = upstream_choice.rank(views, needs, ANYWHERE, time.now_ms())
    assert ids_of(long) == ["i-1", "i-0"]
    brief = msgspec.structs.replace(needs, events=2.0)
    assert ids_of(
        upstream_choice.rank(views, brief, ANYWHERE, time.now_ms())
    ) == [
        "i-0",
        "i-1",
    ]


def test_failing_replica_ranks_behind_a_healthy_one(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    failing = view_of(make_replica(replica_id="i-0"))
    for _ in range(5):
        failing.record_error(time.now_ms())
    sound = view_of(make_replica())
    ranked = upstream_choice.rank(
        [failing, sound], WANTED, ANYWHERE, time.now_ms()
    )
    assert ids_of(ranked) == ["i-1", "i-0"]


def late_view(
    replica: fleet.Replica, time: clock.ManualClock
) -> replica_view.ReplicaView:
    """Returns a view whose only report is too old."""
    view = view_of(replica)
    view.report = REPORT
    view.reported_ms = time.now_ms() - 2_000.0
    return view


def test_engine_out_of_contact_ranks_behind_a_sound_one_with_requests(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    # Without a recent report it would count as idle.
    late = late_view(make_replica(replica_id="i-0"), time)
    busy = view_of(make_replica())
    busy.report = REPORT
    busy.reported_ms = time.now_ms()
    busy.record_load(4, 0, time.now_ms())
    ranked = upstream_choice.rank([late, busy], needs, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-1", "i-0"]
    busy.record_load(16, 30, time.now_ms())
    ranked = upstream_choice.rank([late, busy], needs, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-0", "i-1"]


def test_engine_that_answers_is_in_contact_without_reports(
    make_replica: MakeReplica,
    needs: replica_filters.RequestNeeds,
    time: clock.ManualClock,
) -> None:
    late = late_view(make_replica(replica_id="i-0"), time)
    late.heard_ms = time.now_ms() - 200.0
    busy = view_of(make_replica())
    busy.record_load(4, 0, time.now_ms())
    ranked = upstream_choice.rank([late, busy], needs, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-0", "i-1"]
    never_reported = view_of(make_replica())
    assert not never_reported.is_out_of_contact(time.now_ms())


def test_breakers_are_ignored_when_most_are_open(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    views = [view_of(make_replica(replica_id=f"i-{n}")) for n in range(3)]
    for view in views:
        for _ in range(3):
            view.record_incomplete(time.now_ms())
    ranked = upstream_choice.rank(views, WANTED, ANYWHERE, time.now_ms())
    assert len(ranked) == 3


def test_unread_prompts_delay_the_first_token(
    engine: fleet.EngineSpec,
) -> None:
    idle = engine_load.EngineLoad(running=4, waiting=0, unread_tokens=0)
    reading = engine_load.EngineLoad(running=4, waiting=0, unread_tokens=4_140)
    later = engine_load.first_token_ms(engine, reading, 900, 1_300.0)
    sooner = engine_load.first_token_ms(engine, idle, 900, 1_300.0)
    assert later - sooner == pytest.approx(200.0)


def test_shares_of_the_retry_budget_do_not_exceed_it(
    time: clock.ManualClock,
) -> None:
    entries = 12
    spent = 0
    requests = 0
    for _ in range(entries):
        share = retry_share.RetryShare(0.2, 104.0, 10_000.0, time.now_ms())
        for _ in range(60):
            share.record_request(time.now_ms())
            requests += 1
        while share.try_spend(entries, time.now_ms()):
            spent += 1
    assert spent <= 0.2 * requests + 104.0


def test_retry_budget_is_restored_over_its_window(
    time: clock.ManualClock,
) -> None:
    share = retry_share.RetryShare(0.2, 104.0, 10_000.0, time.now_ms())
    time.advance(60_000.0)
    while share.try_spend(8, time.now_ms()):
        pass
    while not share.try_spend(8, time.now_ms()):
        time.advance(1.0)
    earned = 104.0 / 8 * retry_share.SLACK_EARNED
    for _ in range(int(earned)):
        time.advance(10_000.0 / earned - 10.0)
        assert not share.try_spend(8, time.now_ms())
        time.advance(10.001)
        assert share.try_spend(8, time.now_ms())
        assert not share.try_spend(8, time.now_ms())


def test_partial_event_is_held_back() -> None:
    splitter = event_stream.EventSplitter()
    first = event_stream.Events(b"id: 1\ndata: a\n\n", 1, "1")
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == first
    assert splitter.partial
    assert splitter.feed(b"ta: b\n") == event_stream.Events()
    second = event_stream.Events(b"id: 2\ndata: b\n\n", 1, "2")
    assert splitter.feed(b"\n") == second
    assert not splitter.partial
    third = event_stream.Events(b"id: 3\r\ndata: c\r\n\r\n", 1, "3")
    assert splitter.feed(b"id: 3\r\ndata: c\r\n\r\n") == third


def load_schedule(spread_ms: float = 1_900.0) -> swap_schedule.SwapSchedule:
    return swap_schedule.SwapSchedule(
        mandatory_ms=8_000.0, spread_ms=spread_ms, load_ms=300.0
    )


def shares(count: int) -> list[float]:
    names = [f"vm-{n}" for n in range(count)]
    return sorted(swap_schedule.order_position(n, names, "m@2") for n in names)


def test_engines_load_one_at_a_time_before_the_version_is_mandatory() -> None:
    begins = [
        load_schedule().load_start_ms(share, 5_000.0) for share in shares(12)
    ]
    assert begins[-1] == 8_000.0 - swap_schedule.LATEST_MARGIN_MS
    assert begins[0] == begins[-1] - 1_900.0
    gaps = [later - sooner for sooner, later in itertools.pairwise(begins)]
    assert max(gaps) - min(gaps) < 1.0


def test_engine_whose_pieces_arrive_after_its_slot_loads_at_once() -> None:
    assert load_schedule().load_start_ms(0.0, 7_000.0) == 7_000.0


def test_pieces_too_late_for_slots_leave_half_of_the_engines_serving() -> None:
    """All pieces arrive 0.3 s before the version is mandatory.

    The origin was unavailable until then.
    """
    begins = [
        load_schedule().load_start_ms(share, 7_700.0) for share in shares(12)
    ]
    assert begins.count(7_700.0) == 6
    # The other half serves the old version until the new one is mandatory.
    assert begins.count(8_000.0) == 6
    assert load_schedule().drain_ms(7_700.0) == 0.0


def test_second_half_loads_as_soon_as_the_first_half_serves_again() -> None:
    begins = [
        load_schedule().load_start_ms(share, 7_400.0) for share in shares(12)
    ]
    assert begins.count(7_400.0 + 300.0 + swap_schedule.LATE_GAP_MS) == 6


def test_pieces_that_arrive_after_the_bound_are_loaded_at_once() -> None:
    begins = {
        load_schedule().load_start_ms(share, 8_100.0) for share in shares(12)
    }
    assert begins == {8_100.0}


@pytest.mark.parametrize("bound_ms", [8_000.0, 10_300.0, 60_000.0])
def test_engines_use_the_remaining_time_after_the_pieces_arrive(
    bound_ms: float,
) -> None:
    spread_ms = swap_schedule.spread_ms(2_097_152, 475_000.0, bound_ms)
    latest_ms = bound_ms - swap_schedule.LATEST_MARGIN_MS
    copy_ms = 2_097_152 / 475_000.0 * 1_000.0
    assert latest_ms - spread_ms >= copy_ms
    assert latest_ms - spread_ms <= 1.3 * copy_ms


@pytest.mark.parametrize(
    ("spread_ms", "least_ms", "most_ms"),
    [
        (1_700.0, 300.0, 300.0),
        (4_000.0, 600.0, 800.0),
        (60_000.0, 1.5e3, 1.5e3),
    ],
)
def test_engines_finish_running_requests_while_few_engines_load(
    spread_ms: float, least_ms: float, most_ms: float
) -> None:
    drain_ms = load_schedule(spread_ms).drain_ms(5_000.0)
    assert least_ms <= drain_ms <= most_ms


def test_bound_that_is_too_short_still_spreads_the_loads() -> None:
    spread_ms = swap_schedule.spread_ms(2_097_152, 475_000.0, 5_000.0)
    assert spread_ms == swap_schedule.SPREAD_MIN_MS


def test_version_of_unknown_age_is_loaded_at_once() -> None:
    begins_ms = swap_schedule.load_start_ms(None, 1.0, 7_000.0)
    # The result precedes any earlier reading of the clock.
    assert begins_ms == float("-inf")


def test_engines_load_in_a_different_order_for_each_version() -> None:
    names = [f"vm-{n}" for n in range(12)]
    first = [swap_schedule.order_position(n, names, "m@2") for n in names]
    second = [swap_schedule.order_position(n, names, "m@3") for n in names]
    assert sorted(first) == sorted(second)
    assert first != second


def test_replica_that_refuses_a_connection_is_excluded_at_once(
    make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    views = [view_of(make_replica(replica_id=f"i-{n}")) for n in range(3)]
    views[0].record_unreachable(time.now_ms())
    ranked = upstream_choice.rank(views, WANTED, ANYWHERE, time.now_ms())
    assert ids_of(ranked) == ["i-1", "i-2"]
    time.advance(1_500.0)
    assert views[0].breaker.allows(time.now_ms())
