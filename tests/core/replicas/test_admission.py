from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp.core.configuration import fleet
from marlramp.core.replicas import admission
from marlramp.core.replicas import availability
from marlramp.core.replicas import breaker
from marlramp.core.replicas import queue_position
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import send_limit
from marlramp.core.replicas import upstream_choice
from marlramp.core.replicas import wait_bias

MakeReplica: TypeAlias = Callable[..., fleet.Replica]

FRONT = queue_position.QueuePosition.FRONT
BEHIND = queue_position.QueuePosition.BEHIND

ANYWHERE = upstream_choice.PreferredLocations(frozenset())


@pytest.fixture
def view(make_replica: MakeReplica) -> replica_view.ReplicaView:
    """An engine of 16 slots whose state is unknown."""
    return replica_view.ReplicaView(make_replica(), breaker.Breaker(3, 1_500.0))


@pytest.fixture
def request_(engine: fleet.EngineSpec) -> admission.Request:
    """The first attempt of a request of typical size."""
    wanted = replica_filters.RequestNeeds(
        engine=engine,
        prompt_tokens=900,
        events=18.0,
        oldest_weights=1,
        failed=(),
    )
    return admission.Request(
        wanted=wanted, elapsed_ms=0.0, wait_max_ms=2_000.0, objective_ms=400.0
    )


def late(request: admission.Request, elapsed_ms: float) -> admission.Request:
    return msgspec.structs.replace(request, elapsed_ms=elapsed_ms)


def place_of(
    decision: upstream_choice.Choice | admission.Refusal | None,
) -> queue_position.QueuePosition | None:
    if isinstance(decision, upstream_choice.Choice):
        return decision.position
    return None


def test_request_that_can_begin_in_time_goes_in_front(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    decision = admission.decide([view], request_, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is FRONT


def test_request_that_is_already_late_goes_behind(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    request = late(request_, 1_000.0)
    decision = admission.decide([view], request, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is BEHIND


def test_herd_of_retries_does_not_delay_first_attempts(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    # Load pattern: an outage ends, and twice as many callers retry at once as
    # the engine has slots.
    herd = late(request_, 2_500.0)
    for _ in range(32):
        decision = admission.decide([view], herd, ANYWHERE, time.now_ms(), rng)
        if isinstance(decision, upstream_choice.Choice):
            view.record_sent(900, time.now_ms(), decision.position)
    view.record_load(16, view.in_flight - 16, time.now_ms())
    fresh = admission.decide([view], request_, ANYWHERE, time.now_ms(), rng)
    assert place_of(fresh) is FRONT
    again = admission.decide([view], herd, ANYWHERE, time.now_ms(), rng)
    assert isinstance(again, admission.Refusal)
    assert again.retry_after_ms >= admission.RETRY_AFTER_MIN_MS


def test_request_that_may_have_run_is_never_refused(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    view.record_load(16, 64, time.now_ms())
    refused = admission.decide([view], request_, ANYWHERE, time.now_ms(), rng)
    assert isinstance(refused, admission.Refusal)
    ran = msgspec.structs.replace(request_, maybe_ran=True)
    decision = admission.decide([view], ran, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is BEHIND
    begun = msgspec.structs.replace(request_, begun=True)
    decision = admission.decide([view], begun, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is FRONT


def test_long_prompts_are_refused_no_sooner_than_typical_ones(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    wanted = msgspec.structs.replace(request_.wanted, prompt_tokens=8_000)
    long = msgspec.structs.replace(request_, wanted=wanted)
    decision = admission.decide([view], long, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is FRONT


def test_decision_without_replicas_is_none(
    request_: admission.Request, time: clock.ManualClock, rng: random.Random
) -> None:
    assert admission.decide([], request_, ANYWHERE, time.now_ms(), rng) is None


def test_unreported_requests_yield_like_reported_ones(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    # Load pattern: entries of three regions share an engine and report only to
    # entries of their own region what they sent to it. All waiting requests
    # are late.
    for _ in range(8):
        view.record_sent(900, time.now_ms(), BEHIND)
    view.record_load(16, 24, time.now_ms())
    decision = admission.decide([view], request_, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is FRONT
    for _ in range(8):
        view.record_prompt_read(900, BEHIND)
        view.record_sent(900, time.now_ms(), FRONT)
    decision = admission.decide([view], request_, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is not FRONT


def test_waits_beyond_the_prediction_refuse_requests_in_the_back(
    view: replica_view.ReplicaView,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    # Load pattern: engines are full permanently, so that requests in the back
    # of the queue are never served and their callers wait in vain.
    view.record_load(16, 5, time.now_ms())
    request = late(request_, 1_000.0)
    decision = admission.decide([view], request, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is BEHIND
    for _ in range(10):
        view.behind_bias.record(1_800.0, 600.0, time.now_ms())
    decision = admission.decide([view], request, ANYWHERE, time.now_ms(), rng)
    assert isinstance(decision, admission.Refusal)
    time.advance(4 * wait_bias.RELEASE_MS)
    view.record_load(16, 5, time.now_ms())
    decision = admission.decide([view], request, ANYWHERE, time.now_ms(), rng)
    assert place_of(decision) is BEHIND


def test_engine_of_the_own_cell_is_preferred_while_it_begins_soon(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admission, "RANK_ALL_MAX", 1)
    own = replica_view.ReplicaView(
        make_replica(replica_id="i-0", address="10.0.0.1:1"),
        breaker.Breaker(3, 1_500.0),
    )
    other = replica_view.ReplicaView(
        make_replica(replica_id="i-1", address="10.0.0.2:1"),
        breaker.Breaker(3, 1_500.0),
    )
    places = upstream_choice.PreferredLocations(
        {own.replica.data_centre}, {"10.0.0.1"}
    )

    def chosen() -> str:
        choice = admission.decide(
            [other, own], request_, places, time.now_ms(), random.Random(1)
        )
        assert isinstance(choice, upstream_choice.Choice)
        return choice.view.replica.replica_id

    own.record_load(10, 0, time.now_ms())
    assert chosen() == "i-0"
    own.record_load(16, 30, time.now_ms())
    assert chosen() == "i-1"


REPORT = replica_view.LoadReport(
    address="127.0.0.1:1", weights=1, running=0, waiting=0, pace=1.0, opens=True
)


def reported(
    replica: fleet.Replica, reported_ms: float, running: int, waiting: int
) -> replica_view.ReplicaView:
    view = replica_view.ReplicaView(replica, breaker.Breaker(3, 1_500.0))
    view.report = REPORT
    view.reported_ms = reported_ms
    view.record_load(running, waiting, clock.Millis(reported_ms))
    return view


@pytest.mark.parametrize("wait_max_ms", [1_000.0, 6_000.0])
def test_engine_out_of_contact_is_tried_before_a_request_is_late(
    wait_max_ms: float,
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    request = msgspec.structs.replace(request_, wait_max_ms=wait_max_ms)
    silent = reported(make_replica(replica_id="i-0"), now_ms - 2_000.0, 0, 0)
    busy = reported(make_replica(replica_id="i-1"), now_ms, 16, 3)
    decision = admission.decide([silent, busy], request, ANYWHERE, now_ms, rng)
    assert isinstance(decision, upstream_choice.Choice)
    assert decision.view is silent
    assert decision.position is FRONT


def test_cell_out_of_contact_is_not_preferred_to_other_cells(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [
        reported(
            make_replica(replica_id=f"i-{n}", address=f"10.0.0.{n}:1"),
            now_ms - (2_000.0 if n < 4 else 100.0),
            0,
            0,
        )
        for n in range(admission.RANK_ALL_MAX + 6)
    ]
    near = frozenset(view.replica.data_centre for view in views)
    cell = frozenset(f"10.0.0.{n}" for n in range(4))
    places = upstream_choice.PreferredLocations(near, cell)
    decision = admission.decide(views, request_, places, now_ms, rng)
    assert isinstance(decision, upstream_choice.Choice)
    assert decision.view not in views[:4]


def test_request_goes_to_another_cell_when_its_own_is_lost(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
) -> None:
    far = replica_view.ReplicaView(
        make_replica(address="10.0.0.2:1"), breaker.Breaker(3, 1_500.0)
    )
    places = upstream_choice.PreferredLocations({"elsewhere"}, {"10.0.0.1"})
    choice = admission.decide(
        [far], request_, places, time.now_ms(), random.Random(1)
    )
    assert isinstance(choice, upstream_choice.Choice)
    assert choice.view is far


def test_idle_plain_replicas_share_the_load(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """Entries with equal estimates for idle replicas sent all load to one."""
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
        )
        for n in range(12)
    ]
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    chosen: dict[str, int] = {}
    for _ in range(1_200):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        name = choice.view.replica.replica_id
        chosen[name] = chosen.get(name, 0) + 1
    assert max(chosen.values()) <= 2 * 100
    assert len(chosen) == 12


def test_plain_replica_that_is_clearly_slower_is_not_chosen(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
            answer_ms=40.0 + 40.0 * n,
            answers=replica_view.ANSWERS_MAX,
            answered_ms=time.now_ms(),
        )
        for n in range(2)
    ]
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    for _ in range(200):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        assert choice.view.replica.replica_id == "i-0"


@pytest.mark.parametrize(("answers", "age_ms"), [(1, 0.0), (10, 60_000.0)])
def test_plain_replica_known_by_few_or_old_answers_is_tried_again(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
    answers: int,
    age_ms: float,
) -> None:
    """One slow answer excluded a replica permanently."""
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
        )
        for n in range(2)
    ]
    for _ in range(answers):
        views[1].record_answer(58.0, time.now_ms())
    time.advance(age_ms)
    for _ in range(10):
        views[0].record_answer(40.0, time.now_ms())
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    chosen = set()
    for _ in range(200):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        chosen.add(choice.view.replica.replica_id)
    assert chosen == {"i-0", "i-1"}


def test_plain_replica_a_tenth_slower_than_eleven_others_gets_its_share(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """An idle replica that was 1 ms slower received none of 90 requests."""
    front_bias = wait_bias.WaitBias()
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
            front_bias=front_bias,
        )
        for n in range(12)
    ]
    for view in views:
        taken_ms = 12.5 if view is views[0] else 11.25
        for _ in range(3):
            view.record_first_event(taken_ms, 11.25, time.now_ms())
            view.record_answer(taken_ms, time.now_ms())
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    sent = 0
    for _ in range(90 * 12):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        sent += choice.view is views[0]
        choice.view.record_sent(0, time.now_ms())
        choice.view.record_ended()
        time.advance(100.0)
    assert sent > 90 / 2


def test_plain_replica_that_refused_once_gets_its_share_after_a_while(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """A refusal seconds earlier still excluded a replica among idle ones."""
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
        )
        for n in range(12)
    ]
    for view in views:
        view.record_answer(11.0, time.now_ms())
    views[0].availability.record_refusal(time.now_ms(), time.now_ms())
    time.advance(3_000.0)
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    sent = 0
    for _ in range(30):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        sent += choice.view is views[0]
        choice.view.record_sent(0, time.now_ms())
        choice.view.record_ended()
    assert sent > 0


def test_plain_replica_that_failed_once_gets_its_share_after_a_while(
    make_replica: MakeReplica,
    request_: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """One connection reset excluded an idle replica permanently."""
    views = [
        replica_view.ReplicaView(
            make_replica(replica_id=f"i-{n}", weights=None),
            breaker.Breaker(3, 1_500.0),
        )
        for n in range(12)
    ]
    for view in views:
        view.record_answer(11.0, time.now_ms())
    views[0].record_incomplete(time.now_ms())
    time.advance(20_000.0)
    plain = msgspec.structs.replace(
        request_,
        wanted=msgspec.structs.replace(request_.wanted, engine=None),
    )
    sent = 0
    for _ in range(30):
        choice = admission.decide(views, plain, ANYWHERE, time.now_ms(), rng)
        assert isinstance(choice, upstream_choice.Choice)
        sent += choice.view is views[0]
        choice.view.record_sent(0, time.now_ms())
        choice.view.record_ended()
    assert sent > 0


@pytest.fixture
def plain(request_: admission.Request) -> admission.Request:
    """A request to a plain service that may wait 200 ms for limits."""
    wanted = msgspec.structs.replace(
        request_.wanted, engine=None, limit_wait_max_ms=200.0
    )
    return msgspec.structs.replace(request_, wanted=wanted)


def used_up(
    make_replica: MakeReplica, replica_id: str, now_ms: clock.Millis
) -> replica_view.ReplicaView:
    """A replica whose limit allows no request for 2 s."""
    return replica_view.ReplicaView(
        make_replica(replica_id=replica_id, weights=None),
        breaker.Breaker(3, 1_500.0),
        limit=send_limit.SendLimit(per_s=0.5, next_ms=now_ms + 2_000.0),
    )


def test_request_is_refused_at_once_when_all_limits_are_used_up(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [used_up(make_replica, f"i-{n}", now_ms) for n in range(3)]
    decision = admission.decide(views, plain, ANYWHERE, now_ms, rng)
    assert isinstance(decision, admission.Refusal)
    assert decision.reason is admission.RefusalReason.LIMITED
    assert decision.retry_after_ms >= admission.RETRY_AFTER_MAX_MS


def test_request_that_may_have_run_is_not_refused_for_limits(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [used_up(make_replica, "i-0", now_ms)]
    ran = msgspec.structs.replace(plain, maybe_ran=True)
    assert admission.decide(views, ran, ANYWHERE, now_ms, rng) is None


def test_request_waits_for_a_replica_without_limit_that_is_backed_off(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """One limit that was used up refused it before the backoff had ended."""
    now_ms = time.now_ms()
    backed_off = replica_view.ReplicaView(
        make_replica(replica_id="i-1", weights=None),
        breaker.Breaker(3, 1_500.0),
    )
    backed_off.availability.back_off(10.0, now_ms)
    views = [used_up(make_replica, "i-0", now_ms), backed_off]
    assert admission.decide(views, plain, ANYWHERE, now_ms, rng) is None


def test_open_breakers_do_not_lift_a_limit(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [used_up(make_replica, f"i-{n}", now_ms) for n in range(4)]
    for view in views[1:]:
        view.breaker.trip(now_ms)
    decision = admission.decide(views, plain, ANYWHERE, now_ms, rng)
    assert not isinstance(decision, upstream_choice.Choice)


def paused(
    make_replica: MakeReplica, name: str, wait_ms: float, now_ms: float
) -> replica_view.ReplicaView:
    view = replica_view.ReplicaView(
        make_replica(replica_id=name, weights=None),
        breaker.Breaker(3, 1_500.0),
    )
    view.availability.record_pause(wait_ms, 0.0, now_ms)
    return view


def test_request_is_refused_at_once_until_the_first_pause_ends(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [
        paused(make_replica, "i-0", 4_000.0, now_ms),
        paused(make_replica, "i-1", 3_000.0, now_ms),
    ]
    decisions = [
        admission.decide(views, plain, ANYWHERE, now_ms, rng) for _ in range(9)
    ]
    waits_ms = set()
    for decision in decisions:
        assert isinstance(decision, admission.Refusal)
        assert decision.reason is admission.RefusalReason.PAUSED
        waits_ms.add(decision.retry_after_ms)
    assert min(waits_ms) >= 3_000.0
    assert len(waits_ms) == len(decisions)


def test_open_breakers_and_a_last_replica_do_not_end_a_pause(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    views = [paused(make_replica, f"i-{n}", 3_000.0, now_ms) for n in range(4)]
    for view in views[1:]:
        view.breaker.trip(now_ms)
    decision = admission.decide(views, plain, ANYWHERE, now_ms, rng)
    assert isinstance(decision, admission.Refusal)


def test_replica_that_leaves_is_chosen_only_if_no_other_can_serve(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    now_ms = time.now_ms()
    leaving = paused(make_replica, "i-0", 0.0, now_ms)
    leaving.availability.record_leaving(2_000.0, now_ms)
    other = paused(make_replica, "i-1", 0.0, now_ms)
    for _ in range(9):
        decision = admission.decide(
            [leaving, other], plain, ANYWHERE, now_ms, rng
        )
        assert isinstance(decision, upstream_choice.Choice)
        assert decision.view is other
    other.availability.record_pause(3_000.0, 0.0, now_ms)
    decision = admission.decide([leaving, other], plain, ANYWHERE, now_ms, rng)
    assert isinstance(decision, upstream_choice.Choice)
    assert decision.view is leaving


def test_replicas_that_all_refused_get_one_trial_request_at_a_time(
    make_replica: MakeReplica,
    plain: admission.Request,
    time: clock.ManualClock,
    rng: random.Random,
) -> None:
    """Callers were refused for 2.4 s after the replicas had recovered."""
    views = [paused(make_replica, f"i-{n}", 0.0, 0.0) for n in range(3)]
    now_ms = time.now_ms()
    for _ in range(6):
        for view in views:
            view.availability.record_refusal(now_ms, now_ms)
    now_ms = clock.Millis(now_ms + availability.TRIAL_MS)
    first = admission.decide(views, plain, ANYWHERE, now_ms, rng)
    assert isinstance(first, upstream_choice.Choice)
    first.view.record_sent(0, now_ms)
    assert admission.decide(views, plain, ANYWHERE, now_ms, rng) is None
    first.view.availability.record_served(now_ms, now_ms)
    later_ms = clock.Millis(now_ms + availability.TRIAL_MS)
    again = admission.decide(views, plain, ANYWHERE, later_ms, rng)
    assert isinstance(again, upstream_choice.Choice)
