from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import TypeAlias

import hypothesis
from hypothesis import strategies
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import version_cutoff

MakeReplica: TypeAlias = Callable[..., fleet.Replica]
MakeConfig: TypeAlias = Callable[..., fleet.FleetConfig]

BOUND_MS = 8_000.0
DC = ids.DataCentreId("dc-1")


def listed(revision: int, replica: fleet.Replica) -> catalog.ReplicaChange:
    return catalog.ReplicaChange(revision, replica.replica_id, replica)


def removed(revision: int, replica: fleet.Replica) -> catalog.ReplicaChange:
    return catalog.ReplicaChange(revision, replica.replica_id, None)


def named(
    revision: int, version: int, age_ms: float | None = 0.0
) -> catalog.TargetChange:
    target = fleet.WeightsTarget(model="m", version=version)
    ages = None if age_ms is None else event_time.Ages(age_ms, age_ms)
    return catalog.TargetChange(revision, target, ages)


def test_older_configuration_is_not_applied(
    known: catalog.Catalog, make_config: MakeConfig, time: clock.ManualClock
) -> None:
    newer = catalog.ConfigChange(9, make_config(version=7))
    older = catalog.ConfigChange(5, make_config(version=4))
    assert known.apply([newer], time.now_ms()) == [newer]
    assert known.apply([older, newer], time.now_ms()) == []
    assert known.config_version == 7


def test_changes_are_merged_in_any_order(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    replica = make_replica()
    draining = make_replica(state=fleet.ReplicaState.DRAINING)
    known.apply([listed(6, draining)], time.now_ms())
    known.apply([listed(5, replica)], time.now_ms())
    assert known.replica("i-1") == draining
    known.apply([removed(7, replica)], time.now_ms())
    known.apply([listed(6, draining)], time.now_ms())
    assert known.replica("i-1") is None


def test_replica_removed_while_the_store_serves_is_gone_at_once(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    known.apply([listed(1, make_replica())], time.now_ms())
    known.apply([removed(2, make_replica())], time.now_ms())
    assert known.replicas() == []


def test_replica_whose_record_expired_in_a_store_outage_may_return(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    known.apply([listed(1, make_replica())], time.now_ms())
    known.record_store_failure(time.now_ms())
    known.apply_snapshot(catalog.Snapshot(4, []), time.now_ms())
    assert known.replica("i-1") is not None
    time.advance(1_000.0)
    assert known.tick(time.now_ms()) == []
    known.apply([listed(5, make_replica())], time.now_ms())
    time.advance(5_000.0)
    assert known.tick(time.now_ms()) == []
    assert known.replica("i-1") is not None


def test_replica_whose_record_does_not_return_is_removed(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    known.apply([listed(1, make_replica())], time.now_ms())
    known.record_store_failure(time.now_ms())
    known.apply_snapshot(catalog.Snapshot(4, []), time.now_ms())
    time.advance(catalog.REPLICA_RETURN_MS + 1.0)
    assert known.tick(time.now_ms()) == ["i-1"]
    assert known.replicas() == []


def test_listing_removes_only_replicas_that_are_older(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    """Guards against replicas that only other processes know as removed."""
    replicas = [
        make_replica(replica_id=f"i-{number}", address=f"10.0.0.{number}:1")
        for number in range(3)
    ]
    changes = map(listed, (3, 5, 12), replicas)
    known.apply(changes, time.now_ms())
    new = known.apply_listing({"i-1"}, 10, time.now_ms())
    assert new == [removed(10, replicas[0])]
    assert known.listed() == ["i-1", "i-2"]
    assert known.apply_listing(set(), 9, time.now_ms()) == []
    assert known.apply(map(listed, (9,), replicas), time.now_ms()) == []


def test_of_two_replicas_at_one_address_only_the_newer_is_listed(
    known: catalog.Catalog, make_replica: MakeReplica, time: clock.ManualClock
) -> None:
    crashed = make_replica(replica_id="i-1", weights=2)
    restarted = make_replica(replica_id="i-2", weights=0)
    known.apply([listed(8, restarted), listed(5, crashed)], time.now_ms())
    assert known.replicas() == [restarted]
    known.apply([removed(9, restarted)], time.now_ms())
    assert known.replicas() == [crashed]


def test_changes_after_a_revision_hold_what_a_peer_missed(
    known: catalog.Catalog,
    make_replica: MakeReplica,
    make_config: MakeConfig,
    time: clock.ManualClock,
) -> None:
    known.apply(
        [
            catalog.ConfigChange(2, make_config(version=3)),
            listed(3, make_replica()),
            named(4, 2),
            removed(5, make_replica()),
        ],
        time.now_ms(),
    )
    time.advance(250.0)
    other = catalog.Catalog()
    other.apply(known.changes_after(2, time.now_ms()), time.now_ms())
    assert other.config is None
    assert other.replica("i-1") is None
    assert other.targets["m"].named_ms == time.now_ms() - 250.0


def test_each_version_takes_effect_on_its_own(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    started_ms = time.now_ms()
    known.apply([named(1, 2)], time.now_ms())
    time.advance(2_000.0)
    known.apply([named(2, 3)], time.now_ms())

    def oldest() -> int:
        return version_cutoff.oldest_allowed(
            known.targets["m"], BOUND_MS, started_ms, time.now_ms()
        )

    assert oldest() == 1
    time.advance(BOUND_MS - 2_000.0 - version_cutoff.QUEUE_MARGIN_MS)
    assert oldest() == 2
    time.advance(2_000.0)
    assert oldest() == 3


def test_version_received_after_a_newer_one_takes_effect_on_its_own(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    known.apply([named(2, 3)], time.now_ms())
    # The change of the older version arrives later, by a slower path.
    assert known.apply([named(1, 2, age_ms=500.0)], time.now_ms()) == []
    assert known.targets["m"].target.version == 3
    time.advance(BOUND_MS - 500.0 - version_cutoff.QUEUE_MARGIN_MS)
    assert oldest(known, time.now_ms()) == 2
    time.advance(500.0)
    assert oldest(known, time.now_ms()) == 3


def test_version_of_unknown_age_takes_effect_after_a_grace_period(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    known.apply([named(1, 2, age_ms=None)], time.now_ms())
    started_ms = time.now_ms()
    time.advance(version_cutoff.FIRST_READ_GRACE_MS)
    oldest = version_cutoff.oldest_allowed(
        known.targets["m"], BOUND_MS, started_ms, time.now_ms()
    )
    assert oldest == 2


def oldest(known: catalog.Catalog, now_ms: clock.Millis) -> int:
    """Returns the oldest version allowed in a process that started long ago."""
    return version_cutoff.oldest_allowed(
        known.targets["m"], BOUND_MS, started_ms=-60_000.0, now_ms=now_ms
    )


def test_version_announced_in_a_store_outage_takes_effect_after_it(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    time.advance(100_000.0)
    known.apply([named(1, 1, age_ms=50_000.0)], time.now_ms())
    known.apply([named(2, 2)], time.now_ms())
    for _ in range(60):
        time.advance(100.0)
        known.record_outage_sign(BOUND_MS, time.now_ms())
    time.advance(200.0)
    # A complete read 6.2 s after the previous response finds version 3.
    known.apply([named(3, 3, age_ms=6_200.0)], time.now_ms())
    time.advance(BOUND_MS - 1_500.0)
    assert oldest(known, time.now_ms()) == 1
    time.advance(1_500.0)
    assert oldest(known, time.now_ms()) == 3


def test_version_in_effect_stays_in_effect_in_a_store_outage(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    time.advance(100_000.0)
    known.apply([named(2, 2)], time.now_ms())
    time.advance(BOUND_MS + 1.0)
    known.record_outage_sign(BOUND_MS, time.now_ms())
    assert oldest(known, time.now_ms()) == 2


def test_version_of_unknown_age_after_an_outage_takes_effect_after_it(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    time.advance(100_000.0)
    known.apply([named(1, 1, age_ms=50_000.0)], time.now_ms())
    for _ in range(60):
        time.advance(100.0)
        known.record_outage_sign(BOUND_MS, time.now_ms())
    time.advance(200.0)
    # Reported by an entry that started meanwhile and found the version at its
    # first read.
    known.apply([named(2, 2, age_ms=None)], time.now_ms())
    time.advance(BOUND_MS - 1_500.0)
    assert oldest(known, time.now_ms()) == 1


def test_first_version_announced_in_an_outage_takes_effect_after_it(
    known: catalog.Catalog, make_config: MakeConfig, time: clock.ManualClock
) -> None:
    # No version was announced before the outage, so that none is known.
    time.advance(100_000.0)
    known.apply([catalog.ConfigChange(1, make_config())], time.now_ms())
    for _ in range(60):
        time.advance(100.0)
        known.record_outage_sign(BOUND_MS, time.now_ms())
    time.advance(200.0)
    known.apply([named(2, 2, age_ms=None)], time.now_ms())
    time.advance(BOUND_MS - 1_500.0)
    assert oldest(known, time.now_ms()) == 1
    time.advance(1_500.0)
    assert oldest(known, time.now_ms()) == 2


def test_process_that_started_in_an_outage_applies_a_found_version(
    known: catalog.Catalog, make_config: MakeConfig, time: clock.ManualClock
) -> None:
    time.advance(100_000.0)
    known.record_outage_sign(BOUND_MS, time.now_ms())
    time.advance(200.0)
    # The first read finds the configuration and the version, which may have
    # been in force for a long time.
    config = catalog.ConfigChange(1, make_config())
    snapshot = catalog.Snapshot(2, [config, named(2, 2, age_ms=None)])
    known.apply_snapshot(snapshot, time.now_ms())
    assert oldest(known, time.now_ms()) == 2


def test_restarted_process_receives_a_versions_age_from_another(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    time.advance(100_000.0)
    known.apply([named(2, 2, age_ms=None)], time.now_ms())
    assert oldest(known, time.now_ms()) == 2
    known.apply([named(2, 2, age_ms=500.0)], time.now_ms())
    assert oldest(known, time.now_ms()) == 1
    time.advance(BOUND_MS - 500.0)
    assert oldest(known, time.now_ms()) == 2


def test_waiting_request_may_start_until_the_next_version_takes_effect(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    known.apply([named(1, 2), named(2, 3)], time.now_ms())
    target = known.targets["m"]
    ends_ms = version_cutoff.begins_until_ms(target, BOUND_MS, 1)
    assert (
        ends_ms
        == time.now_ms() + BOUND_MS - version_cutoff.WITHDRAWAL_MARGIN_MS
    )
    ends_ms = version_cutoff.begins_until_ms(target, BOUND_MS, 3)
    assert ends_ms == float("inf")


def test_request_with_a_longer_wait_has_an_earlier_version_cutoff(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    known.apply([named(1, 2)], time.now_ms())
    time.advance(BOUND_MS - 2_000.0)
    started_ms = -60_000.0
    target = known.targets["m"]
    for wait_ms, expected in ((700.0, 1), (2_400.0, 2)):
        assert expected == version_cutoff.oldest_allowed(
            target, BOUND_MS, started_ms, time.now_ms(), wait_ms
        )


def test_record_of_an_unconfigured_service_hides_no_replica(
    known: catalog.Catalog, make_replica: MakeReplica, make_config: MakeConfig
) -> None:
    good = make_replica()
    unconfigured = make_replica(
        replica_id="i-2", service_id=ids.ServiceId("nobody")
    )
    configured = catalog.ConfigChange(3, make_config())
    known.apply([listed(1, good), listed(2, unconfigured), configured], 0.0)
    assert known.replicas() == [good]


def test_version_delayed_on_another_link_takes_effect_on_its_own(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    # The change of version 2 was queued behind a configuration on another link.
    time.advance(100_000.0)
    known.apply([named(9, 3)], time.now_ms())
    known.apply([named(4, 2, age_ms=3_000.0)], time.now_ms())
    assert known.targets["m"].target.version == 3
    time.advance(BOUND_MS - 3_000.0)
    assert oldest(known, time.now_ms()) == 2


def evacuation(revision: int, *, active: bool) -> catalog.EvacuationChange:
    return catalog.EvacuationChange(revision, DC, active)


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_highest_revision_of_an_evacuation_counts_in_any_order(
    order: tuple[int, ...], known: catalog.Catalog, time: clock.ManualClock
) -> None:
    """Guards against an end that arrives first and is undone by its start."""
    changes = [
        evacuation(5, active=True),
        evacuation(7, active=False),
        evacuation(9, active=True),
    ]
    for number in order:
        known.apply([changes[number]], time.now_ms())
    assert known.evacuated == {DC}
    known.apply([evacuation(11, active=False)], time.now_ms())
    known.apply(changes, time.now_ms())
    assert known.evacuated == set()
    assert known.changes_after(0, time.now_ms()) == [
        evacuation(11, active=False)
    ]


@pytest.mark.parametrize(
    ("revision", "listed", "evacuated"),
    [(8, False, {DC}), (10, False, set()), (10, True, {DC})],
)
def test_full_read_without_the_key_ends_an_evacuation(
    revision: int,
    listed: bool,
    evacuated: set[str],
    known: catalog.Catalog,
    time: clock.ManualClock,
) -> None:
    """Guards against an end in lost history, and against an older read."""
    start = evacuation(9, active=True)
    known.apply([start], time.now_ms())
    changes: list[catalog.Change] = [start] if listed else []
    new = known.apply_snapshot(
        catalog.Snapshot(revision, changes), time.now_ms()
    )
    assert known.evacuated == evacuated
    ended = [] if evacuated else [evacuation(10, active=False)]
    assert new == ended


def test_evacuation_that_a_full_read_lacked_does_not_start_later(
    time: clock.ManualClock,
) -> None:
    """Guards against a peer that missed the end of an evacuation.

    The reader has started after the end and never knew of the evacuation.
    """
    reader = catalog.Catalog([DC])
    assert reader.apply_snapshot(catalog.Snapshot(20, []), time.now_ms()) == []
    start = evacuation(9, active=True)
    assert reader.apply([start], time.now_ms()) == []
    assert reader.evacuated == set()
    peer = catalog.Catalog([DC])
    peer.apply([start], time.now_ms())
    new = peer.apply(reader.changes_after(9, time.now_ms()), time.now_ms())
    assert new == [evacuation(20, active=False)]
    assert peer.evacuated == set()


def test_end_of_an_unknown_evacuation_is_no_new_change(
    known: catalog.Catalog, time: clock.ManualClock
) -> None:
    """Guards against replicas that count as cold whenever an entry starts."""
    assert known.apply([evacuation(7, active=False)], time.now_ms()) == []


DATA_CENTRES = [ids.DataCentreId(f"dc-{n}") for n in range(3)]


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(data=strategies.data())
def test_evacuations_are_merged_alike_in_any_order_and_number(
    data: strategies.DataObject,
) -> None:
    # An entry that hears of a start after its end, or twice, must not differ
    # from the others for ever.
    states = data.draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(DATA_CENTRES), strategies.booleans()
            ),
            max_size=8,
        )
    )
    changes = [
        catalog.EvacuationChange(revision, data_centre, active)
        for revision, (data_centre, active) in enumerate(states, start=1)
    ]
    expected = {
        data_centre for data_centre, active in dict(states).items() if active
    }
    repeated = changes + data.draw(
        strategies.lists(strategies.sampled_from(changes), max_size=8)
        if changes
        else strategies.just([])
    )
    received = data.draw(strategies.permutations(repeated))
    known = catalog.Catalog()
    for change in received:
        known.apply([change], clock.Millis(0))
    assert known.evacuated == expected
    other = catalog.Catalog()
    other.apply(known.changes_after(0, clock.Millis(0)), clock.Millis(0))
    assert other.evacuated == expected


def test_full_read_ends_evacuations_that_only_other_processes_know(
    known: catalog.Catalog,
) -> None:
    # A process that had not known the evacuation passed its revision on to the
    # others without the end.
    now_ms = clock.Millis(0)
    start = catalog.EvacuationChange(5, DATA_CENTRES[1], active=True)
    known.apply([start], now_ms)
    reader = catalog.Catalog(DATA_CENTRES)
    assert reader.apply_snapshot(catalog.Snapshot(9, []), now_ms) == []
    new = known.apply(reader.changes_after(5, now_ms), now_ms)
    assert known.evacuated == set()
    assert new == [catalog.EvacuationChange(9, DATA_CENTRES[1], active=False)]
